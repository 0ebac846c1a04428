package admission

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"micatrack/balance"
	"micatrack/internal/random"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same verdict every time

const (
	ms     = 10
	second = 1000 * ms
)

func testSettings() balance.Settings {
	return balance.Settings{Seed: 7, EventInterval: 5 * ms, MaxRetryAfter: second, Classes: []balance.Class{
		{Name: "read", ExpectedTime: 300 * ms, Deadline: 1200 * ms, Credit: 1},
		{Name: "save", Need: balance.Write, ExpectedTime: 600 * ms, Deadline: 3 * second, Credit: 4, LateCredit: 0.3}}}
}

func testBounds() Bounds {
	return Bounds{MaxRequests: 4096, MaxBytes: 16 << 20, DedicatedTenants: 128, SharedQueues: 64, SharedWeight: 0.25, RetriesPerRequest: 0.5}
}

// TestBounds: what waits is bounded in number and bytes; when it is full the customer with most waiting for its
// weight makes room.
func TestBounds(t *testing.T) {
	l := &refusals{t: t, now: 1e12, back: map[int32]bool{}}
	b := testBounds()
	b.MaxRequests, b.MaxBytes = 20, 10_000
	c := testSettings()
	d, err := New(l.now, c, b, l)
	if err != nil {
		t.Fatal(err)
	}
	job := int32(0)
	come := func(customer string, n, bytes int) {
		for range n {
			d.Arrive(l.now, Arrival{Request: job, Class: 1, Tenant: []byte(customer), Client: uint64(job), TimeLeft: 3 * second, Bytes: bytes})
			job++
		}
	}
	come("a", quietRoom, 10) // they fill the module
	come("a", 30, 10)
	if d.Waiting() != 20 || len(l.back) != 10 {
		t.Errorf("%d wait, %d are turned back", d.Waiting(), len(l.back))
	}
	come("b", 5, 10)
	if d.Waiting() != 20 || l.back[quietRoom+30] || l.back[quietRoom+34] || !l.back[quietRoom+19] {
		t.Errorf("%d wait, of those turned back: %v", d.Waiting(), l.back)
	}
	come("b", 1, 9_900)
	if d.Waiting() > 20 || d.bytes > b.MaxBytes || l.back[quietRoom+35] {
		t.Errorf("%d wait with %d bytes", d.Waiting(), d.bytes)
	}
	l.now += 2 * second
	d.Tick(l.now)
	if d.Waiting() != 0 || d.bytes != 0 || d.nextToFail != -1 {
		t.Errorf("%d wait with %d bytes after all their time", d.Waiting(), d.bytes)
	}
	for _, bad := range []Bounds{{}, {MaxRequests: 1, MaxBytes: 1, DedicatedTenants: 1, SharedQueues: 1}, {MaxRequests: 1, MaxBytes: 1, DedicatedTenants: 1, SharedQueues: 1, SharedWeight: 1, RetriesPerRequest: -1}} {
		if _, err := New(0, c, bad, l); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
}

// refusals is a gate to a module that never sends, and that notes who is turned back.
type refusals struct {
	t    interface{ Fatalf(string, ...any) }
	now  Time
	back map[int32]bool
}

func (r *refusals) Admit(int32) {}
func (r *refusals) Log(string)  {}
func (r *refusals) Reject(job int32, _ Time) {
	if r.back[job] {
		r.t.Fatalf("job %d is turned back twice", job)
	}
	r.back[job] = true
}

// TestAnyOrder: calls in any order that a front could make leave nothing behind and answer no job twice.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &refusals{t: t, now: 1e12, back: map[int32]bool{}}
		b := testBounds()
		b.MaxRequests = 8
		d, err := New(l.now, testSettings(), b, l)
		if err != nil {
			t.Fatal(err)
		}
		here := map[int32]bool{}
		job := int32(0)
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 1<<16), 1, 300).Draw(t, "ops") {
			some := int32(op/8) % max(job, 1)
			switch op % 8 {
			case 0, 1, 2:
				here[job] = true
				d.Arrive(l.now, Arrival{Request: job, Class: op / 8 % 2, Tenant: []byte{byte(op / 16 % 4)}, Client: uint64(op), Group: uint64(op / 64 % 3),
					TimeLeft: Time(1+op%4) * second, MarkedRetry: op&512 != 0, RetryKey: []byte{byte(op / 32)}, Bytes: 10})
				job++
			case 3:
				if !l.back[some] {
					d.AttemptStarted(l.now, some)
				}
			case 4:
				d.AttemptEnded(l.now, some, op&512 != 0)
			case 5:
				d.RequestEnded(l.now, some)
				delete(here, some)
			case 6:
				l.now += Time(op)
				d.Tick(l.now)
			case 7:
				d.AdmitWaiting(l.now)
				d.RetryAfter(l.now, some, Time(op))
			}
		}
		for i := range here {
			d.RequestEnded(l.now, i)
		}
		if d.waiting != 0 || d.bytes != 0 || d.nextToFail != -1 {
			t.Fatalf("%d wait, %d bytes", d.waiting, d.bytes)
		}
		for i := range d.lanes {
			if l := &d.lanes[i]; l.admitted != 0 || l.attempting != 0 || l.waiting != 0 || l.next != -1 || l.ownWeight != 0 || l.sharedWaiting != 0 {
				t.Fatalf("lane %d: %+v", i, *l)
			}
		}
	})
}

