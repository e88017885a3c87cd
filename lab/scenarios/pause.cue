means: "one member in ten stands still for 4 s, three times: nobody is removed"
steps: [
	{at: "2s", do: "pause", who: "tenth"}, {at: "6s", do: "resume", who: "tenth"},
	{at: "8s", do: "pause", who: "tenth"}, {at: "12s", do: "resume", who: "tenth"},
	{at: "14s", do: "pause", who: "tenth"}, {at: "18s", do: "resume", who: "tenth"},
]
