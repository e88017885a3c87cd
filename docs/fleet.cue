// A fleet such as the flood alert services run: two kinds of boxes in five stations.
stations: {
	caroni: {boxes: {"full-box": 3, "slow-box": 2}, load: 4}
	couva: {boxes: {"full-box": 2, "slow-box": 1}, load: 2}
	"sangre-grande": {boxes: {"full-box": 1, "slow-box": 2}, dispatchers: 0, load: 1}
	penal: {boxes: {"full-box": 2, "slow-box": 2}, load: 3}
	arima: {boxes: {"full-box": 1, "slow-box": 2}, dispatchers: 0, load: 1}
}
network: crossing: "15ms"
kinds: {
	"full-box": {cores: 2, slots: 3, speed: 1, spread: 0.1, crowding: 0.3}
	"slow-box": {cores: 2, slots: 3, speed: 0.7, spread: 0.1, crowding: 0.3}
}
classes: {
	"gauge-reading": {aim: "200ms", stretch: 2.5, worth: 2, lateWorth: 0.25, effect: "keyed", mix: 9, work: {mean: "400ms", spread: 0.8}}
	"send-warning": {aim: "200ms", stretch: 2.5, worth: 10, lateWorth: 0.2, effect: "unsafe", mix: 1, work: {mean: "400ms", spread: 0.8}}
}
load: {rate: 40, length: "45s"}
dispatcher: cpuPerJob: "100us"
goals: {service: 0.9, worst10s: 0.75, inTime: "send-warning": 0.9}
