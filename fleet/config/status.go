package config

import (
	"cmp"
	"slices"
)

// FrontState is the state that a front last reported.
type FrontState uint8

// States of a front.
const (
	StateSilent  FrontState = iota // not heard from for SilentAfter, or never
	StateInForce                   // the newest version received is in force
	StateHeld                      // a newer version needs a newer program
	StateRefused                   // the front refused a newer version
	StateEmpty                     // no version is in force
)

// String returns the name of the state in one word.
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

// FrontStatus is the state of one front as a distributor knows it.
type FrontStatus struct {
	Name     string // empty: a front that reports but is not among the known peers
	Zone     string
	State    FrontState
	InForce  Version // as last reported; the front may have a newer one by now
	Received Version // newest version received, as last reported
	Program  uint32  // program number of the front
	Reason   string  // why a newer version is held or refused
	Silent   Time    // time since its last report; -1: it never reported
}

// Status is the state of the configuration in the fleet.
type Status struct {
	Newest Version // newest version
	Lowest Version // lowest version in force on a front that is not silent; 0: a front has none, or there is no front

	// Everywhere reports whether every front that is not silent has Newest in force and no silent front acts
	// on a guarded setting of an older version.
	Everywhere bool

	InForce int           // fronts that have Newest in force
	Silent  int           // silent fronts, cut off or down; they may serve requests with an old version
	Stage   *Stage        // open roll-out; nil if there is none
	Fronts  []FrontStatus // sorted by name
	Age     Time          // time since Newest was proven to be the fleet's newest; -1: never
	Dropped uint64        // malformed messages dropped
}

// guardMargin is added to ProofTTL before a silent front is assumed to act on no guarded setting. It allows
// clocks to differ by a tenth of that time.
const guardMargin = ProofTTL / 10

// Status returns how far the newest version has spread. It is complete only on the leader, and only once
// reports have arrived.
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

// frontStatuses returns the state of the known fronts and of those that report without being known, sorted
// by name.
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

// update sets the state of a front from its latest report.
func (f *FrontStatus) update(now Time, e *reportEntry) {
	f.Silent = now - e.heardAt
	f.InForce, f.Received, f.Program, f.Reason = e.inForce, e.received, e.program, e.reason
	if f.Silent <= SilentAfter {
		f.State = e.state
	}
}
