package stores

import "time"

// confirmInterval is how long a delivery is held before it is confirmed to its store, and the time between two confirmations. A store delivers
// a message again if it has received no confirmation for the route's time-out plus five seconds: an attempt whose outcome is recorded late
// must not be taken for lost.
const confirmInterval = 2 * time.Second

// confirmHeld requests a new Hello on the links to stores with deliveries that are due for confirmation. It returns the number of those links.
func (l *Links) confirmHeld(now time.Time) int {
	wanted := map[string]bool{} // addresses, and keys of stores
	snapshot := l.options.Directory.Current()
	l.held.eachUnconfirmed(now.Add(-confirmInterval), func(store string, partition uint32) {
		wanted[store] = true
		if p, ok := snapshot.Partition(partition); ok {
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
