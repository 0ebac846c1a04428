// Package front is the core of one router process, without I/O. It keeps requests, attempts and store connections,
// implements the wire protocols on the links that it is given, and asks the balancer (package balance) for every
// routing decision; it makes none itself. A single loop owns all of it: Step is called with the time and the links that
// are ready, passes these to the balancer as one batch and executes the tasks that result.
package front

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"strconv"
	"time"

	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/settings"
)

// Time is in tenths of a millisecond since the Unix epoch. The clock is read once at the start and counted
// monotonically from there.
type Time = balance.Time

const (
	millisecond = 10                     // number of Time units in a millisecond
	timeUnit    = 100 * time.Microsecond // one unit of Time
)

// Link is one socket. The core owns it from Dial or its Accepted event until it calls Close, Abort or CloseWrite, or is
// told that it is closed.
type Link interface {
	// Peek returns all input that was received and not discarded.
	Peek() []byte
	// Discard drops the first n bytes of the input. A link that was full goes on receiving once enough is dropped.
	Discard(n int)
	// ReceivedBytes returns the number of bytes of input received so far, discarded or not.
	ReceivedBytes() int64
	// InputAge returns the time since the system received the last input, or 0 if it does not tell.
	InputAge() time.Duration
	// ReadOn receives more input if the link has stopped doing so for want of room, and reports false if there is
	// still no room. It is to be called where a message is incomplete.
	ReadOn() bool
	// InputWaits reports whether input may wait that the link or the system has had no room for.
	InputWaits() bool
	// Write queues all of p, or returns false if there is no room for it.
	Write(p []byte) bool
	// Flush passes the queued output to the system.
	Flush()
	// SentBytes returns the number of bytes that the system has accepted so far.
	SentBytes() int64
	// Flushed reports whether the system has accepted all queued output.
	Flushed() bool
	// Close closes the socket at once; output that is still queued is dropped.
	Close()
	// Abort is Close, and also drops the output that the system holds.
	Abort()
	// CloseWrite ends the output after all that is queued, and closes the socket when the peer does; further input is
	// dropped.
	CloseWrite()
	// PeerState receives the input that the system holds at this moment, as far as there is room, and reports whether
	// the peer is still connected.
	PeerState() PeerState
	// CloseWriteIfIdle is CloseWrite if no undiscarded input has been received up to this moment and no output is
	// queued. It reports whether it closed.
	CloseWriteIfIdle() bool
	// CloseIfIdle is Close if no undiscarded input has been received up to this moment. last is sent before if
	// possible. It reports whether it closed.
	CloseIfIdle(last []byte) bool
	// Owner returns the value of the last SetOwner call.
	Owner() any
	// SetOwner stores a value for Owner; nil: the link has no owner.
	SetOwner(owner any)
}

// PeerState tells whether the peer of a link is still connected.
type PeerState uint8

const (
	// PeerConnected: it had not closed the connection when the link was asked.
	PeerConnected PeerState = iota
	// PeerGone: it has closed the connection, or the connection is broken.
	PeerGone
	// PeerUnknown: the peer has sent more than there was room for, and its close may stand behind that.
	PeerUnknown
)

// ErrNoResources is returned by Dial if no descriptor, port or memory is left for a connection, which is not the
// store's fault.
var ErrNoResources = errors.New("no room for a connection")

// Sockets opens connections. Output that is written to a link before it is connected waits; a Closed event follows if
// the connection fails.
type Sockets interface {
	// Dial begins to open a connection to addr. Its error is ErrNoResources if the front lacks a resource.
	Dial(addr string) (Link, error)
}

// EventFlags tells what happened to a link; several flags may be set at once.
type EventFlags uint8

const (
	Accepted EventFlags = 1 << iota // the link is a new client connection
	Readable                        // input was received
	Closed                          // the connection is closed or failed
	Bolt                            // with Accepted: on the listener for Bolt
)

// Event reports what happened to one link.
type Event struct {
	Link  Link       // the link to which it happened
	Flags EventFlags // what happened
}

