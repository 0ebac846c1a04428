package zones

import (
	"errors"
	"fmt"
)

// orderRefreshBits is the number of low bits of an order's version that count its refreshes.
const orderRefreshBits = 16

var errOrderSpan = errors.New("an order lasts from a moment to a day")

// heldOrder is the newest order for a zone.
type heldOrder struct {
	order
	until          Time
	heardAt        Time
	number         uint64 // its version without the refreshes
	refreshVersion uint64 // its version with them
}

// drainOrdered reports whether an operator's order to drain a zone stands.
func (z *Zones) drainOrdered(zoneIndex int) bool {
	o := &z.zones[zoneIndex].order
	return o.leave && z.now < o.until
}

// applyOrder takes in an order, this front's own or a received one.
func (z *Zones) applyOrder(zoneIndex int, received order, version uint64, age Time) {
	zn := &z.zones[zoneIndex]
	number := version >> orderRefreshBits
	isNew := number > zn.order.number
	zn.order = heldOrder{
		order:          received,
		until:          z.now - age + received.span,
		heardAt:        z.now - age,
		number:         number,
		refreshVersion: version,
	}
	if isNew && !received.leave && zn.row.state.drains() {
		z.startRecovery(zoneIndex, "by hand")
	}
}

// refreshOrder publishes an order again for fronts that start later, for as long as it stands.
//
// Danger: a front that was cut off when an order to return was given would spread the older order again.
func (z *Zones) refreshOrder(zoneIndex int) {
	zn := &z.zones[zoneIndex]
	held := &zn.order
	if z.now >= held.until || z.now-held.heardAt < z.refreshAfter(zoneIndex) {
		return
	}
	held.refreshVersion++
	held.heardAt = z.now
	published := held.order
	published.span = held.until - z.now
	z.body = published.append(z.body[:0])
	z.host.Publish(string(keyOrder)+zn.name, held.refreshVersion, z.body, SpreadQuietly)
}

// IssueOrder takes in an operator's order: to drain a zone for a span, or to return to it. The version must grow
// with each order. It returns an error if the zone has no stores, if the span is not within LongestOrder, or
// if the other zones cannot take any of the zone's traffic and force is not given.
func (z *Zones) IssueOrder(now Time, zone string, leave, force bool, span Time, version uint64) error {
	z.now = now
	index, known := z.zoneByName[zone]
	if !known || z.zones[index].size == 0 {
		return fmt.Errorf("no zone %q has stores", zone)
	}
	if leave && (span <= 0 || span > MaxOrderDuration) {
		return errOrderSpan
	}
	zn := &z.zones[index]
	may, zonePart := z.drainable(index)
	if leave && !force && may <= 0 && may < zonePart && zn.row.permille == wholePermille {
		return fmt.Errorf("the rest does not bear it (it bears %.2f of all stores, zone %s is %.2f): "+
			"--force tells it outright", may, zone, zonePart)
	}
	if !leave { // it has to outlive the order that it ends
		span = max(zn.order.until-now, z.self.NoteTTL)
	}
	given := order{leave: leave, force: force, span: span}
	version = max(version<<orderRefreshBits, zn.order.refreshVersion+1<<orderRefreshBits)
	z.applyOrder(index, given, version, 0)
	z.host.Publish(string(keyOrder)+zone, version, given.append(z.body[:0]), SpreadUrgently)
	z.review(index)
	return nil
}
