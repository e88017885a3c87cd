// A run of several real dispatchers on loopback with faults in their links and with processes that are paused, killed and restarted.

#Duration: =~"^([0-9]+(\\.[0-9]+)?(ms|s|m|h))+$"

// Selects members: all, one by number, a share (chosen by the seed once per run: the same word always selects the same members), the smaller half by
// number, or the rest.
#Who: "all" | "one" | "tenth" | "third" | "most" | "half" | "rest" | =~"^[0-9]+$"

#Scenario: {
	means:     string & !=""
	processes: int & >=2 & <=60 | *5
	settle:    #Duration | *"60s" // after the last step, until all live members must agree

	steps: [...{
		at:  #Duration
		do:  "pause" | "resume" | "kill" | "start" | "stop" | "link" | "heal" | "hosts" | "discovery" | "drain" | "return"
		who: #Who | *"all"

		// For link and heal: the links from who to these members ("rest": all others), in that direction only.
		to:        #Who | *"all"
		loss:      number & >=0 & <=1 | *0 // 1 cuts the link
		delay:     #Duration | *"0ms"
		spread:    #Duration | *"0ms"
		duplicate: number & >=0 & <=1 | *0

		// For hosts and discovery: the mode of the links from who to its hosts or to discovery. With slow, delay applies to each piece of data.
		mode:  "open" | "slow" | "reset" | "silent" | "refused" | "no-back" | *"open"
		hosts: int & >=1 | *1 // number of hosts, from the first on; for drain and return: those that discovery lists as draining, or again as processes that have just started
	}]

	// Members that may be removed from the view: those affected by a step that cannot be distinguished from dead ones.
	mayLose: #Who | *"none" | "none"
}
