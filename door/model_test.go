package door

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"micatrack/balance"
	"micatrack/internal/mwc"
)

func init() { flag.Set("rapid.seed", "20261201") } // the same verdict every time

// ideal shares the stores' time as if work could be cut as fine as one likes: whoever has work gets by weight. It
// is the slow, plain model that the door is held against.
type ideal struct {
	weights, queued, served []float64
}

func (m *ideal) pass(work float64) {
	for work > 1e-9 {
		weight, least := 0.0, math.Inf(1)
		for i, q := range m.queued {
			if q > 1e-9 {
				weight += m.weights[i]
				least = min(least, q/m.weights[i])
			}
		}
		if weight == 0 {
			return
		}
		part := min(least, work/weight)
		for i := range m.queued {
			if m.queued[i] > 1e-9 {
				m.queued[i] -= part * m.weights[i]
				m.served[i] += part * m.weights[i]
			}
		}
		work -= part * weight
	}
}

// line is a gate to stores with a few places, behind a module that holds in order of arrival.
type line struct {
	t      interface{ Fatalf(string, ...any) }
	door   *Door
	now    Time
	places int
	held   []int32
	out    []int32
	ends   []Time
	owner  map[int32]int
	served []float64
	work   float64
}

func (l *line) LetIn(job int32) {
	l.held = append(l.held, job)
	l.send()
}
func (l *line) TurnBack(job int32, _ Time) { l.t.Fatalf("job %d is turned back", job) }
func (l *line) Log(string)                 {}
func (l *line) send() {
	for len(l.out) < l.places && len(l.held) > 0 {
		job := l.held[0]
		l.held = l.held[1:]
		l.out, l.ends = append(l.out, job), append(l.ends, l.now+Time(l.work))
		l.served[l.owner[job]] += l.work
		l.door.Sent(l.now, job)
	}
}

// TestIdealSharing: on generated arrivals no customer falls behind its ideal share by more than a job of its own, its
// part of one of each other's, and what is with the stores and in the module already.
func TestIdealSharing(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "customers")
		c := testCharter()
		c.Profiles = []balance.Profile{{Name: "p", ExpectedTime: 200 * ms, OuterLimit: 1 << 30, Credit: 1, LateCredit: 1}}
		l := &line{t: t, now: 1e12, places: rapid.IntRange(1, 4).Draw(t, "places"), owner: map[int32]int{}, served: make([]float64, n),
			work: 50 * ms}
		m := &ideal{make([]float64, n), make([]float64, n), make([]float64, n)}
		for i := range n {
			c.Customers = append(c.Customers, balance.Customer{Name: fmt.Sprint(i), Quota: float64(rapid.IntRange(1, 4).Draw(t, "quota"))})
		}
		var err error
		if l.door, err = New(l.now, c, testBounds(), l); err != nil {
			t.Fatal(err)
		}
		mean, all := 0.0, 0.0
		for i := range n {
			mean += c.Customers[i].Quota / float64(n)
		}
		for i := range n {
			m.weights[i] = c.Customers[i].Quota / mean
			all += m.weights[i]
		}
		type burst struct{ at, customer, jobs int }
		bursts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) burst {
			return burst{rapid.IntRange(0, 200).Draw(t, "at"), rapid.IntRange(0, n-1).Draw(t, "customer"), rapid.IntRange(1, 40).Draw(t, "jobs")}
		}), 1, 30).Draw(t, "bursts")
		job := int32(0)
		for step := range 400 {
			for _, b := range bursts {
				if b.at != step {
					continue
				}
				for range b.jobs {
					l.owner[job] = b.customer
					m.queued[b.customer] += l.work
					l.door.Arrive(l.now, Arrival{Job: job, Customer: []byte(c.Customers[b.customer].Name), Client: uint64(job), Left: 1 << 30,
						Bytes: 1})
					job++
				}
			}
			l.door.Beat(l.now)
			for i := range n {
				bound := l.work * (2 + float64(n)*m.weights[i]/all + float64(l.places) + begin)
				if lag := m.served[i] - l.served[i]; lag > bound {
					t.Fatalf("step %d: customer %d is %.0f behind, bound %.0f", step, i, lag, bound)
				} else {
					worst = max(worst, lag/l.work)
				}
			}
			l.now += 5 * ms
			m.pass(float64(l.places) * 5 * ms)
			for k := 0; k < len(l.out); k++ {
				if l.ends[k] <= l.now {
					done := l.out[k]
					l.out, l.ends = append(l.out[:k:k], l.out[k+1:]...), append(l.ends[:k:k], l.ends[k+1:]...)
					k--
					l.door.Back(l.now, done, true)
					l.door.Ended(l.now, done)
					l.send()
				}
			}
		}
	})
	t.Logf("furthest behind: %.1f jobs", worst)
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
	chance := mwc.New(3)
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
