package control

import "net"

// peerDirectory maps the members of the group to internal addresses, and these to the addresses where the processes serve the operator.
type peerDirectory struct {
	addressOf    map[string]string // by member
	memberOf     map[string]string // by address
	selfReported map[string]bool   // by address: the process there reported the member itself
	controlPlane map[string]string // by address
}

func newPeerDirectory() peerDirectory {
	return peerDirectory{
		addressOf:    make(map[string]string),
		memberOf:     make(map[string]string),
		selfReported: make(map[string]bool),
		controlPlane: make(map[string]string),
	}
}

// memberAt returns the member at an address, or "".
func (b *peerDirectory) memberAt(address string) string { return b.memberOf[address] }

// learn records that a member is at an address. A report of the process itself (direct) takes precedence over the addresses in views. It returns
// the member that was at the address before, and whether anything changed.
func (b *peerDirectory) learn(member, address string, direct bool) (before string, changed bool) {
	if member == "" || address == "" {
		return "", false
	}
	if b.memberOf[address] == member && b.addressOf[member] == address {
		b.selfReported[address] = b.selfReported[address] || direct
		return "", false
	}
	if !direct && b.selfReported[address] {
		return "", false
	}
	before = b.memberOf[address]
	if old := b.addressOf[member]; old != "" && old != address && b.memberOf[old] == member {
		delete(b.memberOf, old)
		delete(b.selfReported, old)
	}
	if before != "" && before != member {
		delete(b.addressOf, before)
	} else {
		before = ""
	}
	b.memberOf[address], b.addressOf[member], b.selfReported[address] = member, address, direct
	return before, true
}

// withPortOf returns the host of one address with the port of another.
func withPortOf(address, other string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(other)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}
