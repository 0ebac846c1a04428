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

const millisecond = 10 // Times in a millisecond

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

// storeUpdate is what others have to say of a store, and what the watch asks for.
type storeUpdate struct {
	apply    func(c *Core, i uint32, w storeUpdate)
	store    string
	position Time
	answered bool
}

// task is something that the module asked for.
type task struct {
	run         func(c *Core, t task)
	request     int32
	attempt     int
	store       uint32
	at          Time
	minPosition Time
	anyPosition bool
}

// zoneShare is the part of ordinary work that may go to a zone.
type zoneShare struct {
	zone  string
	share float64
}

// attemptResult is a result that the module has yet to be handed.
type attemptResult struct {
	request int32 // -1: of a probe
	attempt int
	store   uint32
	result  balance.Result
}

// Core is one front.
type Core struct {
	balancer         *balance.Balancer
	admission        *admission.Controller // nil: there is none
	sockets          Sockets
	log              *slog.Logger
	host             settings.Process
	limits           Limits
	classes          *classTable
	settings         Settings // in force
	now              Time
	nextWake         Time
	watchDiscovery   func()
	requests         []request
	freeRequests     []int32
	pending          int
	stores           []store
	storeIndex       map[string]uint32
	freeStores       []uint32
	groups           map[uint64]bool // that are listed; true: their stores speak Bolt
	clients          []*client
	lastSerial       uint64 // of the newest client
	pipelined        int    // commands in all pipelines
	bufferedBytes    int    // bytes of their replies
	conns            []*conn
	storeLists       []StoreList
	zoneShares       []zoneShare
	storeUpdates     []storeUpdate
	arrived          []int32
	abandoned        []int32
	results          []attemptResult
	tasks            []task
	unflushed        []Link
	stalledConns     []*conn // whose clients had no room for a piece of a result
	scratch          []byte  // scratch for what is being written
	shutdownAt       Time    // 0: not stopping; from then on idle clients are hung up
	shutdownDeadline Time    // by then all must be answered
	counts           eventCounts
	loggedLines      int // lines in this second; more are dropped
	loggedSince      Time
}

// New starts a front. watch is called when the module asks discovery for changes.
func New(now Time, c balance.Settings, h settings.Process, l Limits, s Sockets, watch func(),
	log *slog.Logger) (*Core, error) {
	f := &Core{sockets: s, log: log, host: h, limits: l, now: now, watchDiscovery: watch,
		classes: newClassTable(c.Classes), settings: Settings{Balancer: c, Host: h, Admission: l.Admission},
		storeIndex: map[string]uint32{}, groups: map[uint64]bool{}}
	var err error
	if f.balancer, err = balance.New(now, c, f); err == nil && l.Admission != nil {
		f.admission, err = admission.New(now, c, *l.Admission, admissionHost{f})
	}
	return f, err
}

// UpdateStores queues what discovery told for the next Step.
func (c *Core) UpdateStores(l StoreList) { c.storeLists = append(c.storeLists, l) }

// SetZoneShare queues the fleet's plan for a zone for the next Step.
func (c *Core) SetZoneShare(name string, part float64) {
	c.zoneShares = append(c.zoneShares, zoneShare{name, part})
}

// ReportPosition queues a peer's word for what a store has shown. Survey has a store asked for its position. Proxied ends a question
// that the watch has taken over: it is settled, or the store itself is to be asked.
func (c *Core) ReportPosition(store string, position Time) {
	c.storeUpdates = append(c.storeUpdates, storeUpdate{store: store, position: position, apply: func(c *Core, i uint32, w storeUpdate) {
		c.balancer.PeerPosition(c.now, i, w.position)
	}})
}
func (c *Core) QueryPosition(store string) {
	c.storeUpdates = append(c.storeUpdates, storeUpdate{store: store, apply: func(c *Core, i uint32, _ storeUpdate) {
		c.dispatch(i, pendingAttempt{request: -1, positionQuery: true, since: c.now, until: c.now + c.host.DialTimeout})
	}})
}
func (c *Core) PositionResolved(store string, answered bool) {
	c.storeUpdates = append(c.storeUpdates, storeUpdate{store: store, answered: answered, apply: func(c *Core, i uint32, w storeUpdate) {
		if w.answered { // it says nothing of the store, but that the question is settled
			c.queueResult(attemptResult{-1, 0, i, balance.Result{Ending: balance.Served}})
			return
		}
		c.dispatch(i, pendingAttempt{request: -1, since: c.now, until: c.now + c.host.DialTimeout})
	}})
}

// NextStep is when Step must be called again even if nothing happens.
func (c *Core) NextStep() Time {
	if len(c.stalledConns) > 0 { // their clients may have read meanwhile, which nothing tells where the system took it all
		return min(c.nextWake, c.now+millisecond)
	}
	return c.nextWake
}

