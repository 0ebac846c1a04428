package zones

import "math/bits"

// maxZones bounds the zones of a view. Zones that only peers name may take half of the places.
const maxZones = 64

// evidenceSlots is the number of bits of a zone's evidence; past that stores share them.
const evidenceSlots = 64

// minHeardPeriods is for how many periods a zone counts as heard, at the least.
const minHeardPeriods = 6

// zone is what is held of one zone.
type zone struct {
	name             string
	size             float64 // of its open stores
	storeSlots       uint64  // slots of its open stores
	seen, failed     uint64  // this front's evidence, by slot
	outcomeCounts    [numOutcomes]float64
	outcomeCountedAt Time
	fronts           int  // members there, this one included
	lastHeardAt      Time // last message of one of them
	row              row  // of this front's zone
	appliedShare     float64
	otherRows        []otherRow // rows of other zones' fronts about this zone, by their zone
	order            storedOrder
}

// zoneIndex returns a zone's index and adds the zone if need be, or returns noZone.
//
// Danger: made-up members of made-up zones would leave no place for zones that have stores. What peers name
// may take half of the places, and zones without stores, members and plan are replaced.
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

// reclaimZone frees the place of a zone that nothing is held of, and returns its index or noZone.
func (z *Zones) reclaimZone() int {
	for index := 1; index < len(z.zones); index++ {
		unused := &z.zones[index]
		if unused.storeSlots != 0 || unused.fronts != 0 || unused.row.state != InService {
			continue
		}
		delete(z.zoneByName, unused.name)
		for k := range z.zones {
			if index < len(z.zones[k].otherRows) {
				z.zones[k].otherRows[index] = otherRow{} // of the zone that had this place
			}
		}
		return index
	}
	return noZone
}

// SetZoneLastHeard takes in when a front of a zone was last heard.
func (z *Zones) SetZoneLastHeard(zone string, at Time) {
	index, known := z.zoneByName[zone]
	if known {
		z.zones[index].lastHeardAt = at
	}
}

// heardLately reports whether fronts of a zone have been heard lately. The span grows with the number of
// zones, since membership probes one zone in a period.
func (z *Zones) heardLately(zoneIndex int) bool {
	span := Time(max(minHeardPeriods, 2*len(z.zones)+2)) * z.config.Period
	return z.now-z.zones[zoneIndex].lastHeardAt <= span
}

// storeCount returns the number of a zone's stores, by slots.
func (zn *zone) storeCount() int { return bits.OnesCount64(zn.storeSlots) }
