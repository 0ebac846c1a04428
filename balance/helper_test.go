package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// modelRequest is what the plain model knows of one request.
type modelRequest struct {
	request   Request
	class     Class
	arrivedAt Time
	fence     Time
	attempts  []*modelAttempt
	finals    int
}

type modelAttempt struct {
	store       uint32
	sentAt      Time
	inFlight    bool
	mayHaveRun  bool
	minPosition Time
}

// modelStore is what a front has been told of one store.
type modelStore struct {
	accepting           bool
	group               uint64
	position            Time
	claimedAt, deniedAt Time
	wroteSince          bool
	startedAt           Time
	size                float64
	sends               []Time
}

// modelFront is a Front that keeps a slow, plain model of the rules and holds every action against it.
type modelFront struct {
	t         testing.TB
	settings  Settings
	balancer  *Balancer
	now       Time
	requests  map[string]*modelRequest
	order     []string
	stores    map[uint32]*modelStore
	storeIDs  []uint32
	fences    map[string]Time
	probes    []uint32
	listCalls int
	wakeAt    Time
	log       []string
	updating  bool    // a list is being taken in
	peak      float64 // most attempts that a warm store was sent in a span, for its size
}

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

func newModelFront(t testing.TB, c Settings) *modelFront {
	front := &modelFront{t: t, settings: c, now: 1000000, requests: map[string]*modelRequest{}, stores: map[uint32]*modelStore{},
		fences: map[string]Time{}}
	b, err := New(front.now, c, front)
	if err != nil {
		t.Fatal(err)
	}
	front.balancer = b
	return front
}

func (front *modelFront) record(format string, args ...any) {
	front.log = append(front.log, fmt.Sprintf("%d ", front.now)+fmt.Sprintf(format, args...))
}

func (front *modelFront) violation(rule, format string, args ...any) {
	front.t.Helper()
	front.t.Fatalf("%s: %s\n%s", rule, fmt.Sprintf(format, args...), strings.Join(front.log[max(0, len(front.log)-300):], "\n"))
}

// updateMembers hands out a list and keeps what it says.
func (front *modelFront) updateMembers(news ListKind, members ...Member) {
	front.record("list %d %v", news, members)
	if news == ListFull || news == ListCached {
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
			state.startedAt, state.sends = m.Started, nil // what went there before it was told of counts against nobody
		}
	}
	front.updating = true
	front.balancer.UpdateMembers(front.now, news, members)
	front.updating = false
}

func (front *modelFront) submit(in Request) *modelRequest {
	p := &modelRequest{request: in, arrivedAt: front.now}
	for _, q := range front.settings.Classes {
		if q.Name == in.Class {
			p.class = q
		}
	}
	if front.settings.FencesCarried {
		if in.WriteAge >= 0 {
			p.fence = front.now - in.WriteAge
		}
	} else {
		p.fence = front.fences[in.Session]
	}
	front.requests[in.ID] = p
	front.order = append(front.order, in.ID)
	front.record("take %+v", in)
	if err := front.balancer.Submit(front.now, in); err != nil {
		front.t.Fatal(err)
	}
	return p
}

// updateStore keeps what a store has shown of itself.
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

// finish returns an attempt.
func (front *modelFront) finish(id string, n int, r Result) {
	p := front.requests[id]
	s := p.attempts[n]
	state := front.stores[s.store]
	if r.Ending == Served && r.Note.Position < s.minPosition { // as the core has it
		if p.class.Repeat != Idempotent {
			front.violation("twice", "%s may not run again, and went where only a peer vouched", id)
		}
		r.Ending = NotEligible
	}
	s.inFlight, s.mayHaveRun = false, !r.Ending.NeverRan()
	if r.Ending == Served && p.finals == 0 {
		p.finals++
		r.Done = true
		if p.class.Need == Write {
			front.fences[p.request.Session] = max(front.fences[p.request.Session], r.Note.Position)
		}
	}
	r.Done = r.Done || p.finals > 0
	front.updateStore(state, r.Note, true)
	if r.Ending == Served && p.class.Need == Write {
		state.wroteSince = true
	}
	front.record("back %s %d %+v", id, n, r)
	front.balancer.AttemptDone(front.now, id, n, s.store, r)
}

// advance lets time go by, with a beat whenever one is due.
func (front *modelFront) advance(span Time) {
	for end := front.now + span; front.now < end; {
		front.now = min(end, max(front.now+1, front.wakeAt))
		if front.now >= front.wakeAt {
			front.balancer.Tick(front.now)
		}
		front.checkDeadlines()
	}
}

