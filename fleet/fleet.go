// Package fleet joins what one front decides together with the others of its fleet: which fronts there are
// (membership) and which share of traffic may go to each zone (zones). It carries facts from one to the
// other, does no I/O and reads no clock.
package fleet

import (
	"micatrack/fleet/membership"
	"micatrack/fleet/zones"
)

// Time is a moment or a span in whole tenths of a millisecond.
type Time = int64

// overloadDivisor gives the part of a protocol period by which a late tick shows that the front is short of
// processor time. A tick that is late by a whole period shows that the process stood still.
const overloadDivisor = 2

// Host carries out the actions of a front's fleet.
type Host interface {
	// Send sends a datagram, which may be lost. The message is valid only during the call.
	Send(addr string, message *membership.Message)
	// Exchange starts a full exchange with an address; Members.Open gives the message to send.
	StartSync(addr string)
	// Part is told the share of ordinary traffic that may go to a zone, from 0 to 1.
	SetShare(zone string, share float64)
	// Log writes one line of the front's log.
	Log(text string)
}

// Fleet is the view of one front. It is not safe for concurrent use.
type Fleet struct {
	Members *membership.Members
	Zones   *zones.Zones
	// Changed is set when a member has come, gone or moved. Whoever has taken that in sets it back.
	MembersChanged bool

	host      Host
	now       Time // of the call in hand
	tickDueAt Time // when Tick was due last
	period    Time // of the membership protocol
}

// New returns a view. What zones needs of the front itself is taken from its configuration for membership.
func New(now Time, self membership.Config, zonesSelf zones.Config, host Host) *Fleet {
	f := &Fleet{host: host, now: now, tickDueAt: now, period: self.Period}
	zonesSelf.Name = self.Name
	zonesSelf.Zone = self.Zone
	zonesSelf.Incarnation = self.Incarnation
	zonesSelf.Period = self.Period
	zonesSelf.MaxObservers = self.MaxMembers
	zonesSelf.NoteTTL = self.NoteTTL
	f.Zones = zones.New(now, zonesSelf, adapter{f})
	f.Members = membership.New(now, self, adapter{f})
	return f
}

// adapter is the host of both packages: it passes notes and members between them, and all else on.
type adapter struct{ fleet *Fleet }

func (a adapter) Send(addr string, message *membership.Message) { a.fleet.host.Send(addr, message) }

func (a adapter) StartSync(addr string) { a.fleet.host.StartSync(addr) }

func (a adapter) SetShare(zone string, share float64) { a.fleet.host.SetShare(zone, share) }

func (a adapter) Log(text string) { a.fleet.host.Log(text) }

func (a adapter) MemberChanged(name, zone string, state membership.State) {
	a.fleet.MembersChanged = true
	a.fleet.Zones.UpdateMember(a.fleet.now, name, zone, state <= membership.Suspect)
}

func (a adapter) StopSpreading(key string) { a.fleet.Members.StopSpreading(key) }

func (a adapter) NoteReceived(key []byte, note membership.Note, age Time) membership.Spread {
	return spreads[a.fleet.Zones.ReceiveNote(a.fleet.now, key, note.Version, age, note.Body)]
}

// spreads gives membership's word for each of zones'.
var spreads = [...]membership.Spread{
	zones.DoNotSpread:    membership.DoNotSpread,
	zones.SpreadQuietly:  membership.SpreadQuietly,
	zones.SpreadSoon:     membership.SpreadSoon,
	zones.SpreadUrgently: membership.SpreadUrgently,
}

func (a adapter) Publish(key string, version uint64, body []byte, spread zones.Spread) {
	a.fleet.Members.Publish(a.fleet.now, key, version, body, spreads[spread])
}

// Receive takes in a received message. It returns whether the sender expects Members.Open(membership.Answer) in
// answer.
func (f *Fleet) Receive(now Time, message *membership.Message) (answer bool) {
	f.now = now
	return f.Members.Receive(now, message)
}

// Next returns when Tick must be called again.
func (f *Fleet) Next() Time { return min(f.Members.Next(), f.Zones.Next()) }

// Tick does what is due. It must be called at the time that Next returns.
func (f *Fleet) Tick(now Time) {
	lateBy := now - f.tickDueAt
	f.now = now
	switch {
	case lateBy > f.period:
		f.Zones.HandleStall(now)
	case lateBy > f.period/overloadDivisor:
		f.Zones.HandleOverload(now)
	}
	f.Members.Tick(now)
	for _, zone := range f.Members.Zones() {
		f.Zones.SetZoneLastHeard(zone, f.Members.ZoneLastHeard(zone))
	}
	if !f.Members.Replaced() {
		f.Zones.Tick(now)
	}
	f.tickDueAt = f.Next()
}
