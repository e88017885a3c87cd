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
	r := New(Options{}, Award{})
	_, ok := r.Tick(0)
	is.True(!ok)
	is.True(r.Bid(100*ms, Bid{holder("c"), 1}))
	is.True(r.Bid(150*ms, Bid{holder("b"), 0}))
	is.True(r.Bid(160*ms, Bid{holder("a"), 1}))
	is.True(r.Bid(170*ms, Bid{holder("d"), 0}))
	at, ok := r.NextTick()
	is.True(ok)
	is.Equal(at, 300*ms)
	_, ok = r.Tick(299 * ms)
	is.True(!ok)
	award, ok := r.Tick(300 * ms)
	is.True(ok)
	is.Equal(award, Award{Term: 1, Holder: holder("b")})
	is.Equal(r.Current(), award)
	is.True(!r.Bid(310*ms, Bid{holder("a"), 0})) // it is taken
	_, ok = r.NextTick()
	is.True(!ok)
}

func TestVacancy(t *testing.T) {
	is := is.New(t)
	r := New(Options{Window: 50 * ms}, Award{Term: 6, Holder: holder("a")})
	is.True(!r.SessionEnded(Holder{"a", 2})) // another incarnation
	is.True(!r.SessionEnded(holder("b")))
	is.True(!r.Resign(holder("b")))
	is.True(r.SessionEnded(holder("a")))
	is.True(!r.SessionEnded(holder("a")))
	is.True(r.Current().Vacant())
	is.Equal(r.Current().Term, uint64(6))

	r.Bid(1000*ms, Bid{holder("b"), 0})
	award, ok := r.Tick(1050 * ms)
	is.True(ok)
	is.Equal(award, Award{Term: 7, Holder: holder("b")})
	is.True(r.Resign(holder("b")))
	is.True(r.Current().Vacant())
}

func TestBidsThatAreVoid(t *testing.T) {
	is := is.New(t)
	r := New(Options{}, Award{})
	is.True(!r.Bid(0, Bid{}))
	r.Bid(0, Bid{holder("a"), 0})
	r.Bid(0, Bid{holder("b"), 1})
	r.Bid(0, Bid{holder("c"), 2})
	r.SessionEnded(holder("a"))
	r.SessionEnded(Holder{"c", 7}) // not the one that bid
	r.Withdraw("b")
	award, ok := r.Tick(200 * ms)
	is.True(ok)
	is.Equal(award.Holder, holder("c"))

	r = New(Options{}, Award{})
	r.Bid(0, Bid{holder("a"), 0})
	r.Withdraw("a")
	_, ok = r.Tick(200 * ms)
	is.True(!ok)
	r.Bid(500*ms, Bid{holder("a"), 0}) // the window begins anew
	at, _ := r.NextTick()
	is.Equal(at, 700*ms)
}

// TestOneHolderATermAndTermsGrow draws events, and has the process that runs the rounds changed in between.
func TestOneHolderATermAndTermsGrow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Options{}, Award{})
		held := map[uint64]Holder{}
		now, term := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 150).Draw(t, "gap")) * ms
			h := Holder{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), uint64(rapid.IntRange(1, 2).Draw(t, "incarnation"))}
			wasVacant := r.Current().Vacant()
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				if counts := r.Bid(now, Bid{h, rapid.IntRange(0, 2).Draw(t, "rank")}); counts != wasVacant {
					t.Fatalf("a bid counts: %v, vacant: %v", counts, wasVacant)
				}
			case 1:
				r.SessionEnded(h)
				if r.Current().Holder == h {
					t.Fatalf("%v holds the duty without a session", h)
				}
			case 2:
				r.Resign(h)
			case 3:
				r = New(Options{}, r.Current())
			}
			if award, ok := r.Tick(now); ok {
				if award.Term <= term || held[award.Term] != (Holder{}) || award.Vacant() || !r.Current().Vacant() && r.Current() != award {
					t.Fatalf("award %+v after term %d", award, term)
				}
				held[award.Term] = award.Holder
			}
			if r.Current().Term < term {
				t.Fatalf("term went back from %d to %d", term, r.Current().Term)
			}
			term = r.Current().Term
		}
	})
}

func TestBidsOfAnEarlierVacancyAreForgotten(t *testing.T) {
	is := is.New(t)
	r := New(Options{}, Award{})
	r.Bid(0, Bid{holder("a"), 0})
	r.Bid(0, Bid{holder("b"), 1})
	r.Tick(200 * ms)
	is.True(r.Resign(holder("a")))
	_, ok := r.Tick(1000 * ms)
	is.True(!ok)
}
