package admission_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/tenantsim"
)

const (
	ms     = 10
	second = 1000 * ms
)

// newWorld makes a world with a door or without one; at the end of the test it says what must not have happened.
func newWorld(t *testing.T, places int, on bool, parties ...*tenantsim.Tenant) *tenantsim.Simulation {
	var b *admission.Bounds
	if on {
		bounds := tenantsim.Bounds()
		b = &bounds
	}
	w, err := tenantsim.New(places, b, parties...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, b := range w.Violations {
			t.Error(b)
		}
	})
	return w
}

// crowd is twenty steady customers of 10 jobs a second each.
func steadyOnes(n int, rate float64) []*tenantsim.Tenant {
	var list []*tenantsim.Tenant
	for i := range n {
		list = append(list, &tenantsim.Tenant{Name: fmt.Sprintf("steady %d", i), Rate: tenantsim.ConstantRate(rate), Clients: 8, Retries: 2, Marked: true})
	}
	return list
}

// TestSurgeOfOneCustomer: one customer at ten times its share against twenty steady ones: without the door in the
// order of arrival and of credit, and with it. 10 places of 37.5 ms are 267 jobs a second.
func TestSurgeOfOneCustomer(t *testing.T) {
	type row struct {
		name       string
		fifo, door bool
		surge      bool
	}
	calm := 0.0
	for _, r := range []row{{"door, no surge", false, true, false}, {"arrival", true, false, true},
		{"credit, newest first", false, false, true}, {"door", false, true, true}} {
		parties := steadyOnes(20, 10)
		big := &tenantsim.Tenant{Name: "surge", Rate: tenantsim.ConstantRate(10), Clients: 8, Retries: 2, Marked: true}
		if r.surge {
			big.Rate = func(now balance.Time) float64 {
				if now-tenantsim.Start >= 5*second {
					return 130
				}
				return 10
			}
		}
		w := newWorld(t, 10, r.door, append(parties, big)...)
		w.FIFO = r.fifo
		w.Run(30 * 1000 * ms)
		var shares []float64
		worst, sum := 1.0, 0.0
		for _, p := range parties {
			shares = append(shares, p.Share())
			worst, sum = min(worst, p.Share()), sum+p.Share()/20
		}
		if r.surge == false {
			calm = sum
		}
		// Jain's index of what each got of what it would get if work could be cut as fine as one likes.
		ideal := fair(parties, big, 267*30)
		for i := range shares {
			shares[i] = float64(parties[i].InTime) / ideal[i]
		}
		shares = append(shares, float64(big.InTime)/ideal[20])
		t.Logf("%-22s Jain %.4f, worst %.3f, mean %.3f; %v", r.name, tenantsim.Jain(shares), worst, sum, big)
		if r.door && (sum < calm-0.02 || worst < calm-0.05) {
			t.Errorf("%s: mean %.3f and worst %.3f of the steady ones, %.3f without the surge", r.name, sum, worst, calm)
		}
		if r.door && r.surge {
			if len(w.Logs) == 0 || !strings.Contains(w.Logs[len(w.Logs)-1], `"surge"`) {
				t.Errorf("the log names no surge: %v", w.Logs)
			}
		}
	}
}

// fair gives each customer's jobs at max-min fair sharing of that many.
func fair(parties []*tenantsim.Tenant, more *tenantsim.Tenant, jobs float64) []float64 {
	m := &tenantsim.FluidModel{}
	for _, p := range append(slices.Clone(parties), more) {
		m.Weights, m.Queued, m.Served = append(m.Weights, 1), append(m.Queued, float64(p.Requests)), append(m.Served, 0)
	}
	m.Serve(jobs)
	return m.Served
}

// TestRetriesAreTheirOwn (hard case 2): a customer whose further tries come to ten times its first ones.
func TestRetriesAreTheirOwn(t *testing.T) {
	parties := steadyOnes(20, 10)
	hasty := &tenantsim.Tenant{Name: "hasty", Rate: tenantsim.ConstantRate(100), Clients: 8, Retries: 40, IgnoresPause: true, Marked: true}
	w := newWorld(t, 10, true, append(parties, hasty)...)
	w.Run(30 * 1000 * ms)
	t.Log(hasty, w.Admission.Totals(), hasty.FirstTriesInTime, hasty.FirstTries)
	for _, p := range parties {
		if p.Share() < 0.97 {
			t.Errorf("%v", p)
		}
	}
	if hasty.Refused < 10*hasty.FirstTries/2 {
		t.Errorf("only %d turned back of %d", hasty.Refused, hasty.FirstTries)
	}
	if float64(hasty.FirstTriesInTime) < 0.5*float64(hasty.FirstTries) {
		t.Errorf("of %d first tries %d were in time", hasty.FirstTries, hasty.FirstTriesInTime)
	}
}

