package zones

import "slices"

// Spread says whether and with which priority a note is forwarded to other fronts.
type Spread uint8

// The ways to spread a note.
const (
	DoNotSpread Spread = iota
	SpreadQuietly
	SpreadSoon // before notes that are spread quietly
	SpreadUrgently
)

// ReceiveNote handles a note of another front according to the first byte of its key, and returns whether and
// how to spread the note further. Notes that cannot be decoded are counted in Dropped. Notes whose keys
// belong to other packages are not spread.
func (z *Zones) ReceiveNote(now Time, key []byte, version uint64, age Time, body []byte) Spread {
	z.now = now
	switch key[0] {
	case keyEvidence:
		return z.receiveEvidence(string(key[1:]), age, body)
	case keyPlan:
		return z.receivePlan(key[1:], version, age, body)
	case keyOrder:
		z.receiveOrder(string(key[1:]), version, age, body)
		return SpreadUrgently
	}
	return DoNotSpread
}

// receiveEvidence stores an observer's evidence. Evidence of a front that is not a member is only spread.
func (z *Zones) receiveEvidence(name string, age Time, body []byte) Spread {
	index, known := z.observerByName[name]
	if !known {
		return SpreadQuietly
	}
	o := &z.observers[index]
	o.hasEvidence = o.read(body) == nil
	if !o.hasEvidence {
		z.Dropped++
	}
	o.evidenceAt = z.now - age
	if z.superseded(o.zone, o.rows) {
		return DoNotSpread
	}
	return spreadOf(o.rows)
}

// spreadOf returns how evidence is spread: evidence with failures before evidence of answers alone. While a
// zone recovers, many fronts report that its stores answer; without this order, news of another failure would
// queue behind all of those reports.
func spreadOf(rows []zoneEvidence) Spread {
	for k := range rows {
		if rows[k].failed != 0 {
			return SpreadSoon
		}
	}
	return SpreadQuietly
}

// receivePlan handles a row. Its key holds the zone whose fronts it applies to, a zero byte, and the zone
// that it is about. Rows of other zones are not adopted but kept as reports of those zones. They are spread
// urgently if they drain a zone, since that ends the spreading of superseded evidence. Steps of a recovery
// seen from another zone are not urgent.
func (z *Zones) receivePlan(key []byte, version uint64, age Time, body []byte) Spread {
	separator := slices.Index(key, 0)
	if separator < 0 {
		z.Dropped++
		return SpreadUrgently
	}
	received, err := readPlan(body)
	if err != nil {
		z.Dropped++
		return SpreadUrgently
	}
	about, aboutKnown := z.zoneByName[string(key[separator+1:])]
	from, fromKnown := z.zoneByName[string(key[:separator])]
	switch {
	case !aboutKnown || !fromKnown:
	case from == ownZone:
		z.adoptRow(about, received, version, age)
	default:
		z.storeOtherRow(from, about, otherRow{
			state:       received.state,
			byOperator:  received.byOperator,
			baseEpoch:   received.baseEpoch,
			publishedAt: z.now - age,
		})
		if !received.state.drains() {
			return SpreadQuietly
		}
	}
	return SpreadUrgently
}

func (z *Zones) storeOtherRow(from, about int, received otherRow) {
	zn := &z.zones[about]
	for len(zn.otherRows) <= from {
		zn.otherRows = append(zn.otherRows, otherRow{})
	}
	zn.otherRows[from] = received
	z.stopSuperseded(from)
}

// receiveOrder applies an order if it is newer than the stored one.
func (z *Zones) receiveOrder(zone string, version uint64, age Time, body []byte) {
	received, err := readOrder(body)
	if err != nil {
		z.Dropped++
		return
	}
	index, known := z.zoneByName[zone]
	if known && version > z.zones[index].order.fullVersion {
		z.applyOrder(index, received, version, age)
	}
}

// superseded reports whether all of a front's evidence predates its zone's decision to drain the zones that
// the evidence is about. Such evidence is no longer needed: the row that drains the zone is spread first and
// says the same.
func (z *Zones) superseded(from int, rows []zoneEvidence) bool {
	for k := range rows {
		about, known := z.zoneByName[rows[k].zone]
		if !known || !z.rowSupersedes(from, about, rows[k].baseEpoch) {
			return false
		}
	}
	return len(rows) > 0
}

// rowSupersedes reports whether a zone's fronts have drained another zone since the given base epoch.
func (z *Zones) rowSupersedes(from, about int, baseEpoch uint32) bool {
	if from == ownZone {
		r := &z.zones[about].row
		return r.state.drains() && baseEpoch < r.baseEpoch
	}
	return z.drainedBy(from, about) && baseEpoch < z.zones[about].otherRows[from].baseEpoch
}

// stopSuperseded stops spreading the superseded evidence of a zone's fronts. When a zone fails, each of
// hundreds of fronts publishes evidence; without this, most of it would still be spreading long after all
// fronts have drained the zone.
func (z *Zones) stopSuperseded(from int) {
	for k := range z.observers {
		o := &z.observers[k]
		if o.present && o.hasEvidence && o.zone == from && z.superseded(from, o.rows) {
			z.host.StopSpreading(string(keyEvidence) + o.name)
		}
	}
	if from == ownZone && z.superseded(ownZone, z.published) {
		z.host.StopSpreading(string(keyEvidence) + z.config.Name)
	}
}
