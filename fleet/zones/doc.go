// Package zones keeps one front's assessment of each zone's stores, made together with the other fronts of
// its fleet, and decides which share of ordinary traffic may go to a zone. It does no I/O, reads no clock and
// draws no random numbers: the same calls lead to the same actions.
//
// A plan is advice. It narrows what the decision module does by itself and never widens it, so it needs no
// quorum and may be made on both sides of a cut; a front without peers or with an old plan does what it does
// today.
//
// Evidence is a pair of bits for each store of a zone, by the hash of its name: seen of late, and its last
// request failed. Evidence of many observers is merged by votes for each store, failures counting twice, so
// one front that is busy or faulty counts as one, and one store that is bad counts as one store. What the
// fronts of one zone see together is that zone's report, and reports are kept by pairs of zones: "A cannot
// reach B" may mean that B is down, that A is cut off, or that the link between them is down. No answer at
// all is no evidence.
//
// Plans consist of rows, one for each pair of zones: what fronts of one zone send to another. A front sets
// the rows of its own zone alone, so what both sides of a cut decide never conflicts.
//
// A zone recovers by a ramp of shares of each front's own demand, never above what a store that started cold
// at the first successful trial can take. That is why a fleet in two halves keeps the sum: each half's share
// is of its own demand.
//
// The files:
//
//	zones.go      the view: construction and configuration
//	state.go      states of a zone and outcomes of requests
//	table.go      the table of zones
//	stores.go     the table of stores
//	observers.go  the table of other fronts
//	outcomes.go   outcomes of this front's requests
//	evidence.go   what this front has seen, and whether that is worth publishing
//	publish.go    when evidence is published
//	report.go     merging the evidence of a zone's fronts
//	verdict.go    whether a zone is to be drained
//	capacity.go   whether the other zones can take its traffic
//	plan.go       rows: setting, publishing, adopting and applying them
//	recovery.go   trials and the ramp
//	orders.go     operators' orders
//	receive.go    received notes, and which notes are superseded
//	tick.go       the timer, stalls and overload
//	status.go     what people are shown
//	encoding.go   the wire format of notes
package zones
