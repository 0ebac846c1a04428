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
	reserved priority = iota // it was told to come now
	firstTry
	retry
	priorities
)

// requestRecord is what is kept of one request.
type requestRecord struct {
	state        state
	priority     priority
	flowIndex    int32 // of its tenant
	scheduler    int32
	class        int32
	attempts     int32
	bytes        int32
	older        int32 // the request of its tenant that arrived before it, of those that wait
	newer        int32
	retryHash    uint64  // by which its retries are known; 0: by nothing
	finishTag    float64 // order within its priority
	work         float64 // that its tenant is charged
	arrivedAt    Time
	waitDeadline Time // it is refused unless it was let in
	stateSince   Time // of admitted and attempting
}

// servedBefore orders the requests of one tenant.
func (c *Controller) servedBefore(a, b int32) bool {
	x, y := &c.requests[a], &c.requests[b]
	if x.priority != y.priority {
		return x.priority < y.priority
	}
	return x.finishTag < y.finishTag || x.finishTag == y.finishTag && a < b
}

// expiresBefore orders all requests that wait by when they are refused.
func (c *Controller) expiresBefore(a, b int32) bool {
	x, y := c.requests[a].waitDeadline, c.requests[b].waitDeadline
	return x < y || x == y && a < b
}

// grow makes room for so many requests.
func (c *Controller) grow(count int) {
	for len(c.requests) < count {
		c.requests = append(c.requests, requestRecord{})
	}
	c.queue.grow(count)
	c.deadlines.grow(count)
}
