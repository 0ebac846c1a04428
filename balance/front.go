package balance

// Time is a point in time or a duration, in tenths of a millisecond.
type Time = int64

// Settings configures a Balancer. New takes the first ones; Configure replaces them.
type Settings struct {
	Seed               uint64   // seed of the pseudorandom numbers
	Fronts             int      // number of fronts that share the load; at least 1 is assumed
	Zone               string   // zone of this front
	EventInterval      Time     // least time between two events
	Classes            []Class  // classes of requests, at least one
	Tenants            []Tenant // tenants that have a quota
	OverQuotaCredit    float64  // credit of a request beyond its tenant's quota, as a part of the usual
	StoresCheckReads   bool     // a store rejects a read for which it is too far behind
	FencesCarried      bool     // reads carry the age of their session's last write; otherwise the front remembers it too
	ListPushed         bool     // changes of the member list are pushed; otherwise the front has to ask for them
	ListInterval       Time     // a front without a watch has to ask for the list this often
	AgentGrace         Time     // a drain binds this long after the front's own agent has it, whether the front was told or not; 0: no agent
	OnlyDrainingBinds  bool     // a store missing from the list may still be used, a draining one may not
	AnswerSlack        Time     // time after a request's deadline within which its final answer is still accepted
	StartCapacity      float64  // share of its full capacity that a store has at least when it starts
	WarmupTime         Time     // time after a start by which a store has its full capacity
	ColdOverloadFactor float64  // a cold store fails if it is sent more than this multiple of its capacity
	ColdOverloadSpan   Time     // time for which that excess has to last for a cold store to fail
	MaxAttempts        int      // most attempts of a request; at least 1 is assumed
	MayProbe           bool     // the front may probe stores for their position
	MayCancel          bool     // the front may cancel attempts
	MaxRetryAfter      Time     // longest pause that a refusal may name; 0: it may name none
	CrossZonePrice     float64  // price of an attempt in another zone
	ProbePrice         float64  // price of a probe, in units of credit
}

// Need says how recent the data must be that a class of requests sees.
type Need uint8

const (
	Any     Need = iota // data of any age, from any member
	Bounded             // data no older than the class's Bound when the attempt is sent
	Session             // all that the request's session has written
	Fresh               // all that was written before the request arrived
	Write               // a write, which only the primary takes
)

// Repeat says whether a request may be sent again after an attempt that may have run.
type Repeat uint8

const (
	Idempotent Repeat = iota // it may be repeated at any time
	Keyed                    // it carries a key by which stores drop repeats within the class's Window
	AtMostOnce               // it must not be repeated
)

// Class is a class of requests with common requirements.
type Class struct {
	Name         string  // its name, unique in the settings
	Need         Need    // how recent its data must be
	Bound        Time    // greatest age of the data, for Bounded
	Repeat       Repeat  // whether its requests may be repeated
	Anywhere     bool    // for Keyed: all stores drop repeats, not only those of the request's group
	Window       Time    // for Keyed: how long repeats are dropped
	ExpectedTime Time    // time within which a request earns its full credit
	Stretch      float64 // multiple of a request's own work by which its expected time grows
	Deadline     Time    // hard limit on the time until the answer
	Credit       float64 // credit that a request earns if it is answered in time
	LateCredit   float64 // part of the credit that is left after the expected time
}

// Tenant is a user of the service that has a quota.
type Tenant struct {
	Name  string  // its name, as requests give it
	Quota float64 // requests per second that are within its quota, over all fronts
}

// Condition is the state of a member according to the list.
type Condition uint8

const (
	Gone     Condition = iota // no longer in service
	Ready                     // accepts new work
	Draining                  // accepts no new work
)

// Member is one entry of the member list: a store and its group.
type Member struct {
	Store     uint32    // number of the store
	Group     uint64    // ID of the group that it belongs to
	Zone      string    // zone that it is in
	Condition Condition // whether it accepts new work
	Primary   bool      // the list takes it to be the primary of its group
	Size      float64   // relative capacity; 0 or less keeps the last value, at first 1
	Started   Time      // when it was started; 0: long ago
}