// StoreEntry is one store of the discovered list, with the address at which this front reaches it. The core assigns the
// store's number.
type StoreEntry struct {
	ID   string // name of the store
	Addr string // address at which this front reaches it
	Bolt bool   // whether the store speaks Bolt rather than the PostgreSQL protocol
	balance.Member
}

// StoreList is an update of the store list from discovery.
type StoreList struct {
	Kind    balance.ListKind // whether Entries is the whole list, or how else it is to be read
	Entries []StoreEntry     // the stores of the update
}

// Limits bounds the resources that the core uses and the times that it waits.
type Limits struct {
	MaxConnections int // sockets of clients and stores together
	MaxClients     int // client sockets, which count towards MaxConnections
	// MaxBufferedReplies bounds the bytes of answers that wait for earlier answers of their connections;
	// 0: defaultMaxBufferedReplies.
	MaxBufferedReplies int
	MaxStoreMessage    int  // bytes of one message from a store
	ClientIdle         Time // a client that is idle for this long may be closed to make room
	ShutdownGrace      Time // clients are served for at least this long after Stop
	// ForceAfter is the time from Stop to the forced end, in addition to the longest class deadline; 0: ShutdownGrace.
	ForceAfter   Time
	MaxDeadline  Time              // bound on that class deadline in the computation of the forced end; 0: no bound
	Admission    *admission.Bounds // nil: requests go straight to the balancer
	BoltAddress  string            // address of this front that ROUTE returns if the client names none
	DrainGrace   Time              // how long an open transaction may continue at a store that drains
	CancelSecret []byte            // secret from which the cancel keys of clients are derived
	// OnAttemptEnd, if set, is called with how each attempt and each probe ended and the time that it took. expected is
	// the expected time of the attempt's class, 0 for a probe.
	OnAttemptEnd  func(store string, how balance.Ending, expected, took Time)
	PositionWatch PositionWatch // nil: all position queries go to the store itself
}

// PositionWatch may take over the position queries for reads that wait for a position. Its methods are called during
// Step.
type PositionWatch interface {
	// RequestPosition asks whether a store, or with anyStore any store of its group, has reached the position need. If it
	// returns true, Core.PositionResolved will be called.
	RequestPosition(store string, need Time, anyStore bool) bool
	// PositionObserved tells that an answer to this front showed the store at this position.
	PositionObserved(store string, position Time)
	// QueryFailed tells that a QueryPosition returned no position.
	QueryFailed(store string)
}

// storeUpdate is information about a store from peers, or a request of the position watch.
type storeUpdate struct {
	apply    func(c *Core, i uint32, w storeUpdate) // carries it out; i is the store's number
	store    string                                 // name of the store
	position Time                                   // position observed by a peer
	answered bool                                   // the query is resolved
}

// task is an action that the balancer has requested.
type task struct {
	run         func(c *Core, t task) // executes the task
	request     int32                 // index in Core.requests; -1: it concerns no request
	attempt     int                   // number of the attempt
	store       uint32                // number of the store
	at          Time                  // end of the attempt, or the pause of a refusal
	minPosition Time                  // position that the answer has to show; 0: none
	anyStore    bool                  // a probe may be answered by any store of the group
}

// zoneShare is the share of ordinary work that may go to a zone.
type zoneShare struct {
	zone  string
	share float64
}

// attemptResult is a result that the balancer has not been told yet.
type attemptResult struct {
	request int32 // -1: the result of a probe
	attempt int
	store   uint32
	result  balance.Result
}

