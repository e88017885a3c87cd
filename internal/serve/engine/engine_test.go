package engine

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"liftgauge/balance"
	"liftgauge/internal/invariant"
)

const (
	reading = 0 // keyed, by cell
	warning = 1 // unsafe
)

func testSettings() balance.Settings {
	return balance.Settings{
		Classes: []balance.Class{
			{TargetLatency: 200 * time.Millisecond, RuntimeFactor: 2.5, Value: 2, LateValue: 0.25, Limit: 5 * time.Second,
				Effect: balance.Keyed, Window: 7500 * time.Millisecond, Kind: -1},
			{TargetLatency: 200 * time.Millisecond, RuntimeFactor: 2.5, Value: 10, LateValue: 0.2, Limit: 5 * time.Second, Kind: -1},
		},
		Dispatchers: 2, Tick: 2 * time.Millisecond, ListOnRequest: true, AskWithin: 10 * time.Second, ReportsStart: true,
		MaxAttempts: 4, ConnectTimeout: 250 * time.Millisecond, CanCancel: true, CanProbe: true, SecondCopies: true,
		FreeSlots: -1, FreeMemory: -1, DrainGrace: 500 * time.Millisecond, StartCapacity: 0.3,
		WarmWithin: 8 * time.Second, OverloadFactor: 2.5, OverloadTime: 2 * time.Second,
	}
}

func testHost(i int, state balance.State) Host {
	return Host{Name: fmt.Sprintf("s-%08x", 0x1000+i), Address: fmt.Sprintf("10.0.0.%d:1", i),
		Worker: balance.Worker{Cell: i % 2, Weight: 1, State: state}}
}

// harness holds two Engines with fake backends and inventories that only record their calls.
type harness struct {
	t        *testing.T
	current  *Engine    // that receives messages
	engines  [2]*Engine // between which messages are handed over
	sends    []*sentAttempt
	watches  int
	messages []*testMessage
	stop     context.CancelFunc
	mu       sync.Mutex // orders the engine's records after what the test has read before
}

// wait advances the time.
func (b *harness) wait(d time.Duration) {
	b.mu.Lock()
	//lint:ignore SA2001 the lock orders the engine's records before what the test reads next
	b.mu.Unlock()
	time.Sleep(d)
	synctest.Wait()
}

func (b *harness) locked(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

type sentAttempt struct {
	a          *Attempt
	o          *Engine // that has it now
	ctx        context.Context
	ended      bool
	mayHaveRun bool // it may have run
	returned   bool // by a report
}

// reportedAttempt returns the attempt that a host's report is about: the report names only the message and the host. Again means
// that the host has returned an attempt of the message before.
func (b *harness) reportedAttempt(s *sentAttempt) (of *sentAttempt, again bool) {
	for _, x := range b.sends {
		if x.a.Message == s.a.Message && x.a.Host.Name == s.a.Host.Name {
			again = again || x.returned
			if !x.ended {
				of = x
			}
		}
	}
	return of, again
}

type testMessage struct {
	m            *Message
	answers      []Answer
	answeredAt   time.Duration // of the last answer
	disconnected bool
}

// recordingBackend is the backend of one of the two engines.
type recordingBackend struct {
	*harness
	n int
}

func (b recordingBackend) Send(ctx context.Context, a *Attempt) {
	b.locked(func() { b.sends = append(b.sends, &sentAttempt{a: a, ctx: ctx, o: b.engines[b.n]}) })
}

func (b recordingBackend) Resume(ctx context.Context, a *Attempt) {
	b.locked(func() {
		for _, s := range b.sends {
			if s.a.Message == a.Message && s.a.Host.Name == a.Host.Name && !s.ended {
				s.a, s.ctx, s.o = a, ctx, b.engines[b.n]
			}
		}
	})
}

func (b *harness) Probe(Host)  {}
func (b *harness) Forget(Host) {}
func (b *harness) Watch()      { b.locked(func() { b.watches++ }) }

// newHarness starts two Engines with four hosts inside a synctest bubble, whose clock the test controls.
func newHarness(t *testing.T, settings balance.Settings) *harness {
	b := &harness{t: t}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	var known []Host
	for i := range 4 {
		known = append(known, testHost(i, balance.Ready))
	}
	ctx, stop := context.WithCancel(t.Context())
	b.stop = stop
	for i := range b.engines {
		b.engines[i] = New(Config{Settings: settings, Seed: 7, InitialHosts: known, Backend: recordingBackend{b, i}, Inventory: b, QueueSize: 64, Log: log,
			Check: &invariant.Checker{}, Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) }})
		go b.engines[i].Run(ctx)
	}
	b.current = b.engines[0]
	synctest.Wait()
	return b
}

