package member

// Kind is the type of a message.
type Kind uint8

const (
	Heartbeat     Kind = iota + 1 // sign of life, with updates
	Ping                          // requests a sign of life
	Pong                          // answers a ping, with updates
	Hello                         // requests admission
	Welcome                       // answers a hello, with the token that a join must echo
	Join                          // requests admission, with the token
	JoinNotice                    // announces the view that the receiver has been admitted to
	ChunkRequest                  // requests a chunk of a view
	ChunkResponse                 // holds a chunk of a view
	Redirect                      // answers a hello with the addresses of members that may admit the sender
)

// Message is a message between members. Fields that a kind does not use are empty.
type Message struct {
	Kind    Kind   `cbor:"1,keyasint"`
	From    ID     `cbor:"2,keyasint"`
	Lineage uint64 `cbor:"3,keyasint,omitempty"`
	View    uint64 `cbor:"4,keyasint,omitempty"` // of the sender's view
	Hash    uint64 `cbor:"5,keyasint,omitempty"` // of that view
	Size    int    `cbor:"6,keyasint,omitempty"` // number of members in that view

	Digest    uint32     `cbor:"7,keyasint,omitempty"` // of all reports that the sender has
	Reports   []Report   `cbor:"8,keyasint,omitempty"`
	Dead      Bits       `cbor:"16,keyasint,omitempty"` // members proven dead, according to the sender
	Rejoining Bits       `cbor:"17,keyasint,omitempty"` // members of which a later incarnation requests to join
	Round     *Round     `cbor:"9,keyasint,omitempty"`
	Peers     []Peer     `cbor:"10,keyasint,omitempty"` // processes that request to join; in a notice or redirect, addresses of members
	Decisions []Decision `cbor:"11,keyasint,omitempty"` // decisions that the receiver may lack

	Peer     *Peer  `cbor:"12,keyasint,omitempty"` // the process that requests to join
	Token    uint64 `cbor:"13,keyasint,omitempty"`
	Chunk    *Chunk `cbor:"14,keyasint,omitempty"`
	SeedRank int    `cbor:"15,keyasint,omitempty"` // rank among the seeds, from 1; 0: not a seed
}

// Report combines what the watchers of one member report about it.
type Report struct {
	_          struct{} `cbor:",toarray"`
	Subject    int      // position in the view
	Generation uint32   // of the subject; it raises it to refute a report
	TimedOut   uint16   // bit set of watchers that received nothing
	Refused    uint16
	Left       bool // announced by the subject
}

// Decision is a change that a quorum has decided.
type Decision struct {
	From   uint64     `cbor:"1,keyasint"` // number of the view it applies to
	Change ViewChange `cbor:"2,keyasint"`
}

// Round is the state of the ballot on the next view, as far as the sender has it.
type Round struct {
	Ballot         uint32      `cbor:"1,keyasint"`
	Failed         Bits        `cbor:"2,keyasint,omitempty"` // members excluded from the quorum for the whole ballot
	Promises       Bits        `cbor:"3,keyasint,omitempty"`
	AcceptedBallot uint32      `cbor:"4,keyasint,omitempty"` // highest ballot accepted by a member that promised
	AcceptedValue  *ViewChange `cbor:"5,keyasint,omitempty"` // value accepted in that ballot
	Value          *ViewChange `cbor:"6,keyasint,omitempty"` // value of this ballot
	Votes          Bits        `cbor:"7,keyasint,omitempty"`
	HasValue       bool        `cbor:"8,keyasint,omitempty"` // the sender has the value, even if it is not included here
}

// Chunk is a part of a view's member list.
type Chunk struct {
	Index       int    `cbor:"1,keyasint"`
	Count       int    `cbor:"2,keyasint"`
	LargestSize int    `cbor:"4,keyasint,omitempty"` // of the view
	Members     []Peer `cbor:"3,keyasint,omitempty"`
}

// MaxBytes is the largest size of an encoded message.
const MaxBytes = 1200

// datagramOverhead is the size of the IP and UDP headers.
const datagramOverhead = 28

// EncodedSize returns an upper estimate of the encoded size.
func (m *Message) EncodedSize() int {
	n := 52 + len(m.From.Name)
	n += 14 * len(m.Reports)
	if len(m.Dead)+len(m.Rejoining) > 0 {
		n += 8 + len(m.Dead) + len(m.Rejoining)
	}
	for _, p := range m.Peers {
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
