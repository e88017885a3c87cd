package member

// Kind is what a message is.
type Kind uint8

// The kinds.
const (
	Heartbeat     Kind = iota + 1 // I am here; with what is new
	Ping                          // are you?
	Pong                          // I am; with what is new
	Hello                         // may I join?
	Welcome                       // here is a token: say it back
	Join                          // with the token
	JoinNotice                    // you are in, as of this view
	ChunkRequest                  // one chunk of it, please
	ChunkResponse                 // a chunk of a view
	Redirect                      // the answer to a hello by one that is out too
)

// Message is all that members say to each other. What a kind has no use for is left empty.
type Message struct {
	Kind    Kind   `cbor:"1,keyasint"`
	From    ID     `cbor:"2,keyasint"`
	Lineage uint64 `cbor:"3,keyasint,omitempty"`
	View    uint64 `cbor:"4,keyasint,omitempty"` // number of the sender's
	Hash    uint64 `cbor:"5,keyasint,omitempty"` // of that view
	Size    int    `cbor:"6,keyasint,omitempty"` // members in it

	Digest       uint32     `cbor:"7,keyasint,omitempty"` // of all charges known
	Reports      []Report   `cbor:"8,keyasint,omitempty"`
	Dead         Bits       `cbor:"16,keyasint,omitempty"` // whose death is proven, as far as the sender has heard
	Rejoining    Bits       `cbor:"17,keyasint,omitempty"` // who asks to join with a higher incarnation
	Round        *Round     `cbor:"9,keyasint,omitempty"`
	PendingJoins []Peer     `cbor:"10,keyasint,omitempty"`
	Decisions    []Decision `cbor:"11,keyasint,omitempty"` // changes that led to views the receiver has not heard of

	Peer     *Peer  `cbor:"12,keyasint,omitempty"` // who wants to join
	Token    uint64 `cbor:"13,keyasint,omitempty"`
	Chunk    *Chunk `cbor:"14,keyasint,omitempty"`
	SeedRank int    `cbor:"15,keyasint,omitempty"` // place among the seeds, from 1; 0: none
}

// Charge is what watchers say of one member.
type Report struct {
	_          struct{} `cbor:",toarray"`
	Subject    int      // position in the view
	Generation uint32   // generation of the subject's that it is about
	TimedOut   uint16   // bits of watchers
	Refused    uint16
	Left       bool // by its own word
}

// Step is a change that was decided.
type Decision struct {
	From   uint64     `cbor:"1,keyasint"` // number of the view before
	Change ViewChange `cbor:"2,keyasint"`
}

// Round is how the vote on the next view stands, as far as the sender has heard.
type Round struct {
	Ballot         uint32      `cbor:"1,keyasint"`
	Failed         Bits        `cbor:"2,keyasint,omitempty"` // who is left out of the quorum, for all of this ballot
	Promises       Bits        `cbor:"3,keyasint,omitempty"`
	AcceptedBallot uint32      `cbor:"4,keyasint,omitempty"` // the highest ballot that one who promised had voted in,
	AcceptedValue  *ViewChange `cbor:"5,keyasint,omitempty"` // and for what
	Value          *ViewChange `cbor:"6,keyasint,omitempty"` // what the vote is on
	Votes          Bits        `cbor:"7,keyasint,omitempty"`
	HasValue       bool        `cbor:"8,keyasint,omitempty"` // the sender knows the value, whether it says it here or not
}

// Chunk is a part of a view's list.
type Chunk struct {
	Index       int    `cbor:"1,keyasint"`
	Count       int    `cbor:"2,keyasint"`
	LargestSize int    `cbor:"4,keyasint,omitempty"` // as the view says
	Members     []Peer `cbor:"3,keyasint,omitempty"`
}

// MaxBytes is the most that a message takes on the wire.
const MaxBytes = 1200

// overhead is what a datagram costs beside its bytes: the heads of IP and UDP.
const datagramOverhead = 28

// Bytes is at least what a message takes in its encoding, near enough to plan by.
func (m *Message) EncodedSize() int {
	n := 52 + len(m.From.Name)
	n += 14 * len(m.Reports)
	if len(m.Dead)+len(m.Rejoining) > 0 {
		n += 8 + len(m.Dead) + len(m.Rejoining)
	}
	for _, p := range m.PendingJoins {
		n += p.bytes()
	}
	if m.Peer != nil {
		n += m.Peer.bytes()
	}
	if m.Round != nil {
		n += m.Round.bytes()
	}
	for i := range m.Decisions {
		n += 12 + m.Decisions[i].Change.bytes()
	}
	if m.Chunk != nil {
		n += 10
		for _, p := range m.Chunk.Members {
			n += p.bytes()
		}
	}
	if m.Token != 0 {
		n += 10
	}
	if m.SeedRank != 0 {
		n += 3
	}
	return n
}

func (p Peer) bytes() int { return 22 + len(p.ID.Name) + len(p.Address) }

func (v *ViewChange) bytes() int {
	n := 10 + len(v.Removed)
	for _, p := range v.Joined {
		n += p.bytes()
	}
	return n
}

func (r *Round) bytes() int {
	n := 30 + len(r.Failed) + len(r.Promises) + len(r.Votes)
	for _, v := range []*ViewChange{r.AcceptedValue, r.Value} {
		if v != nil {
			n += v.bytes()
		}
	}
	return n
}
