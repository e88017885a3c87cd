// The schema of a site file: a deployment, described by the ranges from which days are drawn. Times are in seconds unless
// the name says otherwise; a range is given by its two ends, a fixed value as [x, x].

#Range: [number, number]
#Share: number & >=0 & <=1

#Trouble: {
	// burst: size times as many jobs for len; heavy: a share (part) of the last class's jobs takes size times as long; dispatchers: a
	// share of them crashes for len; slow: all boxes are size times slower for len; crash: a share of the boxes crashes and restarts
	// cold after len; hang: a share accepts jobs but answers none for len; pauses: a share stalls for size at intervals of every, for len.
	effect: "burst" | "heavy" | "dispatchers" | "slow" | "crash" | "hang" | "pauses"
	len:    #Range | *[0, 0]
	part:   #Range | *[0, 0]
	size:   #Range | *[0, 0]
	every:  #Range | *[0, 0]
}

#Site: {
	zones:          int & >=1 & <=64
	boxes:          #Range // on the site's own days; fleet days take the numbers from flags
	dispatchers:    #Range
	bigBoxes:       #Range
	bigDispatchers: #Range
	length:         #Range | *[45, 60]
	// Offered work over the capacity of all boxes, by day; fleet is for the days with many dispatchers.
	load: {quiet: #Range, trouble: #Range, overload: #Range, big: #Range, fleet: #Range}
	zoneSkew:  #Range // of traffic, over the zones
	boxSkew:   #Range
	streamCV:  #Range // standard deviation over the mean of the dispatchers' traffic
	network: {local: #Range, crossing: #Range, jitter: #Range, handshake: [int, int], connect: number | *0.25}
	discovery: {
		pushed: bool | *false
		lag:    #Range // from a change until it is reported
		silent: #Range | *[0, 0] // the same for unresponsive boxes; 0: as lag
		calls:  #Range | *[0, 0] // that discovery handles per second, if lists are requested
		askWithin: number | *10
	}
	cell:   [int, int] // boxes in a cell
	retry:  {most: [int, int], pause: #Range, advice: bool | *false, marks: bool | *false, adviceMost: number | *0}
	leaves: #Range | *[0, 0] // share of the clients that disconnect early
	kinds: [...{
		name:        string
		share:       #Range | *[1, 1] // of the boxes; the last kind gets the remainder
		cores:       int & >=1
		slots:       int & >=1 | *cores
		queue:       #Range // per core
		speed:       #Range
		spread:      #Range
		connections: int & >=0 | *0 // 0: any number
		coldFrom:    #Range
		coldFor:     #Range
		stallEvery:  #Range | *[0, 0]
		stallFor:    #Range | *[0, 0]
		errors:      #Range | *[0, 0] // share of its jobs that fail
	}]
	runsOn: bool | *false // on a random half of the days, jobs that have started run on when they are cancelled
	classes: [...{
		name:       string
		share:      #Range | *[1, 1] // of the jobs; the last class gets the remainder
		work:       #Range           // mean
		shape:      "lognormal" | "pareto"
		spread:     #Range // standard deviation over the mean; for pareto the exponent of the tail
		hintSpread: number | *0.3 // error of the hints, as the standard deviation of the logarithm; negative: no hints
		attempts:   #Range | *[0, 0] // the same for the running time of each attempt
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
	progress:   number | *0 // interval of progress reports; 0: none
	// The load report that a box adds to the outcome of an attempt; no fields: no report.
	report: {fields: [...("free slots" | "queue" | "latency_ms" | "eps" | "util")] | *[], every: #Range | *[1, 1], delay: #Range | *[0, 0], noise: #Range | *[0, 0]}
	tenants: [...{name: string, share: #Share, usage: #Range}] | *[]
	quota:   #Range | *[1, 1] // sum of all tenants' quotas over the capacity of all boxes
	rules: {drainGrace: number, startCapacity: #Share, warmWithin: number, overloadFactor: number, fallTime: number, restartAfter: number | *5, attempts: int & >=1 | *4}
	tick:     number | *0.002
	troubles: [...#Trouble]
	// The score of a day: weights of the whole day, its worst 10 s, the worst class and the worst tenant; costs if every job crosses once,
	// as much work is wasted as offered, every job is late, and for one probe or one connection per job.
	goal: {whole: number, window: number, class: number | *0, tenant: number | *0, cross: number | *0, waste: number | *0, late: number | *0,
		probe: number | *0, connection: number | *0, overShare: #Share | *1}
}
