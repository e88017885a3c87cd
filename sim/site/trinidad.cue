// Flood warnings: stations that are far apart, lists on request, boxes that report the start of a job but not their load.
zones:          5
boxes:          [15, 16]
dispatchers:    [2, 4]
bigBoxes:       [19, 23]
bigDispatchers: [2, 4]
load: {quiet: [0.4, 0.6], trouble: [0.6, 0.75], overload: [1, 1.3], big: [0.65, 0.8], fleet: [0.5, 0.66]}
zoneSkew: [0.25, 0.6]
boxSkew:  [0.2, 0.6]
streamCV: [0.6, 1.4]
network: {local: [0.00019, 0.00019], crossing: [0.01, 0.02], jitter: [0.054, 0.32], handshake: [1, 3]}
discovery: {lag: [0.18, 1.3], calls: [3.2, 5.9]}
cell: [6, 10]
retry: {most: [2, 3], pause: [0.0059, 0.048]}
kinds: [
	{name: "full-box", share: [0.35, 0.47], cores: 2, queue: [9.9, 17], speed: [0.85, 1.1], spread: [0.048, 0.21], connections: 1500, coldFrom: [0.31, 0.56], coldFor: [4.6, 7.8]},
	{name: "slow-box", cores: 2, queue: [5.1, 9.2], speed: [0.51, 0.69], spread: [0.1, 0.24], connections: 1500, coldFrom: [0.3, 0.59], coldFor: [5, 8]},
]
classes: [
	{name: "gauge-reading", share: [0.46, 0.68], work: [0.3, 0.59], shape: "pareto", spread: [2.2, 2.2], aim: 0.2, stretch: 2.5, worth: 2, lateWorth: 0.25, patience: 5, effect: "keyed", group: "cell", window: 7.5},
	{name: "send-warning", work: [0.15, 0.29], shape: "lognormal", spread: [1.4, 2.4], aim: 0.2, stretch: 2.5, worth: 10, lateWorth: 0.2, patience: 5, effect: "unsafe"},
]
rules: {drainGrace: 0.5, startCapacity: 0.3, warmWithin: 8, overloadFactor: 2.5, fallTime: 2}
troubles: [
	{effect: "burst", size: [1.4, 2.4], len: [2.8, 8.4]},
	{effect: "heavy", part: [0.013, 0.028], size: [6.8, 30]},
	{effect: "dispatchers", part: [0.13, 0.48], len: [1.2, 6]},
	{effect: "slow", size: [1.7, 3], len: [5.3, 14]},
]
goal: {whole: 0.55, window: 0.25, class: 0.2, cross: 0.019, waste: 0.08, late: 0.026, probe: 0.0059}
