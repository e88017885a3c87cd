// A run of several real dispatchers on loopback whose links are broken and whose processes are paused, killed and started again.

#Duration: =~"^([0-9]+(\\.[0-9]+)?(ms|s|m|h))+$"

// Which members: all, a number, one of the shares (drawn by the seed, once for a run: the same word is the same members), or half of them by number.
#Who: "all" | "one" | "tenth" | "third" | "most" | "half" | "rest" | =~"^[0-9]+$"

#Scenario: {
	means:     string & !=""
	processes: int & >=2 & <=60 | *5
	settle:    #Duration | *"60s" // after the last step, until all that live must agree

	steps: [...{
		at:  #Duration
		do:  "pause" | "resume" | "kill" | "start" | "stop" | "link" | "heal" | "hosts" | "discovery" | "drain" | "return"
		who: #Who | *"all"

		// Of links: from who to these ("rest" are all others), in one direction.
		to:        #Who | *"all"
		loss:      number & >=0 & <=1 | *0 // 1 cuts
		delay:     #Duration | *"0ms"
		spread:    #Duration | *"0ms"
		duplicate: number & >=0 & <=1 | *0

		// Of hosts and discovery, as they are reached from who: what their links do, and of how many hosts from the first on. With slow, delay is for each piece.
		mode:  "open" | "slow" | "reset" | "silent" | "refused" | "no-back" | *"open"
		hosts: int & >=1 | *1 // as well those that discovery lists as draining (drain), or again as processes that have just started (return)
	}]

	// Members that may be removed: those that a step is about and that cannot be told from dead.
	mayLose: #Who | *"none" | "none"
}
