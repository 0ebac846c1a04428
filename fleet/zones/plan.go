package zones

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// wholePermille is all of the traffic, in thousandths.
const wholePermille = 1000

// Constants for rows.
const (
	dwellResetFactor = 8 // dwell times in service after which the dwell time is reset to the shortest
	minDwellPeriods  = 2
	maxDwellWarmups  = 4 // longest dwell time, as a multiple of Config.WarmupTime
	refreshDivisor   = 3 // a row is republished after Config.NoteTTL divided by this
	maxRankDelay     = 8 // rank from which fronts wait no longer than the front of this rank
)

// Bit positions in the version of a row's note. From high to low the version holds the epoch, the drained
// share and the number of refreshes.
const (
	versionEpochShift = 32
	versionShareShift = 16
)

// row is the plan for the traffic that fronts of this front's zone send to another zone.
type row struct {
	plan
	epochAt        Time // when the epoch began
	publishedAt    Time // when any front last published the row
	refreshes      uint16
	inServiceSince Time
	reason         string
	suspected      bool
}

// otherRow is what another zone's fronts have published about their traffic to a zone.
type otherRow struct {
	state       State
	byOperator  bool
	baseEpoch   uint32
	publishedAt Time
}

// drains reports whether a zone in this state gets no ordinary traffic, or less than it could handle, so that
// outcomes there are mostly those of trials.
func (s State) drains() bool { return s == Drained || s == Draining }

// share returns the share of ordinary traffic that the zone's fronts send there, from 0 to 1.
func (r *row) share() float64 { return float64(r.permille) / wholePermille }

// version returns the version of the row's note. It orders notes by epoch, then by the drained share, then by
// refreshes.
func (r *row) version() uint64 {
	drained := uint64(wholePermille - r.permille)
	return uint64(r.epoch)<<versionEpochShift | drained<<versionShareShift | uint64(r.refreshes)
}

// adoptRow replaces a row with one that another front of this zone has published, if that is neither older
// nor expired.
//
// A new epoch that drains more is not adopted if at least two fronts of this zone reach the other zone's
// stores without failures, unless it is an operator's order. Without this, one front with faulty evidence
// could drain a zone that its neighbours reach.
func (z *Zones) adoptRow(zoneIndex int, p plan, version uint64, age Time) {
	zn := &z.zones[zoneIndex]
	r := &zn.row
	if age > z.config.NoteTTL || version < r.version() {
		return
	}
	if p.epoch > r.epoch && p.permille < r.permille && !p.byOperator {
		seen := z.reportOf(ownZone, zoneIndex)
		if seen.failed == 0 && seen.seen >= minHealthyStores && seen.observers >= 2 {
			z.host.Log(fmt.Sprintf("zone %s: the plan of %s to leave is not taken: %s", zn.name, p.setBy, seen))
			return
		}
	}
	previous := *r
	r.plan = p
	r.epochAt = z.now - age - p.epochAge
	r.publishedAt = z.now - age
	r.refreshes = uint16(version)
	// Needed within one epoch too: two fronts may have set the row at the same time.
	z.rowChanged(zoneIndex, &previous, "as "+p.setBy+" has it")
	z.applyShare(zoneIndex)
}

// setRow changes a row and publishes it.
//
// A new base epoch begins when a zone is drained and when its recovery starts, and evidence from before it
// does not count. Otherwise failures from before the trials would end a recovery as soon as it starts.
func (z *Zones) setRow(zoneIndex int, state State, permille, step int, reason string) {
	r := &z.zones[zoneIndex].row
	previous := *r
	r.epoch++
	r.state = state
	r.permille = permille
	r.step = step
	r.epochAt = z.now
	r.refreshes = 0
	r.reason = reason
	r.setBy = z.config.Name
	r.byOperator = z.drainOrdered(zoneIndex)
	if state.drains() || state == Recovering && previous.state.drains() {
		r.baseEpoch = r.epoch
	}
	z.publishRow(zoneIndex, SpreadUrgently)
	z.rowChanged(zoneIndex, &previous, reason)
	z.applyShare(zoneIndex)
}

// rowChanged logs a change of a row, and discards evidence that is older than its base epoch.
func (z *Zones) rowChanged(zoneIndex int, previous *row, reason string) {
	zn := &z.zones[zoneIndex]
	r := &zn.row
	if r.state != previous.state || r.permille != previous.permille {
		z.host.Log(fmt.Sprintf("zone %s: %v to %v, part %.3f, epoch %d: %s", zn.name, previous.state, r.state,
			r.share(), r.epoch, reason))
	}
	if r.baseEpoch != previous.baseEpoch {
		z.discardOutcomes(zoneIndex)
		z.stopSuperseded(ownZone)
	}
	if r.state == InService && previous.state != InService {
		r.inServiceSince = z.now
	}
}