// Core is the core of one front.
type Core struct {
	balancer         *balance.Balancer
	admission        *admission.Controller // nil: no admission control
	sockets          Sockets
	log              *slog.Logger
	host             settings.Process
	limits           Limits
	classes          *classTable
	settings         Settings // the settings in force
	now              Time
	nextWake         Time // when the next sweep and tick are due
	delay            delay
	work             stepWork // of the step that runs, or of the last one
	backlog          backlog
	watchDiscovery   func()
	requests         []request         // all entries, in use or free
	freeRequests     []int32           // indices of the free entries
	pending          int               // requests in use
	stores           []store           // by number
	storeIndex       map[string]uint32 // numbers by name
	freeStores       []uint32          // numbers of the free entries
	groups           map[uint64]bool   // groups of the store list; true: their stores speak Bolt
	clients          []*client
	lastSerial       uint64 // serial number of the newest client
	pipelined        int    // requests in all pipelines
	bufferedBytes    int    // bytes of their buffered replies
	conns            []*conn
	unserved         []uint32    // stores of which a connection that could have carried a waiting attempt was closed in this step
	freed            []uint32    // stores whose connections became idle in this step while attempts waited for one
	storeLists       []StoreList // updates queued for the next step, as are zoneShares and storeUpdates
	zoneShares       []zoneShare
	storeUpdates     []storeUpdate
	arrived          []int32 // requests to be passed to admission control or the balancer
	abandonedIDs     abandonedIDs
	abandoned        []int32         // requests that ended without an answer, which the balancer is to be told
	results          []attemptResult // results that the balancer is to be told
	tasks            []task          // requested by the balancer or admission control and not yet executed
	unflushed        []Link          // links with output to be flushed at the end of the step
	stalledConns     []*conn         // connections whose clients had no room for part of a result
	heldConns        []*conn         // connections with a statement that waits for its store's position
	scratch          []byte          // scratch buffer for output
	shutdownAt       Time            // from then on idle clients are closed; 0: not stopping
	shutdownDeadline Time            // all requests must be answered by then
	counts           eventCounts
	loggedLines      int  // lines logged in this second; more than a limit are dropped
	loggedSince      Time // beginning of that second
}

// New returns a front with settings c and h. watch is called when the balancer asks discovery for changes.
func New(now Time, c balance.Settings, h settings.Process, l Limits, s Sockets, watch func(),
	log *slog.Logger) (*Core, error) {
	f := &Core{sockets: s, log: log, host: h, limits: l, now: now, watchDiscovery: watch, delay: delay{lastStep: now},
		classes: newClassTable(c.Classes), settings: Settings{Balancer: c, Host: h, Admission: l.Admission},
		storeIndex: map[string]uint32{}, groups: map[uint64]bool{}}
	var err error
	if f.balancer, err = balance.New(now, c, f); err == nil && l.Admission != nil {
		f.admission, err = admission.New(now, c, *l.Admission, admissionHost{f})
	}
	return f, err
}

// UpdateStores queues an update of the store list for the next Step.
func (c *Core) UpdateStores(l StoreList) { c.storeLists = append(c.storeLists, l) }

// SetZoneShare queues the fleet's share for a zone for the next Step.
func (c *Core) SetZoneShare(name string, share float64) {
	c.zoneShares = append(c.zoneShares, zoneShare{name, share})
}

// ReportPosition queues a position of a store that a peer has observed.
func (c *Core) ReportPosition(store string, position Time) {
	c.storeUpdates = append(c.storeUpdates, storeUpdate{store: store, position: position, apply: func(c *Core, i uint32, w storeUpdate) {
		c.balancer.PeerPosition(c.now, i, w.position)
	}})
}

// QueryPosition queues a query of a store for its position. PositionObserved or QueryFailed of the position watch
// follows.
func (c *Core) QueryPosition(store string) {
	c.storeUpdates = append(c.storeUpdates, storeUpdate{store: store, apply: func(c *Core, i uint32, _ storeUpdate) {
		c.dispatch(i, pendingAttempt{request: -1, positionQuery: true, since: c.now, until: c.now + c.host.DialTimeout})
	}})
}

// PositionResolved ends a query that the position watch has taken over. If answered is true the query is resolved;
// otherwise the store itself is asked.
func (c *Core) PositionResolved(store string, answered bool) {
	c.storeUpdates = append(c.storeUpdates, storeUpdate{store: store, answered: answered, apply: func(c *Core, i uint32, w storeUpdate) {
		if w.answered { // the answer says nothing about the store, only that the query is resolved
			c.queueResult(attemptResult{-1, 0, i, balance.Result{Ending: balance.Served}})
			return
		}
		c.dispatch(i, pendingAttempt{request: -1, since: c.now, until: c.now + c.host.DialTimeout})
	}})
}

