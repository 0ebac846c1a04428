// Package membership keeps one front's view of which fronts there are. It does no I/O, reads no clock and
// draws its random numbers from its own seed: the same calls lead to the same actions.
//
// The protocol is SWIM (Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", DSN 2002). In each protocol period one member is probed with a ping. If it does not
// answer, a few others are asked to ping it; if none of them hears it either it is suspected, and may refute
// the suspicion under a higher incarnation before it counts as dead. Facts about members ride on all
// messages, each a bounded number of times.
//
// Three rules are from Lifeguard (Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More
// Accurate Failure Detection", 2018): a front that misses answers suspects itself first and waits longer
// (local health); a suspicion times out sooner the more members share it; a suspect is told of its suspicion
// first.
//
// Changed here: members are probed zone by zone, so that every zone is seen from every zone; a front that
// hears nobody declares nobody dead; one whose process stood still extends the suspicions that it held; dead
// members and the seeds are contacted again now and then, so that two halves of a cut fleet find each other.
// Notes of other packages spread by the same messages.
//
// The files:
//
//	members.go    the view: construction, configuration and what can be asked of it
//	message.go    messages, facts and notes, and their bounds
//	table.go      the table of members, and the ring of each zone
//	facts.go      what a received fact changes
//	suspicion.go  how long a suspicion lasts, and how it ends
//	self.go       what others say of this front: refutation, and two processes of one name
//	probe.go      the probe of each period, direct and through helpers, and local health
//	verify.go     first pings to members that have never answered
//	relay.go      pings on behalf of another front
//	receive.go    dispatch of received messages
//	gossip.go     which facts and notes ride on a message, and rounds of gossip
//	notes.go      notes of other packages
//	sync.go       full exchanges of state
//	tick.go       the timer: what is due, stalls, leaving
package membership
