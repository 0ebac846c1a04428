package config

import (
	"cmp"
	"slices"
)

// FrontState is what a front last said of itself.
type FrontState uint8

// The states of a front.
const (
	StateSilent  FrontState = iota // not heard for SilentAfter, or never
	StateInForce                   // the version that it holds is in force
	StateHeld                      // a newer one needs a newer program
	StateRefused                   // it refused a newer one
	StateEmpty                     // it has none in force
)

// String names a state in one word.
func (s FrontState) String() string {
	switch s {
	case StateSilent:
		return "silent"
	case StateInForce:
		return "in-force"
	case StateHeld:
		return "held"
	case StateRefused:
		return "refused"
	case StateEmpty:
		return "empty"
	}
	return "unknown"
}

// FrontStatus is one front as a distributor knows it.
type FrontStatus struct {
	Name, Zone string // no name: a front reports that the list of peers does not hold
	State      FrontState
	InForce    Version // last told; it may have a newer one by now
	Received   Version
	Program    uint32
	Reason     string // of a refusal, or why it is held
	Silent     Time   // since when nothing came from it; -1: nothing ever did
}

// Status tells how far the configuration has come in the fleet.
type Status struct {
	Newest Version
	Lowest Version // in force, of all fronts that are not silent; 0: none, or one has none
	// Everywhere: every front that is not silent has Newest in force, and silent ones act on no guarded
	// setting of an older one.
	Everywhere bool
	InForce    int           // fronts with Newest in force
	Silent     int           // fronts not heard: cut off or gone; they may serve with an old version
	Stage      *Stage        // the open roll-out
	Fronts     []FrontStatus // by name
	Age        Time          // since Newest was proven to be the fleet's newest; -1: never
	Dropped    uint64        // malformed messages
}

// guardMargin is added to GuardSpan before a silent front counts as one that acts on no guarded setting:
// clocks may run apart by a part in ten over the span.
const guardMargin = ProofTTL / 10

// Status tells how far the newest version has come. Complete where this machine leads, and once reports have
// come in.
func (d *Distributor) Status(now Time) Status {
	s := Status{Newest: d.log.Newest(), Stage: d.log.Document().Stage, Age: d.proof.age(now)}
	s.Dropped = d.dropped
	s.Fronts = d.frontStatuses(now)
	s.Everywhere = s.Newest != 0
	first := true
	for _, f := range s.Fronts {
		if f.State == StateSilent {
			s.Silent++
			s.Everywhere = s.Everywhere && now-d.announcedAt > ProofTTL+guardMargin
			continue
		}
		if f.InForce == s.Newest {
			s.InForce++
		} else {
			s.Everywhere = false
		}
		if first || f.InForce < s.Lowest {
			s.Lowest, first = f.InForce, false
		}
	}
	return s
}

// frontStatuses joins the fronts that are known as peers with those that have reported.
func (d *Distributor) frontStatuses(now Time) []FrontStatus {
	list := make([]FrontStatus, 0, len(d.reports.entries))
	for _, p := range d.topology.fronts {
		f := FrontStatus{Name: p.Name, Zone: p.Zone, Silent: -1}
		if k, has := d.reports.find(nameID(p.Name)); has {
			f.update(now, &d.reports.entries[k])
		}
		list = append(list, f)
	}
	for k := range d.reports.entries {
		e := &d.reports.entries[k]
		if now-e.heardAt <= SilentAfter && !d.topology.has(e.id) {
			f := FrontStatus{}
			f.update(now, e)
			list = append(list, f)
		}
	}
	slices.SortStableFunc(list, func(x, y FrontStatus) int { return cmp.Compare(x.Name, y.Name) })
	return list
}

func (f *FrontStatus) update(now Time, e *reportEntry) {
	f.Silent = now - e.heardAt
	f.InForce, f.Received, f.Program, f.Reason = e.inForce, e.received, e.program, e.reason
	if f.Silent <= SilentAfter {
		f.State = e.state
	}
}
