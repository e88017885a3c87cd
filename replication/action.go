package replication

// Action is a step that the owner has to execute for an Elector: one of the types below. Actions are executed in order.
type Action interface{ action() }

// SendElection requests sending a message to a peer. It may be lost. To.Member is empty while only the address is known; the message
// then goes to whichever member is there.
type SendElection struct {
	To    Peer
	Frame ElectionFrame
}

// PersistRegister requests writing the register to disk, with RegisterRecord, and then calling Persisted with the token. A later one
// supersedes earlier ones.
type PersistRegister struct {
	Register Register
	Token    uint64
}

// PrepareView requests a call of Replica.Prepare with View.View, and of Elector.Prepared from its ready function. Members that are not
// linked yet are reached at the addresses in the view.
type PrepareView struct{ View ControlView }

// InstallView requests a call of Replica.Install: the view is decided. It is also issued for views of other primaries.
type InstallView struct{ View ControlView }

// BecamePrimary reports that this process is the primary of the installed view. The replica reports separately when it is active.
type BecamePrimary struct{ Epoch uint64 }

// LostPrimary reports that this process is no longer primary or candidate; call Replica.StepDown.
type LostPrimary struct{ Epoch uint64 }

// JoinedGeneration reports that this process has joined a generation founded by another one: the records on its disk are obsolete, see
// FirstViewOfGeneration.
type JoinedGeneration struct{ Generation uint64 }

// ConfirmResult requests a call of the function that was passed to Confirm.
type ConfirmResult struct {
	Callback  func(confirmed bool)
	Confirmed bool
}

func (SendElection) action()     {}
func (PersistRegister) action()  {}
func (PrepareView) action()      {}
func (InstallView) action()      {}
func (BecamePrimary) action()    {}
func (LostPrimary) action()      {}
func (JoinedGeneration) action() {}
func (ConfirmResult) action()    {}