// TestPromisesAreKept (hard case 4): over a surge, its end, and a drain rate that halves meanwhile.
func TestPromisesAreKept(t *testing.T) {
	for _, r := range []struct {
		name string
		door bool
		set  func(w *tenantsim.Simulation)
	}{
		{"a constant time", false, func(w *tenantsim.Simulation) {
			w.Pause = func(w *tenantsim.Simulation) balance.Time { return w.Settings.MaxRetryAfter / 2 }
		}},
		{"drawn, as the module does", false, func(w *tenantsim.Simulation) {}},
		{"by what waits, not booked", true, func(w *tenantsim.Simulation) {
			w.OverridePause = func(p *tenantsim.Tenant, client uint64, pause balance.Time) balance.Time {
				return min(admission.Expected(w.Admission, p.Name, client, pause), w.Settings.MaxRetryAfter)
			}
		}},
		{"booked", true, func(w *tenantsim.Simulation) {}},
	} {
		parties := steadyOnes(20, 8)
		for i := range 4 {
			parties = append(parties, &tenantsim.Tenant{Name: fmt.Sprintf("surge %d", i), Clients: 50, Retries: 3, Marked: true, Rate: func(now balance.Time) float64 {
				if s := (now - tenantsim.Start) / 10000; s >= 5 && s < 25 {
					return 60
				}
				return 8
			}})
		}
		w := newWorld(t, 10, r.door, parties...)
		r.set(w)
		w.Run(15 * 1000 * ms)
		w.Speed = 0.5
		w.Run(10 * 1000 * ms)
		w.Speed = 1
		w.Run(10 * 1000 * ms)
		told, kept, missed, offs := 0, 0, 0, []float64{}
		for _, p := range parties {
			told, kept, missed, offs = told+p.Reserved, kept+p.ReservationsKept, missed+p.ReservationsMissed, append(offs, p.PauseErrors...)
		}
		slices.Sort(offs)
		part, median := float64(kept)/float64(kept+missed), 0.0
		if len(offs) > 0 {
			median = offs[len(offs)/2]
		}
		t.Logf("%-26s told %d, let in %.3f, median error %.3f", r.name, told, part, median)
		if r.name == "booked" {
			t.Log(w.Admission.Totals())
			if part < 0.9 || median > 0.2 || told < 300 {
				t.Errorf("told %d: %.3f let in, median error %.3f", told, part, median)
			}
		}
	}
}

// TestBurstOfStrangers (hard case 1): 200,000 customers that come once, in one second, and then ever new ones for a
// minute, beside twenty steady customers.
func TestBurstOfStrangers(t *testing.T) {
	parties := steadyOnes(20, 8)
	flood := &tenantsim.Tenant{Name: "crowd", UniqueNames: true, Rate: func(now balance.Time) float64 {
		switch s := (now - tenantsim.Start) / 10000; {
		case s >= 10 && s < 11:
			return 210_000
		case s >= 20:
			return 2000
		}
		return 0
	}}
	w := newWorld(t, 10, true, append(parties, flood)...)
	w.Run(9 * 1000 * ms)
	before := admission.HeapNow()
	w.Run(3 * 1000 * ms)
	burst := flood.Requests
	grown := int64(admission.HeapNow()) - int64(before)
	w.Run(68 * 1000 * ms)
	more := int64(admission.HeapNow()) - int64(before)
	t.Logf("%d strangers in the burst, %d in all, %d served; heap grown by %d KiB after the burst, %d at the end", burst, flood.Requests,
		flood.InTime, grown>>10, more>>10)
	if burst < 200_000 || grown > 8<<20 || more > 8<<20 {
		t.Errorf("%d in the burst, heap grown by %d and %d", burst, grown, more)
	}
	for _, p := range parties {
		if p.Share() < 0.97 {
			t.Errorf("%v", p)
		}
	}
	if flood.InTime < 60*20 {
		t.Errorf("of the strangers only %d were served", flood.InTime)
	}
}

// TestSharedPlace (hard case 5): two customers without places of their own, the small one hashed to the heavy one's
// place. The small one is served again after one change of the seed at the latest.
func TestSharedPlace(t *testing.T) {
	small := &tenantsim.Tenant{Name: "small", Rate: tenantsim.ConstantRate(4), Clients: 2}
	heavy := &tenantsim.Tenant{Name: "heavy", Rate: tenantsim.ConstantRate(900), Clients: 64}
	w := newWorld(t, 4, true, small, heavy)
	changed := admission.Collide(w.Admission, "small", "heavy")
	last, worst := w.Now, balance.Time(0)
	w.OnEnd = func(w *tenantsim.Simulation, e *tenantsim.Try, how string) {
		if e.Tenant == small && how == "delivered" {
			worst, last = max(worst, w.Now-last), w.Now
		}
	}
	for w.Now-tenantsim.Start < 20*second {
		w.Run(100 * ms)
	}
	t.Logf("%v; longest without: %d ms; an epoch is %d ms", small, worst/ms, admission.Epoch(w.Admission)/ms)
	if !changed() || worst > admission.Epoch(w.Admission)+600*ms || small.Share() < 0.5 {
		t.Errorf("%v: longest without %d ms", small, worst/ms)
	}
}

