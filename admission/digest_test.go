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

// playDigest is the FNV-1a hash of every action of the play below: who is let in and who is turned back when,
// with what pause, log lines and counts. It was recorded before door.go was split into files by job. A change
// that is meant to change actions records it anew and says so.
const playDigest = "44653aafa528a8bc"

const digestMillisecond = admission.Time(10)

// bed is the module, the stores and the clients behind and before one door.
type bed struct {
	door    *admission.Controller
	now     admission.Time
	chance  random.Source
	actions hash.Hash64
	slots   [2]int // free places at each group's stores
	held    [2][]int32
	group   map[int32]int
	events  []event
	next    int32
	back    map[int32]arrival // requests whose client may try again
}

type event struct {
	at admission.Time
	do func()
}

type arrival struct {
	customer string
	class    int
	client   uint64
	mark     []byte
	left     admission.Time
}

func (b *bed) act(format string, values ...any) {
	fmt.Fprintf(b.actions, "%d ", b.now)
	fmt.Fprintf(b.actions, format+"\n", values...)
}

func (b *bed) after(span admission.Time, do func()) {
	b.events = append(b.events, event{b.now + span, do})
}

// Admit sends the request at once if a store has a place, else holds it.
func (b *bed) Admit(request int32) {
	b.act("let in %d", request)
	group := b.group[request]
	if b.slots[group] > 0 {
		b.send(request)
	} else {
		b.held[group] = append(b.held[group], request)
	}
}

func (b *bed) send(request int32) {
	group := b.group[request]
	b.slots[group]--
	b.door.AttemptStarted(b.now, request)
	b.after(20*digestMillisecond+b.chance.Below(120*digestMillisecond), func() {
		b.slots[group]++
		delivered := b.chance.Below(12) != 0
		b.door.AttemptEnded(b.now, request, delivered)
		if !delivered && b.chance.Below(3) != 0 {
			b.send(request)
		} else {
			b.door.RequestEnded(b.now, request)
		}
		if len(b.held[group]) > 0 && b.slots[group] > 0 {
			first := b.held[group][0]
			b.held[group] = b.held[group][1:]
			if b.chance.Below(8) == 0 { // the module turns it back
				b.act("promise %d", b.door.RetryAfter(b.now, first, b.chance.Below(100*digestMillisecond)))
				b.door.RequestEnded(b.now, first)
			} else {
				b.send(first)
			}
		}
	})
}

// Reject has most clients come again, as told or earlier.
func (b *bed) Reject(request int32, pause admission.Time) {
	b.act("turn back %d %d", request, pause)
	a := b.back[request]
	a.left -= 150 * digestMillisecond
	if b.chance.Below(4) == 0 || a.left <= 0 {
		return
	}
	if pause == 0 || b.chance.Below(5) == 0 {
		pause = b.chance.Below(80 * digestMillisecond)
	}
	a.left -= pause
	b.after(pause, func() { b.arrive(a, true) })
}

func (b *bed) Log(text string) { b.act("log %s", text) }

func (b *bed) arrive(a arrival, repeated bool) {
	if a.left <= 0 {
		return
	}
	request := b.next
	b.next++
	b.group[request], b.back[request] = a.class%2, a
	b.door.Arrive(b.now, admission.Arrival{Request: request, Class: a.class, Tenant: []byte(a.customer), Client: a.client,
		RetryKey: a.mark, Group: uint64(a.class % 2), TimeLeft: a.left, MarkedRetry: repeated && b.chance.Below(2) == 0,
		Bytes: 100 + int(b.chance.Below(400))})
	if b.chance.Below(40) == 0 {
		b.after(b.chance.Below(300*digestMillisecond), func() { b.door.RequestEnded(b.now, request) })
	}
}

// run plays a span with so many arrivals a millisecond.
func (b *bed) run(span admission.Time, rate float64) {
	due := 0.0
	for end := b.now + span; b.now < end; b.now += digestMillisecond {
		sort.SliceStable(b.events, func(i, k int) bool { return b.events[i].at < b.events[k].at })
		for len(b.events) > 0 && b.events[0].at <= b.now {
			do := b.events[0].do
			b.events = b.events[1:]
			do()
		}
		for due += rate; due >= 1; due-- {
			customer := fmt.Sprint("t", min(b.chance.Below(6), b.chance.Below(6)))
			if b.chance.Below(5) == 0 {
				customer = fmt.Sprint("stranger", b.chance.Below(3000))
			}
			class := int(b.chance.Below(3))
			left := [...]admission.Time{1200, 3000, 800}[class] * digestMillisecond
			mark := []byte(fmt.Sprint(b.next))
			b.arrive(arrival{customer, class, uint64(b.chance.Below(50)), mark, left}, false)
		}
		if b.now/digestMillisecond%5 == 0 {
			b.door.Tick(b.now)
		} else {
			b.door.AdmitWaiting(b.now)
		}
	}
	b.act("%+v %d", b.door.Totals(), b.door.Waiting())
}

// TestPlayDigest plays one seeded day at the door (calm, a surge, stores that hang, too little room) and
// compares the hash of all actions.
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
	b := &bed{now: 1e12, chance: random.New(5), actions: fnv.New64a(), slots: [2]int{30, 12}, group: map[int32]int{},
		back: map[int32]arrival{}}
	opened, err := admission.New(b.now, settings, bounds, b)
	if err != nil {
		t.Fatal(err)
	}
	b.door = opened
	b.run(4000*digestMillisecond, 0.3)
	b.run(6000*digestMillisecond, 1.2)
	b.run(4000*digestMillisecond, 0.1)
	b.slots = [2]int{-200, -200} // they hang: what is out comes back, and nothing more is sent
	b.run(1500*digestMillisecond, 0.5)
	b.slots = [2]int{20, 12}
	b.run(3000*digestMillisecond, 4)
	b.run(9000*digestMillisecond, 0.05)
	if got := fmt.Sprintf("%016x", b.actions.Sum64()); got != playDigest {
		t.Errorf("the actions hash to %s, recorded is %s", got, playDigest)
	}
}
