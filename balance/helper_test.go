package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// past is what the plain model knows of one request.
type past struct {
	in       Request
	class    Class
	came     Time
	fence    Time
	attempts []*sending
	final    int
}

type sending struct {
	store  uint32
	sent   Time
	out    bool
	mayRan bool
	least  Time
}

// known is what a front has been told of one store.
type known struct {
	open            bool
	group           uint64
	position        Time
	claimed, denied Time
	wroteSince      bool
	started         Time
	size            float64
	sends           []Time
}

// world is a Front that keeps a slow, plain model of the rules and holds every action against it.
type world struct {
	t        testing.TB
	settings Settings
	b        *Balancer
	now      Time
	requests map[string]*past
	order    []string
	stores   map[uint32]*known
	ids      []uint32
	fences   map[string]Time
	probes   []uint32
	watches  int
	wake     Time
	log      []string
	listing  bool    // a list is being taken in
	peak     float64 // most attempts that a warm store was sent in a span, for its size
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

func newWorld(t testing.TB, c Settings) *world {
	w := &world{t: t, settings: c, now: 1000000, requests: map[string]*past{}, stores: map[uint32]*known{},
		fences: map[string]Time{}}
	b, err := New(w.now, c, w)
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	return w
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%d ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) broken(rule, format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("%s: %s\n%s", rule, fmt.Sprintf(format, args...), strings.Join(w.log[max(0, len(w.log)-300):], "\n"))
}

// list hands out a list and keeps what it says.
func (w *world) list(news ListKind, members ...Member) {
	w.note("list %d %v", news, members)
	if news == ListFull || news == ListCached {
		for _, k := range w.stores {
			k.open = k.open && w.settings.OnlyDrainingBinds
		}
	}
	for _, m := range members {
		k := w.stores[m.Store]
		if k == nil {
			k = &known{group: m.Group, open: w.settings.OnlyDrainingBinds}
			w.stores[m.Store] = k
			w.ids = append(w.ids, m.Store)
		}
		k.open = m.Condition == Ready || m.Condition == Gone && w.settings.OnlyDrainingBinds && k.open
		k.size = m.Size
		if m.Primary && k.claimed == 0 {
			k.claimed = w.now
		}
		if m.Started > k.started && w.now-m.Started < w.settings.WarmupTime {
			k.started, k.sends = m.Started, nil // what went there before it was told of counts against nobody
		}
	}
	w.listing = true
	w.b.UpdateMembers(w.now, news, members)
	w.listing = false
}

func (w *world) take(in Request) *past {
	p := &past{in: in, came: w.now}
	for _, q := range w.settings.Classes {
		if q.Name == in.Class {
			p.class = q
		}
	}
	if w.settings.FencesCarried {
		if in.WriteAge >= 0 {
			p.fence = w.now - in.WriteAge
		}
	} else {
		p.fence = w.fences[in.Session]
	}
	w.requests[in.ID] = p
	w.order = append(w.order, in.ID)
	w.note("take %+v", in)
	if err := w.b.Submit(w.now, in); err != nil {
		w.t.Fatal(err)
	}
	return p
}

// believe keeps what a store has shown of itself.
func (w *world) believe(k *known, r Report, answer bool) {
	if r.Role == RoleUnknown {
		return
	}
	k.position = max(k.position, r.Position)
	if r.Role == Primary {
		k.claimed = max(k.claimed, w.now)
	} else if answer {
		k.denied, k.wroteSince = w.now, false
	}
}

// back returns an attempt.
func (w *world) back(id string, n int, r Result) {
	p := w.requests[id]
	s := p.attempts[n]
	k := w.stores[s.store]
	if r.Ending == Served && r.Note.Position < s.least { // as the core has it
		if p.class.Repeat != Idempotent {
			w.broken("twice", "%s may not run again, and went where only a peer vouched", id)
		}
		r.Ending = NotEligible
	}
	s.out, s.mayRan = false, !r.Ending.NeverRan()
	if r.Ending == Served && p.final == 0 {
		p.final++
		r.Done = true
		if p.class.Need == Write {
			w.fences[p.in.Session] = max(w.fences[p.in.Session], r.Note.Position)
		}
	}
	r.Done = r.Done || p.final > 0
	w.believe(k, r.Note, true)
	if r.Ending == Served && p.class.Need == Write {
		k.wroteSince = true
	}
	w.note("back %s %d %+v", id, n, r)
	w.b.AttemptDone(w.now, id, n, s.store, r)
}

// pass lets time go by, with a beat whenever one is due.
func (w *world) pass(span Time) {
	for end := w.now + span; w.now < end; {
		w.now = min(end, max(w.now+1, w.wake))
		if w.now >= w.wake {
			w.b.Tick(w.now)
		}
		w.overdue()
	}
}

// overdue holds rule 1 against every request at hand.
func (w *world) overdue() {
	for _, id := range w.order {
		if p := w.requests[id]; p.final == 0 && w.now > p.came+p.in.Left+w.settings.AnswerSlack {
			w.broken("lost", "job %s has no final answer", id)
		}
	}
}

func (w *world) Send(id string, store uint32, until, least Time) {
	p, k := w.requests[id], w.stores[store]
	w.note("send %s to %d", id, store)
	if p == nil || p.final > 0 {
		w.broken("lost", "trip for job %s after its end", id)
	}
	if k == nil || !k.open || k.group != p.in.Group {
		w.broken("drain", "trip of %s to store %d", id, store)
	}
	for _, s := range p.attempts {
		if s.out {
			w.broken("twice", "two trips of %s at once", id)
		}
		if may := s.out || s.mayRan; may && (p.class.Repeat == AtMostOnce ||
			p.class.Repeat == Keyed && w.now+w.b.beat > s.sent+p.class.Window) {
			w.broken("twice", "a further trip of %s", id)
		}
	}
	need := Time(0)
	switch p.class.Need {
	case Bounded:
		need = w.now - p.class.Bound
	case Session:
		if need = p.fence; !w.settings.FencesCarried && p.in.Session != "" {
			need = max(need, w.fences[p.in.Session])
		}
	case Fresh:
		need = never
	}
	role := k.claimed > 0 && (k.denied == 0 || k.wroteSince || k.claimed > k.denied+2*second)
	if p.class.Need != Write && k.position < need && least < need && !role && !w.settings.StoresCheckReads {
		w.broken("stale", "%s needs %d, store %d shows %d", id, need, store, k.position)
	}
	if k.started > 0 && w.now-k.started < w.settings.WarmupTime {
		w.cold(store, k)
		k.sends = append(k.sends, w.now)
	} else {
		k.sends = append(k.sends, w.now)
		w.peak = max(w.peak, w.recent(k)/k.size)
	}
	p.attempts = append(p.attempts, &sending{store: store, sent: w.now, out: true, least: least})
}

// cold holds the sends to a cold store against the most that a warm one was ever sent in such a span, for its size.
func (w *world) cold(store uint32, k *known) {
	part := w.settings.StartCapacity + (1-w.settings.StartCapacity)*float64(w.now-k.started)/float64(w.settings.WarmupTime)
	if n := w.recent(k); n > 10+w.settings.ColdOverloadFactor*part*w.peak*k.size {
		w.broken("cold", "store %d was sent %v, its busiest warm peer %v", store, n, w.peak)
	}
}

func (w *world) recent(k *known) (n float64) {
	for _, t := range k.sends {
		if t > w.now-w.settings.ColdOverloadSpan {
			n++
		}
	}
	return n
}

func (w *world) final(id string) *past {
	p := w.requests[id]
	if p == nil || p.final > 0 {
		w.broken("lost", "second final answer for %s", id)
	}
	p.final++
	return p
}

func (w *world) Refuse(id string, pause Time) {
	w.note("turn back %s", id)
	p := w.final(id)
	for _, s := range p.attempts {
		if (s.out || s.mayRan) && p.class.Repeat != Idempotent && !p.class.Anywhere {
			w.broken("twice", "%s is turned back but may have run", id)
		}
	}
}

func (w *world) Fail(id string)                { w.note("write off %s", id); w.final(id) }
func (w *world) Cancel(id string, attempt int) { w.note("cancel %s %d", id, attempt) }
func (w *world) Probe(store uint32, _ Time, _ bool) {
	w.note("probe %d", store)
	w.probes = append(w.probes, store)
}
func (w *world) CloseIdle(store uint32) { w.note("hang up %d", store) }
func (w *world) WakeAfter(after Time)   { w.wake = w.now + after }
func (w *world) WatchMembers()          { w.note("watch"); w.watches++ }
func (w *world) Log(text string)        { w.note("log %s", text) }

func (w *world) Forget(store uint32) {
	w.note("forget %d", store)
	k := w.stores[store]
	if k != nil && k.open && w.listing {
		return // its line follows in the same list, and takes it up anew
	}
	if k == nil || k.open && !w.settings.OnlyDrainingBinds {
		w.broken("forget", "store %d is in use", store)
	}
	for id, p := range w.requests {
		for _, s := range p.attempts {
			if s.out && s.store == store {
				w.broken("forget", "a trip of %s is out at store %d", id, store)
			}
		}
	}
	delete(w.stores, store)
	w.ids = slices.DeleteFunc(w.ids, func(id uint32) bool { return id == store })
}

// out names an attempt that is under way.
func (w *world) out(r *rand.Rand) (string, int, bool) {
	for range 20 {
		if len(w.order) == 0 {
			break
		}
		id := w.order[len(w.order)-1-r.IntN(min(len(w.order), 40))]
		for n, s := range w.requests[id].attempts {
			if s.out {
				return id, n, true
			}
		}
	}
	return "", 0, false
}
