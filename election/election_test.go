package election

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func holder(key string) Holder { return Holder{Key: key, Incarnation: 1} }

func TestBestBidWinsAfterTheWindow(t *testing.T) {
	is := is.New(t)
	e := New(Options{}, Award{})
	_, ok := e.Tick(0)
	is.True(!ok)
	is.True(e.Bid(100*ms, Bid{holder("c"), 1}))
	is.True(e.Bid(150*ms, Bid{holder("b"), 0}))
	is.True(e.Bid(160*ms, Bid{holder("a"), 1}))
	is.True(e.Bid(170*ms, Bid{holder("d"), 0}))
	at, ok := e.NextTick()
	is.True(ok)
	is.Equal(at, 300*ms)
	_, ok = e.Tick(299 * ms)
	is.True(!ok)
	award, ok := e.Tick(300 * ms)
	is.True(ok)
	is.Equal(award, Award{Term: 1, Holder: holder("b")})
	is.Equal(e.Current(), award)
	is.True(!e.Bid(310*ms, Bid{holder("a"), 0})) // it has a holder
	_, ok = e.NextTick()
	is.True(!ok)
}

func TestVacancy(t *testing.T) {
	is := is.New(t)
	e := New(Options{Window: 50 * ms}, Award{Term: 6, Holder: holder("a")})
	is.True(!e.SessionEnded(Holder{"a", 2})) // another incarnation
	is.True(!e.SessionEnded(holder("b")))
	is.True(!e.Resign(holder("b")))
	is.True(e.SessionEnded(holder("a")))
	is.True(!e.SessionEnded(holder("a")))
	is.True(e.Current().Vacant())
	is.Equal(e.Current().Term, uint64(6))

	e.Bid(1000*ms, Bid{holder("b"), 0})
	award, ok := e.Tick(1050 * ms)
	is.True(ok)
	is.Equal(award, Award{Term: 7, Holder: holder("b")})
	is.True(e.Resign(holder("b")))
	is.True(e.Current().Vacant())
}

func TestWithdrawnAndEndedBidsAreIgnored(t *testing.T) {
	is := is.New(t)
	e := New(Options{}, Award{})
	is.True(!e.Bid(0, Bid{}))
	e.Bid(0, Bid{holder("a"), 0})
	e.Bid(0, Bid{holder("b"), 1})
	e.Bid(0, Bid{holder("c"), 2})
	e.SessionEnded(holder("a"))
	e.SessionEnded(Holder{"c", 7}) // not the incarnation that bid
	e.Withdraw("b")
	award, ok := e.Tick(200 * ms)
	is.True(ok)
	is.Equal(award.Holder, holder("c"))

	e = New(Options{}, Award{})
	e.Bid(0, Bid{holder("a"), 0})
	e.Withdraw("a")
	_, ok = e.Tick(200 * ms)
	is.True(!ok)
	e.Bid(500*ms, Bid{holder("a"), 0}) // a new window starts
	at, _ := e.NextTick()
	is.Equal(at, 700*ms)
}

// TestEachTermHasOneHolderAndTermsIncrease draws random events, including a change of the process that runs the election.
func TestEachTermHasOneHolderAndTermsIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(Options{}, Award{})
		held := map[uint64]Holder{}
		now, term := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 150).Draw(t, "gap")) * ms
			h := Holder{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), uint64(rapid.IntRange(1, 2).Draw(t, "incarnation"))}
			wasVacant := e.Current().Vacant()
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				if counts := e.Bid(now, Bid{h, rapid.IntRange(0, 2).Draw(t, "rank")}); counts != wasVacant {
					t.Fatalf("bid accepted: %v, vacant: %v", counts, wasVacant)
				}
			case 1:
				e.SessionEnded(h)
				if e.Current().Holder == h {
					t.Fatalf("%v holds the duty without a session", h)
				}
			case 2:
				e.Resign(h)
			case 3:
				e = New(Options{}, e.Current())
			}
			if award, ok := e.Tick(now); ok {
				if award.Term <= term || held[award.Term] != (Holder{}) || award.Vacant() || !e.Current().Vacant() && e.Current() != award {
					t.Fatalf("award %+v after term %d", award, term)
				}
				held[award.Term] = award.Holder
			}
			if e.Current().Term < term {
				t.Fatalf("term decreased from %d to %d", term, e.Current().Term)
			}
			term = e.Current().Term
		}
	})
}

func TestBidsOfEarlierVacancyAreDiscarded(t *testing.T) {
	is := is.New(t)
	e := New(Options{}, Award{})
	e.Bid(0, Bid{holder("a"), 0})
	e.Bid(0, Bid{holder("b"), 1})
	e.Tick(200 * ms)
	is.True(e.Resign(holder("a")))
	_, ok := e.Tick(1000 * ms)
	is.True(!ok)
}
