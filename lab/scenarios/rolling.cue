means: "members are ended as planned and started again, one after another"
steps: [
	{at: "1s", do: "stop", who: "0"}, {at: "5s", do: "start", who: "0"},
	{at: "8s", do: "stop", who: "1"}, {at: "12s", do: "start", who: "1"},
	{at: "15s", do: "stop", who: "2"}, {at: "19s", do: "start", who: "2"},
]
mayLose: "third"
