// The schema of a site file: what a deployment is like, as the ranges from which days are drawn. Times are in seconds unless
// the name says otherwise; a range is its two ends, [x, x] a fixed value.

#Range: [number, number]
#Share: number & >=0 & <=1

#Trouble: {
	// burst: size times as many jobs for len; heavy: a share (part) of the unsafe jobs takes size times as long; dispatchers: a share of
	// them dies for len; slow: all boxes are size times slower for len; crash: a share of the boxes dies and is back, cold, after len;
	// hang: a share takes jobs and answers none for len; pauses: a share stands still for size every so often, for len.
	effect: "burst" | "heavy" | "dispatchers" | "slow" | "crash" | "hang" | "pauses"
	len:    #Range | *[0, 0]
	part:   #Range | *[0, 0]
	size:   #Range | *[0, 0]
	every:  #Range | *[0, 0]
}

#Site: {
	zones:          int & >=1 & <=64
	boxes:          #Range // on its own days; a fleet's days have theirs by flag
	dispatchers:    #Range
	bigBoxes:       #Range
	bigDispatchers: #Range
	length:         #Range | *[45, 60]
	// Work asked for over what all boxes can do, by day; fleet is for the days of many dispatchers.
	load: {quiet: #Range, trouble: #Range, overload: #Range, big: #Range, fleet: #Range}
	zoneSkew:  #Range // of traffic, over the zones
	boxSkew:   #Range
	streamCV:  #Range // standard deviation over the mean of the dispatchers' traffic
	network: {local: #Range, crossing: #Range, jitter: #Range, handshake: [int, int], connect: number | *0.25}
	discovery: {
		pushed: bool | *false
		lag:    #Range           // from a change until it is told
		silent: #Range | *[0, 0] // the same of boxes that say nothing; 0: as any
		calls:  #Range | *[0, 0] // that discovery deals with in a second, where lists are asked for
		askWithin: number | *10
	}
	cell:   [int, int] // boxes in one
	retry:  {most: [int, int], pause: #Range, advice: bool | *false, marks: bool | *false, adviceMost: number | *0}
	leaves: #Range | *[0, 0] // share of the clients that leave early
	kinds: [...{
		name:        string
		share:       #Range | *[1, 1] // of the boxes; that of the last kind is what is left
		cores:       int & >=1
		slots:       int & >=1 | *cores
		queue:       #Range // a core
		speed:       #Range
		spread:      #Range
		connections: int & >=0 | *0 // 0: any number
		coldFrom:    #Range
		coldFor:     #Range
		stallEvery:  #Range | *[0, 0]
		stallFor:    #Range | *[0, 0]
		errors:      #Range | *[0, 0] // share of its jobs
	}]
	runsOn: bool | *false // work that was begun goes on when it is withdrawn, on every second day
	classes: [...{
		name:       string
		share:      #Range | *[1, 1] // of the jobs; that of the last class is what is left
		work:       #Range           // mean
		shape:      "lognormal" | "pareto"
		spread:     #Range // standard deviation over the mean, or the tail's exponent
		hintSpread: number | *0.3 // standard deviation of the logarithm of how far hints are off; less than 0: no hints
		attempts:   #Range | *[0, 0] // the same of each attempt's running time
		slots:      [...#Share] | *[1] // shares of jobs that take 1, 2, 4, 8
		aim:        number
		stretch:    number | *0
		worth:      number & >0
		lateWorth:  #Share | *0
		patience:   number & >0
		effect:     "unsafe" | "keyed" | "safe"
		group:      "cell" | "zone" | *"all"
		window:     number | *0
	}]
	tellsStart: bool | *true
	progress:   number | *0 // 0: not told
	// What a box reports of its load with what ends an attempt; no fields: nothing.
	report: {fields: [...("free slots" | "queue" | "latency_ms" | "eps" | "util")] | *[], every: #Range | *[1, 1], delay: #Range | *[0, 0], noise: #Range | *[0, 0]}
	tenants: [...{name: string, share: #Share, usage: #Range}] | *[]
	quota:   #Range | *[1, 1] // all tenants' shares over what all boxes can do
	rules: {drainGrace: number, startCapacity: #Share, warmWithin: number, overloadFactor: number, fallTime: number, restartAfter: number | *5, attempts: int & >=1 | *4}
	tick:     number | *0.002
	troubles: [...#Trouble]
	// What a day's figure is made of: weights of the whole day, its worst 10 s, the worst class and the worst tenant; what is taken off for all
	// jobs crossing once, as much work wasted as asked for, all ending late, and a probe or a connection a job.
	goal: {whole: number, window: number, class: number | *0, tenant: number | *0, cross: number | *0, waste: number | *0, late: number | *0,
		probe: number | *0, connection: number | *0, overShare: #Share | *1}
}
