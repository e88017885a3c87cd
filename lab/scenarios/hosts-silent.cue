means: "a host of each dispatcher falls silent, one resets and one answers no more, one after another: nothing runs twice, each client has its answer"
steps: [
	{at: "1s", do: "hosts", mode: "silent"}, {at: "6s", do: "hosts", mode: "open"},
	{at: "8s", do: "hosts", mode: "reset"}, {at: "11s", do: "hosts", mode: "open"},
	{at: "13s", do: "hosts", mode: "no-back"}, {at: "18s", do: "hosts", mode: "open"},
	{at: "20s", do: "hosts", mode: "slow", delay: "150ms", hosts: 2}, {at: "24s", do: "hosts", mode: "open", hosts: 2},
]
