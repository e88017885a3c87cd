means: "hosts drain and return cold, once while three dispatchers in ten are killed and started again, once while discovery cannot be reached: nothing new goes there, no cold host is pushed over"
steps: [
	{at: "1s", do: "drain"}, {at: "1500ms", do: "kill", who: "third"}, {at: "4s", do: "start", who: "third"}, {at: "8s", do: "return"},
	{at: "18s", do: "discovery", mode: "reset"}, {at: "19s", do: "drain", hosts: 2}, {at: "23s", do: "discovery", mode: "open"}, {at: "28s", do: "return", hosts: 2},
]
mayLose: "third"
