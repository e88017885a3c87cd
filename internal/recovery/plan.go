package recovery

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"liftgauge/internal/snapshot"
	"liftgauge/placement"
	"liftgauge/replication"
)

// The reasons why a recovery is rejected. Each message tells the operator what to do.
var (
	ErrNoCandidate           = errors.New("no control process with a disk answers: start one, with Bootstrap = false, and give its address with --control")
	ErrControlAvailable      = errors.New("control has a majority of its witnesses and a member: it needs no recovery; see liftgauge status")
	ErrControlMayBeAvailable = errors.New("control may still have a majority among processes that do not answer: start them, or name the machines whose disks are gone for good with --lost")
	ErrStaleFounder          = errors.New("the process that would found control has not received the newest state yet: try again in a second")
	ErrNoSuchNode            = errors.New("the machine named by --at does not answer, or has no disk: name one that the list shows")
	ErrNoState               = errors.New("no process has a configuration or records of control: give a snapshot with --from FILE")
)

// Options are the operator's choices.
type Options struct {
	Lost []string           // machines whose disks are permanently lost
	At   string             // machine to found on; empty to choose one automatically
	From *snapshot.Snapshot // snapshot of an earlier state; nil to use the records of the survivors
}

// Plan describes how control is founded anew.
type Plan struct {
	Founder Account
	View    replication.ControlView // first view of the new generation
	// Source is the process whose records are used, nil if no process has any. It is not used with a snapshot.
	Source *Account
	// Join holds the other responding processes with a disk. Each has to join the generation before it is founded.
	Join []Account
	// Findings describe for the operator what the plan is based on, one line each.
	Findings []string
}

// FoundRequest requests that a control process found its group anew. It is the body of POST /recovery/found.
type FoundRequest struct {
	View replication.ControlView
	// Snapshot is an encoded snapshot with the initial records, empty for none.
	Snapshot []byte
	// Survivor is true if the snapshot was read from a running process, and not taken at an earlier time.
	Survivor bool
}

// JoinRequest requests that a control process join a generation. It is the body of POST /recovery/join.
type JoinRequest struct{ View replication.ControlView }

// survey combines all accounts into a picture of the group.
type survey struct {
	accounts     []Account
	options      Options
	members      []string        // members of the newest view in any account
	witnesses    []string        // witnesses of that view
	epoch        uint64          // epoch of that view
	highestEpoch uint64          // highest epoch of any kind in any account
	responds     map[string]bool // members whose process responds
}

// NewPlan plans a recovery from the accounts of the processes that respond.
func NewPlan(accounts []Account, o Options) (*Plan, error) {
	s := newSurvey(accounts, o)
	if err := s.checkFoundable(); err != nil {
		return nil, err
	}
	founder, source, err := s.choose()
	if err != nil {
		return nil, err
	}
	if source == nil && o.From == nil && founder.Configuration.Count == 0 && founder.Partitions.Count == 0 {
		return nil, ErrNoState
	}
	self := replication.Peer{Member: founder.Member, Address: founder.Address}
	p := &Plan{
		Founder: *founder, Source: source,
		View: replication.FirstViewOfGeneration(self, s.highestEpoch+replication.RecoveryEpochGap, s.generation()+1),
	}
	for _, a := range s.accounts {
		if a.Member != "" && a.Member != founder.Member {
			p.Join = append(p.Join, a)
		}
	}
	p.Findings = s.findings(p)
	return p, nil
}

func newSurvey(accounts []Account, o Options) *survey {
	s := &survey{accounts: accounts, options: o, responds: map[string]bool{}}
	newest := replication.ControlView{}
	for _, a := range accounts {
		s.responds[a.Member] = true
		s.highestEpoch = max(s.highestEpoch, a.HighestEpoch, a.Installed.Epoch, a.Heard.Epoch)
		if cmp.Or(cmp.Compare(a.Installed.Generation, newest.Generation), cmp.Compare(a.Installed.Epoch, newest.Epoch)) > 0 {
			newest = a.Installed
		}
	}
	s.members, s.witnesses, s.epoch = newest.Members, newest.Witnesses, newest.Epoch
	for _, a := range accounts {
		if a.Heard.Epoch > s.epoch {
			s.members, s.witnesses, s.epoch = a.Heard.Members, a.Heard.Witnesses, a.Heard.Epoch
		}
	}
	if o.From != nil {
		s.highestEpoch = max(s.highestEpoch, o.From.Epoch)
	}
	return s
}

func (s *survey) generation() (highest uint64) {
	for _, a := range s.accounts {
		highest = max(highest, a.Installed.Generation)
	}
	if s.options.From != nil {
		highest = max(highest, s.options.From.Generation)
	}
	return highest
}

// isLost reports whether a member's disk is known to be lost: because the operator says so, or because its machine responds with another
// disk.
func (s *survey) isLost(member string) bool {
	if slices.Contains(s.options.Lost, placement.NodeName(member)) {
		return true
	}
	return slices.ContainsFunc(s.accounts, func(a Account) bool { return a.Name == placement.NodeName(member) && a.Member != member })
}

