means: "30% of all datagrams are lost, others come late, twice and out of order: nobody is removed"
steps: [
	{at: "1s", do: "link", loss: 0.3, delay: "2ms", spread: "40ms", duplicate: 0.05},
	{at: "21s", do: "heal"},
]