// NextStep returns when Step must be called again even if there are no events.
func (c *Core) NextStep() Time {
	// Their clients may have read meanwhile; there is no event for that if the system had accepted all output.
	next := c.nextWake
	if len(c.stalledConns)+len(c.heldConns) > 0 {
		next = min(next, c.now+millisecond)
	}
	if len(c.backlog.clients) > 0 {
		next = min(next, c.backlog.nextAt)
	}
	if c.queuesPending() { // of requests that came from the backlog
		next = c.now
	}
	return next
}

// Stop begins the shutdown. Clients are served for most of the available time, since the front to which they would
// reconnect may be shutting down as well. Then each client is closed between two requests, and all accepted requests
// are answered before the front is ended by force.
func (c *Core) Stop(now Time) {
	if c.shutdownAt == 0 {
		c.noteDelay(now)
		now = c.delay.earliestArrival(now) // the signal may have come while the front was held up
		span := min(c.classes.longest, cmp.Or(c.limits.MaxDeadline, c.classes.longest))
		// Where deadlines are short, new connections still arrive when most of that time is over.
		c.shutdownAt, c.shutdownDeadline = now+max(span*3/4, c.limits.ShutdownGrace), now+span+cmp.Or(c.limits.ForceAfter, c.limits.ShutdownGrace)
		c.balancer.SetShutdownDeadline(now, c.shutdownDeadline) // requests that are unanswered at the forced end are lost
	}
}

// Done reports whether the shutdown is complete: no client is left and no request is pending.
func (c *Core) Done() bool { return c.Stopping() && len(c.clients) == 0 && c.pending == 0 }

// PendingRequests returns the number of requests that have not had their final answer or whose attempts have not ended.
func (c *Core) PendingRequests() int { return c.pending }

// Stopping reports whether the front has begun to close idle clients and expects no new connections.
func (c *Core) Stopping() bool { return c.shutdownAt > 0 && c.now >= c.shutdownAt }

// Step runs one iteration of the loop.
func (c *Core) Step(now Time, events []Event) {
	c.now = now
	c.noteDelay(now)
	c.work = stepWork{byteLimit: bytesPerStep}
	c.handleEvents(events)
	c.resumeStalledConns()
	c.applyUpdates()
	c.reportResults()
	c.dispatchWaiting()
	c.resumeHeldConns()
	tickDue := now >= c.nextWake
	if tickDue {
		c.sweep()
		c.summarize()
	}
	c.processQueues(tickDue)
	c.flushLinks()
	// Commands in the backlog come behind all else: what an attempt tells its store of the time left is as of now.
	c.processBacklog()
	c.flushLinks()
}

// handleEvents handles the events of the links.
func (c *Core) handleEvents(events []Event) {
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
}

// resumeStalledConns continues to forward results for which clients had no room.
func (c *Core) resumeStalledConns() {
	for n := len(c.stalledConns); n > 0; n-- { // connections that stall again are appended behind the others
		k := c.stalledConns[0]
		c.stalledConns = append(c.stalledConns[:0], c.stalledConns[1:]...)
		k.resumeStalled(c)
	}
}

// resumeHeldConns looks again at the statements that wait for the positions of their stores.
func (c *Core) resumeHeldConns() {
	for n := len(c.heldConns); n > 0; n-- { // those that wait on are appended behind the others
		k := c.heldConns[0]
		c.heldConns = append(c.heldConns[:0], c.heldConns[1:]...)
		k.resumeHeld(c)
	}
}

// applyUpdates applies what was queued since the last step by UpdateStores, SetZoneShare and the reports on stores.
func (c *Core) applyUpdates() {
	for _, p := range c.zoneShares {
		c.balancer.SetZoneShare(c.now, p.zone, p.share)
	}
	c.zoneShares = c.zoneShares[:0]
	for _, l := range c.storeLists {
		c.applyStoreList(l)
	}
	c.storeLists = c.storeLists[:0]
	for k := 0; k < len(c.storeUpdates); k++ {
		// Bolt results are forwarded before they are complete
		if i, ok := c.storeIndex[c.storeUpdates[k].store]; ok && !c.stores[i].bolt {
			c.storeUpdates[k].apply(c, i, c.storeUpdates[k])
		}
	}
	c.storeUpdates = c.storeUpdates[:0]
}

