package stores

import "time"

// confirmEvery is how long a delivery is here before its store hears so again, and between two such words. A store gives out again what
// it has heard nothing of for a route's time-out and five seconds: a run whose outcome is late to be recorded must not be taken for lost.
const confirmInterval = 2 * time.Second

// confirm has stores told again of the deliveries that are here for long. It returns the number of links that are to greet.
func (l *Links) confirmHeld(now time.Time) int {
	wanted := map[string]bool{} // addresses, and keys of stores
	known := l.options.Directory.Current()
	l.held.eachUnconfirmed(now.Add(-confirmInterval), func(store string, partition uint32) {
		wanted[store] = true
		if p, ok := known.Partition(partition); ok {
			wanted[p.Address] = true
		}
	})
	if len(wanted) == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	requested := 0
	for address, link := range l.links {
		if wanted[address] || wanted[link.store.Key] {
			link.requestHello()
			requested++
		}
	}
	return requested
}
