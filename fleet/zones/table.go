package zones

import "math/bits"

// maxZones limits the number of zones in a view. Zones that are known from peers alone may use half of the
// entries.
const maxZones = 64

// evidenceSlots is the number of bits in a zone's evidence. In a zone with more stores, several stores share
// a slot.
const evidenceSlots = 64

// minHeardPeriods is the minimum number of protocol periods for which a zone counts as heard after its last
// message.
const minHeardPeriods = 6

// zone is what this front holds of one zone.
type zone struct {
	name             string
	size             float64 // total size of its open stores
	storeSlots       uint64  // slots of its open stores
	seen             uint64  // slots of stores that this front has used within the window
	failed           uint64  // those of them whose last outcome was a failure
	outcomeCounts    [numOutcomes]float64
	outcomeCountedAt Time
	fronts           int  // number of members there, this front included
	lastHeardAt      Time // time of the last message of one of them
	row              row  // row of this front's zone
	appliedShare     float64
	otherRows        []otherRow // rows of other zones' fronts about this zone, indexed by their zone
	order            storedOrder
}

// zoneIndex returns a zone's index, or adds the zone if it is unknown. It returns noZone if there is no free
// entry.
//
// Zones that only peers name may use half of the entries, and a zone without stores, members and plan is
// replaced by a new one. Without this, made-up members of made-up zones could leave no entry for zones that
// have stores.
func (z *Zones) zoneIndex(name string, listed bool) int {
	if index, known := z.zoneByName[name]; known {
		return index
	}
	if name == "" || len(name) > maxZoneName {
		return noZone
	}
	limit := maxZones / 2
	if listed {
		limit = maxZones
	}
	index := len(z.zones)
	if index < limit {
		z.zones = append(z.zones, zone{})
	} else {
		index = z.reclaimZone()
	}
	if index == noZone {
		return noZone
	}
	inService := row{plan: plan{permille: wholePermille}, inServiceSince: z.now}
	z.zones[index] = zone{name: name, appliedShare: 1, row: inService}
	z.zoneByName[name] = index
	return index
}

// reclaimZone frees the entry of a zone without stores, fronts and plan. It returns the entry's index, or
// noZone if there is none.
func (z *Zones) reclaimZone() int {
	for index := 1; index < len(z.zones); index++ {
		unused := &z.zones[index]
		if unused.storeSlots != 0 || unused.fronts != 0 || unused.row.state != InService {
			continue
		}
		delete(z.zoneByName, unused.name)
		for k := range z.zones {
			if index < len(z.zones[k].otherRows) {
				z.zones[k].otherRows[index] = otherRow{} // row of the zone that used this index before
			}
		}
		return index
	}
	return noZone
}

// SetZoneLastHeard records when a front of a zone was last heard.
func (z *Zones) SetZoneLastHeard(zone string, at Time) {
	index, known := z.zoneByName[zone]
	if known {
		z.zones[index].lastHeardAt = at
	}
}

// heardLately reports whether fronts of a zone have been heard recently. The time allowed grows with the
// number of zones, since membership probes only one zone per period.
func (z *Zones) heardLately(zoneIndex int) bool {
	span := Time(max(minHeardPeriods, 2*len(z.zones)+2)) * z.config.Period
	return z.now-z.zones[zoneIndex].lastHeardAt <= span
}

// storeCount returns the number of slots that the zone's open stores use.
func (zn *zone) storeCount() int { return bits.OnesCount64(zn.storeSlots) }
