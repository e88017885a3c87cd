means: "two halves are cut apart for 15 s: the smaller one stays in its view, falls back on its settings, and all are together again"
steps: [
	{at: "1s", do: "link", who: "half", to: "rest", loss: 1},
	{at: "1s", do: "link", who: "rest", to: "half", loss: 1},
	{at: "16s", do: "heal"},
]
mayLose: "half"