// Stop begins the end. Clients are served on for most of the time that there is, for where they would go
// another front may be ending as well. Then each is hung up on between two requests, and all that was taken is
// answered before the front is ended by force.
func (c *Core) Stop(now Time) {
	if c.shutdownAt == 0 {
		span := min(c.classes.longest, cmp.Or(c.limits.MaxDeadline, c.classes.longest))
		// Danger: where limits are short, new connections still come when most of that time is over.
		c.shutdownAt, c.shutdownDeadline = now+max(span*3/4, c.limits.ShutdownGrace), now+span+cmp.Or(c.limits.ForceAfter, c.limits.ShutdownGrace)
		c.balancer.SetShutdownDeadline(now, c.shutdownDeadline) // Danger: what the end by force finds unanswered is lost.
	}
}

// Done tells that Stop is complete: no client is left and no request in hand.
func (c *Core) Done() bool { return c.Stopping() && len(c.clients) == 0 && c.pending == 0 }

// PendingRequests gives the requests that have not had their final answer, or whose attempts are still out.
func (c *Core) PendingRequests() int { return c.pending }

// Stopping tells that new connections are no longer expected.
func (c *Core) Stopping() bool { return c.shutdownAt > 0 && c.now >= c.shutdownAt }

// Step is one turn of the loop.
func (c *Core) Step(now Time, events []Event) {
	c.now = now
	for _, e := range events {
		switch o := e.Link.Owner().(type) {
		case *client:
			o.handleEvent(c, e.Flags)
		case *conn:
			o.handleEvent(c, e.Flags)
		default:
			if e.Flags&Bolt != 0 {
				c.accept(e.Link, e.Flags, newBoltClient())
			} else if e.Flags&Accepted != 0 {
				c.accept(e.Link, e.Flags, postgres{})
			}
		}
	}
	for n := len(c.stalledConns); n > 0; n-- { // those that still have none are put behind the others
		k := c.stalledConns[0]
		c.stalledConns = append(c.stalledConns[:0], c.stalledConns[1:]...)
		k.resumeStalled(c)
	}
	for _, p := range c.zoneShares {
		c.balancer.SetZoneShare(now, p.zone, p.share)
	}
	c.zoneShares = c.zoneShares[:0]
	for _, l := range c.storeLists {
		c.applyStoreList(l)
	}
	c.storeLists = c.storeLists[:0]
	for k := 0; k < len(c.storeUpdates); k++ {
		if i, ok := c.storeIndex[c.storeUpdates[k].store]; ok && !c.stores[i].bolt { // results in Bolt go out before they are whole
			c.storeUpdates[k].apply(c, i, c.storeUpdates[k])
		}
	}
	c.storeUpdates = c.storeUpdates[:0]
	beat := now >= c.nextWake
	if beat {
		c.sweep()
		c.summarize()
	}
	for once := true; once || len(c.results)+len(c.arrived)+len(c.abandoned)+len(c.tasks) > 0; once = false {
		for k := 0; k < len(c.results); k++ {
			c.reportResult(c.results[k])
		}
		c.results = c.results[:0]
		for _, i := range c.abandoned {
			if c.admission != nil {
				c.admission.RequestEnded(now, i)
			}
			c.balancer.ClientGone(now, c.requests[i].id)
			c.releaseRequest(i)
		}
		c.abandoned = c.abandoned[:0]
		for k := 0; k < len(c.arrived); k++ {
			c.handleArrival(c.arrived[k])
		}
		c.arrived = c.arrived[:0]
		if beat {
			c.balancer.Tick(now)
			if c.admission != nil {
				c.admission.Tick(now)
			}
			beat = false
		}
		c.admitRequests()
		c.runTasks()
		c.admitRequests() // what was answered has made room
	}
	for _, l := range c.unflushed {
		l.Flush()
	}
	c.unflushed = c.unflushed[:0]
}

// admitRequests has the door let in what there is room for.
func (c *Core) admitRequests() {
	if c.admission != nil {
		c.admission.AdmitWaiting(c.now)
	}
}

// admissionHost is what the core does for the door.
type admissionHost struct{ c *Core }

func (g admissionHost) Admit(request int32) { g.c.submit(request) }
func (g admissionHost) Log(text string)     { g.c.logLimited(text) }
func (g admissionHost) Reject(request int32, pause Time) {
	g.c.tasks = append(g.c.tasks, task{run: (*Core).refuseRequest, request: request, at: pause})
}

func (c *Core) runTasks() {
	for k := 0; k < len(c.tasks); k++ {
		c.tasks[k].run(c, c.tasks[k])
	}
	c.tasks = c.tasks[:0]
}

