// Package admission is the admission control of one front. It decides which requests wait, which one is admitted
// next, which ones are refused, and when the client of a refused request should retry. Package balance, the
// decision module, decides which store serves a request and whether the request is tried again. Package admission
// keeps the queue in front of that module, where it can share capacity fairly between tenants.
//
// Requests are scheduled by start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing",
// SIGCOMM 1996). Each tenant has a start tag, the virtual time at which its next request starts. The tenant with
// the smallest tag is served first, and its tag advances by the request's work divided by the tenant's weight. The
// algorithm does not need to know how fast the stores serve requests, which changes all the time.
//
// The caller owns the requests and numbers them from 0. It calls one function at a time and passes the current
// time in tenths of a millisecond. The package does no I/O and reads no clock, and the same calls lead to the same
// actions.
//
// The files:
//
//	controller.go     construction, bounds and counts
//	request.go        the record of each request
//	arrive.go         admission of a request that arrives
//	waiting.go        the queues of waiting requests
//	refuse.go         refusals, and times that are reserved for retries
//	attempts.go       the start and end of attempts, and the end of requests
//	tick.go           the timer, and admission of waiting requests
//	scheduler.go      requests that compete for the same stores, and the flow of each tenant
//	order.go          the order in which flows are served
//	wait.go           estimates of how long a request would wait
//	handoff.go        how many requests are handed to the decision module
//	contention.go     log lines about contention
//	tenants.go        assignment of tenants to flows
//	reservations.go   work that is reserved for retries
//	successor.go      replacement by a Controller with other settings or bounds
//	pairing_heaps.go  pairing heaps
package admission
