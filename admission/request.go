package admission

// none is the number of no request, and of no place.
const none int32 = -1

// Arrival is a request as it arrives. Nothing of it is kept but numbers.
type Arrival struct {
	Request     int32  // its number
	Class       int    // its class, as the settings number them
	Tenant      []byte // its tenant
	Client      uint64 // the connection, or whatever else stands for one client of that tenant
	RetryKey    []byte // the same for all tries of a request, as far as can be told; empty: nothing tells them
	Group       uint64
	TimeLeft    Time // until the client gives this try up
	MarkedRetry bool // marked as a retry
	Bytes       int  // of its statement
}

// state is that of a request.
type state uint8

const (
	absent     state = iota
	waiting          // in a queue
	admitted         // let in, and no attempt is under way
	attempting       // let in, and an attempt is under way
)

// priority orders the requests of one tenant.
type priority uint8

const (
	promised priority = iota // it was told to come now
	firstTry
	retry
	priorities
)

// ticket is what is kept of one request.
type ticket struct {
	state      state
	priority   priority
	place      int32 // of its tenant
	lane       int32
	class      int32
	attempts   int32
	bytes      int32
	older      int32 // the request of its tenant that arrived before it, of those that wait
	newer      int32
	token      uint64  // by which its retries are known; 0: by nothing
	key        float64 // order within its priority
	work       float64 // that its tenant is charged
	arrivedAt  Time
	failsAt    Time // it is refused unless it was let in
	stateSince Time // of admitted and attempting
}

// servedBefore orders the requests of one tenant.
func (d *Controller) servedBefore(a, b int32) bool {
	x, y := &d.tickets[a], &d.tickets[b]
	if x.priority != y.priority {
		return x.priority < y.priority
	}
	return x.key < y.key || x.key == y.key && a < b
}

// failsBefore orders all requests that wait by when they are refused.
func (d *Controller) failsBefore(a, b int32) bool {
	x, y := d.tickets[a].failsAt, d.tickets[b].failsAt
	return x < y || x == y && a < b
}

// grow makes room for so many requests.
func (d *Controller) grow(count int) {
	for len(d.tickets) < count {
		d.tickets = append(d.tickets, ticket{})
	}
	d.queue.grow(count)
	d.deadlines.grow(count)
}
