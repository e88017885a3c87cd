// The schema of a fleet file: the deployment, its load, and its goals.

#Duration: =~"^([0-9]+(\\.[0-9]+)?(us|ms|s|m|h))+$"
#Share:    number & >=0 & <=1

#Fleet: {
	// By name: boxes by kind, number of dispatchers, and the share of the load that the station's clients send.
	stations: [string]: {
		boxes: [string]: int & >=0
		dispatchers: int & >=0 | *1
		load:        number & >=0 | *1 // relative to the other stations
	}
	network: {
		local:    #Duration | *"300us" // one-way delay inside a station
		crossing: #Duration | *"15ms"  // one-way delay between two stations, unless ways has another
		jitter:   number & >=0 & <=2 | *0.2
		ways: [...{from: string, to: string, oneWay: #Duration}]
	}
	kinds: [string]: {
		cores:    int & >=1
		slots:    int & >=1 | *cores // jobs that run in parallel
		queue:    int & >=0 | *4
		speed?:   number & >0        // work that a core does in a second; if missing, it is fitted from captured load
		spread:   number & >=0 & <1 | *0
		connections: int & >=0 | *0  // connections that a box accepts; 0: unlimited
		crowding: number & >=0 | *0  // overhead with twice as many jobs as cores: their speed is divided by 1 + crowding
	}
	classes: [string]: {
		aim:        #Duration
		stretch:    number & >=0 | *0 // the aim grows by this factor times the work
		worth:      number & >0 | *1
		lateWorth:  #Share | *0
		patience:   #Duration | *"5s"
		effect:     "unsafe" | "keyed" | "safe"
		window:     #Duration | *"7.5s"
		mix:        number & >=0 // share of the load, relative to the other classes
		work:       {mean: #Duration, shape: "fixed" | "exponential" | *"lognormal" | "pareto", spread: number & >0 | *1}
		hintSpread: number | *0.3 // error of the hints, as the standard deviation of the logarithm; negative: no hints
	}
	load: {
		rate:   number & >=0 // jobs per second of all classes, at load factor 1
		length: #Duration | *"60s"
		busiest: number & >=1 | *1 // load factor of the busiest day, at which the rolling deploy is simulated
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
	// Clients' retries: how many, the pause before the first, whether clients wait as long as a refusal says, and the timeout of one
	// try, if it is shorter than that of the job.
	retry: {most: int & >=0 | *2, pause: #Duration | *"100ms", advice: bool | *true, each?: #Duration}
	discovery: {lag: #Duration | *"1s", call: #Duration | *"20ms"}
	dispatcher: {
		cpuPerJob: #Duration | *"100us" // CPU time for one job, as "liftlab overhead" reports it
		cores:     number & >0 | *1
		sockets:   int & >=32 | *1024
		queue:     int & >=1 | *4096 // capacity of its event queue
		memoryMB:  int & >=16 | *192
		body:      int & >=0 | *1024 // bytes of a job and its result together
	}
	goals: {
		service:  #Share | *0.95 // value earned over value offered
		worst10s: #Share | *0.8  // the same for the worst 10 s
		inTime: [string]: #Share // by class: share of the jobs that are answered in time
	}
}
