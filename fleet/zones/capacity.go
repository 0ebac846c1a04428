package zones

// maxUtilization is the part of their capacity that the remaining stores may be asked for.
const maxUtilization = 0.85

// load returns the part of the stores' capacity that is in use, from 0 to 1, as far as answer times tell. The
// best times are taken for those without load. Where requests of one length queue, the time spent is 1 +
// load/(2(1-load)) of that (Pollaczek and Khinchine); requests of many lengths wait longer at the same load,
// so this errs to the careful side.
func (z *Zones) load() float64 {
	if z.bestLatencyRatio <= 0 {
		return 0
	}
	slowdown := max(z.latencyRatio/z.bestLatencyRatio, 1)
	return min(2*(slowdown-1)/(2*slowdown-1), 1)
}

// fleetLoad returns the mean of the loads that this front and the others see.
func (z *Zones) fleetLoad() float64 {
	sum, count := z.load(), 1.0
	for k := range z.observers {
		o := &z.observers[k]
		if z.hasCurrentEvidence(o, z.config.NoteTTL) {
			sum += float64(o.load) / wholeLoad
			count++
		}
	}
	return sum / count
}

// drainable returns which part of all stores, by size, may be drained besides those that are, and which part
// a zone is.
//
// Danger: with all zones drained there is nowhere to go. The last zone in full service is never drained.
func (z *Zones) drainable(zoneIndex int) (spareCapacity, zoneCapacity float64) {
	all, drained, inService := 0.0, 0.0, 0
	for k := range z.zones {
		zn := &z.zones[k]
		all += zn.size
		if k == zoneIndex {
			continue
		}
		drained += zn.size * (1 - zn.row.share())
		if zn.size > 0 && zn.row.permille == wholePermille {
			inService++
		}
	}
	if inService == 0 || all == 0 {
		return 0, 1
	}
	return max(1-z.fleetLoad()/maxUtilization-drained/all, 0), z.zones[zoneIndex].size / all
}