// TestPiles holds the heap against a plain sorted slice.
func TestPiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 60).Draw(t, "keys")
		before := func(a, b int32) bool { return keys[a] < keys[b] || keys[a] == keys[b] && a < b }
		p := piles{before: before}
		p.grow(len(keys))
		top := int32(-1)
		var plain []int32
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 1<<20), 1, 200).Draw(t, "ops") {
			i := int32(op % len(keys))
			if k := slices.Index(plain, i); k < 0 {
				top = p.put(top, i)
				plain = append(plain, i)
			} else {
				if op&1024 != 0 {
					i = top // from the top, else from anywhere
					k = slices.Index(plain, i)
				}
				top = p.cut(top, i)
				plain = slices.Delete(plain, k, k+1)
			}
			want := int32(-1)
			if len(plain) > 0 {
				want = slices.MinFunc(plain, func(a, b int32) int { return cmp.Or(cmp.Compare(keys[a], keys[b]), cmp.Compare(a, b)) })
			}
			if top != want {
				t.Fatalf("top is %d, want %d of %v", top, want, plain)
			}
		}
		for range plain {
			top = p.cut(top, top)
		}
		if top != -1 || slices.ContainsFunc(p.knots, func(k knot) bool { return k != loose }) {
			t.Fatalf("not all is given back: %d %v", top, p.knots)
		}
	})
}

// TestShelvesFindTheHeavy: against exact counts, no customer's jobs are counted too low, and none that came often is
// left without a place, though strangers come by the hundred thousand.
func TestShelvesFindTheHeavy(t *testing.T) {
	n := newNames(7, nil, 64, 16)
	chance := random.New(3)
	exact, serial := map[string]int{}, 0
	for range 4 { // epochs
		for range 20000 {
			name := fmt.Sprintf("heavy %d", chance.Below(40))
			if chance.Below(4) > 0 {
				serial++
				name = fmt.Sprintf("stranger %d", serial)
			}
			exact[name]++
			n.at([]byte(name))
		}
		n.turn(func(int32) bool { return true })
	}
	for i := range 40 {
		if place := n.at([]byte(fmt.Sprintf("heavy %d", i))); !n.owned(place) {
			t.Errorf("heavy %d, with %d jobs, has no place of its own", i, exact[fmt.Sprintf("heavy %d", i)])
		}
	}
	if got := len(n.own); got != 40 {
		t.Errorf("%d have places of their own", got)
	}
	bytes := len(n.shelves)*ways*24 + len(n.steady)*40
	t.Logf("%d names seen; %d bytes kept, a map of all would keep about %d", len(exact), bytes, len(exact)*48)
}