// TestClientsOfOneCustomer: one client of a customer that asks thirty times as much as each of its others does not keep
// them from their part.
func TestClientsOfOneCustomer(t *testing.T) {
	greedy := &tenantsim.Tenant{Name: "one", Rate: tenantsim.ConstantRate(300), Client: 1000}
	modest := &tenantsim.Tenant{Name: "one", Rate: tenantsim.ConstantRate(100), Clients: 10}
	w := newWorld(t, 6, true, greedy, modest)
	w.Run(10 * second)
	t.Log(greedy, modest)
	if modest.Share() < 2*greedy.Share() {
		t.Errorf("%.3f of the modest clients' jobs are in time, %.3f of the greedy one's", modest.Share(), greedy.Share())
	}
}

// line is a gate to stores with a few places, behind a module that holds in order of arrival.
type line struct {
	t      interface{ Fatalf(string, ...any) }
	door   *admission.Controller
	now    balance.Time
	places int
	held   []int32
	out    []int32
	ends   []balance.Time
	owner  map[int32]int
	served []float64
	work   float64
}

func (l *line) Admit(job int32) {
	l.held = append(l.held, job)
	l.send()
}
func (l *line) Reject(job int32, _ balance.Time) { l.t.Fatalf("job %d is turned back", job) }
func (l *line) Log(string)                       {}
func (l *line) send() {
	for len(l.out) < l.places && len(l.held) > 0 {
		job := l.held[0]
		l.held = l.held[1:]
		l.out, l.ends = append(l.out, job), append(l.ends, l.now+balance.Time(l.work))
		l.served[l.owner[job]] += l.work
		l.door.AttemptStarted(l.now, job)
	}
}

// TestIdealSharing: on generated arrivals no customer falls behind its ideal share by more than a job of its own, its
// part of one of each other's, and what is with the stores and in the module already.
func TestIdealSharing(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "customers")
		c := tenantsim.Settings()
		c.Classes = []balance.Class{{Name: "p", ExpectedTime: 200 * ms, Deadline: 1 << 30, Credit: 1, LateCredit: 1}}
		l := &line{t: t, now: 1e12, places: rapid.IntRange(1, 4).Draw(t, "places"), owner: map[int32]int{}, served: make([]float64, n),
			work: 50 * ms}
		m := &tenantsim.FluidModel{Weights: make([]float64, n), Queued: make([]float64, n), Served: make([]float64, n)}
		for i := range n {
			c.Tenants = append(c.Tenants, balance.Tenant{Name: fmt.Sprint(i), Quota: float64(rapid.IntRange(1, 4).Draw(t, "quota"))})
		}
		var err error
		if l.door, err = admission.New(l.now, c, tenantsim.Bounds(), l); err != nil {
			t.Fatal(err)
		}
		mean, all := 0.0, 0.0
		for i := range n {
			mean += c.Tenants[i].Quota / float64(n)
		}
		for i := range n {
			m.Weights[i] = c.Tenants[i].Quota / mean
			all += m.Weights[i]
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
					m.Queued[b.customer] += l.work
					l.door.Arrive(l.now, admission.Arrival{Request: job, Tenant: []byte(c.Tenants[b.customer].Name), Client: uint64(job), TimeLeft: 1 << 30,
						Bytes: 1})
					job++
				}
			}
			l.door.Tick(l.now)
			for i := range n {
				bound := l.work * (2 + float64(n)*m.Weights[i]/all + float64(l.places) + admission.Begin)
				if lag := m.Served[i] - l.served[i]; lag > bound {
					t.Fatalf("step %d: customer %d is %.0f behind, bound %.0f", step, i, lag, bound)
				} else {
					worst = max(worst, lag/l.work)
				}
			}
			l.now += 5 * ms
			m.Serve(float64(l.places) * 5 * ms)
			for k := 0; k < len(l.out); k++ {
				if l.ends[k] <= l.now {
					done := l.out[k]
					l.out, l.ends = append(l.out[:k:k], l.out[k+1:]...), append(l.ends[:k:k], l.ends[k+1:]...)
					k--
					l.door.AttemptEnded(l.now, done, true)
					l.door.RequestEnded(l.now, done)
					l.send()
				}
			}
		}
	})
	t.Logf("furthest behind: %.1f jobs", worst)
}
