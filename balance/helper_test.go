package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// modelRequest is what the model knows of one request.
type modelRequest struct {
	request   Request
	class     Class // its class as it was on arrival
	arrivedAt Time
	fence     Time            // position that it has to see, for class Session
	attempts  []*modelAttempt // in the order in which they were sent
	finals    int             // final answers so far; more than one breaks a rule
}

// modelAttempt is what the model knows of one attempt.
type modelAttempt struct {
	store       uint32
	sentAt      Time
	inFlight    bool
	mayHaveRun  bool // its result does not exclude that it ran
	minPosition Time // position that its answer has to show
}

// modelStore is what the front has been told of one store.
type modelStore struct {
	accepting  bool // the list lets new work go to it
	group      uint64
	position   Time // the largest that it has reported
	claimedAt  Time // when it last reported to be the primary
	deniedAt   Time // when an answer of it last reported another role
	wroteSince bool // it has served a write since deniedAt
	startedAt  Time // its last start; 0: long ago
	size       float64
	sentAt     []Time // when each attempt was sent to it
}

// modelFront is a Front that keeps a slow, simple model of the rules and checks every action against it.
type modelFront struct {
	t         testing.TB
	settings  Settings
	balancer  *Balancer
	now       Time
	requests  map[string]*modelRequest // by ID
	order     []string                 // IDs of the requests, in the order of arrival
	stores    map[uint32]*modelStore   // by store number
	storeIDs  []uint32                 // the keys of stores, in the order in which they were listed
	fences    map[string]Time          // position of each session's last write
	probes    []uint32                 // stores that were probed
	listCalls int                      // calls of WatchMembers
	wakeAt    Time                     // when the next tick is due
	log       []string                 // events and actions
	updating  bool                     // UpdateMembers is running
	peak      float64                  // most attempts that a warm store was sent in a ColdOverloadSpan, divided by its size
}

// testSettings returns settings for one front, with one class of each kind.
func testSettings() Settings {
	return Settings{Seed: 7, Fronts: 1, Zone: "a", EventInterval: 50, FencesCarried: true, ListPushed: true, ListInterval: 100000, AnswerSlack: 200, StartCapacity: 0.2, WarmupTime: 100000, ColdOverloadFactor: 3, ColdOverloadSpan: 15000, MaxAttempts: 6, MayProbe: true, MayCancel: true, ProbePrice: 0.01, OverQuotaCredit: 0.2, Tenants: []Tenant{{Name: "c", Quota: 500}},
		Classes: []Class{
			{Name: "any", Need: Any, ExpectedTime: 3000, Deadline: 12000, Credit: 1},
			{Name: "bounded", Need: Bounded, Bound: 3000, ExpectedTime: 4000, Deadline: 15000, Credit: 2},
			{Name: "session", Need: Session, ExpectedTime: 3000, Deadline: 10000, Credit: 1, LateCredit: 0.2},
			{Name: "fresh", Need: Fresh, ExpectedTime: 6000, Deadline: 20000, Credit: 1},
			{Name: "once", Need: Write, Repeat: AtMostOnce, ExpectedTime: 6000, Deadline: 30000, Credit: 4},
			{Name: "marked", Need: Write, Repeat: Keyed, Window: 9000, ExpectedTime: 6000, Deadline: 30000, Credit: 4, LateCredit: 0.5},
		}}
}

func newModelFront(t testing.TB, settings Settings) *modelFront {
	front := &modelFront{t: t, settings: settings, now: 1000000, requests: map[string]*modelRequest{}, stores: map[uint32]*modelStore{},
		fences: map[string]Time{}}
	balancer, err := New(front.now, settings, front)
	if err != nil {
		t.Fatal(err)
	}
	front.balancer = balancer
	return front
}

// record adds an event or an action to the log. playDigest hashes the log, so the texts must not change.
func (front *modelFront) record(format string, args ...any) {
	front.log = append(front.log, fmt.Sprintf("%d ", front.now)+fmt.Sprintf(format, args...))
}

// violation fails the test because an action broke the given rule.
func (front *modelFront) violation(rule, format string, args ...any) {
	front.t.Helper()
	front.t.Fatalf("%s: %s\n%s", rule, fmt.Sprintf(format, args...), strings.Join(front.log[max(0, len(front.log)-300):], "\n"))
}

