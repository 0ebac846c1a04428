package balance

// Time is a moment or a span in whole tenths of a millisecond.
type Time = int64

// Settings is what a front is handed once, when it starts.
type Settings struct {
	Seed               uint64
	Fronts             int // how many there are
	Zone               string
	EventInterval      Time // events come no more often than this
	Classes            []Class
	Tenants            []Tenant
	OverQuotaCredit    float64 // credit of a request past its tenant's share, as a part of the usual
	StoresCheckReads   bool    // a member turns away a read that it is too far behind for
	FencesCarried      bool    // reads carry the age of their session's last write; else the front remembers
	ListPushed         bool    // the list's changes come by themselves; else they must be asked for
	ListInterval       Time    // a front without a watch must ask this often
	AgentGrace         Time    // a drain binds so long after the front's own agent had it, told or not; 0: no such agent
	OnlyDrainingBinds  bool    // being gone from the list does not bind, only a drain does
	AnswerSlack        Time
	StartCapacity      float64 // part of its capacity with which a store starts, at least
	WarmupTime         Time    // by then it is warm
	ColdOverloadFactor float64 // a cold store sent more than this multiple of its capacity
	ColdOverloadSpan   Time    // for this long falls over
	MaxAttempts        int
	MayProbe           bool
	MayCancel          bool
	MaxRetryAfter      Time // most that a refusal may name as a time to come back; 0: it may name none
	CrossZonePrice     float64
	ProbePrice         float64
}

// Need says how recent a class's data must be.
type Need uint8

const (
	Any     Need = iota // any member's data will do
	Bounded             // no older than the class's bound when sent
	Session             // all that its session has written
	Fresh               // all that was written before the request came
	Write               // taken by the primary alone
)

// Repeat says what a class allows once an attempt may have run.
type Repeat uint8

const (
	Idempotent Repeat = iota
	Keyed
	AtMostOnce
)

// Class is one kind of request.
type Class struct {
	Name         string
	Need         Need
	Bound        Time // for Bounded
	Repeat       Repeat
	Anywhere     bool // Numbered: every store drops repeats, not the request's group alone
	Window       Time // Numbered: how long repeats are dropped
	ExpectedTime Time
	Stretch      float64 // the expected time grows by this multiple of the request's own work
	Deadline     Time
	Credit       float64
	LateCredit   float64 // part of the credit left after the expected time
}

// Tenant is one of those who share the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its share, over all fronts
}

// Condition is what the list says of a member.
type Condition uint8

const (
	Gone Condition = iota
	Ready
	Draining
)

// Member is one line of the list.
type Member struct {
	Store     uint32
	Group     uint64
	Zone      string
	Condition Condition
	Primary   bool
	Size      float64
	Started   Time // 0: long ago
}

// ListKind says what a list holds.
type ListKind uint8

const (
	ListFailed ListKind = iota // a call for the list failed, or the watch broke
	ListFull
	ListChanges
	ListCached // what the front held before it was restarted
	ListStale  // whole, but older than one before
)

// Request is one request as it comes in.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Session  string
	Group    uint64
	Work     Time // that it is expected to take; 0: not told
	Left     Time // until the client gives this try up
	Waited   Time // since it came in, before the module was handed it
	Repeated bool // known to be a client's further try
	WriteAge Time // age of the session's last write, rounded down; below 0: none, or not told
}

// Role is what a member says it is.
type Role uint8

const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// Report is what a member says of itself. A Position of 0 says nothing.
type Report struct {
	Position Time
	Role     Role
}

// Ending says how an attempt or a probe came back.
type Ending uint8

const (
	Served        Ending = iota
	NotEligible          // turned away unprocessed: not primary, or too far behind
	Overloaded           // turned away unseen
	ConnectFailed        // no connection
	NotSent              // never left the front
	Aborted              // broke off, and provably had no effect
	Failed               // from here on it may have run
	TimedOut
	ConnectionLost
	Cancelled
)

// NeverRan tells whether the ending proves that nothing was done.
func (e Ending) NeverRan() bool { return e >= NotEligible && e <= Aborted }

// Result is the result of one attempt or probe.
type Result struct {
	Ending Ending
	Note   Report // of the very moment of the answer
	Load   Report // as old as the member's own report
	Since  Time   // when the connection that brought the answer came up; 0: not told
	Done   bool   // the request has had its final answer
}

// Front is what a front can do for the module. A request's attempts are numbered from 0 in the order of Send.
type Front interface {
	// Send starts an attempt. Where it has to wait first, Due is asked before it sets out. least: an answer that does not
	// show a position from there on is none, and came back as Behind; 0: any will do.
	Send(request string, store uint32, until, least Time)
	Cancel(request string, attempt int)
	Refuse(request string, pause Time)
	Fail(request string)
	// Probe asks a member for its position, whose answer may be a peer's word (Heard) if that shows need: any
	// member's of its group, or this one's. 0: the member itself has to answer.
	Probe(store uint32, need Time, any bool)
	CloseIdle(store uint32) // closes idle connections
	Forget(store uint32)    // the module no longer knows it; its number may be another's from now on
	WakeAfter(after Time)
	WatchMembers()
	Log(text string)
}
