package zones

// maxUtilization is the highest utilization, as a fraction of capacity, that draining a zone may cause at the
// remaining stores.
const maxUtilization = 0.85

// load returns the fraction of the stores' capacity that is in use, from 0 to 1, estimated from latencies.
// The best average latency is taken as the latency without load. In a queue whose requests all take equally
// long to serve, the latency is 1 + load/(2(1-load)) times the one without load (the Pollaczek–Khinchine
// formula). Requests of varying length wait longer at the same load, so the estimate is too high rather than
// too low.
func (z *Zones) load() float64 {
	if z.bestLatencyRatio <= 0 {
		return 0
	}
	slowdown := max(z.latencyRatio/z.bestLatencyRatio, 1)
	return min(2*(slowdown-1)/(2*slowdown-1), 1)
}

// fleetLoad returns the mean of the load that this front estimates and the loads that other fronts have
// published.
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

// drainable returns the fraction of all stores, weighted by size, that may be drained in addition to those
// that already are, and the fraction that the given zone makes up.
//
// The last zone that is fully in service is never drained: with all zones drained there would be nowhere to
// send requests.
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