// updateMembers delivers a member list to the balancer and the model.
func (front *modelFront) updateMembers(kind ListKind, members ...Member) {
	front.record("list %d %v", kind, members)
	if kind == ListFull || kind == ListCached {
		for _, state := range front.stores {
			state.accepting = state.accepting && front.settings.OnlyDrainingBinds
		}
	}
	for _, m := range members {
		state := front.stores[m.Store]
		if state == nil {
			state = &modelStore{group: m.Group, accepting: front.settings.OnlyDrainingBinds}
			front.stores[m.Store] = state
			front.storeIDs = append(front.storeIDs, m.Store)
		}
		state.accepting = m.Condition == Ready || m.Condition == Gone && front.settings.OnlyDrainingBinds && state.accepting
		state.size = m.Size
		if m.Primary && state.claimedAt == 0 {
			state.claimedAt = front.now
		}
		if m.Started > state.startedAt && front.now-m.Started < front.settings.WarmupTime {
			state.startedAt, state.sentAt = m.Started, nil // attempts sent before the start was known do not count
		}
	}
	front.updating = true
	front.balancer.UpdateMembers(front.now, kind, members)
	front.updating = false
}

// submit delivers a request to the balancer and the model.
func (front *modelFront) submit(in Request) *modelRequest {
	tracked := &modelRequest{request: in, arrivedAt: front.now}
	for _, q := range front.settings.Classes {
		if q.Name == in.Class {
			tracked.class = q
		}
	}
	if in.WriteAge >= 0 {
		tracked.fence = front.now - in.WriteAge
	}
	if !front.settings.FencesCarried {
		tracked.fence = max(tracked.fence, front.fences[in.Session])
	}
	front.requests[in.ID] = tracked
	front.order = append(front.order, in.ID)
	front.record("take %+v", in)
	if err := front.balancer.Submit(front.now, in); err != nil {
		front.t.Fatal(err)
	}
	return tracked
}

// updateStore records in the model what a store reports of itself.
func (front *modelFront) updateStore(state *modelStore, r Report, answer bool) {
	if r.Role == RoleUnknown {
		return
	}
	state.position = max(state.position, r.Position)
	if r.Role == Primary {
		state.claimedAt = max(state.claimedAt, front.now)
	} else if answer {
		state.deniedAt, state.wroteSince = front.now, false
	}
}

// finish delivers the result of an attempt.
func (front *modelFront) finish(id string, n int, r Result) {
	tracked := front.requests[id]
	sent := tracked.attempts[n]
	state := front.stores[sent.store]
	if r.Ending == Served && r.Note.Position < sent.minPosition { // as package front does
		if tracked.class.Repeat != Idempotent {
			front.violation("twice", "%s must not run again, and was sent on the word of a peer", id)
		}
		r.Ending = NotEligible
	}
	sent.inFlight, sent.mayHaveRun = false, !r.Ending.NeverRan()
	if r.Ending == Served && tracked.finals == 0 {
		tracked.finals++
		r.Done = true
		if tracked.class.Need == Write {
			front.fences[tracked.request.Session] = max(front.fences[tracked.request.Session], r.Note.Position)
		}
	}
	r.Done = r.Done || tracked.finals > 0
	front.updateStore(state, r.Note, true)
	if r.Ending == Served && tracked.class.Need == Write {
		state.wroteSince = true
	}
	front.record("back %s %d %+v", id, n, r)
	front.balancer.AttemptDone(front.now, id, n, sent.store, r)
}

// advance lets time pass, with a tick whenever one is due.
func (front *modelFront) advance(duration Time) {
	for end := front.now + duration; front.now < end; {
		front.now = min(end, max(front.now+1, front.wakeAt))
		if front.now >= front.wakeAt {
			front.balancer.Tick(front.now)
		}
		front.checkDeadlines()
	}
}

// checkDeadlines checks that every request has its final answer in time.
func (front *modelFront) checkDeadlines() {
	for _, id := range front.order {
		if tracked := front.requests[id]; tracked.finals == 0 && front.now > tracked.arrivedAt+tracked.request.Left+front.settings.AnswerSlack {
			front.violation("lost", "request %s has no final answer", id)
		}
	}
}