// publishRow publishes a row to all fronts.
func (z *Zones) publishRow(zoneIndex int, spread Spread) {
	zn := &z.zones[zoneIndex]
	r := &zn.row
	r.publishedAt = z.now
	published := r.plan
	published.epochAge = z.now - r.epochAt
	z.noteBody = published.append(z.noteBody[:0])
	z.host.Publish(string(keyPlan)+z.config.Zone+"\x00"+zn.name, r.version(), z.noteBody, spread)
}

// refreshRow republishes a row before the copies that other fronts hold expire.
func (z *Zones) refreshRow(zoneIndex int) {
	r := &z.zones[zoneIndex].row
	if r.state == InService || z.now-r.publishedAt < z.refreshAfter(zoneIndex) {
		return
	}
	r.refreshes++
	if r.refreshes == 0 { // the counter has overflowed, and only a new epoch counts as newer
		r.epoch++
	}
	z.publishRow(zoneIndex, SpreadQuietly)
}

// refreshAfter returns the age at which this front republishes a note about a zone. Fronts of a lower rank do
// so earlier.
func (z *Zones) refreshAfter(zoneIndex int) Time {
	return z.config.NoteTTL/refreshDivisor + z.rankDelay(zoneIndex)*z.config.Period
}

// rankDelay returns this front's rank as a multiplier for delays, at most maxRankDelay.
func (z *Zones) rankDelay(zoneIndex int) Time { return Time(min(z.rank(zoneIndex), maxRankDelay)) }

// applyShare tells the host the share of ordinary traffic that this front may send to the zone.
func (z *Zones) applyShare(zoneIndex int) {
	zn := &z.zones[zoneIndex]
	share := zn.row.share()
	if zn.row.state.drains() && z.runsTrials(zoneIndex) {
		share = max(share, z.config.ColdCapacity)
	}
	if share != zn.appliedShare {
		zn.appliedShare = share
		z.host.SetShare(zn.name, share)
	}
}

// rank returns this front's rank, from 0 on, among the fronts of its zone for one epoch of one row. Ranks
// differ between epochs. They are computed from hashes of the names, so all fronts agree on them without
// exchanging messages.
func (z *Zones) rank(zoneIndex int) (rank int) {
	zn := &z.zones[zoneIndex]
	weight := func(name string) uint64 {
		z.hashInput = append(z.hashInput[:0], name...)
		z.hashInput = append(z.hashInput, 0)
		z.hashInput = append(z.hashInput, zn.name...)
		return xxhash.Sum64(binary.LittleEndian.AppendUint32(z.hashInput, zn.row.epoch))
	}
	own := weight(z.config.Name)
	for k := range z.observers {
		o := &z.observers[k]
		if o.present && o.zone == ownZone && weight(o.name) < own {
			rank++
		}
	}
	return rank
}

// drainZone drains as much of a zone's traffic as the other zones have capacity for.
func (z *Zones) drainZone(zoneIndex int, reason string) {
	zn := &z.zones[zoneIndex]
	r := &zn.row
	permille := 0
	spareCapacity, zoneCapacity := z.drainable(zoneIndex)
	forced := z.drainOrdered(zoneIndex) && zn.order.force
	if !forced && spareCapacity < zoneCapacity {
		permille = int(math.Ceil(wholePermille * (1 - spareCapacity/zoneCapacity)))
		reason += fmt.Sprintf("; the rest bears %.2f of %.2f", spareCapacity, zoneCapacity)
	}
	if permille >= wholePermille {
		if !r.suspected {
			r.suspected = true
			z.host.Log(fmt.Sprintf("zone %s: not left: %s", zn.name, reason))
		}
		return
	}
	z.lengthenDwell(r)
	state := Drained
	if permille > 0 {
		state = Draining
	}
	z.setRow(zoneIndex, state, permille, 0, reason)
}

// lengthenDwell sets how long a zone stays drained before trials. The time doubles each time, and is reset
// once the zone has been in service for long enough. Without this, a zone that fails repeatedly would be
// drained and recovered over and over.
func (z *Zones) lengthenDwell(r *row) {
	recovered := r.state == InService && z.now-r.inServiceSince > dwellResetFactor*r.dwell
	if recovered || r.dwell == 0 {
		r.dwell = max(z.config.OverloadTolerance, minDwellPeriods*z.config.Period)
		return
	}
	z.doubleDwell(r)
}

func (z *Zones) doubleDwell(r *row) {
	r.dwell = min(2*r.dwell, max(maxDwellWarmups*z.config.WarmupTime, z.config.OverloadTolerance))
}
