// The schema of a fleet file: what there is, what is asked of it, and what is to be reached.

#Duration: =~"^([0-9]+(\\.[0-9]+)?(us|ms|s|m|h))+$"
#Share:    number & >=0 & <=1

#Fleet: {
	// By name: its boxes by kind, its dispatchers, and the part of the load that its clients send.
	stations: [string]: {
		boxes: [string]: int & >=0
		dispatchers: int & >=0 | *1
		load:        number & >=0 | *1 // in proportion to the others'
	}
	network: {
		local:    #Duration | *"300us" // one way inside a station
		crossing: #Duration | *"15ms"  // one way between two, where ways has nothing else
		jitter:   number & >=0 & <=2 | *0.2
		ways: [...{from: string, to: string, oneWay: #Duration}]
	}
	kinds: [string]: {
		cores:    int & >=1
		slots:    int & >=1 | *cores // jobs that run side by side
		queue:    int & >=0 | *4
		speed?:   number & >0        // work done in a second by a core; without it, fitted from captured load
		spread:   number & >=0 & <1 | *0
		connections: int & >=0 | *0  // that a box takes; 0: any number
		crowding: number & >=0 | *0  // what twice as many jobs as cores cost, as a share of the speed
	}
	classes: [string]: {
		aim:        #Duration
		stretch:    number & >=0 | *0 // the aim grows by so many times the work
		worth:      number & >0 | *1
		lateWorth:  #Share | *0
		patience:   #Duration | *"5s"
		effect:     "unsafe" | "keyed" | "safe"
		window:     #Duration | *"7.5s"
		mix:        number & >=0 // its part of the load, in proportion to the others'
		work:       {mean: #Duration, shape: "fixed" | "exponential" | *"lognormal" | "pareto", spread: number & >0 | *1}
		hintSpread: number | *0.3 // less than 0: no hints
	}
	load: {
		rate:   number & >=0 // jobs a second in all, at load factor 1
		length: #Duration | *"60s"
		busiest: number & >=1 | *1 // load factor of the busiest day, on which a deploy is tried
		bursts: [...{at: #Duration, for: #Duration, factor: number & >0}]
	}
	rules: {
		drainGrace:     #Duration | *"500ms"
		startCapacity:  #Share | *0.3
		warmWithin:     #Duration | *"8s"
		overloadFactor: number & >0 | *2.5
		fallTime:       #Duration | *"2s"
		restartAfter:   #Duration | *"5s"
		attempts:       int & >=1 | *4
	}
	// Clients' further tries: how many, after what pause, whether they stay away as long as they are told, and how long they
	// wait for one try, if not as long as for all.
	retry: {most: int & >=0 | *2, pause: #Duration | *"100ms", advice: bool | *true, each?: #Duration}
	discovery: {lag: #Duration | *"1s", call: #Duration | *"20ms"}
	dispatcher: {
		cpuPerJob: #Duration | *"100us" // measured by liftlab overhead
		cores:     number & >0 | *1
		sockets:   int & >=32 | *1024
		queue:     int & >=1 | *4096 // events that may wait for it
		memoryMB:  int & >=16 | *192
		body:      int & >=0 | *1024 // bytes of a job and its result
	}
	goals: {
		service:  #Share | *0.95 // worth answered in time over worth asked for
		worst10s: #Share | *0.8  // the same of the worst 10 s
		inTime: [string]: #Share // by class: jobs answered in time
	}
}
