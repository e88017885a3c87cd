means: "one member is heard by nobody and hears: it is removed once, and back when it is heard again"
steps: [
	{at: "1s", do: "link", who: "one", to: "rest", loss: 1},
	{at: "25s", do: "heal"},
]
mayLose: "one"
