// Package fleet combines the decisions that a front makes together with the other fronts of its fleet: which
// fronts exist (package membership) and which share of traffic may go to each zone (package zones). It passes
// information between the two, does no I/O and reads no clock.
package fleet

import (
	"micatrack/fleet/membership"
	"micatrack/fleet/zones"
)

// Time is a point in time or a duration in whole tenths of a millisecond.
type Time = int64

// overloadDivisor is the divisor of the protocol period that gives the lateness of a tick from which the
// front counts as short of processor time. A tick that is late by more than a whole period shows that the
// process was stopped.
const overloadDivisor = 2

// Host performs the actions of a front's fleet.
type Host interface {
	// Send sends a datagram, which may be lost. The message is valid only during the call.
	Send(addr string, message *membership.Message)
	// StartSync starts a full sync with the front at an address. Members.SyncMessage returns the message to
	// send.
	StartSync(addr string)
	// SetShare sets the share of ordinary traffic that may go to a zone, from 0 to 1.
	SetShare(zone string, share float64)
	// Log writes one line to the front's log.
	Log(text string)
}

// Fleet is one front's view of its fleet. It is not safe for concurrent use.
type Fleet struct {
	// Members is the view of the fleet's members.
	Members *membership.Members
	// Zones is the view of the zones.
	Zones *zones.Zones
	// MembersChanged is set when a member has joined, left or changed its state. The caller that processes
	// this resets it.
	MembersChanged bool

	host      Host
	now       Time // time of the current call
	tickDueAt Time // when the last call of Tick was due
	period    Time // protocol period of the membership protocol
}

// New returns a view. The fields of zonesConfig that the configuration for membership has too are taken from
// there.
func New(now Time, config membership.Config, zonesConfig zones.Config, host Host) *Fleet {
	f := &Fleet{host: host, now: now, tickDueAt: now, period: config.Period}
	zonesConfig.Name = config.Name
	zonesConfig.Zone = config.Zone
	zonesConfig.Incarnation = config.Incarnation
	zonesConfig.Period = config.Period
	zonesConfig.MaxObservers = config.MaxMembers
	zonesConfig.NoteTTL = config.NoteTTL
	f.Zones = zones.New(now, zonesConfig, adapter{f})
	f.Members = membership.New(now, config, adapter{f})
	return f
}

// adapter is the host of both packages. It passes notes and member changes between them, and everything else
// on to the fleet's host.
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

// spreads maps a zones.Spread to the membership.Spread of the same meaning.
var spreads = [...]membership.Spread{
	zones.DoNotSpread:    membership.DoNotSpread,
	zones.SpreadQuietly:  membership.SpreadQuietly,
	zones.SpreadSoon:     membership.SpreadSoon,
	zones.SpreadUrgently: membership.SpreadUrgently,
}

func (a adapter) Publish(key string, version uint64, body []byte, spread zones.Spread) {
	a.fleet.Members.Publish(a.fleet.now, key, version, body, spreads[spread])
}

// Receive handles a received message. It returns whether the sender expects
// Members.SyncMessage(membership.SyncResponse) in return.
func (f *Fleet) Receive(now Time, message *membership.Message) (answer bool) {
	f.now = now
	return f.Members.Receive(now, message)
}

// Next returns when Tick must be called again.
func (f *Fleet) Next() Time { return min(f.Members.Next(), f.Zones.Next()) }

// Tick performs the periodic work. It must be called at the time that Next returns.
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
