package zones

import "slices"

// Spread is whether a note goes on to other fronts, and how.
type Spread uint8

// The ways to spread a note.
const (
	DoNotSpread Spread = iota
	SpreadQuietly
	SpreadSoon // before what is spread quietly
	SpreadUrgently
)

// ReceiveNote takes in a note of another front, by the first byte of its key, and returns whether it should be
// spread further. Notes that cannot be read are counted in Dropped. Keys of other packages are not spread.
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

// receiveEvidence takes in an observer's evidence. That of a front that is no member counts for nothing here.
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

// spreadOf returns how evidence is spread: failures before answers.
//
// Danger: while a zone recovers many fronts tell that its stores answer, and that they fail again would come behind all of it.
func spreadOf(rows []zoneEvidence) Spread {
	for k := range rows {
		if rows[k].failed != 0 {
			return SpreadSoon
		}
	}
	return SpreadQuietly
}

// receivePlan takes in a row; the key has the zone that it is for, a zero byte, and the zone that it is
// about. Rows of other zones are not adopted, and kept as testimony. They are spread at once as long as they drain a zone,
// since that ends the spreading of evidence; nobody waits for the steps of a recovery elsewhere.
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

// receiveOrder takes in an order if it is newer than the one that is held.
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

// superseded reports whether all evidence of a front is from before its zone drained the zones that it is
// about. The row is spread before all else and says as much, so nobody needs that evidence any more.
func (z *Zones) superseded(from int, rows []zoneEvidence) bool {
	for k := range rows {
		about, known := z.zoneByName[rows[k].zone]
		if !known || !z.rowSupersedes(from, about, rows[k].baseEpoch) {
			return false
		}
	}
	return len(rows) > 0
}

// rowSupersedes reports whether a zone has drained another one since the given base epoch.
func (z *Zones) rowSupersedes(from, about int, baseEpoch uint32) bool {
	if from == ownZone {
		r := &z.zones[about].row
		return r.state.drains() && baseEpoch < r.baseEpoch
	}
	return z.drainedBy(from, about) && baseEpoch < z.zones[about].otherRows[from].baseEpoch
}

// stopSuperseded ends the spreading of superseded evidence of a zone's fronts.
//
// Danger: when a zone fails each of hundreds of fronts has something to publish, and most of it would still
// be spread when all have long drained the zone.
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
