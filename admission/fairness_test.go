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
func newSimulation(t *testing.T, slots int, withAdmission bool, tenants ...*tenantsim.Tenant) *tenantsim.Simulation {
	var b *admission.Bounds
	if withAdmission {
		bounds := tenantsim.Bounds()
		b = &bounds
	}
	sim, err := tenantsim.New(slots, b, tenants...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, b := range sim.Violations {
			t.Error(b)
		}
	})
	return sim
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
		sim := newSimulation(t, 10, r.admission, append(tenants, surging)...)
		sim.FIFO = r.fifo
		sim.Run(30 * 1000 * ms)
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
			if len(sim.Logs) == 0 || !strings.Contains(sim.Logs[len(sim.Logs)-1], `"surge"`) {
				t.Errorf("the log does not name the surging tenant: %v", sim.Logs)
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
	sim := newSimulation(t, 10, true, append(tenants, impatient)...)
	sim.Run(30 * 1000 * ms)
	t.Log(impatient, sim.Admission.Totals(), impatient.FirstTriesInTime, impatient.FirstTries)
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
		set       func(sim *tenantsim.Simulation)
	}{
		{"a constant time", false, func(sim *tenantsim.Simulation) {
			sim.Pause = func(sim *tenantsim.Simulation) balance.Time { return sim.Settings.MaxRetryAfter / 2 }
		}},
		{"random, as the module does", false, func(sim *tenantsim.Simulation) {}},
		{"expected wait, not reserved", true, func(sim *tenantsim.Simulation) {
			sim.OverridePause = func(p *tenantsim.Tenant, client uint64, pause balance.Time) balance.Time {
				return min(admission.ExpectedRetryWait(sim.Admission, p.Name, client, pause), sim.Settings.MaxRetryAfter)
			}
		}},
		{"reserved", true, func(sim *tenantsim.Simulation) {}},
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
		sim := newSimulation(t, 10, r.admission, tenants...)
		r.set(sim)
		sim.Run(15 * 1000 * ms)
		sim.Speed = 0.5
		sim.Run(10 * 1000 * ms)
		sim.Speed = 1
		sim.Run(10 * 1000 * ms)
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
			t.Log(sim.Admission.Totals())
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
	newTenants := &tenantsim.Tenant{Name: "crowd", UniqueNames: true, Rate: func(now balance.Time) float64 {
		switch s := (now - tenantsim.Start) / 10000; {
		case s >= 10 && s < 11:
			return 210_000
		case s >= 20:
			return 2000
		}
		return 0
	}}
	sim := newSimulation(t, 10, true, append(tenants, newTenants)...)
	sim.Run(9 * 1000 * ms)
	before := admission.HeapBytes()
	sim.Run(3 * 1000 * ms)
	burst := newTenants.Requests
	grown := int64(admission.HeapBytes()) - int64(before)
	sim.Run(68 * 1000 * ms)
	more := int64(admission.HeapBytes()) - int64(before)
	t.Logf("%d new tenants in the burst, %d in all, %d served in time; heap grew by %d KiB after the burst, %d at the end", burst, newTenants.Requests,
		newTenants.InTime, grown>>10, more>>10)
	if burst < 200_000 || grown > 8<<20 || more > 8<<20 {
		t.Errorf("%d new tenants in the burst, heap grew by %d and %d bytes", burst, grown, more)
	}
	for _, p := range tenants {
		if p.Share() < 0.97 {
			t.Errorf("%v", p)
		}
	}
	if newTenants.InTime < 60*20 {
		t.Errorf("only %d requests of new tenants were answered in time", newTenants.InTime)
	}
}