// processQueues passes results, abandoned and new requests to the balancer, ticks it if that is due, and executes the
// tasks that result, until nothing is queued.
func (c *Core) processQueues(tickDue bool) {
	for once := true; once || c.queuesPending(); once = false {
		c.reportResults()
		c.reportAbandoned()
		for k := 0; k < len(c.arrived); k++ {
			c.handleArrival(c.arrived[k])
			c.dequeued(c.arrived[k])
		}
		c.arrived = c.arrived[:0]
		if tickDue {
			c.balancer.Tick(c.now)
			if c.admission != nil {
				c.admission.Tick(c.now)
			}
			tickDue = false
		}
		c.admitRequests()
		c.runTasks()
		c.admitRequests() // answers have made room
	}
}

// queuesPending reports whether anything is queued that processQueues handles.
func (c *Core) queuesPending() bool {
	return len(c.results)+len(c.arrived)+len(c.abandoned)+len(c.tasks) > 0
}

// reportAbandoned tells the balancer and admission control of the requests that ended without an answer.
func (c *Core) reportAbandoned() {
	for _, i := range c.abandoned {
		if c.admission != nil {
			c.admission.RequestEnded(c.now, i)
		}
		c.balancer.ClientGone(c.now, c.requests[i].id)
		c.dequeued(i)
	}
	c.abandoned = c.abandoned[:0]
}

// flushLinks passes the output that was queued to the system.
func (c *Core) flushLinks() {
	for _, l := range c.unflushed {
		l.Flush()
	}
	c.unflushed = c.unflushed[:0]
}

// admitRequests lets admission control admit the requests for which there is room.
func (c *Core) admitRequests() {
	if c.admission != nil {
		c.admission.AdmitWaiting(c.now)
	}
}

// admissionHost implements the callbacks of admission control.
type admissionHost struct{ c *Core }

func (g admissionHost) Admit(request int32) { g.c.submit(request) }
func (g admissionHost) Log(text string)     { g.c.logLimited(text) }
func (g admissionHost) Reject(request int32, pause Time) {
	g.c.queueTask(task{run: (*Core).refuseRequest, request: request, at: pause})
}

// queueArrival queues a request that is to be passed to admission control or the balancer.
func (c *Core) queueArrival(i int32) {
	c.requests[i].queued++
	c.arrived = append(c.arrived, i)
}

// queueTask queues a task for runTasks.
func (c *Core) queueTask(t task) {
	if t.request >= 0 {
		c.requests[t.request].queued++
	}
	c.tasks = append(c.tasks, t)
}

// runTasks executes the tasks that the balancer and admission control have requested.
func (c *Core) runTasks() {
	for k := 0; k < len(c.tasks); k++ {
		t := c.tasks[k]
		t.run(c, t)
		if t.request >= 0 {
			c.dequeued(t.request)
		}
	}
	c.tasks = c.tasks[:0]
}

// reportResults passes the results that have arrived to the balancer.
func (c *Core) reportResults() {
	for k := 0; k < len(c.results); k++ {
		c.reportResult(c.results[k])
	}
	c.results = c.results[:0]
}

// reportResult passes the result of an attempt or a probe to the balancer.
func (c *Core) reportResult(b attemptResult) {
	if b.request < 0 {
		c.balancer.ProbeDone(c.now, b.store, b.result)
		return
	}
	req := &c.requests[b.request]
	b.result.Done = req.concluded
	c.balancer.AttemptDone(c.now, req.id, b.attempt, b.store, b.result)
	c.dequeued(b.request)
}