// unresponsive lists the members that neither respond nor are known to be lost.
func (s *survey) unresponsive(members []string) []string {
	return slices.DeleteFunc(slices.Clone(members), func(id string) bool { return s.responds[id] || s.isLost(id) })
}

func (s *survey) responding(members []string) (count int) {
	for _, id := range members {
		if s.responds[id] {
			count++
		}
	}
	return count
}

// checkFoundable returns an error if the previous group is available, or might be.
func (s *survey) checkFoundable() error {
	if !slices.ContainsFunc(s.accounts, func(a Account) bool { return a.Member != "" }) {
		return ErrNoCandidate
	}
	majority := len(s.witnesses)/2 + 1
	if s.responding(s.witnesses) >= majority && s.responding(s.members) > 0 {
		return ErrControlAvailable
	}
	if unresponsive := s.unresponsive(s.witnesses); len(s.witnesses) > 0 && len(unresponsive) >= majority {
		return errors.Wrap(ErrControlMayBeAvailable, strings.Join(unresponsive, ", "))
	}
	if unresponsive := s.unresponsive(s.members); len(s.witnesses) > 0 && s.responding(s.witnesses)+len(s.unresponsive(s.witnesses)) >= majority && len(unresponsive) > 0 {
		return errors.Wrap(ErrControlMayBeAvailable, strings.Join(unresponsive, ", ")) // any of these members would complete a majority with a member
	}
	return nil
}

// choose selects the process to found on, and the one with the most complete records.
func (s *survey) choose() (founder, source *Account, err error) {
	ranked := slices.Clone(s.accounts)
	slices.SortStableFunc(ranked, func(a, b Account) int { return s.compare(&a, &b) })
	ranked = slices.DeleteFunc(ranked, func(a Account) bool { return a.Member == "" })
	if ranked[0].Records != nil {
		source = &ranked[0]
	}
	founder = &ranked[0]
	if s.options.At != "" {
		at := slices.IndexFunc(ranked, func(a Account) bool { return a.Name == s.options.At })
		if at < 0 {
			return nil, nil, ErrNoSuchNode
		}
		founder = &ranked[at]
	}
	for _, a := range s.accounts {
		if founder.Configuration.Version.Less(a.Configuration.Version) || founder.Partitions.Version.Less(a.Partitions.Version) {
			return nil, nil, errors.Wrap(ErrStaleFounder, founder.Node)
		}
	}
	return founder, source, nil
}

// compare orders accounts by completeness of their records, most complete first, then seeds first, because every process can find seeds.
func (s *survey) compare(a, b *Account) int {
	rank := func(a *Account) int {
		switch {
		case a.Records != nil && a.Active:
			return 3
		case a.Records != nil && slices.Contains(s.members, a.Member):
			return 2
		case a.Records != nil:
			return 1
		}
		return 0
	}
	joined := func(a *Account) uint64 {
		if a.Records == nil {
			return 0
		}
		return a.Records.Joined
	}
	seed := func(a *Account) int {
		if a.Seed {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(joined(b), joined(a)), cmp.Compare(seed(b), seed(a)), cmp.Compare(a.Node, b.Node))
}

// findings describes what the plan is based on.
func (s *survey) findings(p *Plan) (lines []string) {
	add := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for _, id := range s.witnesses {
		switch {
		case s.responds[id]:
			add("witness %s answers", id)
		case s.isLost(id):
			add("witness %s: its disk is lost", id)
		default:
			add("witness %s does not answer; it joins when it comes back", id)
		}
	}
	s.addRecordFindings(p, add)
	add("configuration: revision %d, held by %s", p.Founder.Configuration.Count, p.Founder.Node)
	add("partition table: %d partitions known to %s", p.Founder.Partitions.Count, p.Founder.Node)
	for _, id := range p.Founder.Silent {
		add("store %s does not answer: if it has applied a later partition table, what was accepted under that table may be missing; start it before --found", id)
	}
	return lines
}

// addRecordFindings describes where the records come from, and what may be missing from them.
func (s *survey) addRecordFindings(p *Plan, add func(format string, args ...any)) {
	switch from := s.options.From; {
	case from != nil:
		add("records: snapshot of %s at %s (epoch %d, %d records); later orders are reflected in the configuration only: "+
			"an earlier order that is sent again may get 412", from.Node, from.TakenAt.UTC().Format("2006-01-02T15:04:05Z"), from.Epoch, len(from.Records))
		if !from.Confirmed {
			add("the snapshot was not confirmed by a majority: it may have been outdated when it was taken")
		}
	case p.Source == nil:
		add("records: none; earlier orders are reflected in the configuration only: one that is sent again may get 412, and a retirement has to be started again")
	case slices.Contains(s.members, p.Source.Member):
		add("records: all that was acknowledged, from %s (revision %d, %d orders taken)", p.Source.Node, p.Source.Records.Revision, p.Source.Records.Orders)
	default:
		add("records: from %s, up to epoch %d of %d (revision %d, %d orders taken); later orders are reflected in the configuration only: "+
			"one that is sent again may get 412", p.Source.Node, p.Source.Records.Joined, s.epoch, p.Source.Records.Revision, p.Source.Records.Orders)
	}
}