// ListKind says what a call of UpdateMembers reports.
type ListKind uint8

const (
	ListFailed  ListKind = iota // a call for the list failed, or the watch broke
	ListFull                    // all members
	ListChanges                 // the members that have changed
	ListCached                  // the list that the front had before it was restarted
	ListStale                   // all members, but the list is older than an earlier one
)

// Request describes a request as it arrives.
type Request struct {
	ID       string // unique among the requests at hand
	Class    string // name of its class
	Tenant   string // name of its tenant
	Session  string // its session; "" if it has none
	Group    uint64 // ID of the group that has its data
	Work     Time   // time that it is expected to take at a store; 0: unknown
	Left     Time   // time until the client gives up this try
	Waited   Time   // time between its arrival and the call of Submit
	Repeated bool   // it is known to be a client's retry
	WriteAge Time   // age of the session's last write, rounded down; below 0: none, or unknown
}

// Role is the role that a member reports.
type Role uint8

const (
	RoleUnknown Role = iota // the member did not report its role
	Primary                 // it takes writes
	Replica                 // it follows a primary
)

// Report is what a member reports of itself.
type Report struct {
	Position Time // log position that it has reached; 0: unknown
	Role     Role // its role at that position
}

// Ending says how an attempt or a probe ended.
type Ending uint8

const (
	Served         Ending = iota // answered
	NotEligible                  // rejected unprocessed: the store is not the primary, or too far behind
	Overloaded                   // rejected unread
	ConnectFailed                // no connection could be opened
	NotSent                      // never left the front
	Aborted                      // broken off, certainly without effect
	Failed                       // answered with an error; after this and all that follow, the attempt may have run
	TimedOut                     // not answered in time
	ConnectionLost               // the connection was lost before the answer
	Cancelled                    // cancelled by the front
)

// NeverRan reports whether the ending proves that the attempt had no effect.
func (e Ending) NeverRan() bool { return e >= NotEligible && e <= Aborted }

// Permission says whether a further statement of a transaction may be sent to the transaction's store.
type Permission uint8

const (
	Allowed Permission = iota // it may be sent now
	Pending                   // the store is asked for its position; ask again soon
	Denied                    // the transaction has to end
)

// Result is the result of an attempt or a probe.
type Result struct {
	Ending Ending // how it ended
	Note   Report // the member's state at the moment of the answer
	Load   Report // the member's state in its latest load report, which may be older
	Since  Time   // when the connection that brought the answer was opened; 0: unknown
	Done   bool   // the request has had its final answer
}

// Front carries out what a Balancer decides. The attempts of a request are numbered from 0 in the order of Send.
type Front interface {
	// Send starts the next attempt of a request at a store. If the attempt has to wait for a connection, the front calls
	// MaySend before it sends it. The client waits until deadline. An answer that does not show at least minPosition must
	// be reported as NotEligible; 0 admits any answer.
	Send(request string, store uint32, deadline, minPosition Time)

	// Cancel cancels an attempt of a request.
	Cancel(request string, attempt int)

	// Refuse gives a request its final answer: it was not served, and the client may repeat it after the pause.
	Refuse(request string, pause Time)

	// Fail gives a request its final answer: it failed, and may have run.
	Fail(request string)

	// Probe asks a member for its position. A position that a peer knows may answer it (see Balancer.PeerPosition) if that
	// is at least need: of any member of the group if anyMember is set, else of this one. If need is 0, the member itself
	// has to answer.
	Probe(store uint32, need Time, anyMember bool)

	// CloseIdle closes the idle connections to a store.
	CloseIdle(store uint32)

	// Forget reports that the Balancer has dropped a store. Its number may be given to another store from now on.
	Forget(store uint32)

	// WakeAfter asks for a call of Tick after the given time.
	WakeAfter(after Time)

	// WatchMembers asks for the member list and, where there is one, for a watch of its changes.
	WatchMembers()

	// Log writes a line to the log.
	Log(text string)
}
