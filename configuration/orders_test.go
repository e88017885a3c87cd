package configuration

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// configurationBody returns a small configuration; the label makes it differ from others of the same revision.
func configurationBody(revision int, label string) []byte {
	return fmt.Appendf(nil, `{"Revision":%d,"Note":%q,"Routes":[{"Name":"r","Hostname":"h","PathPrefix":"/","Backend":"s","TimeoutMs":%d}],`+
		`"Services":[{"Name":"s"}]}`, revision, label, revision)
}

func replace(base uint64, revision int, label string) Order {
	return Order{VerbReplace, base, configurationBody(revision, label)}
}

// applyOrder decides about an order and commits it if it is to be written.
func applyOrder(o *Orders, order Order) Decision {
	d := o.Decide(order)
	if d.Action == ActionWrite {
		o.Commit(d.Hash)
		return Decision{Action: ActionRespond, Status: StatusApplied, Hash: d.Hash}
	}
	return d
}

func TestFirstConfiguration(t *testing.T) {
	is := is.New(t)
	o := NewOrders(nil, nil)
	is.Equal(applyOrder(o, replace(3, 5, "a")).Status, StatusVersionConflict)
	is.Equal(applyOrder(o, replace(0, 0, "a")).Status, StatusInvalid)
	is.Equal(applyOrder(o, replace(0, 5, "a")).Status, StatusApplied)
	is.Equal(o.Current().Revision, uint64(5))
	is.Equal(applyOrder(o, replace(0, 5, "a")).Status, StatusApplied)
	is.Equal(applyOrder(o, replace(0, 5, "b")).Status, StatusVersionConflict) // same revision, different content
}

func TestAppliedOrderIsAcknowledgedForever(t *testing.T) {
	is := is.New(t)
	o := NewOrders(nil, nil)
	first := replace(0, 1, "a")
	is.Equal(applyOrder(o, first).Status, StatusApplied)
	applied := map[string]uint64{first.Hash(): 1}
	for i := range 10 {
		order := Order{VerbUpdate, uint64(i + 1), fmt.Appendf(nil, `{"Revision":%d,"Upsert":{"Services":[{"Name":"s%d"}]}}`, i+2, i)}
		is.Equal(applyOrder(o, order).Status, StatusApplied)
		applied[order.Hash()] = uint64(i + 2)
	}
	is.Equal(applyOrder(o, first).Status, StatusApplied)
	is.Equal(o.Current().Revision, uint64(11)) // the repeated order is not applied again
	is.Equal(o.Applied(), 11)
	// Another process continues from the records.
	after := NewOrders(o.Current(), applied)
	is.Equal(applyOrder(after, first).Status, StatusApplied)
	is.Equal(applyOrder(after, replace(10, 20, "x")).Status, StatusVersionConflict)
	is.Equal(applyOrder(after, replace(11, 20, "x")).Status, StatusApplied)
}

func TestOnlyOneOrderIsPending(t *testing.T) {
	is := is.New(t)
	o := NewOrders(nil, nil)
	a, b := replace(0, 1, "a"), replace(0, 1, "b")
	da := o.Decide(a)
	is.Equal(da.Action, ActionWrite)
	is.Equal(o.Decide(a).Action, ActionWait) // the same, repeated
	is.Equal(o.Decide(b).Action, ActionWait) // undecided: a may still fail
	is.True(o.Current() == nil)
	o.Abort(da.Hash)
	db := o.Decide(b)
	is.Equal(db.Action, ActionWrite)
	o.Commit(da.Hash) // not the pending order
	is.Equal(o.Decide(a).Action, ActionWait)
	o.Commit(db.Hash)
	is.Equal(o.Decide(a).Status, StatusVersionConflict)
	is.Equal(string(o.Current().Raw), string(b.Body))
}

func TestHashDistinguishesOrders(t *testing.T) {
	is := is.New(t)
	orders := []Order{
		{VerbReplace, 1, []byte("a")}, {VerbUpdate, 1, []byte("a")}, {VerbReplace, 2, []byte("a")}, {VerbReplace, 1, []byte("b")},
		{VerbReplace, 11, []byte("")}, {VerbReplace, 1, []byte("1")}, {VerbReplace, 1, nil},
	}
	seen := make(map[string]bool)
	for _, o := range orders {
		is.Equal(o.Hash(), o.Hash())
		is.Equal(len(o.Hash()), 2*hashBytes)
		seen[o.Hash()] = true
	}
	is.Equal(len(seen), len(orders))
}

func TestParseBase(t *testing.T) {
	is := is.New(t)
	base, err := ParseBase(" 17 ")
	is.NoErr(err)
	is.Equal(base, uint64(17))
	for _, header := range []string{"", "x", "-1", "1.5", "1 2", "99999999999999999999"} {
		_, err := ParseBase(header)
		is.Equal(KindOf(err), KindBaseVersion)
	}
}

