// Package zones maintains one front's assessment of the stores of each zone, based on evidence shared with
// the other fronts of its fleet, and decides which share of ordinary traffic may go to each zone. It does no
// I/O, reads no clock and draws no random numbers: the same calls lead to the same actions.
//
// A plan is advisory. It restricts the routing decisions that a front makes on its own and never extends
// them. So it needs no quorum and may be made on both sides of a partition, and a front without peers or with
// an expired plan routes as it would without this package.
//
// Evidence consists of two bits for each store of a zone, at a slot given by the hash of the store's name:
// whether the store was used recently, and whether its last request failed. Evidence of several observers is
// merged by votes for each store in which failures count twice. So one overloaded or faulty front counts as
// one observer, and one bad store counts as one store. The merged evidence of the fronts of one zone is that
// zone's report. Reports are kept for each pair of zones, because "A cannot reach B" may mean that B is down,
// that A is partitioned from everything, or that the link between them is down. A store without any outcome
// yields no evidence.
//
// A plan consists of rows, one for each ordered pair of zones: the share of traffic that fronts of the first
// send to the second. A front sets only the rows of its own zone, so decisions on both sides of a partition
// never conflict.
//
// A zone recovers along a ramp of shares, each a share of every front's own demand. The ramp never exceeds
// the capacity of a store that was started cold at the first successful trial. The total stays correct in a
// fleet that is partitioned into halves, since the share of each half applies to its own demand.
//
// The files:
//
//	zones.go      construction and configuration of the view
//	state.go      states of a zone and outcomes of requests
//	table.go      table of zones
//	stores.go     table of stores
//	observers.go  table of other fronts
//	outcomes.go   outcomes of this front's requests
//	evidence.go   this front's evidence, and whether it is worth publishing
//	publish.go    when evidence is published
//	report.go     merging the evidence of a zone's fronts
//	verdict.go    whether a zone is to be drained
//	capacity.go   whether the other zones can take a zone's traffic
//	plan.go       rows: setting, publishing, adopting and applying them
//	recovery.go   trials and the recovery ramp
//	orders.go     operators' orders
//	receive.go    received notes, and which notes are superseded
//	tick.go       periodic work, stalls and overload
//	status.go     status for operators
//	encoding.go   wire format of notes
package zones
