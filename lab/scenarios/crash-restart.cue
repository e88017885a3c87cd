means: "one member is killed and is back 4 s later as another incarnation, twice"
steps: [
	{at: "1s", do: "kill", who: "one"}, {at: "5s", do: "start", who: "one"},
	{at: "20s", do: "kill", who: "one"}, {at: "24s", do: "start", who: "one"},
]
mayLose: "one"