// model is a simple reference model of Orders.
type model struct {
	current  uint64
	winners  map[uint64]string // hash of the order that was applied on each base
	applied  map[string]bool
	sent     []Order
	known    map[string]uint64 // records
	raw      []byte
	rejected map[string]bool // orders that are invalid regardless of the current version
}

// TestOrdersModel compares Orders with the model for valid, stale, invalid and repeated orders, with writes that succeed, that fail before
// anything was written, or whose outcome the next process finds in the records.
func TestOrdersModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := NewOrders(nil, nil)
		m := &model{winners: map[uint64]string{}, applied: map[string]bool{}, known: map[string]uint64{}, rejected: map[string]bool{}}
		var pending *Decision
		var pendingOrder Order
		commit := func() {
			m.current = pending.Configuration.Revision
			m.raw = pending.Configuration.Raw
			m.known[pending.Hash] = m.current
			if other, ok := m.winners[pendingOrder.Base]; ok && other != pending.Hash {
				t.Fatalf("two orders applied on base %d", pendingOrder.Base)
			}
			m.winners[pendingOrder.Base] = pending.Hash
			m.applied[pending.Hash] = true
			pending = nil
		}
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				order, valid := drawOrder(t, m)
				d := o.Decide(order)
				check(t, m, order, valid, d, pending)
				if d.Action == ActionWrite {
					pending, pendingOrder = &d, order
				}
			},
			"commit": func(t *rapid.T) {
				if pending == nil {
					t.Skip()
				}
				o.Commit(pending.Hash)
				commit()
			},
			"abort": func(t *rapid.T) {
				if pending == nil {
					t.Skip()
				}
				o.Abort(pending.Hash)
				pending = nil
			},
			"restart": func(t *rapid.T) {
				if pending != nil {
					if rapid.Bool().Draw(t, "written") {
						commit()
					}
					pending = nil
				}
				var current *Configuration
				if m.raw != nil {
					var err error
					if current, err = Parse(m.raw); err != nil {
						t.Fatal(err)
					}
				}
				o = NewOrders(current, m.known)
			},
			"": func(t *rapid.T) {
				if o.revision() != m.current || o.Applied() != len(m.applied) {
					t.Fatalf("revision %d, want %d; %d orders applied, want %d", o.revision(), m.current, o.Applied(), len(m.applied))
				}
				if m.raw != nil && string(o.Current().Raw) != string(m.raw) {
					t.Fatalf("wrong configuration is current: %s", o.Current().Raw)
				}
			},
		})
	})
}

// drawOrder draws an order, and reports whether it is valid when its base is current.
func drawOrder(t *rapid.T, m *model) (Order, bool) {
	if len(m.sent) > 0 && rapid.Bool().Draw(t, "repeat") {
		order := rapid.SampledFrom(m.sent).Draw(t, "sent")
		return order, !m.rejected[order.Hash()]
	}
	base := m.current
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = uint64(rapid.IntRange(0, int(m.current)+2).Draw(t, "base"))
	}
	step := rapid.IntRange(-1, 3).Draw(t, "step")
	revision, label := int(base)+step, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "label")
	order := replace(base, revision, label)
	valid := step > 0
	if m.current > 0 && rapid.Bool().Draw(t, "update") {
		order = Order{VerbUpdate, base, fmt.Appendf(nil, `{"Revision":%d,"Upsert":{"Services":[{"Name":"s","Note":%q}]}}`, revision, label)}
	}
	if rapid.IntRange(0, 3).Draw(t, "broken") == 0 {
		order.Body = order.Body[:len(order.Body)-1]
		valid = false
	}
	m.sent = append(m.sent, order)
	if !valid {
		m.rejected[order.Hash()] = true
	}
	return order, valid
}

func check(t *rapid.T, m *model, order Order, valid bool, d Decision, pending *Decision) {
	var want Decision
	switch {
	case m.applied[order.Hash()]:
		want.Action, want.Status = ActionRespond, StatusApplied
	case pending != nil:
		want.Action = ActionWait
	case order.Base != m.current:
		want.Action, want.Status = ActionRespond, StatusVersionConflict
	case !valid:
		want.Action, want.Status = ActionRespond, StatusInvalid
	default:
		want.Action = ActionWrite
	}
	if d.Action != want.Action || d.Status != want.Status {
		t.Fatalf("%d %d, not %d %d, to %d on %d: %s (%v)", d.Action, d.Status, want.Action, want.Status, order.Verb, order.Base, order.Body, d.Err)
	}
}
