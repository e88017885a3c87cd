means: "discovery is silent for half, refused to the rest, and one dispatcher is killed meanwhile and comes back: all serve on"
steps: [
	{at: "1s", do: "discovery", who: "half", mode: "silent"}, {at: "1s", do: "discovery", who: "rest", mode: "refused"},
	{at: "4s", do: "kill", who: "one"}, {at: "7s", do: "start", who: "one"},
	{at: "16s", do: "discovery", mode: "open"},
]
mayLose: "one"
