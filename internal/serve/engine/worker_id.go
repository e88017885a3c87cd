package engine

import (
	"hash/fnv"
	"strconv"

	"liftgauge/balance"
)

// workerNames holds the host name that each worker id is assigned to.
type workerNames map[balance.WorkerID]string

// id derives a host's id from its name alone, so that every dispatcher has the same one, also after a restart: the
// scheduler's fixed order of hosts depends on it. Names that end in eight hex digits have that number; others are hashed. On a
// collision the later name takes the next free salted hash.
func (n workerNames) id(name string) balance.WorkerID {
	var id balance.WorkerID
	if v, err := strconv.ParseUint(name[max(0, len(name)-8):], 16, 32); err == nil && len(name) >= 8 {
		id = balance.WorkerID(v)
	} else {
		id = hashName(name)
	}
	for salt := 1; ; salt++ {
		if held, taken := n[id]; !taken || held == name {
			n[id] = name
			return id
		}
		id = hashName(name + "#" + strconv.Itoa(salt))
	}
}

func hashName(s string) balance.WorkerID {
	h := fnv.New32a()
	h.Write([]byte(s))
	return balance.WorkerID(h.Sum32())
}