func (b *harness) submit(class int, left time.Duration) *testMessage {
	m := &testMessage{m: &Message{Key: fmt.Sprintf("%016x", len(b.messages)), Arrived: b.current.Now(),
		Job: balance.Job{Class: class, Left: left, Hint: 100 * time.Millisecond}}}
	m.m.Reply = func(a Answer) {
		b.locked(func() { m.answers, m.answeredAt = append(m.answers, a), b.current.Now() })
	}
	b.messages = append(b.messages, m)
	if !b.current.Submit(m.m) {
		b.t.Fatal("queue is full")
	}
	synctest.Wait()
	return m
}

func (b *harness) report(s *sentAttempt, state JobState, result string) {
	for _, o := range b.engines { // one of the two has the message, if it is open
		o.HandleReport(Report{Key: s.a.Message.Key, From: s.a.Host.Name, State: state, Result: []byte(result)}, nil, nil)
	}
	synctest.Wait()
}

func (b *harness) ended(s *sentAttempt, status balance.Status) {
	s.o.AttemptEnded(s.a, status)
	synctest.Wait()
}

// handOver has the other engine take over a message, or refuse it.
func (b *harness) handOver(m *testMessage, takes bool) (moved bool) {
	for i, o := range b.engines {
		past, ok := o.Release(b.t.Context(), m.m)
		if !ok {
			continue
		}
		moved = takes && b.engines[1-i].Adopt(b.t.Context(), m.m, past)
		o.CompleteRelease(m.m, past, moved)
		synctest.Wait()
		return moved
	}
	return false
}

func runInBubble(t *testing.T, test func(*testing.T, *harness)) {
	t.Helper()
	runWithSettings(t, testSettings(), test)
}

func runWithSettings(t *testing.T, settings balance.Settings, test func(*testing.T, *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t, settings)
		test(t, b)
		b.stop()
		synctest.Wait()
	})
}

func TestFirstReportIsAnsweredOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		m := b.submit(warning, 5*time.Second)
		s := b.sends[0]
		b.current.HandleReport(Report{Key: m.m.Key, From: "s-elsewhere", State: Done, Result: []byte("forged")}, nil, nil)
		b.report(s, Started, "") // before the host's response to the send
		b.report(s, Done, "level 3")
		b.report(s, Done, "again")
		b.ended(s, balance.Reset)
		if len(m.answers) != 1 || m.answers[0].Kind != Served || string(m.answers[0].Result) != "level 3" {
			t.Errorf("answers %+v", m.answers)
		}
		if !errors.Is(context.Cause(s.ctx), ErrOutcomeKnown) || len(b.sends) != 1 || len(b.current.jobs) != 0 || len(b.current.byKey) != 0 {
			t.Errorf("cause %v, %d sends, %d jobs kept", context.Cause(s.ctx), len(b.sends), len(b.current.jobs))
		}
	})
}

func TestDisconnectWithdrawsAttempt(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		m := b.submit(warning, 5*time.Second)
		b.current.Disconnected(m.m)
		synctest.Wait()
		s := b.sends[0]
		if !errors.Is(context.Cause(s.ctx), ErrWithdrawn) || s.a.MaySend() {
			t.Errorf("cause %v, clear %v", context.Cause(s.ctx), s.a.MaySend())
		}
		b.report(s, Done, "too late")
		b.ended(s, balance.Cancelled)
		if len(m.answers) != 0 || len(b.current.jobs) != 0 {
			t.Errorf("answers %v, %d jobs kept", m.answers, len(b.current.jobs))
		}
	})
}

