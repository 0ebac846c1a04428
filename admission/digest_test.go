package admission_test

import (
	"fmt"
	"hash"
	"hash/fnv"
	"sort"
	"testing"

	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/random"
)

// playDigest is the FNV-1a hash of all actions in TestPlayDigest: when each request is admitted or refused
// and with which pause, log lines and counts. It was recorded before controller.go was split into several
// files. A change that is meant to change actions has to record a new hash and say so.
const playDigest = "44653aafa528a8bc"

const digestMillisecond = admission.Time(10)

// testbed simulates the decision module, the stores and the clients around one Controller.
type testbed struct {
	controller  *admission.Controller
	now         admission.Time
	rng         random.Source
	actions     hash.Hash64
	freeSlots   [2]int // number of free slots at the stores of each group
	held        [2][]int32
	group       map[int32]int
	events      []event
	nextRequest int32
	arrivals    map[int32]arrival // by request, for clients that retry
}

type event struct {
	at admission.Time
	do func()
}

type arrival struct {
	tenant   string
	class    int
	client   uint64
	retryKey []byte
	timeLeft admission.Time
}

func (b *testbed) record(format string, values ...any) {
	fmt.Fprintf(b.actions, "%d ", b.now)
	fmt.Fprintf(b.actions, format+"\n", values...)
}

func (b *testbed) after(span admission.Time, do func()) {
	b.events = append(b.events, event{b.now + span, do})
}

// Admit sends the request at once if a store has a free slot, and holds it otherwise.
func (b *testbed) Admit(request int32) {
	b.record("let in %d", request)
	group := b.group[request]
	if b.freeSlots[group] > 0 {
		b.send(request)
	} else {
		b.held[group] = append(b.held[group], request)
	}
}

func (b *testbed) send(request int32) {
	group := b.group[request]
	b.freeSlots[group]--
	b.controller.AttemptStarted(b.now, request)
	b.after(20*digestMillisecond+b.rng.Below(120*digestMillisecond), func() {
		b.freeSlots[group]++
		delivered := b.rng.Below(12) != 0
		b.controller.AttemptEnded(b.now, request, delivered)
		if !delivered && b.rng.Below(3) != 0 {
			b.send(request)
		} else {
			b.controller.RequestEnded(b.now, request)
		}
		if len(b.held[group]) > 0 && b.freeSlots[group] > 0 {
			first := b.held[group][0]
			b.held[group] = b.held[group][1:]
			if b.rng.Below(8) == 0 { // the decision module refuses the request
				b.record("promise %d", b.controller.RetryAfter(b.now, first, b.rng.Below(100*digestMillisecond)))
				b.controller.RequestEnded(b.now, first)
			} else {
				b.send(first)
			}
		}
	})
}

// Reject has most clients retry, after the given pause or earlier.
func (b *testbed) Reject(request int32, pause admission.Time) {
	b.record("turn back %d %d", request, pause)
	a := b.arrivals[request]
	a.timeLeft -= 150 * digestMillisecond
	if b.rng.Below(4) == 0 || a.timeLeft <= 0 {
		return
	}
	if pause == 0 || b.rng.Below(5) == 0 {
		pause = b.rng.Below(80 * digestMillisecond)
	}
	a.timeLeft -= pause
	b.after(pause, func() { b.arrive(a, true) })
}

func (b *testbed) Log(text string) { b.record("log %s", text) }

func (b *testbed) arrive(a arrival, isRetry bool) {
	if a.timeLeft <= 0 {
		return
	}
	request := b.nextRequest
	b.nextRequest++
	b.group[request], b.arrivals[request] = a.class%2, a
	b.controller.Arrive(b.now, admission.Arrival{Request: request, Class: a.class, Tenant: []byte(a.tenant), Client: a.client,
		RetryKey: a.retryKey, Group: uint64(a.class % 2), TimeLeft: a.timeLeft, MarkedRetry: isRetry && b.rng.Below(2) == 0,
		Bytes: 100 + int(b.rng.Below(400))})
	if b.rng.Below(40) == 0 {
		b.after(b.rng.Below(300*digestMillisecond), func() { b.controller.RequestEnded(b.now, request) })
	}
}

// run simulates a span with rate arrivals per millisecond.
func (b *testbed) run(span admission.Time, rate float64) {
	due := 0.0
	for end := b.now + span; b.now < end; b.now += digestMillisecond {
		sort.SliceStable(b.events, func(i, k int) bool { return b.events[i].at < b.events[k].at })
		for len(b.events) > 0 && b.events[0].at <= b.now {
			do := b.events[0].do
			b.events = b.events[1:]
			do()
		}
		for due += rate; due >= 1; due-- {
			tenant := fmt.Sprint("t", min(b.rng.Below(6), b.rng.Below(6)))
			if b.rng.Below(5) == 0 {
				tenant = fmt.Sprint("stranger", b.rng.Below(3000))
			}
			class := int(b.rng.Below(3))
			timeLeft := [...]admission.Time{1200, 3000, 800}[class] * digestMillisecond
			retryKey := []byte(fmt.Sprint(b.nextRequest))
			b.arrive(arrival{tenant, class, uint64(b.rng.Below(50)), retryKey, timeLeft}, false)
		}
		if b.now/digestMillisecond%5 == 0 {
			b.controller.Tick(b.now)
		} else {
			b.controller.AdmitWaiting(b.now)
		}
	}
	b.record("%+v %d", b.controller.Totals(), b.controller.Waiting())
}

// TestPlayDigest simulates one seeded run (low load, a surge, stores that hang, too little room) and compares
// the hash of all actions with the recorded one.
func TestPlayDigest(t *testing.T) {
	settings := balance.Settings{Seed: 7, EventInterval: 5 * digestMillisecond, MaxRetryAfter: 1000 * digestMillisecond,
		Tenants: []balance.Tenant{{Name: "t0", Quota: 100}, {Name: "t1", Quota: 300}, {Name: "t2"}},
		Classes: []balance.Class{
			{Name: "read", ExpectedTime: 300 * digestMillisecond, Deadline: 1200 * digestMillisecond, Credit: 1},
			{Name: "save", Need: balance.Write, ExpectedTime: 600 * digestMillisecond,
				Deadline: 3000 * digestMillisecond, Credit: 4, LateCredit: 0.3},
			{Name: "quick", Need: balance.Session, ExpectedTime: 100 * digestMillisecond,
				Deadline: 800 * digestMillisecond, Credit: 2}}}
	bounds := admission.Bounds{MaxRequests: 300, MaxBytes: 90_000, DedicatedTenants: 16, SharedQueues: 16, SharedWeight: 0.25, RetriesPerRequest: 0.5}
	b := &testbed{now: 1e12, rng: random.New(5), actions: fnv.New64a(), freeSlots: [2]int{30, 12}, group: map[int32]int{},
		arrivals: map[int32]arrival{}}
	controller, err := admission.New(b.now, settings, bounds, b)
	if err != nil {
		t.Fatal(err)
	}
	b.controller = controller
	b.run(4000*digestMillisecond, 0.3)
	b.run(6000*digestMillisecond, 1.2)
	b.run(4000*digestMillisecond, 0.1)
	b.freeSlots = [2]int{-200, -200} // the stores hang: attempts under way end, and no more are sent
	b.run(1500*digestMillisecond, 0.5)
	b.freeSlots = [2]int{20, 12}
	b.run(3000*digestMillisecond, 4)
	b.run(9000*digestMillisecond, 0.05)
	if got := fmt.Sprintf("%016x", b.actions.Sum64()); got != playDigest {
		t.Errorf("hash of the actions is %s, want %s", got, playDigest)
	}
}
