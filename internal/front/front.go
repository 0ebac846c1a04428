// Package front is the router's core without I/O: it keeps requests, attempts and store connections, speaks the
// protocol on links that it is handed, and asks the decision module (package balance) what to do. It decides
// nothing by itself. One loop owns all of it: Step is given the time and what is ready, hands that to the
// module in one go and carries out what comes back.
package front

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"strconv"

	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/settings"
)

// Time is in tenths of a millisecond since the Unix epoch, read once and then counted monotonically.
type Time = balance.Time

const perMilli = 10 // Times in a millisecond

// Link is one socket. The core owns it from Dial or its Accepted event until it calls Close or Finish, or
// hears that it is closed.
type Link interface {
	Peek() []byte           // all that came in and was not discarded
	Discard(n int)          // drops its first bytes
	ReadBufferFull() bool   // there is no room for more to come in
	Write(p []byte) bool    // queues p whole; false: there is no room for it
	Flush()                 // hands what is queued to the system
	SentBytes() int64       // bytes that the system has taken so far
	Flushed() bool          // the system has taken all that was queued
	Close()                 // at once; what is still queued is dropped
	Abort()                 // the same, and what the system holds of it is dropped too
	CloseWrite()            // ends the sending once all that is queued is out, and closes when the peer does; what comes is dropped
	PeerOpen() bool         // the peer is there, as the system knows this moment
	CloseWriteIfIdle() bool // is Finish if nothing has come up to that moment that was not discarded, and nothing is queued
	// CloseAtRest is Close if nothing has come up to that moment that was not discarded. last is sent before if it can be.
	CloseIfIdle(last []byte) bool
	Owner() any // what Own was told last
	SetOwner(owner any)
}

// NoRoom: no descriptor, port or memory is left for a connection, which is no fault of the store's.
var ErrNoResources = errors.New("no room for a connection")

// Sockets opens connections. What is written on a link that is not up yet waits; Closed follows if it never
// will be.
type Sockets interface {
	Dial(addr string) (Link, error)
}

// EventFlags tells what happened to a link; several may have at once.
type EventFlags uint8

const (
	Accepted EventFlags = 1 << iota
	Readable
	Closed
	Bolt // with Accepted: on the listener for Bolt
)

// Event is one link with news.
type Event struct {
	Link  Link
	Flags EventFlags
}

// StoreEntry is one store of the list, with where this front reaches it. The core numbers the stores.
type StoreEntry struct {
	ID, Addr string
	Bolt     bool // it speaks Bolt, else PostgreSQL's protocol
	balance.Member
}

// StoreList is what discovery told.
type StoreList struct {
	Kind    balance.ListKind
	Entries []StoreEntry
}

// Limits bounds what the core holds open.
type Limits struct {
	MaxConnections     int               // sockets of clients and stores together
	MaxClients         int               // of them at most
	MaxBufferedReplies int               // bytes of answers that wait for those before them on their connections; 0: defaultKept
	MaxStoreMessage    int               // bytes of one message of a store
	ClientIdle         Time              // a client that asked nothing for that long may be hung up on to make room
	ShutdownGrace      Time              // from Stop on, for that long at least, clients are served on
	ForceAfter         Time              // from Stop to the end by force, beside the longest deadline; 0: Grace
	MaxDeadline        Time              // that deadline counts as no more than this there; 0: it counts in full
	Admission          *admission.Bounds // nil: requests go straight to the module
	BoltAddress        string            // where Bolt clients reach this front, for ROUTE, if they do not say
	DrainGrace         Time              // how long an open transaction may go on at a store that drains
	CancelSecret       []byte            // from which the keys are made by which clients cancel
	// Saw, if it is set, is told how each attempt and each probe came back, and how long after it set out. Expected is
	// the expected time of the attempt's class, 0 for a probe.
	OnAttemptEnd  func(store string, how balance.Ending, expected, took Time)
	PositionWatch PositionWatch // nil: every question goes to the store itself
}

// PositionWatch may take over the questions of reads that wait for a position. Its methods are called during Step.
type PositionWatch interface {
	RequestPosition(store string, need Time, any bool) bool // true: Proxied follows
	PositionObserved(store string, position Time)           // it has shown that much to this front
	QueryFailed(store string)                               // a Survey came to nothing
}

