package engine

import (
	"hash/fnv"
	"strconv"

	"liftgauge/balance"
)

// names maps the inventory's ids to the module's.
type workerNames map[balance.WorkerID]string

// id derives the number of a host from its name alone, so that every dispatcher, and one that starts anew, has the
// same: the module's fixed order of hosts rests on it. Names that end in eight hex digits have their number there;
// others are hashed. Where two names meet in one number, the later one moves on to the next free hash.
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