// checkDeadlines holds rule 1 against every request at hand.
func (front *modelFront) checkDeadlines() {
	for _, id := range front.order {
		if p := front.requests[id]; p.finals == 0 && front.now > p.arrivedAt+p.request.Left+front.settings.AnswerSlack {
			front.violation("lost", "job %s has no final answer", id)
		}
	}
}

func (front *modelFront) Send(id string, store uint32, until, least Time) {
	p, state := front.requests[id], front.stores[store]
	front.record("send %s to %d", id, store)
	if p == nil || p.finals > 0 {
		front.violation("lost", "trip for job %s after its end", id)
	}
	if state == nil || !state.accepting || state.group != p.request.Group {
		front.violation("drain", "trip of %s to store %d", id, store)
	}
	for _, s := range p.attempts {
		if s.inFlight {
			front.violation("twice", "two trips of %s at once", id)
		}
		if may := s.inFlight || s.mayHaveRun; may && (p.class.Repeat == AtMostOnce ||
			p.class.Repeat == Keyed && front.now+front.balancer.tickInterval > s.sentAt+p.class.Window) {
			front.violation("twice", "a further trip of %s", id)
		}
	}
	need := Time(0)
	switch p.class.Need {
	case Bounded:
		need = front.now - p.class.Bound
	case Session:
		if need = p.fence; !front.settings.FencesCarried && p.request.Session != "" {
			need = max(need, front.fences[p.request.Session])
		}
	case Fresh:
		need = never
	}
	role := state.claimedAt > 0 && (state.deniedAt == 0 || state.wroteSince || state.claimedAt > state.deniedAt+2*second)
	if p.class.Need != Write && state.position < need && least < need && !role && !front.settings.StoresCheckReads {
		front.violation("stale", "%s needs %d, store %d shows %d", id, need, store, state.position)
	}
	if state.startedAt > 0 && front.now-state.startedAt < front.settings.WarmupTime {
		front.checkColdRate(store, state)
		state.sends = append(state.sends, front.now)
	} else {
		state.sends = append(state.sends, front.now)
		front.peak = max(front.peak, front.recentSends(state)/state.size)
	}
	p.attempts = append(p.attempts, &modelAttempt{store: store, sentAt: front.now, inFlight: true, minPosition: least})
}

// checkColdRate holds the sends to a cold store against the most that a warm one was ever sent in such a span, for its size.
func (front *modelFront) checkColdRate(store uint32, state *modelStore) {
	part := front.settings.StartCapacity + (1-front.settings.StartCapacity)*float64(front.now-state.startedAt)/float64(front.settings.WarmupTime)
	if n := front.recentSends(state); n > 10+front.settings.ColdOverloadFactor*part*front.peak*state.size {
		front.violation("cold", "store %d was sent %v, its busiest warm peer %v", store, n, front.peak)
	}
}

func (front *modelFront) recentSends(state *modelStore) (n float64) {
	for _, t := range state.sends {
		if t > front.now-front.settings.ColdOverloadSpan {
			n++
		}
	}
	return n
}

func (front *modelFront) recordFinal(id string) *modelRequest {
	p := front.requests[id]
	if p == nil || p.finals > 0 {
		front.violation("lost", "second final answer for %s", id)
	}
	p.finals++
	return p
}

func (front *modelFront) Refuse(id string, pause Time) {
	front.record("turn back %s", id)
	p := front.recordFinal(id)
	for _, s := range p.attempts {
		if (s.inFlight || s.mayHaveRun) && p.class.Repeat != Idempotent && !p.class.Anywhere {
			front.violation("twice", "%s is turned back but may have run", id)
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
		return // its line follows in the same list, and takes it up anew
	}
	if state == nil || state.accepting && !front.settings.OnlyDrainingBinds {
		front.violation("forget", "store %d is in use", store)
	}
	for id, p := range front.requests {
		for _, s := range p.attempts {
			if s.inFlight && s.store == store {
				front.violation("forget", "a trip of %s is out at store %d", id, store)
			}
		}
	}
	delete(front.stores, store)
	front.storeIDs = slices.DeleteFunc(front.storeIDs, func(id uint32) bool { return id == store })
}

// randomInFlight names an attempt that is under way.
func (front *modelFront) randomInFlight(r *rand.Rand) (string, int, bool) {
	for range 20 {
		if len(front.order) == 0 {
			break
		}
		id := front.order[len(front.order)-1-r.IntN(min(len(front.order), 40))]
		for n, s := range front.requests[id].attempts {
			if s.inFlight {
				return id, n, true
			}
		}
	}
	return "", 0, false
}