// word is what others have to say of a store, and what the watch asks for.
type word struct {
	do       func(c *Core, i uint32, w word)
	store    string
	position Time
	answered bool
}

// task is something that the module asked for.
type task struct {
	do      func(c *Core, t task)
	request int32
	attempt int
	store   uint32
	at      Time
	least   Time
	any     bool
}

// plan is the part of ordinary work that may go to a zone.
type plan struct {
	zone string
	part float64
}

// back is a result that the module has yet to be handed.
type back struct {
	request int32 // -1: of a probe
	attempt int
	store   uint32
	r       balance.Result
}

// Core is one front.
type Core struct {
	module       *balance.Balancer
	door         *admission.Controller // nil: there is none
	sockets      Sockets
	log          *slog.Logger
	host         settings.Process
	limits       Limits
	classes      *classTable
	settings     Settings // in force
	now          Time
	wakeAt       Time
	watch        func()
	requests     []request
	freeRequests []int32
	inHand       int
	stores       []store
	storeOf      map[string]uint32
	freeStores   []uint32
	groups       map[uint64]bool // that are listed; true: their stores speak Bolt
	clients      []*client
	serial       uint64 // of the newest client
	behind       int    // commands in all pipelines
	kept         int    // bytes of their replies
	conns        []*conn
	lists        []StoreList
	plans        []plan
	words        []word
	arrivals     []int32
	leavers      []int32
	backs        []back
	tasks        []task
	dirty        []Link
	stalled      []*conn // whose clients had no room for a piece of a result
	out          []byte  // scratch for what is being written
	stopAt       Time    // 0: not stopping; from then on idle clients are hung up
	endAt        Time    // by then all must be answered
	counts       eventCounts
	logged       int // lines in this second; more are dropped
	loggedAt     Time
}

// New starts a front. watch is called when the module asks discovery for changes.
func New(now Time, c balance.Settings, h settings.Process, l Limits, s Sockets, watch func(),
	log *slog.Logger) (*Core, error) {
	f := &Core{sockets: s, log: log, host: h, limits: l, now: now, watch: watch,
		classes: newClassTable(c.Classes), settings: Settings{Balancer: c, Host: h, Admission: l.Admission},
		storeOf: map[string]uint32{}, groups: map[uint64]bool{}}
	var err error
	if f.module, err = balance.New(now, c, f); err == nil && l.Admission != nil {
		f.door, err = admission.New(now, c, *l.Admission, gate{f})
	}
	return f, err
}

// UpdateStores queues what discovery told for the next Step.
func (c *Core) UpdateStores(l StoreList) { c.lists = append(c.lists, l) }

// SetZoneShare queues the fleet's plan for a zone for the next Step.
func (c *Core) SetZoneShare(name string, part float64) { c.plans = append(c.plans, plan{name, part}) }

// ReportPosition queues a peer's word for what a store has shown. Survey has a store asked for its position. Proxied ends a question
// that the watch has taken over: it is settled, or the store itself is to be asked.
func (c *Core) ReportPosition(store string, position Time) {
	c.words = append(c.words, word{store: store, position: position, do: func(c *Core, i uint32, w word) {
		c.module.PeerPosition(c.now, i, w.position)
	}})
}
func (c *Core) QueryPosition(store string) {
	c.words = append(c.words, word{store: store, do: func(c *Core, i uint32, _ word) {
		c.start(i, errand{request: -1, survey: true, since: c.now, until: c.now + c.host.DialTimeout})
	}})
}
func (c *Core) PositionResolved(store string, answered bool) {
	c.words = append(c.words, word{store: store, answered: answered, do: func(c *Core, i uint32, w word) {
		if w.answered { // it says nothing of the store, but that the question is settled
			c.owe(back{-1, 0, i, balance.Result{Ending: balance.Served}})
			return
		}
		c.start(i, errand{request: -1, since: c.now, until: c.now + c.host.DialTimeout})
	}})
}

// NextStep is when Step must be called again even if nothing happens.
func (c *Core) NextStep() Time {
	if len(c.stalled) > 0 { // their clients may have read meanwhile, which nothing tells where the system took it all
		return min(c.wakeAt, c.now+perMilli)
	}
	return c.wakeAt
}