// TestAttemptIsNotSentAfterItsWindow checks that a second attempt of a keyed message, decided on within the window after the first
// one that may have run, is not sent if its connection is established after that window. The message is answered.
func TestAttemptIsNotSentAfterItsWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[reading].Window = time.Second
	runWithSettings(t, settings, func(t *testing.T, b *harness) {
		m := b.submit(reading, 5*time.Second)
		first := b.sends[0].a
		b.wait(900 * time.Millisecond)
		b.ended(b.sends[0], balance.Reset)
		if b.wait(50 * time.Millisecond); len(b.sends) != 2 {
			t.Fatalf("%d attempts", len(b.sends))
		}
		s := b.sends[1]
		if want := first.SentAt() + time.Second - 2*b.current.Settings.Tick; !s.a.MaySend() || s.a.SendDeadline != want || first.SendDeadline != 0 {
			t.Errorf("clear %v, until %v, want %v; the first one until %v", s.a.MaySend(), s.a.SendDeadline, want, first.SendDeadline)
		}
		b.wait(60 * time.Millisecond) // the connection is established
		if s.a.MaySend() {
			t.Error("may send after the window")
		}
		b.ended(s, balance.NotSent)
		b.wait(5 * time.Second)
		if len(m.answers) != 1 || m.answers[0].Kind != Failed || len(b.sends) != 2 {
			t.Errorf("answers %+v, %d attempts", m.answers, len(b.sends))
		}
	})
}

// TestDisconnectPreventsSendAtOnce checks that an attempt is not sent once the client has disconnected, even while the engine is busy
// and has not yet processed that.
func TestDisconnectPreventsSendAtOnce(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		m := b.submit(warning, 5*time.Second)
		s := b.sends[0]
		busy := make(chan struct{})
		b.current.AfterQueued(func() { <-busy })
		synctest.Wait()
		if !s.a.MaySend() {
			t.Error("may not send while the client waits")
		}
		b.current.Disconnected(m.m)
		if s.a.MaySend() || context.Cause(s.ctx) != nil {
			t.Errorf("clear %v, cause %v", s.a.MaySend(), context.Cause(s.ctx))
		}
		close(busy)
		synctest.Wait()
		if !errors.Is(context.Cause(s.ctx), ErrWithdrawn) {
			t.Errorf("cause %v", context.Cause(s.ctx))
		}
		b.ended(s, balance.NotSent)
	})
}

// TestRejectedRequestIsNotRetried checks that a request which a host rejects as invalid is answered at once and not sent again, and
// that no host is avoided because of it.
func TestRejectedRequestIsNotRetried(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		for i := range 12 {
			m := b.submit(reading, 5*time.Second)
			b.ended(b.sends[i], balance.Rejected)
			if len(b.sends) != i+1 || len(m.answers) != 1 || m.answers[0].Kind != Failed {
				t.Fatalf("%d attempts, answers %+v", len(b.sends), m.answers)
			}
		}
		if _, avoided := b.current.dispatcher.Fleet(b.current.Now()); avoided != 0 || len(b.current.jobs) != 0 {
			t.Errorf("%d hosts avoided, %d messages kept", avoided, len(b.current.jobs))
		}
	})
}

// TestBackOffForSafeClassThatMayHaveRun checks that a job that may be repeated freely, and waits at its host until its result has no
// value, gets a back-off answer without violating an invariant, and that its attempt is withdrawn.
func TestBackOffForSafeClassThatMayHaveRun(t *testing.T) {
	settings := testSettings()
	c := &settings.Classes[reading]
	c.Effect, c.LateValue = balance.Safe, 0
	runWithSettings(t, settings, func(t *testing.T, b *harness) {
		m := b.submit(reading, 5*time.Second)
		b.current.AttemptWritten(b.sends[0].a, false)
		b.wait(2 * time.Second)
		if len(m.answers) != 1 || m.answers[0].Kind != BackOff || b.current.Check.Violations() != 0 {
			t.Errorf("answers %+v, %d breaches", m.answers, b.current.Check.Violations())
		}
		if s := b.sends[0]; !errors.Is(context.Cause(s.ctx), ErrWithdrawn) {
			t.Errorf("cause %v", context.Cause(s.ctx))
		}
		b.ended(b.sends[0], balance.Cancelled)
	})
}

