package admission

// none is the index that stands for no request or no flow.
const none int32 = -1

// Arrival describes a request that arrives. A Controller keeps only numbers of it.
type Arrival struct {
	Request     int32  // number of the request, chosen by the caller
	Class       int    // index of its class in the settings
	Tenant      []byte // name of its tenant
	Client      uint64 // the connection, or anything else that identifies one client of the tenant
	RetryKey    []byte // equal for all tries of a request, as far as known; empty if it is unknown
	Group       uint64 // group whose stores it needs
	TimeLeft    Time   // time until the client gives up this try
	MarkedRetry bool   // whether the client marked it as a retry
	Bytes       int    // size of its statement
}

// state is the state of a request.
type state uint8

const (
	absent     state = iota // unknown or ended
	waiting                 // queued
	admitted                // admitted, with no attempt under way
	attempting              // admitted, with an attempt under way
)

// priority is the first criterion in the order of the requests of one tenant. Smaller values are served
// first.
type priority uint8

const (
	reserved   priority = iota // a retry that arrived at its reserved time
	firstTry                   // the first try of a request
	retry                      // any other retry
	priorities                 // number of priorities
)

// requestRecord holds what a Controller keeps of one request.
type requestRecord struct {
	state        state
	priority     priority
	flowIndex    int32   // index of its flow
	scheduler    int32   // index of its scheduler
	class        int32   // index of its class
	attempts     int32   // number of attempts started
	bytes        int32   // size of its statement
	older        int32   // the request that arrived before it, among those waiting in the same flow, or none
	newer        int32   // the request that arrived after it, among those waiting in the same flow, or none
	retryHash    uint64  // identifies the request across its tries; 0 if unknown
	finishTag    float64 // order within its priority
	work         float64 // estimated work for which its tenant is charged
	arrivedAt    Time    // time of arrival
	waitDeadline Time    // when it is refused if it still waits
	stateSince   Time    // since when it has been in its state, if admitted or attempting
}

// servedBefore reports whether request a is served before request b of the same flow.
func (c *Controller) servedBefore(a, b int32) bool {
	x, y := &c.requests[a], &c.requests[b]
	if x.priority != y.priority {
		return x.priority < y.priority
	}
	return x.finishTag < y.finishTag || x.finishTag == y.finishTag && a < b
}

// expiresBefore reports whether the wait deadline of request a comes before that of request b.
func (c *Controller) expiresBefore(a, b int32) bool {
	x, y := c.requests[a].waitDeadline, c.requests[b].waitDeadline
	return x < y || x == y && a < b
}

// grow makes room for request numbers below count.
func (c *Controller) grow(count int) {
	for len(c.requests) < count {
		c.requests = append(c.requests, requestRecord{})
	}
	c.queue.grow(count)
	c.deadlines.grow(count)
}
