// The schema of deploy/liftgauge.cue. A field that is not set has the default marked with * here, if any.

// A duration, such as "250ms", "5s" or "1h30m".
#Duration: =~"^([0-9]+(\\.[0-9]+)?(ms|s|m|h))+$"

// A pattern of client ids: * matches any text, ? any one character.
#Pattern: string & !=""

// host:port
#Address: =~"^.+:[0-9]+$"

#Pools: [string, ...string]

#Settings: {
	// Number of descriptors that the program may use, if its configuration offers more than 1,024.
	sockets?: int & >=32 & <=65536

	gearman?: #Gearman
	capture?: #Capture

	membership?: #Membership
}

// An IPv4 address and port that others can reach.
#UDPAddress: =~"^((25[0-5]|2[0-4][0-9]|1?[0-9]?[0-9])(\\.|:)){4}(6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}|[1-5][0-9]{4}|[1-9][0-9]{0,3})$" & =~"^[0-9.]+:[0-9]+$"

// Failure detection between the dispatchers of one fleet, over UDP. The network must be trusted.
#Membership: {
	// The local IPv4 address for UDP. What this process sends reaches others from this address.
	listen:  #UDPAddress
	// The address that others reach it at and see as its source, if there is address translation in between.
	advertise?: #UDPAddress
	cluster:    string & !="" | *"liftgauge"

	// Addresses of members to join through, in the same order everywhere. The first live one forms a fleet if there is none.
	seeds: [#UDPAddress, ...#UDPAddress]

	roundTrip: #Duration | *"10ms" // the longest usual round-trip time; time-outs grow with it from 50ms on
	silent?:   #Duration            // until an unresponsive member is suspected; 6s: longer than any pause to be tolerated
	refusals:  bool | *true         // "port unreachable" proves that a member has ended; false where a firewall sends it on behalf of others
	bytes:     int & >=2000 & <=1000000 | *3400 // maximum per second, including IP and UDP headers
}

// Records one entry for each message, without bodies and without ids of people.
#Capture: {
	folder: string & !="" // must exist

	file:     int & >=65536 | *67108864 // bytes of a file, after which the next one is started
	files:    int & >=1 | *8            // number of files of this dispatcher that are kept
	queue:    int & >=1 | *2048         // records that may wait to be written; more are dropped and counted
	interval: #Duration | *"1s"         // maximum time until a record is written

	// The keys of messages are hashed with this text. Dispatchers whose files are to be merged need the same one.
	secret: string | *""
}

#Gearman: {
	// The address for Gearman clients, and for workers unless they have a separate one.
	listen:   #Address
	workers?: #Address

	// By function name. If there are none, there is one for each class, of the same name.
	functions: [=~"^[^ \\t\\r\\n\\x00]+$"]: #Function

	// By class: which pools serve its HTTP jobs, and the function under which workers run them.
	classes: [string]: {
		pools:     #Pools | *["hosts"]
		function?: string & !=""
	}

	// Pools of workers, by client id of the worker. The first match applies. The hosts of the inventory form the pool
	// "hosts"; workers that match none form the pool "workers".
	pools: [...{
		name:    string & !="" & !="hosts"
		clients: #Pattern
	}]

	// Groups of workers that deduplicate keyed jobs among each other. A worker that matches none is a cell of its own.
	cells: [...{
		name:    string & !=""
		clients: #Pattern
	}]

	limits: {
		packet:             int & >=1024 & <=16777216 | *262144 // bytes of the arguments and data of one packet
		function:           int & >=1 & <=1024 | *128           // bytes of a function name
		unique:             int & >=1 & <=1024 | *128           // bytes of a unique id
		client:             int & >=1 & <=1024 | *128           // bytes of a client id
		jobsPerConnection:  int & >=1 | *1024                   // open jobs that one connection waits for
		functionsPerWorker: int & >=1 | *64
		openJobs:           int & >=1 | *10000     // in total, including background jobs
		buffer:             int & >=4096 | *524288 // bytes of output buffered for one connection
		connections?:       int & >=2              // in total; if not set, half of those otherwise available to HTTP clients
	}

	timeouts: {
		grab:      #Duration | *"1s"  // from NOOP to GRAB_JOB
		packet:    #Duration | *"5s"  // from a packet's first byte to its last
		write:     #Duration | *"5s"  // for a connection that reads nothing
		ended:     #Duration | *"10m" // how long the status of an ended background job is kept
		keepEnded: int & >=0 | *1000  // for at most so many jobs
	}

	// Whether the admin command "shutdown" stops the program.
	shutdown: bool | *false
}

#Function: {
	// The class whose rules apply to its jobs. By default the class with the name of the function.
	class?: string & !=""

	patience:   #Duration | *"5s" // time-out of a client that waits; the limit of the class if that is shorter
	background: #Duration | *"1h" // time-out of a background job
	window?:    #Duration         // in which a cell deduplicates, if not that of the class

	pools: #Pools | *["workers", "hosts"]

	// "packet" follows the type of SUBMIT_JOB; the others apply whatever the packet type.
	priority: *"packet" | "high" | "normal" | "low"

	// The expected work of a job: the sum of those that are set. If none is set, it is unknown.
	cost?:       #Duration       // per job
	costPerKiB?: #Duration       // per KiB of data
	costField?:  string & !=""   // name of a field with a number of microseconds, in data that is a JSON object
	maxQueue:    int & >=0 | *0  // maximum number of waiting jobs; 0 for no limit of its own
}