// TestAnswerOpenMessages checks that messages open near the end of a planned shutdown are answered once, those that cannot have run
// with a back-off answer, and that attempts are withdrawn. Classes with a longer limit than the shutdown got no answer before.
func TestAnswerOpenMessages(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		out := b.submit(warning, 20*time.Second)
		for i := range 4 { // nothing may be sent any more
			if _, err := b.current.SetOffline(t.Context(), testHost(i, balance.Ready).Name, true, false); err != nil {
				t.Fatal(err)
			}
		}
		held := b.submit(reading, 20*time.Second)
		b.current.AnswerOpenMessages()
		b.current.AnswerOpenMessages()
		synctest.Wait()
		if len(out.answers) != 1 || out.answers[0].Kind != Failed || len(held.answers) != 1 || held.answers[0].Kind != BackOff {
			t.Errorf("answers %v to the sent message, %v to the held one", out.answers, held.answers)
		}
		if len(b.sends) != 1 || !errors.Is(context.Cause(b.sends[0].ctx), ErrWithdrawn) {
			t.Errorf("%d sends, cause %v", len(b.sends), context.Cause(b.sends[0].ctx))
		}
		b.ended(b.sends[0], balance.Cancelled)
		if len(b.current.jobs) != 0 || len(out.answers) != 1 {
			t.Errorf("%d jobs kept, answers %v", len(b.current.jobs), out.answers)
		}
	})
}

// TestSetOffline checks that an operator's setting takes effect before the first byte of a pending send, is applied though the
// queue is full, and is not reverted by a list; an id that was never listed is unknown.
func TestSetOffline(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		set := func(name string, out, want bool) {
			t.Helper()
			if known, err := b.current.SetOffline(t.Context(), name, out, false); err != nil || known != want {
				t.Errorf("%s: known %v, error %v", name, known, err)
			}
		}
		b.submit(warning, 5*time.Second)
		s := b.sends[0]
		set("s-never", true, false)
		hold := make(chan struct{})
		b.current.enqueue(func(time.Duration) { <-hold }) // the engine is busy, and the queue is full
		for b.current.tryEnqueue(func(time.Duration) {}) {
		}
		done := make(chan struct{})
		go func() { set(s.a.Host.Name, true, true); close(done) }()
		synctest.Wait()
		close(hold)
		<-done
		if s.a.MaySend() {
			t.Error("may send to a host that is offline")
		}
		hosts := []Host{testHost(0, balance.Ready), testHost(1, balance.Ready), testHost(2, balance.Ready), testHost(3, balance.Ready)}
		b.current.UpdateHosts(balance.ListFull, hosts)
		synctest.Wait()
		if listed, avoided := b.current.HostCounts(); s.a.MaySend() || listed != 4 || avoided != 1 {
			t.Errorf("clear %v, %d listed, %d avoided", s.a.MaySend(), listed, avoided)
		}
		b.current.UpdateHosts(balance.ListFull, hosts[:0]) // a host counts as listed after it is removed from the list
		synctest.Wait()
		set(s.a.Host.Name, true, true)
		set(s.a.Host.Name, false, true)
		b.current.UpdateHosts(balance.ListFull, hosts)
		synctest.Wait()
		if !s.a.MaySend() {
			t.Error("may not send to a host that is online again")
		}
	})
}

// TestInitialOffline checks that a host set offline in an earlier process is offline from the start.
func TestInitialOffline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &harness{t: t}
		var listed []string
		b.current = New(Config{Settings: testSettings(), Seed: 7, InitialHosts: []Host{testHost(0, balance.Ready), testHost(1, balance.Ready)},
			Backend: recordingBackend{b, 0}, Inventory: b, QueueSize: 64, Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Check: &invariant.Checker{},
			EverListed: []string{"s-old"}, InitialOffline: []string{testHost(0, balance.Ready).Name}, OnNewHosts: func(names []string) { listed = append(listed, names...) },
			Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) }})
		ctx, stop := context.WithCancel(t.Context())
		go b.current.Run(ctx)
		synctest.Wait()
		for range 4 {
			b.submit(warning, 5*time.Second)
		}
		for _, s := range b.sends {
			if s.a.Host.Name != testHost(1, balance.Ready).Name {
				t.Errorf("sent to %s", s.a.Host.Name)
			}
		}
		if known, _ := b.current.SetOffline(ctx, "s-old", true, false); !known || len(listed) != 1 || len(b.sends) == 0 {
			t.Errorf("old name known %v, new names %v, %d sends", known, listed, len(b.sends))
		}
		stop()
		synctest.Wait()
	})
}

