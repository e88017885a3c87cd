means: "one member hears nobody and is heard: it is removed once, and back when it hears again"
steps: [
	{at: "1s", do: "link", who: "rest", to: "one", loss: 1},
	{at: "25s", do: "heal"},
]
mayLose: "one"