// Stop begins the end. Clients are served on for most of the time that there is, for where they would go
// another front may be ending as well. Then each is hung up on between two requests, and all that was taken is
// answered before the front is ended by force.
func (c *Core) Stop(now Time) {
	if c.stopAt == 0 {
		span := min(c.classes.longest, cmp.Or(c.limits.MaxDeadline, c.classes.longest))
		// Danger: where limits are short, new connections still come when most of that time is over.
		c.stopAt, c.endAt = now+max(span*3/4, c.limits.ShutdownGrace), now+span+cmp.Or(c.limits.ForceAfter, c.limits.ShutdownGrace)
		c.module.SetShutdownDeadline(now, c.endAt) // Danger: what the end by force finds unanswered is lost.
	}
}

// Done tells that Stop is complete: no client is left and no request in hand.
func (c *Core) Done() bool { return c.Stopping() && len(c.clients) == 0 && c.inHand == 0 }

// PendingRequests gives the requests that have not had their final answer, or whose attempts are still out.
func (c *Core) PendingRequests() int { return c.inHand }

// Stopping tells that new connections are no longer expected.
func (c *Core) Stopping() bool { return c.stopAt > 0 && c.now >= c.stopAt }

// Step is one turn of the loop.
func (c *Core) Step(now Time, events []Event) {
	c.now = now
	for _, e := range events {
		switch o := e.Link.Owner().(type) {
		case *client:
			o.notice(c, e.Flags)
		case *conn:
			o.notice(c, e.Flags)
		default:
			if e.Flags&Bolt != 0 {
				c.accept(e.Link, e.Flags, newBoltClient())
			} else if e.Flags&Accepted != 0 {
				c.accept(e.Link, e.Flags, postgres{})
			}
		}
	}
	for n := len(c.stalled); n > 0; n-- { // those that still have none are put behind the others
		k := c.stalled[0]
		c.stalled = append(c.stalled[:0], c.stalled[1:]...)
		k.resume(c)
	}
	for _, p := range c.plans {
		c.module.SetZoneShare(now, p.zone, p.part)
	}
	c.plans = c.plans[:0]
	for _, l := range c.lists {
		c.list(l)
	}
	c.lists = c.lists[:0]
	for k := 0; k < len(c.words); k++ {
		if i, ok := c.storeOf[c.words[k].store]; ok && !c.stores[i].bolt { // results in Bolt go out before they are whole
			c.words[k].do(c, i, c.words[k])
		}
	}
	c.words = c.words[:0]
	beat := now >= c.wakeAt
	if beat {
		c.sweep()
		c.summarize()
	}
	for once := true; once || len(c.backs)+len(c.arrivals)+len(c.leavers)+len(c.tasks) > 0; once = false {
		for k := 0; k < len(c.backs); k++ {
			c.handBack(c.backs[k])
		}
		c.backs = c.backs[:0]
		for _, i := range c.leavers {
			if c.door != nil {
				c.door.RequestEnded(now, i)
			}
			c.module.ClientGone(now, c.requests[i].id)
			c.free(i)
		}
		c.leavers = c.leavers[:0]
		for k := 0; k < len(c.arrivals); k++ {
			c.arrive(c.arrivals[k])
		}
		c.arrivals = c.arrivals[:0]
		if beat {
			c.module.Tick(now)
			if c.door != nil {
				c.door.Tick(now)
			}
			beat = false
		}
		c.open()
		c.carryOut()
		c.open() // what was answered has made room
	}
	for _, l := range c.dirty {
		l.Flush()
	}
	c.dirty = c.dirty[:0]
}

// open has the door let in what there is room for.
func (c *Core) open() {
	if c.door != nil {
		c.door.AdmitWaiting(c.now)
	}
}

// gate is what the core does for the door.
type gate struct{ c *Core }

func (g gate) Admit(request int32) { g.c.take(request) }
func (g gate) Log(text string)     { g.c.note(text) }
func (g gate) Reject(request int32, pause Time) {
	g.c.tasks = append(g.c.tasks, task{do: (*Core).refuse, request: request, at: pause})
}

func (c *Core) carryOut() {
	for k := 0; k < len(c.tasks); k++ {
		c.tasks[k].do(c, c.tasks[k])
	}
	c.tasks = c.tasks[:0]
}

func (c *Core) handBack(b back) {
	if b.request < 0 {
		c.module.ProbeDone(c.now, b.store, b.r)
		return
	}
	j := &c.requests[b.request]
	j.owed--
	b.r.Done = j.final
	c.module.AttemptDone(c.now, j.id, b.attempt, b.store, b.r)
	c.free(b.request)
}