// TestInheritedHostsAreWatchedAtOnce checks that a process that takes over watches discovery at once, while others wait for their
// turn among many dispatchers: a successor must receive changes within 2 s after it has reported ready.
func TestInheritedHostsAreWatchedAtOnce(t *testing.T) {
	for _, follows := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := &harness{t: t}
			settings := testSettings()
			settings.Dispatchers = 48
			b.current = New(Config{Settings: settings, Seed: 7, HostsInherited: follows, Backend: recordingBackend{b, 0}, Inventory: b, QueueSize: 64, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
				Check: &invariant.Checker{}, Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) }})
			ctx, stop := context.WithCancel(t.Context())
			go b.current.Run(ctx)
			b.wait(20 * time.Millisecond)
			if b.watches != map[bool]int{true: 1}[follows] {
				t.Errorf("follows %v: %d watches at once", follows, b.watches)
			}
			if b.wait(5 * time.Second); b.watches != 1 {
				t.Errorf("follows %v: %d watches in 5 s", follows, b.watches)
			}
			stop()
			synctest.Wait()
		})
	}
}

// TestDuplicateIDFails checks that a second message with the same id fails and does not replace the first one's table entry.
func TestDuplicateIDFails(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		m := b.submit(warning, 5*time.Second)
		twin := &testMessage{m: &Message{Key: m.m.Key, Arrived: b.current.Now(), Job: m.m.Job}}
		twin.m.Reply = func(a Answer) { twin.answers = append(twin.answers, a) }
		b.current.Submit(twin.m)
		b.current.Disconnected(twin.m)
		b.report(b.sends[0], Done, "once")
		if len(twin.answers) != 1 || twin.answers[0].Kind != Failed || len(m.answers) != 1 || m.answers[0].Kind != Served {
			t.Errorf("answers %+v and %+v", m.answers, twin.answers)
		}
	})
}

// TestDrainPreventsSend checks that an attempt is not sent if its host begins to drain between the decision and the first byte.
func TestDrainPreventsSend(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		b.submit(warning, 5*time.Second)
		s := b.sends[0]
		if !s.a.MaySend() {
			t.Fatal("may not send at first")
		}
		h := s.a.Host
		h.Worker.State = balance.Draining
		b.current.UpdateHosts(balance.ListChanges, []Host{h})
		synctest.Wait()
		if s.a.MaySend() {
			t.Error("may send though the host drains")
		}
		b.ended(s, balance.NotSent)
		if len(b.sends) != 2 || b.sends[1].a.Host.Name == h.Name {
			t.Errorf("%d sends, the last to %s", len(b.sends), b.sends[len(b.sends)-1].a.Host.Name)
		}
	})
}

func TestQueueOverflow(t *testing.T) {
	o := New(Config{QueueSize: 1})
	if !o.Submit(&Message{}) || o.Submit(&Message{}) || o.HandleReport(Report{}, nil, nil) {
		t.Error("want room for one event")
	}
}

// TestRepeatedReturnReport checks that a repeated report that a host returned an earlier attempt does not count as proof that a later
// attempt at the same host has not run.
func TestRepeatedReturnReport(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		for i := 1; i < 4; i++ { // one host is left
			b.current.UpdateHosts(balance.ListChanges, []Host{testHost(i, balance.Draining)})
		}
		m := b.submit(warning, 5*time.Second)
		b.report(b.sends[0], Returned, "")
		b.wait(time.Second)
		if len(b.sends) != 2 || b.sends[1].a.Host.Name != b.sends[0].a.Host.Name {
			t.Fatalf("%d sends, want a second one to the same host", len(b.sends))
		}
		b.report(b.sends[0], Returned, "")
		b.wait(time.Second)
		if len(b.sends) != 2 || len(m.answers) != 1 || m.answers[0].Kind != Failed {
			t.Errorf("%d sends, answers %+v", len(b.sends), m.answers)
		}
	})
}

