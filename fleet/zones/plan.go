package zones

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// wholePermille is all of the traffic, in thousandths.
const wholePermille = 1000

// Figures of rows.
const (
	dwellResetFactor = 8 // dwell times in service after which the dwell time is the shortest again
	minDwellPeriods  = 2
	maxDwellWarmups  = 4 // times Cold, the longest dwell time
	refreshDivisor   = 3 // a row is published again after this part of a note's life
	maxRankDelay     = 8 // fronts of a higher rank wait no longer than one of this
)

// Shifts in the version of a row's note: the epoch, the part drained, the number of refreshes.
const (
	versionEpochShift = 32
	versionShareShift = 16
)

// row is what this front's zone sends to another zone.
type row struct {
	plan
	epochAt        Time // of the epoch
	publishedAt    Time // when any front published it last
	refreshes      uint16
	inServiceSince Time
	reason         string
	suspected      bool
}

// otherRow is a row of another zone's fronts.
type otherRow struct {
	state       State
	byOperator  bool
	baseEpoch   uint32
	publishedAt Time
}

// drains reports whether a zone in this state gets no ordinary traffic, or less than it could take, so that
// what is seen there is of trials.
func (s State) drains() bool { return s == Drained || s == Draining }

// share returns the share of ordinary traffic that the zone's fronts send there, from 0 to 1.
func (r *row) share() float64 { return float64(r.permille) / wholePermille }

// version orders the notes of a row: by epoch, then by how much is drained, then by refreshes.
func (r *row) version() uint64 {
	drained := uint64(wholePermille - r.permille)
	return uint64(r.epoch)<<versionEpochShift | drained<<versionShareShift | uint64(r.refreshes)
}

// adoptRow takes over a row that another front of this zone has set.
//
// Danger: a front with faulty evidence must not drain a zone that its neighbours reach well.
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
	// Also within an epoch, where two fronts have set the row at once.
	z.rowChanged(zoneIndex, &previous, "as "+p.setBy+" has it")
	z.applyShare(zoneIndex)
}

// setRow changes a row and publishes it.
//
// Danger: failures from before the trials would end a recovery as it begins. They count for nothing from the
// new base epoch on.
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

// refreshRow publishes a row again before what the others hold of it is too old.
func (z *Zones) refreshRow(zoneIndex int) {
	r := &z.zones[zoneIndex].row
	if r.state == InService || z.now-r.publishedAt < z.refreshAfter(zoneIndex) {
		return
	}
	r.refreshes++
	if r.refreshes == 0 { // it has overflowed, and only a new epoch is newer
		r.epoch++
	}
	z.publishRow(zoneIndex, SpreadQuietly)
}

// refreshAfter is the age at which this front publishes a note of a zone again, fronts of a lower rank first.
func (z *Zones) refreshAfter(zoneIndex int) Time {
	return z.config.NoteTTL/refreshDivisor + z.rankDelay(zoneIndex)*z.config.Period
}

// rankDelay is this front's rank as a factor of delays, bounded.
func (z *Zones) rankDelay(zoneIndex int) Time { return Time(min(z.rank(zoneIndex), maxRankDelay)) }

// applyShare gives the host the share that this front may send.
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

// rank is this front's place among those of its zone for one epoch of one row, from 0 on; another one for the
// next epoch. Each front computes it from hashes of the names, so all agree without a message.
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

// drainZone takes a zone's traffic away, as far as the other zones can take it.
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

// lengthenDwell sets how long a zone stays drained before trials.
//
// Danger: a zone that fails again and again would be drained and recovered for ever. Each time it is given
// longer, until it has been in service for long.
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
