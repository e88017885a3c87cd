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

// The reasons for which nothing is founded. Each message names the remedy.
var (
	ErrNoCandidate           = errors.New("no control process with a disk answers: start one, with Bootstrap = false, and give its address with --control")
	ErrControlAvailable      = errors.New("control has a majority of its witnesses and a member: it needs no recovery; see liftgauge status")
	ErrControlMayBeAvailable = errors.New("control may still have a majority among processes that do not answer: start them, or name the machines whose disks are gone for good with --lost")
	ErrStaleFounder          = errors.New("the process that would found control has not heard of the newest state yet: ask again in a second")
	ErrNoSuchNode            = errors.New("the machine named by --at does not answer, or has no disk: name one that the list shows")
	ErrNoState               = errors.New("nobody knows a configuration or has records of control: give a snapshot with --from FILE")
)

// Options are what the operator says.
type Options struct {
	Lost []string           // machines whose disks are gone for good
	At   string             // machine to found on; empty to have it chosen
	From *snapshot.Snapshot // of an earlier time; nil to go by the survivors
}

// Plan is how control is founded anew.
type Plan struct {
	Founder Account
	View    replication.ControlView // the first of the new generation
	// Source is the process whose records are taken, nil where none has any. It is not used with a snapshot.
	Source *Account
	// Join are the other processes with a disk that answer. Each has to join the generation before it is founded.
	Join []Account
	// Findings say what is known and what is not, a line each.
	Findings []string
}

// FoundRequest asks a control process to found its group anew. It is the body of POST /recovery/found.
type FoundRequest struct {
	View replication.ControlView
	// Snapshot is an encoded snapshot with the records to begin with, empty for none.
	Snapshot []byte
	// Survivor says that the snapshot is of a process that was running, and not of an earlier time.
	Survivor bool
}

// JoinRequest asks a control process to join a generation. It is the body of POST /recovery/join.
type JoinRequest struct{ View replication.ControlView }

// survey is what all accounts together say of the group.
type survey struct {
	accounts []Account
	options  Options
	members  []string // of the newest view that anybody knows
	voters   []string // witnesses of it
	epoch    uint64   // of it
	highest  uint64   // of any kind
	answers  map[string]bool
}

// NewPlan plans a recovery.
func NewPlan(accounts []Account, o Options) (*Plan, error) {
	s := newSurvey(accounts, o)
	if err := s.mayFound(); err != nil {
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
		View: replication.FirstViewOfGeneration(self, s.highest+replication.RecoveryEpochGap, s.generation()+1),
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
	s := &survey{accounts: accounts, options: o, answers: map[string]bool{}}
	newest := replication.ControlView{}
	for _, a := range accounts {
		s.answers[a.Member] = true
		s.highest = max(s.highest, a.HighestEpoch, a.Installed.Epoch, a.Heard.Epoch)
		if cmp.Or(cmp.Compare(a.Installed.Generation, newest.Generation), cmp.Compare(a.Installed.Epoch, newest.Epoch)) > 0 {
			newest = a.Installed
		}
	}
	s.members, s.voters, s.epoch = newest.Members, newest.Witnesses, newest.Epoch
	for _, a := range accounts {
		if a.Heard.Epoch > s.epoch {
			s.members, s.voters, s.epoch = a.Heard.Members, a.Heard.Witnesses, a.Heard.Epoch
		}
	}
	if o.From != nil {
		s.highest = max(s.highest, o.From.Epoch)
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

// isLost tells whether a member's disk is known to be gone: by the operator's word, or since its machine answers with another one.
func (s *survey) isLost(member string) bool {
	if slices.Contains(s.options.Lost, placement.NodeName(member)) {
		return true
	}
	return slices.ContainsFunc(s.accounts, func(a Account) bool { return a.Name == placement.NodeName(member) && a.Member != member })
}

// silent lists the members that neither answer nor are known to be lost.
func (s *survey) silent(members []string) []string {
	return slices.DeleteFunc(slices.Clone(members), func(id string) bool { return s.answers[id] || s.isLost(id) })
}

func (s *survey) answering(members []string) (count int) {
	for _, id := range members {
		if s.answers[id] {
			count++
		}
	}
	return count
}

// mayFound refuses where the group of before works, or could.
func (s *survey) mayFound() error {
	if !slices.ContainsFunc(s.accounts, func(a Account) bool { return a.Member != "" }) {
		return ErrNoCandidate
	}
	majority := len(s.voters)/2 + 1
	if s.answering(s.voters) >= majority && s.answering(s.members) > 0 {
		return ErrControlAvailable
	}
	if silent := s.silent(s.voters); len(s.voters) > 0 && len(silent) >= majority {
		return errors.Wrap(ErrControlMayBeAvailable, strings.Join(silent, ", "))
	}
	if silent := s.silent(s.members); len(s.voters) > 0 && s.answering(s.voters)+len(s.silent(s.voters)) >= majority && len(silent) > 0 {
		return errors.Wrap(ErrControlMayBeAvailable, strings.Join(silent, ", ")) // with one of these members there are a majority and a member again
	}
	return nil
}

// choose finds the process to found on, and the one with the best records.
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

// compare puts first whose records are most complete, then seeds, which everybody finds.
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

// findings say what the plan rests on.
func (s *survey) findings(p *Plan) (lines []string) {
	say := func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) }
	for _, id := range s.voters {
		switch {
		case s.answers[id]:
			say("witness %s answers", id)
		case s.isLost(id):
			say("witness %s: its disk is lost", id)
		default:
			say("witness %s does not answer; it joins when it comes back", id)
		}
	}
	s.findRecords(p, say)
	say("configuration: revision %d is with %s", p.Founder.Configuration.Count, p.Founder.Node)
	say("partition table: %d partitions known to %s", p.Founder.Partitions.Count, p.Founder.Node)
	for _, id := range p.Founder.Silent {
		say("store %s does not answer: if it has followed a later table, what was taken by that one since may be missing; start it before --found", id)
	}
	return lines
}

// findRecords says where the records come from, and what they may lack.
func (s *survey) findRecords(p *Plan, say func(format string, args ...any)) {
	switch from := s.options.From; {
	case from != nil:
		say("records: snapshot of %s at %s (epoch %d, %d records); what was ordered since is known by the configuration alone: "+
			"an order of before that is sent again may get 412", from.Node, from.TakenAt.UTC().Format("2006-01-02T15:04:05Z"), from.Epoch, len(from.Records))
		if !from.Confirmed {
			say("the snapshot was not confirmed by a majority: it may have been old when it was made")
		}
	case p.Source == nil:
		say("records: none; orders taken before are known by the configuration alone: one that is sent again may get 412, and a retirement has to be started again")
	case slices.Contains(s.members, p.Source.Member):
		say("records: all that was acknowledged, from %s (revision %d, %d orders taken)", p.Source.Node, p.Source.Records.Revision, p.Source.Records.Orders)
	default:
		say("records: from %s, up to epoch %d of %d (revision %d, %d orders taken); orders taken later are known by the configuration alone: "+
			"one that is sent again may get 412", p.Source.Node, p.Source.Records.Joined, s.epoch, p.Source.Records.Revision, p.Source.Records.Orders)
	}
}