func TestWorkerNames(t *testing.T) {
	a, b := workerNames{}, workerNames{}
	once, again := a.id("box one"), a.id("box one")
	if a.id("s-5be2a07c") != 0x5be2a07c || once != b.id("box one") || once != again {
		t.Error("ids differ")
	}
	if first, second := b.id("x-00000001"), b.id("y-00000001"); first == second || b.id("y-00000001") != second {
		t.Error("two names share a number")
	}
}

func TestDebugBackOffAfterPossibleRun(t *testing.T) {
	check := &invariant.Checker{}
	o := New(Config{Check: check, QueueSize: 1})
	var got []Answer
	p := &openMessage{Message: &Message{Reply: func(a Answer) { got = append(got, a) }}, mayHaveRun: true}
	defer func() {
		if recover() == nil && (len(got) != 1 || got[0].Kind != Failed || check.Violations() != 1) {
			t.Errorf("answers %+v, %d breaches", got, check.Violations())
		}
	}()
	o.answer(p, Answer{Kind: BackOff})
}

// TestPanicIsRecovered checks that a panic in an event does not end the engine.
func TestPanicIsRecovered(t *testing.T) {
	o := New(Config{Check: &invariant.Checker{}, QueueSize: 1})
	defer func() {
		if recover() == nil && o.Check.Violations() != 1 {
			t.Errorf("%d breaches", o.Check.Violations())
		}
	}()
	o.runEvent(func(time.Duration) { panic("as a test") })
}

// FuzzEngine plays random steps of clients, hosts, the inventory and time on two engines between which messages are handed over,
// and checks against a model: one answer for each message, in time; a back-off answer and a further send of an unsafe message only
// if nothing may have run; one attempt of a message at a host at a time; nothing sent to a draining host.
func FuzzEngine(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
	f.Add([]byte("0000warning boxes and gauges0000\xff\xfe\xfd7777"))
	f.Add([]byte{0, 8, 16, 24, 2, 10, 18, 7 + 8, 3, 11, 15, 6 + 8*9, 0, 8, 7 + 24, 2, 10, 7 + 56, 1, 9, 4, 12, 7 + 8, 6 + 8*20, 4, 7 + 24})
	f.Add([]byte{0, 16, 0, 24, 8, 2, 2, 10, 18, 3, 3, 5, 13, 21, 6, 14, 4, 12, 20, 28, 7, 15, 23, 31})
	f.Fuzz(func(t *testing.T, steps []byte) {
		runInBubble(t, func(t *testing.T, b *harness) { playSteps(t, b, steps[:min(len(steps), 200)]) })
	})
}

