// The schema of deploy/liftgauge.cue. What is not set has the default that stands here with a *, or none.

// A length of time, such as "250ms", "5s" or "1h30m".
#Duration: =~"^([0-9]+(\\.[0-9]+)?(ms|s|m|h))+$"

// A pattern of client ids: * is any text, ? any one character.
#Pattern: string & !=""

// host:port
#Address: =~"^.+:[0-9]+$"

#Pools: [string, ...string]

#Settings: {
	// Descriptors that the program may use where its configuration offers more than 1,024.
	sockets?: int & >=32 & <=65536

	gearman?: #Gearman
	capture?: #Capture

	membership?: #Membership
}

// An IPv4 address and a port that others can reach.
#UDPAddress: =~"^((25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(\\.|:)){4}(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})$" & =~"^[0-9.]+:[0-9]+$"

// Talk between the dispatchers of one fleet: who of them lives. The net must be trusted.
#Membership: {
	// An IPv4 address of this process's own, for UDP. Others see what it sends come from it.
	listen:  #UDPAddress
	// Where others reach it and see it come from, if something between translates addresses.
	advertise?: #UDPAddress
	cluster:    string & !="" | *"liftgauge"

	// Where members are found; in the same order everywhere. The first that lives begins a fleet that has none.
	seeds: [#UDPAddress, ...#UDPAddress]

	roundTrip: #Duration | *"10ms" // the longest usual way there and back; times grow with it from 50ms on
	silent?:   #Duration            // until a member that says nothing is charged; 6s: longer than any pause that is to be borne
	refusals:  bool | *true         // "port unreachable" proves a death; false where a firewall says it for others
	bytes:     int & >=2000 & <=1000000 | *3400 // a second at most, with heads of IP and UDP
}

// A record of each message, without bodies and without ids of people.
#Capture: {
	folder: string & !="" // must be there

	file:     int & >=65536 | *67108864 // bytes of a file, after which the next one is begun
	files:    int & >=1 | *8            // of this dispatcher's that are kept
	queue:    int & >=1 | *2048         // records that may wait for the disk; more are dropped and counted
	interval: #Duration | *"1s"         // until what was seen is written

	// With this text the keys of messages are hashed. Dispatchers whose files are to be put together need the same.
	secret: string | *""
}

#Gearman: {
	// Where Gearman clients connect, and workers too unless they have an address of their own.
	listen:   #Address
	workers?: #Address

	// By function's name. Without any there is one for each class, of the same name.
	functions: [=~"^[^ \\t\\r\\n\\x00]+$"]: #Function

	// By class: which pools serve the jobs that come over HTTP, and by which function workers know them.
	classes: [string]: {
		pools:     #Pools | *["hosts"]
		function?: string & !=""
	}

	// Pools of workers, by the client ids that workers give. The first that fits has the worker. The inventory's hosts are
	// the pool "hosts"; workers that fit none are the pool "workers".
	pools: [...{
		name:    string & !="" & !="hosts"
		clients: #Pattern
	}]

	// Which workers drop each other's repeats of a keyed job. A worker that fits none is a cell of its own.
	cells: [...{
		name:    string & !=""
		clients: #Pattern
	}]

	limits: {
		packet:             int & >=1024 & <=16777216 | *262144 // bytes of one packet's arguments and data
		function:           int & >=1 & <=1024 | *128           // bytes of a function's name
		unique:             int & >=1 & <=1024 | *128           // bytes of a unique id
		client:             int & >=1 & <=1024 | *128           // bytes of a client id
		jobsPerConnection:  int & >=1 | *1024                   // open jobs that one connection waits for
		functionsPerWorker: int & >=1 | *64
		openJobs:           int & >=1 | *10000     // in all, background jobs with them
		buffer:             int & >=4096 | *524288 // bytes that wait for one connection to read
		connections?:       int & >=2              // in all; without it half of the clients' share
	}

	timeouts: {
		grab:      #Duration | *"1s"  // from NOOP to GRAB_JOB
		packet:    #Duration | *"5s"  // from a packet's first byte to its last
		write:     #Duration | *"5s"  // of a connection that reads nothing
		ended:     #Duration | *"10m" // how long the end of a background job can be asked for
		keepEnded: int & >=0 | *1000  // and of how many
	}

	// Whether the admin command shutdown ends the program.
	shutdown: bool | *false
}

#Function: {
	// The class whose rules hold for its jobs. Without it the class of the function's name.
	class?: string & !=""

	patience:   #Duration | *"5s" // of a client that waits; the class's own limit if that is shorter
	background: #Duration | *"1h" // how long a background job may take until it has failed
	window?:    #Duration         // in which a cell drops repeats, if not the class's own

	pools: #Pools | *["workers", "hosts"]

	// "packet" goes by the kind of SUBMIT_JOB; the others hold whatever the packet says.
	priority: *"packet" | "high" | "normal" | "low"

	// How much work a job is thought to be: the sum of those that are set. Without any it is not known.
	cost?:       #Duration       // each
	costPerKiB?: #Duration       // for each KiB of data
	costField?:  string & !=""   // a number of microseconds in the data, which is a JSON object then
	maxQueue:    int & >=0 | *0  // jobs that may wait; 0 for no bound of its own
}