func (c *Core) reportResult(b attemptResult) {
	if b.request < 0 {
		c.balancer.ProbeDone(c.now, b.store, b.result)
		return
	}
	req := &c.requests[b.request]
	req.unreported--
	b.result.Done = req.concluded
	c.balancer.AttemptDone(c.now, req.id, b.attempt, b.store, b.result)
	c.releaseRequest(b.request)
}

// applyStoreList hands a list on, with the stores numbered.
func (c *Core) applyStoreList(l StoreList) {
	members := make([]balance.Member, len(l.Entries))
	named := make(map[uint32]bool, len(l.Entries))
	for k := range l.Entries {
		e := &l.Entries[k]
		i, ok := c.storeIndex[e.ID]
		if !ok {
			if len(c.freeStores) == 0 {
				c.freeStores = append(c.freeStores, uint32(len(c.stores)))
				c.stores = append(c.stores, store{})
			}
			i = c.freeStores[len(c.freeStores)-1]
			c.freeStores = c.freeStores[:len(c.freeStores)-1]
			c.stores[i] = store{id: e.ID, addr: e.Addr, protocol: postgres{}}
			if e.Bolt {
				c.stores[i].protocol, c.stores[i].bolt = boltStore{}, true
			}
			c.storeIndex[e.ID] = i
		}
		s := &c.stores[i]
		if e.Addr != "" && e.Addr != s.addr {
			s.addr = e.Addr
			c.closeIdle(i)
		}
		switch e.Condition {
		case balance.Gone:
			c.closeIdle(i)
		case balance.Draining:
			if s.drainUntil == 0 {
				s.drainUntil = c.now + c.limits.DrainGrace
			}
		case balance.Ready:
			s.drainUntil = 0
		}
		named[i], c.groups[e.Group] = true, e.Bolt
		members[k] = e.Member
		members[k].Store = i
	}
	if l.Kind == balance.ListFull || l.Kind == balance.ListStale {
		for i := range c.stores {
			if !named[uint32(i)] {
				c.closeIdle(uint32(i))
			}
		}
	}
	c.balancer.UpdateMembers(c.now, l.Kind, members)
	for i := range named { // in any order: what was forgotten and named again in one go has been taken up anew
		c.stores[i].forgotten = false
	}
}

// logLimited logs a rare change; past a bound in each second lines are dropped, so that trouble cannot drown it.
func (c *Core) logLimited(text string, args ...any) {
	if c.now-c.loggedSince >= 1000*millisecond {
		c.loggedSince, c.loggedLines = c.now, 0
	}
	if c.loggedLines++; c.loggedLines <= 20 {
		c.log.Info(text, args...)
	}
}

// The rest is balance.Front: what the module asks for waits until the module has seen all that is ready.

func (c *Core) Send(id string, store uint32, until, least Time) {
	if c.admission != nil {
		c.admission.AttemptStarted(c.now, requestIndex(id))
	}
	c.tasks = append(c.tasks, task{run: (*Core).startAttempt, request: requestIndex(id), store: store, at: until, minPosition: least})
}

func (c *Core) Cancel(id string, attempt int) {
	c.tasks = append(c.tasks, task{run: (*Core).cancelAttempt, request: requestIndex(id), attempt: attempt})
}

func (c *Core) Refuse(id string, pause Time) {
	if c.admission != nil {
		pause = c.admission.RetryAfter(c.now, requestIndex(id), pause)
	}
	c.tasks = append(c.tasks, task{run: (*Core).refuseRequest, request: requestIndex(id), at: pause})
}

func (c *Core) Fail(id string) {
	c.tasks = append(c.tasks, task{run: (*Core).failRequest, request: requestIndex(id)})
}

func (c *Core) Probe(store uint32, need Time, any bool) {
	c.tasks = append(c.tasks, task{run: (*Core).startProbe, store: store, minPosition: need, anyPosition: any})
}

func (c *Core) CloseIdle(store uint32) {
	c.tasks = append(c.tasks, task{run: func(c *Core, t task) { c.closeIdle(t.store) }, store: store})
}

func (c *Core) Forget(store uint32) {
	c.stores[store].forgotten = true
	c.tasks = append(c.tasks, task{run: (*Core).removeStore, store: store})
}

func (c *Core) WakeAfter(after Time) { c.nextWake = c.now + after }

func (c *Core) WatchMembers() { c.watchDiscovery() }

func (c *Core) Log(text string) { c.logLimited(text) }

// requestIndex gives the request's place in the slab, which its name among the module's requests stands for.
func requestIndex(id string) int32 {
	n, _ := strconv.Atoi(id)
	return int32(n)
}

func (c *Core) String() string {
	return fmt.Sprintf("clients %d, store connections %d, jobs %d", len(c.clients), len(c.conns), c.pending)
}