func playSteps(t *testing.T, b *harness, steps []byte) {
	draining := map[string]bool{}
	checked := 0
	for _, step := range steps {
		n := int(step >> 3)
		var s *sentAttempt
		if len(b.sends) > 0 {
			s = b.sends[len(b.sends)-1-n%len(b.sends)]
		}
		switch op := step & 7; {
		case op == 0:
			b.submit(n%2, time.Duration(n%4)*1700*time.Millisecond)
		case op == 1 && s != nil:
			status := []balance.Status{balance.ConnectFailed, balance.Full, balance.Reset, balance.Errored, balance.NotSent}[n%5]
			if !s.a.MaySend() {
				status = balance.NotSent
			}
			s.mayHaveRun = s.mayHaveRun || !s.ended && !status.NotRun()
			s.ended = true
			b.ended(s, status)
		case op == 2 && s != nil:
			s.a.MarkAccepted()
			b.report(s, Started, "")
		case op == 3 && s != nil:
			state := []JobState{Done, Errored, Returned, Lost, Progress}[n%5]
			if x, again := b.reportedAttempt(s); x != nil && state != Progress {
				x.ended, x.mayHaveRun, x.returned = true, state != Returned || again, state == Returned
			}
			b.report(s, state, "result")
		case op == 4 && len(b.messages) > 0:
			m := b.messages[len(b.messages)-1-n%len(b.messages)]
			m.disconnected = true
			for _, o := range b.engines {
				o.Disconnected(m.m)
			}
			synctest.Wait()
		case op == 5:
			h := testHost(n%4, balance.State(n/4%2))
			draining[h.Name] = h.Worker.State == balance.Draining
			for _, o := range b.engines {
				o.UpdateHosts(balance.ListChanges, []Host{h})
			}
			synctest.Wait()
		case op == 6:
			b.wait(time.Duration(n) * 40 * time.Millisecond)
		case op == 7 && n%2 == 1: // an upgrade: all messages are handed over, except those that are refused
			for i, m := range b.messages {
				b.handOver(m, n/2%4 != i%4)
			}
			b.current = b.engines[n/2%2]
		case op == 7:
			b.current.UpdateHosts(balance.ListFailed, nil)
			synctest.Wait()
		}
		for _, s := range b.sends {
			if errors.Is(context.Cause(s.ctx), ErrWithdrawn) && !s.ended { // the backend withdraws it
				s.ended, s.mayHaveRun = true, true
				b.ended(s, balance.Cancelled)
			}
		}
		for ; checked < len(b.sends); checked++ {
			b.checkSend(checked, draining)
		}
	}
	b.wait(6 * time.Second)
	for i, m := range b.messages {
		if n := len(m.answers); n > 1 || n == 0 && !m.disconnected {
			t.Errorf("message %d has %d answers, disconnected %v", i, n, m.disconnected)
		} else if late := m.answeredAt - m.m.Arrived - m.m.Job.Left; n > 0 && late > DeadlineGrace+b.current.Settings.Tick {
			t.Errorf("message %d is answered %v after its deadline", i, late)
		}
	}
	for _, o := range b.engines {
		if n := o.Check.Violations(); n > 0 || len(o.jobs)+len(o.byKey)+len(o.moving) > 0 {
			t.Errorf("%d breaches; kept: %d jobs, %d keys, %d moving", n, len(o.jobs), len(o.byKey), len(o.moving))
		}
	}
}

// checkSend checks a send against all earlier ones.
func (b *harness) checkSend(i int, draining map[string]bool) {
	s := b.sends[i]
	for _, old := range b.sends[:i] {
		if old.a.Message != s.a.Message {
			continue
		}
		if !old.ended && old.a.Host.Name == s.a.Host.Name {
			b.t.Errorf("two attempts at %s at once", s.a.Host.Name)
		}
		if (old.mayHaveRun || !old.ended) && s.a.Message.Job.Class == warning {
			b.t.Error("an unsafe message is sent again though it may have run")
		}
		if old.mayHaveRun && old.a.Host.Worker.Cell != s.a.Host.Worker.Cell {
			b.t.Error("a keyed message leaves its cell")
		}
	}
	if draining[s.a.Host.Name] {
		b.t.Errorf("send to %s, which drains", s.a.Host.Name)
	}
}

// TestClosedMessagesLeaveNoTimers guards against timers that outlive their message: on the wheel they keep its payload in memory
// until the deadline, and 5 s of load do not fit in memory.
func TestClosedMessagesLeaveNoTimers(t *testing.T) {
	runInBubble(t, func(t *testing.T, b *harness) {
		idle := b.current.wheel.Len()
		for i := range 20 {
			m := b.submit(warning, 5*time.Second)
			s := b.sends[len(b.sends)-1]
			switch i % 3 {
			case 0:
				b.report(s, Done, "")
			case 1:
				b.ended(s, balance.Errored)
				b.wait(time.Second)
			default:
				b.current.Disconnected(m.m)
				synctest.Wait()
				b.ended(s, balance.Cancelled)
			}
		}
		if len(b.current.jobs) != 0 || b.current.wheel.Len() > idle+1 { // the scheduler's own tick may be on it
			t.Errorf("%d jobs, %d timers, at first %d", len(b.current.jobs), b.current.wheel.Len(), idle)
		}
	})
}
