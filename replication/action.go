package replication

// Action is what the owner has to do for an Elector: one of the types below. Actions are done in order.
type Action interface{ action() }

// SendElection asks to send a message to a peer. It may be lost. To.Member is empty while only the address is known; the message is then
// for whoever is there.
type SendElection struct {
	To    Peer
	Frame ElectionFrame
}

// PersistRegister asks to write the register to disk, by RegisterRecord, and then to call Persisted with the token. A later one supersedes
// those before.
type PersistRegister struct {
	Register Register
	Token    uint64
}

// PrepareView asks to call Replica.Prepare with View.View, and Elector.Prepared from its ready function. Members that are not linked yet
// are reached at the addresses of the view.
type PrepareView struct{ View ControlView }

// InstallView asks to call Replica.Install: the view is decided. It comes for views of other primaries, too.
type InstallView struct{ View ControlView }

// BecamePrimary tells that this process is the primary of the installed view. The replica tells when it is active.
type BecamePrimary struct{ Epoch uint64 }

// LostPrimary tells that this process is no longer primary or candidate; call Replica.StepDown.
type LostPrimary struct{ Epoch uint64 }

// JoinedGeneration tells that the group was founded anew without this process: what its disk holds counts no more, see FoundAnew.
type JoinedGeneration struct{ Generation uint64 }

// ConfirmResult asks to call a function that was given to Confirm.
type ConfirmResult struct {
	Callback   func(stands bool)
	Confirmed bool
}

func (SendElection) action()     {}
func (PersistRegister) action()  {}
func (PrepareView) action()      {}
func (InstallView) action()      {}
func (BecamePrimary) action()    {}
func (LostPrimary) action()      {}
func (JoinedGeneration) action() {}
func (ConfirmResult) action()           {}
