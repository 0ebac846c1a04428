package zones

import "fmt"

// ZoneStatus is what this front holds of a zone, as shown to operators.
type ZoneStatus struct {
	Zone   string  `json:"zone"`
	State  string  `json:"state"`
	Part   float64 `json:"part"`  // share of ordinary traffic that this front may send there, from 0 to 1
	Fleet  float64 `json:"fleet"` // share that the fronts of this front's zone send there, from 0 to 1
	Epoch  uint32  `json:"epoch"`
	AgeMS  int64   `json:"age_ms"` // time since the epoch began, in milliseconds
	By     string  `json:"by,omitempty"`
	Hand   bool    `json:"by_hand,omitempty"`
	Size   float64 `json:"size"` // total size of the zone's open stores
	Fronts int     `json:"fronts"`
	Reason string  `json:"reason,omitempty"`
}

// Status returns the status of every zone that has stores or fronts.
func (z *Zones) Status(now Time) (rows []ZoneStatus) {
	for index := range z.zones {
		zn := &z.zones[index]
		r := &zn.row
		state := r.state
		if state == InService && r.suspected {
			state = Suspected
		}
		rows = append(rows, ZoneStatus{
			Zone:   zn.name,
			State:  state.String(),
			Part:   zn.appliedShare,
			Fleet:  r.share(),
			Epoch:  r.epoch,
			AgeMS:  (now - r.epochAt) / timePerMillisecond,
			By:     r.setBy,
			Hand:   r.byOperator,
			Size:   zn.size,
			Fronts: zn.fronts,
			Reason: r.reason,
		})
	}
	return rows
}

// Explain returns what is known of a zone as lines of text: the reports of each zone's fronts, the outcomes
// of this front's requests, the verdict and the capacity. It returns an error if the zone is unknown.
func (z *Zones) Explain(now Time, name string) (lines []string, err error) {
	z.now = now
	index, known := z.zoneByName[name]
	if !known {
		return nil, fmt.Errorf("no zone %q is known", name)
	}
	for from := range z.zones {
		f := &z.zones[from]
		heard := ""
		if from != ownZone && !z.heardLately(from) {
			heard = ", not heard"
		}
		seen := z.reportOf(from, index)
		lines = append(lines, fmt.Sprintf("from %s (%d fronts%s): %s", f.name, f.fronts, heard, seen))
	}
	counts := &z.zones[index].outcomeCounts
	lines = append(lines, fmt.Sprintf(
		"of late from here: answered %.0f, refused %.0f, silent %.0f, broken off %.0f",
		counts[Answered], counts[Refused], counts[TimedOut], counts[ConnectionLost]))
	_, why := z.verdict(index)
	if why == "" {
		why = "nothing is held against it"
	}
	lines = append(lines, "verdict: "+why)
	spareCapacity, zoneCapacity := z.drainable(index)
	lines = append(lines, fmt.Sprintf(
		"load %.2f; %.2f of all stores may be left beside what is, this zone is %.2f", z.load(), spareCapacity, zoneCapacity))
	return lines, nil
}
