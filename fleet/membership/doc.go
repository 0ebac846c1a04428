// Package membership maintains one front's view of the fronts in its fleet. It does no I/O, reads no clock
// and draws random numbers from a generator with its own seed: the same calls lead to the same actions.
//
// The protocol is SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", DSN 2002). In each protocol period one member is probed with a ping. If it does not
// answer, a few other members are asked to ping it. If none of them gets an answer either, the member is
// suspected, and may refute the suspicion with a higher incarnation before it is declared dead. Facts about
// members are piggybacked on all messages, each a limited number of times.
//
// Three rules come from Lifeguard (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More
// Accurate Failure Detection", 2018). A front that misses answers suspects itself first and waits longer
// (local health). A suspicion times out sooner the more members share it. A suspect is the first to be told
// of its suspicion.
//
// This implementation differs from them in these points. Members are probed zone by zone, so that every zone
// is observed from every zone. A front that hears no other member declares none dead. A front whose process
// was stopped extends the suspicions that it held. Dead members and the seeds are contacted again from time
// to time, so that the halves of a partitioned fleet find each other. Notes of other packages are spread by
// the same messages.
//
// The files:
//
//	members.go    the view: construction, configuration and queries
//	message.go    messages, facts and notes, and their limits
//	table.go      the table of members, and the probe ring of each zone
//	facts.go      applying received facts
//	suspicion.go  duration and end of suspicions
//	self.go       facts about this front: refutation, and name conflicts
//	probe.go      the probe of each period, direct and through helpers, and local health
//	verify.go     first pings to members that have never answered
//	relay.go      pings on behalf of another front
//	receive.go    dispatch of received messages
//	gossip.go     selection of facts and notes for messages, and rounds of gossip
//	queue.go      queues of facts and notes to be sent
//	budget.go     traffic budgets
//	notes.go      notes of other packages
//	sync.go       full syncs
//	digest.go     digests, which limit full syncs to the differences
//	tick.go       periodic work, stalls and leaving
package membership
