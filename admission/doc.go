// Package door is the admission control of one front: which requests wait, who is let in next, who is
// refused, and when a refused client should come again. Which store serves a request, and whether it is tried
// again, is decided by package balance; this package keeps the queue in front of it, where it can be fair.
//
// Requests are shared out by start-time fair queueing (Goyal, Vin and Cheng, "Start-time Fair Queueing",
// SIGCOMM 1996): each tenant carries a tag, the virtual time at which its next request starts; the smallest
// tag is served first and moves on by the request's work over the tenant's weight. It needs no knowledge of
// how fast the stores serve, which changes all the time.
//
// The caller owns the requests and numbers them from 0; it calls one function at a time with the present
// moment, in tenths of a millisecond. The package does no I/O and reads no clock, and the same calls lead to
// the same actions.
//
// The files:
//
//	door.go        construction, bounds and counts
//	request.go     what is kept of each request
//	arrive.go      admission of a request that arrives
//	waiting.go     the queue of requests that wait
//	refuse.go      refusals, and times to come back that are promised
//	attempts.go    attempts that start and end, and the end of requests
//	tick.go        the timer, and letting in what there is room for
//	lane.go        requests that compete for the same stores, and the queue of each tenant
//	order.go       the tenants' order of service
//	wait.go        how long a request would wait
//	room.go        how many requests the decision module is handed
//	contention.go  log lines about contention
//	names.go       places of tenants
//	calendar.go    work that was promised a time
//	successor.go   other settings or bounds while it runs
//	pile.go        pairing heaps
package admission