// applyStoreList numbers the stores of a list and passes it to the balancer.
func (c *Core) applyStoreList(l StoreList) {
	members := make([]balance.Member, len(l.Entries))
	listed := make(map[uint32]bool, len(l.Entries))
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
				s.drainUntil = c.delay.earliestArrival(c.now) + c.limits.DrainGrace
			}
		case balance.Ready:
			s.drainUntil = 0
		}
		listed[i], c.groups[e.Group] = true, e.Bolt
		members[k] = e.Member
		members[k].Store = i
	}
	if l.Kind == balance.ListFull || l.Kind == balance.ListStale {
		for i := range c.stores {
			if !listed[uint32(i)] {
				c.closeIdle(uint32(i))
			}
		}
	}
	c.balancer.UpdateMembers(c.now, l.Kind, members)
	// The order does not matter; a store that was forgotten and listed again in one step counts as known again.
	for i := range listed {
		c.stores[i].forgotten = false
	}
}

// logLimited logs a rare event. Beyond a limit per second lines are dropped, so that a fault cannot flood the log.
func (c *Core) logLimited(text string, args ...any) {
	if c.now-c.loggedSince >= 1000*millisecond {
		c.loggedSince, c.loggedLines = c.now, 0
	}
	if c.loggedLines++; c.loggedLines <= 20 {
		c.log.Info(text, args...)
	}
}

// The methods below implement balance.Front. Their tasks wait until the balancer has processed everything that is
// ready.

// Send starts an attempt of a request at a store, which ends at until. An answer that shows a position below least does not
// count; 0: any answer does.
func (c *Core) Send(id string, store uint32, until, minPosition Time) {
	if c.admission != nil {
		c.admission.AttemptStarted(c.now, requestIndex(id))
	}
	c.queueTask(task{run: (*Core).startAttempt, request: requestIndex(id), store: store, at: until, minPosition: minPosition})
}

// Cancel cancels an attempt of a request.
func (c *Core) Cancel(id string, attempt int) {
	c.queueTask(task{run: (*Core).cancelAttempt, request: requestIndex(id), attempt: attempt})
}

// Refuse answers a request with a refusal that tells the client to try again after pause.
func (c *Core) Refuse(id string, pause Time) {
	if c.admission != nil {
		pause = c.admission.RetryAfter(c.now, requestIndex(id), pause)
	}
	c.queueTask(task{run: (*Core).refuseRequest, request: requestIndex(id), at: pause})
}

// Fail answers a request with an error that tells that it may have run. If the store protocol proves that it had no
// effect, the client is told to try again instead.
func (c *Core) Fail(id string) {
	c.queueTask(task{run: (*Core).failRequest, request: requestIndex(id)})
}

// Probe asks a store for its position. The position watch may answer for it if need is not 0 and it knows that the store,
// or with anyStore any store of its group, has reached need.
func (c *Core) Probe(store uint32, need Time, anyStore bool) {
	c.queueTask(task{run: (*Core).startProbe, request: -1, store: store, minPosition: need, anyStore: anyStore})
}

// CloseIdle closes the idle connections to a store.
func (c *Core) CloseIdle(store uint32) {
	c.queueTask(task{run: func(c *Core, t task) { c.closeIdle(t.store) }, request: -1, store: store})
}

// Forget releases the number of a store that the balancer no longer knows.
func (c *Core) Forget(store uint32) {
	c.stores[store].forgotten = true
	c.queueTask(task{run: (*Core).removeStore, request: -1, store: store})
}

// WakeAfter has Step called with a tick of the balancer after that time at the latest.
func (c *Core) WakeAfter(after Time) { c.nextWake = c.now + after }

// WatchMembers asks discovery for changes of the store list.
func (c *Core) WatchMembers() { c.watchDiscovery() }

// Log logs a message of the balancer, subject to the limit per second.
func (c *Core) Log(text string) { c.logLimited(text) }

// requestIndex returns the index in Core.requests for which a balancer request id stands.
func requestIndex(id string) int32 {
	n, _ := strconv.Atoi(id)
	return int32(n)
}

// String returns the numbers of clients, store connections and pending requests.
func (c *Core) String() string {
	return fmt.Sprintf("clients %d, store connections %d, requests %d", len(c.clients), len(c.conns), c.pending)
}