// TestSharedFlow simulates two tenants without dedicated flows, where the name of the small one hashes to the
// flow of the heavy one. The small one must be served again after the tenants have been distributed anew
// once.
func TestSharedFlow(t *testing.T) {
	small := &tenantsim.Tenant{Name: "small", Rate: tenantsim.ConstantRate(4), Clients: 2}
	heavy := &tenantsim.Tenant{Name: "heavy", Rate: tenantsim.ConstantRate(900), Clients: 64}
	sim := newSimulation(t, 4, true, small, heavy)
	changed := admission.ShareFlow(sim.Admission, "small", "heavy")
	last, worst := sim.Now, balance.Time(0)
	sim.OnEnd = func(sim *tenantsim.Simulation, e *tenantsim.Try, how string) {
		if e.Tenant == small && how == "delivered" {
			worst, last = max(worst, sim.Now-last), sim.Now
		}
	}
	for sim.Now-tenantsim.Start < 20*second {
		sim.Run(100 * ms)
	}
	t.Logf("%v; longest time without an answer: %d ms; an epoch is %d ms", small, worst/ms, admission.Epoch(sim.Admission)/ms)
	if !changed() || worst > admission.Epoch(sim.Admission)+600*ms || small.Share() < 0.5 {
		t.Errorf("%v: longest time without an answer is %d ms", small, worst/ms)
	}
}

// TestClientsOfOneTenant checks that one client that sends thirty times as many requests as each other client
// of its tenant does not take their share.
func TestClientsOfOneTenant(t *testing.T) {
	greedy := &tenantsim.Tenant{Name: "one", Rate: tenantsim.ConstantRate(300), Client: 1000}
	modest := &tenantsim.Tenant{Name: "one", Rate: tenantsim.ConstantRate(100), Clients: 10}
	sim := newSimulation(t, 6, true, greedy, modest)
	sim.Run(10 * second)
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

func (q *storeQueue) Admit(request int32) {
	q.held = append(q.held, request)
	q.send()
}
func (q *storeQueue) Reject(request int32, _ balance.Time) {
	q.t.Fatalf("request %d is refused", request)
}
func (q *storeQueue) Log(string) {}
func (q *storeQueue) send() {
	for len(q.inFlight) < q.slots && len(q.held) > 0 {
		request := q.held[0]
		q.held = q.held[1:]
		q.inFlight, q.ends = append(q.inFlight, request), append(q.ends, q.now+balance.Time(q.work))
		q.served[q.owner[request]] += q.work
		q.controller.AttemptStarted(q.now, request)
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
		q := &storeQueue{t: t, now: 1e12, slots: rapid.IntRange(1, 4).Draw(t, "slots"), owner: map[int32]int{}, served: make([]float64, n),
			work: 50 * ms}
		model := &tenantsim.FluidModel{Weights: make([]float64, n), Queued: make([]float64, n), Served: make([]float64, n)}
		for i := range n {
			settings.Tenants = append(settings.Tenants, balance.Tenant{Name: fmt.Sprint(i), Quota: float64(rapid.IntRange(1, 4).Draw(t, "quota"))})
		}
		var err error
		if q.controller, err = admission.New(q.now, settings, tenantsim.Bounds(), q); err != nil {
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
					q.owner[request] = b.tenant
					model.Queued[b.tenant] += q.work
					q.controller.Arrive(q.now, admission.Arrival{Request: request, Tenant: []byte(settings.Tenants[b.tenant].Name), Client: uint64(request), TimeLeft: 1 << 30,
						Bytes: 1})
					request++
				}
			}
			q.controller.Tick(q.now)
			for i := range n {
				bound := q.work * (2 + float64(n)*model.Weights[i]/all + float64(q.slots) + admission.IdleHandoffLimit)
				if lag := model.Served[i] - q.served[i]; lag > bound {
					t.Fatalf("step %d: tenant %d is %.0f behind, bound %.0f", step, i, lag, bound)
				} else {
					worst = max(worst, lag/q.work)
				}
			}
			q.now += 5 * ms
			model.Serve(float64(q.slots) * 5 * ms)
			for k := 0; k < len(q.inFlight); k++ {
				if q.ends[k] <= q.now {
					done := q.inFlight[k]
					q.inFlight, q.ends = append(q.inFlight[:k:k], q.inFlight[k+1:]...), append(q.ends[:k:k], q.ends[k+1:]...)
					k--
					q.controller.AttemptEnded(q.now, done, true)
					q.controller.RequestEnded(q.now, done)
					q.send()
				}
			}
		}
	})
	t.Logf("furthest behind: %.1f requests", worst)
}