// list hands a list on, with the stores numbered.
func (c *Core) list(l StoreList) {
	members := make([]balance.Member, len(l.Entries))
	named := make(map[uint32]bool, len(l.Entries))
	for k := range l.Entries {
		e := &l.Entries[k]
		i, ok := c.storeOf[e.ID]
		if !ok {
			if len(c.freeStores) == 0 {
				c.freeStores = append(c.freeStores, uint32(len(c.stores)))
				c.stores = append(c.stores, store{})
			}
			i = c.freeStores[len(c.freeStores)-1]
			c.freeStores = c.freeStores[:len(c.freeStores)-1]
			c.stores[i] = store{id: e.ID, addr: e.Addr, dialect: postgres{}}
			if e.Bolt {
				c.stores[i].dialect, c.stores[i].bolt = boltStore{}, true
			}
			c.storeOf[e.ID] = i
		}
		s := &c.stores[i]
		if e.Addr != "" && e.Addr != s.addr {
			s.addr = e.Addr
			c.hangUp(i)
		}
		switch e.Condition {
		case balance.Gone:
			c.hangUp(i)
		case balance.Draining:
			if s.cutAt == 0 {
				s.cutAt = c.now + c.limits.DrainGrace
			}
		case balance.Ready:
			s.cutAt = 0
		}
		named[i], c.groups[e.Group] = true, e.Bolt
		members[k] = e.Member
		members[k].Store = i
	}
	if l.Kind == balance.ListFull || l.Kind == balance.ListStale {
		for i := range c.stores {
			if !named[uint32(i)] {
				c.hangUp(uint32(i))
			}
		}
	}
	c.module.UpdateMembers(c.now, l.Kind, members)
	for i := range named { // in any order: what was forgotten and named again in one go has been taken up anew
		c.stores[i].forgotten = false
	}
}

// note logs a rare change; past a bound in each second lines are dropped, so that trouble cannot drown it.
func (c *Core) note(text string, args ...any) {
	if c.now-c.loggedAt >= 1000*perMilli {
		c.loggedAt, c.logged = c.now, 0
	}
	if c.logged++; c.logged <= 20 {
		c.log.Info(text, args...)
	}
}

// The rest is balance.Front: what the module asks for waits until the module has seen all that is ready.

func (c *Core) Send(id string, store uint32, until, least Time) {
	if c.door != nil {
		c.door.AttemptStarted(c.now, place(id))
	}
	c.tasks = append(c.tasks, task{do: (*Core).depart, request: place(id), store: store, at: until, least: least})
}

func (c *Core) Cancel(id string, attempt int) {
	c.tasks = append(c.tasks, task{do: (*Core).recall, request: place(id), attempt: attempt})
}

func (c *Core) Refuse(id string, pause Time) {
	if c.door != nil {
		pause = c.door.RetryAfter(c.now, place(id), pause)
	}
	c.tasks = append(c.tasks, task{do: (*Core).refuse, request: place(id), at: pause})
}

func (c *Core) Fail(id string) {
	c.tasks = append(c.tasks, task{do: (*Core).failRequest, request: place(id)})
}

func (c *Core) Probe(store uint32, need Time, any bool) {
	c.tasks = append(c.tasks, task{do: (*Core).probe, store: store, least: need, any: any})
}

func (c *Core) CloseIdle(store uint32) {
	c.tasks = append(c.tasks, task{do: func(c *Core, t task) { c.hangUp(t.store) }, store: store})
}

func (c *Core) Forget(store uint32) {
	c.stores[store].forgotten = true
	c.tasks = append(c.tasks, task{do: (*Core).forget, store: store})
}

func (c *Core) WakeAfter(after Time) { c.wakeAt = c.now + after }

func (c *Core) WatchMembers() { c.watch() }

func (c *Core) Log(text string) { c.note(text) }

// place gives the request's place in the slab, which its name among the module's requests stands for.
func place(id string) int32 {
	n, _ := strconv.Atoi(id)
	return int32(n)
}

func (c *Core) String() string {
	return fmt.Sprintf("clients %d, store connections %d, jobs %d", len(c.clients), len(c.conns), c.inHand)
}
