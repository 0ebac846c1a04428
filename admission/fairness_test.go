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

// newSimulation returns a simulation with or without admission control. At the end of the test, violated
// invariants are reported as errors.
func newSimulation(t *testing.T, places int, withAdmission bool, tenants ...*tenantsim.Tenant) *tenantsim.Simulation {
	var b *admission.Bounds
	if withAdmission {
		bounds := tenantsim.Bounds()
		b = &bounds
	}
	w, err := tenantsim.New(places, b, tenants...)
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

// steadyTenants returns n tenants with a constant rate of requests per second each.
func steadyTenants(n int, rate float64) []*tenantsim.Tenant {
	var tenants []*tenantsim.Tenant
	for i := range n {
		tenants = append(tenants, &tenantsim.Tenant{Name: fmt.Sprintf("steady %d", i), Rate: tenantsim.ConstantRate(rate), Clients: 8, Retries: 2, Marked: true})
	}
	return tenants
}

// TestSurgeOfOneTenant compares 20 tenants with constant rates during a surge of another one, to about ten
// times its share: without admission control, with the decision module sending in order of arrival or of
// credit, and with admission control. 10 slots of 37.5 ms serve 267 requests per second.
func TestSurgeOfOneTenant(t *testing.T) {
	type row struct {
		name            string
		fifo, admission bool
		surge           bool
	}
	calm := 0.0
	for _, r := range []row{{"admission, no surge", false, true, false}, {"arrival", true, false, true},
		{"credit, newest first", false, false, true}, {"admission", false, true, true}} {
		tenants := steadyTenants(20, 10)
		surging := &tenantsim.Tenant{Name: "surge", Rate: tenantsim.ConstantRate(10), Clients: 8, Retries: 2, Marked: true}
		if r.surge {
			surging.Rate = func(now balance.Time) float64 {
				if now-tenantsim.Start >= 5*second {
					return 130
				}
				return 10
			}
		}
		w := newSimulation(t, 10, r.admission, append(tenants, surging)...)
		w.FIFO = r.fifo
		w.Run(30 * 1000 * ms)
		var shares []float64
		worst, sum := 1.0, 0.0
		for _, p := range tenants {
			shares = append(shares, p.Share())
			worst, sum = min(worst, p.Share()), sum+p.Share()/20
		}
		if r.surge == false {
			calm = sum
		}
		// Jain's index of the requests answered in time, relative to max-min fair sharing of infinitely
		// divisible work.
		ideal := maxMinShares(tenants, surging, 267*30)
		for i := range shares {
			shares[i] = float64(tenants[i].InTime) / ideal[i]
		}
		shares = append(shares, float64(surging.InTime)/ideal[20])
		t.Logf("%-22s Jain %.4f, worst %.3f, mean %.3f; %v", r.name, tenantsim.Jain(shares), worst, sum, surging)
		if r.admission && (sum < calm-0.02 || worst < calm-0.05) {
			t.Errorf("%s: steady tenants have mean %.3f and worst %.3f, %.3f without the surge", r.name, sum, worst, calm)
		}
		if r.admission && r.surge {
			if len(w.Logs) == 0 || !strings.Contains(w.Logs[len(w.Logs)-1], `"surge"`) {
				t.Errorf("the log does not name the surging tenant: %v", w.Logs)
			}
		}
	}
}

// maxMinShares returns each tenant's share of a number of requests under max-min fair sharing.
func maxMinShares(tenants []*tenantsim.Tenant, extra *tenantsim.Tenant, requests float64) []float64 {
	m := &tenantsim.FluidModel{}
	for _, p := range append(slices.Clone(tenants), extra) {
		m.Weights, m.Queued, m.Served = append(m.Weights, 1), append(m.Queued, float64(p.Requests)), append(m.Served, 0)
	}
	m.Serve(requests)
	return m.Served
}

// TestRetriesChargedToTheirTenant simulates a tenant with about ten times as many retries as first tries. The
// retries must not affect the other tenants, nor prevent the tenant's own first tries from being served.
func TestRetriesChargedToTheirTenant(t *testing.T) {
	tenants := steadyTenants(20, 10)
	impatient := &tenantsim.Tenant{Name: "hasty", Rate: tenantsim.ConstantRate(100), Clients: 8, Retries: 40, IgnoresPause: true, Marked: true}
	w := newSimulation(t, 10, true, append(tenants, impatient)...)
	w.Run(30 * 1000 * ms)
	t.Log(impatient, w.Admission.Totals(), impatient.FirstTriesInTime, impatient.FirstTries)
	for _, p := range tenants {
		if p.Share() < 0.97 {
			t.Errorf("%v", p)
		}
	}
	if impatient.Refused < 10*impatient.FirstTries/2 {
		t.Errorf("only %d tries refused, of %d requests", impatient.Refused, impatient.FirstTries)
	}
	if float64(impatient.FirstTriesInTime) < 0.5*float64(impatient.FirstTries) {
		t.Errorf("of %d first tries %d were in time", impatient.FirstTries, impatient.FirstTriesInTime)
	}
}

// TestReservationsAreKept checks that clients that retry at their reserved times are served then, during and
// after a surge, and while the service rate drops to half. It compares this with other ways of choosing the
// pause.
func TestReservationsAreKept(t *testing.T) {
	for _, r := range []struct {
		name      string
		admission bool
		set       func(w *tenantsim.Simulation)
	}{
		{"a constant time", false, func(w *tenantsim.Simulation) {
			w.Pause = func(w *tenantsim.Simulation) balance.Time { return w.Settings.MaxRetryAfter / 2 }
		}},
		{"random, as the module does", false, func(w *tenantsim.Simulation) {}},
		{"expected wait, not reserved", true, func(w *tenantsim.Simulation) {
			w.OverridePause = func(p *tenantsim.Tenant, client uint64, pause balance.Time) balance.Time {
				return min(admission.ExpectedRetryWait(w.Admission, p.Name, client, pause), w.Settings.MaxRetryAfter)
			}
		}},
		{"reserved", true, func(w *tenantsim.Simulation) {}},
	} {
		tenants := steadyTenants(20, 8)
		for i := range 4 {
			tenants = append(tenants, &tenantsim.Tenant{Name: fmt.Sprintf("surge %d", i), Clients: 50, Retries: 3, Marked: true, Rate: func(now balance.Time) float64 {
				if s := (now - tenantsim.Start) / 10000; s >= 5 && s < 25 {
					return 60
				}
				return 8
			}})
		}
		w := newSimulation(t, 10, r.admission, tenants...)
		r.set(w)
		w.Run(15 * 1000 * ms)
		w.Speed = 0.5
		w.Run(10 * 1000 * ms)
		w.Speed = 1
		w.Run(10 * 1000 * ms)
		reserved, kept, missed, pauseErrors := 0, 0, 0, []float64{}
		for _, p := range tenants {
			reserved, kept, missed, pauseErrors = reserved+p.Reserved, kept+p.ReservationsKept, missed+p.ReservationsMissed, append(pauseErrors, p.PauseErrors...)
		}
		slices.Sort(pauseErrors)
		keptShare, median := float64(kept)/float64(kept+missed), 0.0
		if len(pauseErrors) > 0 {
			median = pauseErrors[len(pauseErrors)/2]
		}
		t.Logf("%-26s reserved %d, kept %.3f, median error %.3f", r.name, reserved, keptShare, median)
		if r.name == "reserved" {
			t.Log(w.Admission.Totals())
			if keptShare < 0.9 || median > 0.2 || reserved < 300 {
				t.Errorf("reserved %d: kept %.3f, median error %.3f", reserved, keptShare, median)
			}
		}
	}
}

// TestBurstOfNewTenants simulates 200,000 tenants that send one request each within one second, and then ever
// new ones for a minute, beside 20 tenants with constant rates.
func TestBurstOfNewTenants(t *testing.T) {
	tenants := steadyTenants(20, 8)
	flood := &tenantsim.Tenant{Name: "crowd", UniqueNames: true, Rate: func(now balance.Time) float64 {
		switch s := (now - tenantsim.Start) / 10000; {
		case s >= 10 && s < 11:
			return 210_000
		case s >= 20:
			return 2000
		}
		return 0
	}}
	w := newSimulation(t, 10, true, append(tenants, flood)...)
	w.Run(9 * 1000 * ms)
	before := admission.HeapBytes()
	w.Run(3 * 1000 * ms)
	burst := flood.Requests
	grown := int64(admission.HeapBytes()) - int64(before)
	w.Run(68 * 1000 * ms)
	more := int64(admission.HeapBytes()) - int64(before)
	t.Logf("%d new tenants in the burst, %d in all, %d served in time; heap grew by %d KiB after the burst, %d at the end", burst, flood.Requests,
		flood.InTime, grown>>10, more>>10)
	if burst < 200_000 || grown > 8<<20 || more > 8<<20 {
		t.Errorf("%d new tenants in the burst, heap grew by %d and %d bytes", burst, grown, more)
	}
	for _, p := range tenants {
		if p.Share() < 0.97 {
			t.Errorf("%v", p)
		}
	}
	if flood.InTime < 60*20 {
		t.Errorf("only %d requests of new tenants were answered in time", flood.InTime)
	}
}

// TestSharedFlow simulates two tenants without dedicated flows, where the name of the small one hashes to the
// flow of the heavy one. The small one must be served again after the tenants have been distributed anew
// once.
func TestSharedFlow(t *testing.T) {
	small := &tenantsim.Tenant{Name: "small", Rate: tenantsim.ConstantRate(4), Clients: 2}
	heavy := &tenantsim.Tenant{Name: "heavy", Rate: tenantsim.ConstantRate(900), Clients: 64}
	w := newSimulation(t, 4, true, small, heavy)
	changed := admission.ShareFlow(w.Admission, "small", "heavy")
	last, worst := w.Now, balance.Time(0)
	w.OnEnd = func(w *tenantsim.Simulation, e *tenantsim.Try, how string) {
		if e.Tenant == small && how == "delivered" {
			worst, last = max(worst, w.Now-last), w.Now
		}
	}
	for w.Now-tenantsim.Start < 20*second {
		w.Run(100 * ms)
	}
	t.Logf("%v; longest time without an answer: %d ms; an epoch is %d ms", small, worst/ms, admission.Epoch(w.Admission)/ms)
	if !changed() || worst > admission.Epoch(w.Admission)+600*ms || small.Share() < 0.5 {
		t.Errorf("%v: longest time without an answer is %d ms", small, worst/ms)
	}
}

// TestClientsOfOneTenant checks that one client that sends thirty times as many requests as each other client
// of its tenant does not take their share.
func TestClientsOfOneTenant(t *testing.T) {
	greedy := &tenantsim.Tenant{Name: "one", Rate: tenantsim.ConstantRate(300), Client: 1000}
	modest := &tenantsim.Tenant{Name: "one", Rate: tenantsim.ConstantRate(100), Clients: 10}
	w := newSimulation(t, 6, true, greedy, modest)
	w.Run(10 * second)
	t.Log(greedy, modest)
	if modest.Share() < 2*greedy.Share() {
		t.Errorf("%.3f of the modest clients' requests are in time, %.3f of the greedy one's", modest.Share(), greedy.Share())
	}
}

// storeQueue is a Handler in front of stores with a number of slots and a decision module that sends requests
// in order of arrival.
type storeQueue struct {
	t          interface{ Fatalf(string, ...any) }
	controller *admission.Controller
	now        balance.Time
	slots      int
	held       []int32
	inFlight   []int32
	ends       []balance.Time
	owner      map[int32]int
	served     []float64
	work       float64
}

func (l *storeQueue) Admit(request int32) {
	l.held = append(l.held, request)
	l.send()
}
func (l *storeQueue) Reject(request int32, _ balance.Time) {
	l.t.Fatalf("request %d is refused", request)
}
func (l *storeQueue) Log(string) {}
func (l *storeQueue) send() {
	for len(l.inFlight) < l.slots && len(l.held) > 0 {
		request := l.held[0]
		l.held = l.held[1:]
		l.inFlight, l.ends = append(l.inFlight, request), append(l.ends, l.now+balance.Time(l.work))
		l.served[l.owner[request]] += l.work
		l.controller.AttemptStarted(l.now, request)
	}
}

// TestFluidModelSharing checks with generated arrivals that no tenant falls behind its share in the fluid
// model by more than one request of its own, its part of one request of each other tenant, and the requests
// that are already at the stores and in the decision module.
func TestFluidModelSharing(t *testing.T) {
	worst := 0.0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "tenants")
		settings := tenantsim.Settings()
		settings.Classes = []balance.Class{{Name: "p", ExpectedTime: 200 * ms, Deadline: 1 << 30, Credit: 1, LateCredit: 1}}
		l := &storeQueue{t: t, now: 1e12, slots: rapid.IntRange(1, 4).Draw(t, "slots"), owner: map[int32]int{}, served: make([]float64, n),
			work: 50 * ms}
		model := &tenantsim.FluidModel{Weights: make([]float64, n), Queued: make([]float64, n), Served: make([]float64, n)}
		for i := range n {
			settings.Tenants = append(settings.Tenants, balance.Tenant{Name: fmt.Sprint(i), Quota: float64(rapid.IntRange(1, 4).Draw(t, "quota"))})
		}
		var err error
		if l.controller, err = admission.New(l.now, settings, tenantsim.Bounds(), l); err != nil {
			t.Fatal(err)
		}
		mean, all := 0.0, 0.0
		for i := range n {
			mean += settings.Tenants[i].Quota / float64(n)
		}
		for i := range n {
			model.Weights[i] = settings.Tenants[i].Quota / mean
			all += model.Weights[i]
		}
		type burst struct{ at, tenant, requests int }
		bursts := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) burst {
			return burst{rapid.IntRange(0, 200).Draw(t, "at"), rapid.IntRange(0, n-1).Draw(t, "tenant"), rapid.IntRange(1, 40).Draw(t, "requests")}
		}), 1, 30).Draw(t, "bursts")
		request := int32(0)
		for step := range 400 {
			for _, b := range bursts {
				if b.at != step {
					continue
				}
				for range b.requests {
					l.owner[request] = b.tenant
					model.Queued[b.tenant] += l.work
					l.controller.Arrive(l.now, admission.Arrival{Request: request, Tenant: []byte(settings.Tenants[b.tenant].Name), Client: uint64(request), TimeLeft: 1 << 30,
						Bytes: 1})
					request++
				}
			}
			l.controller.Tick(l.now)
			for i := range n {
				bound := l.work * (2 + float64(n)*model.Weights[i]/all + float64(l.slots) + admission.IdleHandoffLimit)
				if lag := model.Served[i] - l.served[i]; lag > bound {
					t.Fatalf("step %d: tenant %d is %.0f behind, bound %.0f", step, i, lag, bound)
				} else {
					worst = max(worst, lag/l.work)
				}
			}
			l.now += 5 * ms
			model.Serve(float64(l.slots) * 5 * ms)
			for k := 0; k < len(l.inFlight); k++ {
				if l.ends[k] <= l.now {
					done := l.inFlight[k]
					l.inFlight, l.ends = append(l.inFlight[:k:k], l.inFlight[k+1:]...), append(l.ends[:k:k], l.ends[k+1:]...)
					k--
					l.controller.AttemptEnded(l.now, done, true)
					l.controller.RequestEnded(l.now, done)
					l.send()
				}
			}
		}
	})
	t.Logf("furthest behind: %.1f requests", worst)
}