func (front *modelFront) Send(id string, store uint32, until, least Time) {
	tracked, state := front.requests[id], front.stores[store]
	front.record("send %s to %d", id, store)
	if tracked == nil || tracked.finals > 0 {
		front.violation("lost", "attempt of request %s after its end", id)
	}
	if state == nil || !state.accepting || state.group != tracked.request.Group {
		front.violation("drain", "attempt of %s sent to store %d", id, store)
	}
	for _, sent := range tracked.attempts {
		if sent.inFlight {
			front.violation("twice", "two attempts of %s at once", id)
		}
		if may := sent.inFlight || sent.mayHaveRun; may && (tracked.class.Repeat == AtMostOnce ||
			tracked.class.Repeat == Keyed && front.now+front.balancer.tickInterval > sent.sentAt+tracked.class.Window) {
			front.violation("twice", "a forbidden repeat of %s", id)
		}
	}
	need := Time(0)
	switch tracked.class.Need {
	case Bounded:
		need = front.now - tracked.class.Bound
	case Session:
		if need = tracked.fence; !front.settings.FencesCarried && tracked.request.Session != "" {
			need = max(need, front.fences[tracked.request.Session])
		}
	case Fresh:
		need = never
	}
	role := state.claimedAt > 0 && (state.deniedAt == 0 || state.wroteSince || state.claimedAt > state.deniedAt+2*second)
	if tracked.class.Need != Write && state.position < need && least < need && !role && !front.settings.StoresCheckReads {
		front.violation("stale", "%s needs %d, store %d shows %d", id, need, store, state.position)
	}
	if state.startedAt > 0 && front.now-state.startedAt < front.settings.WarmupTime {
		front.checkColdRate(store, state)
		state.sentAt = append(state.sentAt, front.now)
	} else {
		state.sentAt = append(state.sentAt, front.now)
		front.peak = max(front.peak, front.recentSends(state)/state.size)
	}
	tracked.attempts = append(tracked.attempts, &modelAttempt{store: store, sentAt: front.now, inFlight: true, minPosition: least})
}

// checkColdRate compares the attempts sent to a cold store in a ColdOverloadSpan with the most that a warm one
// was ever sent in one, by size.
func (front *modelFront) checkColdRate(store uint32, state *modelStore) {
	capacity := front.settings.StartCapacity + (1-front.settings.StartCapacity)*float64(front.now-state.startedAt)/float64(front.settings.WarmupTime)
	if recent := front.recentSends(state); recent > 10+front.settings.ColdOverloadFactor*capacity*front.peak*state.size {
		front.violation("cold", "store %d was sent %v, its busiest warm peer %v", store, recent, front.peak)
	}
}

// recentSends returns the number of attempts sent to the store in the last ColdOverloadSpan.
func (front *modelFront) recentSends(state *modelStore) (n float64) {
	for _, t := range state.sentAt {
		if t > front.now-front.settings.ColdOverloadSpan {
			n++
		}
	}
	return n
}

// recordFinal records the request's final answer, of which there must be only one.
func (front *modelFront) recordFinal(id string) *modelRequest {
	tracked := front.requests[id]
	if tracked == nil || tracked.finals > 0 {
		front.violation("lost", "second final answer for %s", id)
	}
	tracked.finals++
	return tracked
}

func (front *modelFront) Refuse(id string, pause Time) {
	front.record("turn back %s", id)
	tracked := front.recordFinal(id)
	for _, sent := range tracked.attempts {
		if (sent.inFlight || sent.mayHaveRun) && tracked.class.Repeat != Idempotent && !tracked.class.Anywhere {
			front.violation("twice", "%s is refused but may have run", id)
		}
	}
}

func (front *modelFront) Fail(id string)                { front.record("write off %s", id); front.recordFinal(id) }
func (front *modelFront) Cancel(id string, attempt int) { front.record("cancel %s %d", id, attempt) }
func (front *modelFront) Probe(store uint32, _ Time, _ bool) {
	front.record("probe %d", store)
	front.probes = append(front.probes, store)
}
func (front *modelFront) CloseIdle(store uint32) { front.record("hang up %d", store) }
func (front *modelFront) WakeAfter(after Time)   { front.wakeAt = front.now + after }
func (front *modelFront) WatchMembers()          { front.record("watch"); front.listCalls++ }
func (front *modelFront) Log(text string)        { front.record("log %s", text) }

func (front *modelFront) Forget(store uint32) {
	front.record("forget %d", store)
	state := front.stores[store]
	if state != nil && state.accepting && front.updating {
		return // its entry follows in the same list and adds it again
	}
	if state == nil || state.accepting && !front.settings.OnlyDrainingBinds {
		front.violation("forget", "store %d is in use", store)
	}
	for id, tracked := range front.requests {
		for _, sent := range tracked.attempts {
			if sent.inFlight && sent.store == store {
				front.violation("forget", "an attempt of %s is in flight at store %d", id, store)
			}
		}
	}
	delete(front.stores, store)
	front.storeIDs = slices.DeleteFunc(front.storeIDs, func(id uint32) bool { return id == store })
}

// randomInFlight returns the request and the number of a random attempt in flight.
func (front *modelFront) randomInFlight(r *rand.Rand) (string, int, bool) {
	for range 20 {
		if len(front.order) == 0 {
			break
		}
		id := front.order[len(front.order)-1-r.IntN(min(len(front.order), 40))]
		for n, sent := range front.requests[id].attempts {
			if sent.inFlight {
				return id, n, true
			}
		}
	}
	return "", 0, false
}
