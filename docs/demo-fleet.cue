// The fleet of liftlab demo, but for its Gearman workers: eight hosts with four slots. The load and the speed are fitted from
// what the demo captures.
stations: caroni: boxes: "full-box": 8
kinds: "full-box": {cores: 4, queue: 8}
classes: {
	"gauge-reading": {aim: "50ms", effect: "keyed", mix: 1, work: mean: "20ms"}
	"send-warning": {aim: "50ms", effect: "unsafe", mix: 1, work: mean: "20ms"}
}
load: rate: 300
goals: {service: 0.95, inTime: "send-warning": 0.95}
