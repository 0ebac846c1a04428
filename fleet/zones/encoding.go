package zones

import (
	"encoding/binary"
	"errors"
	"math"
)

// Three kinds of notes are published, told apart by the first byte of their keys. Numbers are varints; the
// slots of evidence are 8 bytes, little-endian.
const (
	keyEvidence = 'e' // followed by the observer's name
	keyPlan     = 'p' // followed by the zone it is for, a zero byte, and the zone it is about
	keyOrder    = 'o' // followed by the zone
)

// noteFormat is the first byte of each note's body.
const noteFormat = 1

// Bounds of what is read.
const (
	maxZoneName     = 32 // bytes
	maxEvidenceRows = 6  // zones in one note of evidence, those with failures first
	maxDuration     = 1 << 40
)

// Bits of an order's flags.
const (
	orderFlagDrain byte = 1 << iota
	orderFlagForce
)

var errNoteFormat = errors.New("a note of an unknown shape")

// zoneEvidence is what one observer has seen of one zone's stores: a bit for each slot.
type zoneEvidence struct {
	zone         string
	baseEpoch    uint32 // of the row that it was gathered under
	seen, failed uint64
}

// evidence is what one observer publishes.
type evidence struct {
	zone string // the observer's
	load uint8  // that it sees, in 255ths
	rows []zoneEvidence
}

func appendEvidence(dst []byte, zone string, load uint8, rows []zoneEvidence) []byte {
	dst = append(dst, noteFormat)
	dst = appendName(dst, zone)
	dst = append(dst, load, byte(len(rows)))
	for k := range rows {
		e := &rows[k]
		dst = appendName(dst, e.zone)
		dst = binary.AppendUvarint(dst, uint64(e.baseEpoch))
		dst = binary.LittleEndian.AppendUint64(dst, e.seen)
		dst = binary.LittleEndian.AppendUint64(dst, e.failed)
	}
	return dst
}

// appendName appends a name of at most 255 bytes behind its length.
func appendName(dst []byte, name string) []byte {
	dst = append(dst, byte(len(name)))
	return append(dst, name...)
}

// reader reads the parts of a note. After the first fault it returns zero values.
type reader struct {
	rest   []byte
	failed bool
}

func (r *reader) bytes(count int) []byte {
	if r.failed || count < 0 || count > len(r.rest) {
		r.failed = true
		return nil
	}
	part := r.rest[:count]
	r.rest = r.rest[count:]
	return part
}

func (r *reader) byte() byte {
	part := r.bytes(1)
	if part == nil {
		return 0
	}
	return part[0]
}

func (r *reader) varint(limit uint64) uint64 {
	value, length := binary.Uvarint(r.rest)
	if r.failed || length <= 0 || value > limit {
		r.failed = true
		return 0
	}
	r.rest = r.rest[length:]
	return value
}

func (r *reader) slots() uint64 {
	part := r.bytes(8)
	if part == nil {
		return 0
	}
	return binary.LittleEndian.Uint64(part)
}

func (r *reader) zoneName() []byte {
	length := int(r.byte())
	if length == 0 || length > maxZoneName {
		r.failed = true
		return nil
	}
	return r.bytes(length)
}

// finish returns an error if there was a fault, or bytes are left.
func (r *reader) finish() error {
	if r.failed || len(r.rest) > 0 {
		return errNoteFormat
	}
	return nil
}

// reuse returns the string that is held if it is the same, so that nothing is allocated.
func reuse(existing string, name []byte) string {
	if existing == string(name) {
		return existing
	}
	return string(name)
}

// read replaces the evidence that is held. On an error no rows are held.
func (e *evidence) read(body []byte) error {
	r := reader{rest: body}
	e.rows = e.rows[:0]
	if r.byte() != noteFormat {
		return errNoteFormat
	}
	zone := r.zoneName()
	load := r.byte()
	count := int(r.byte())
	if count > maxEvidenceRows {
		return errNoteFormat
	}
	for range count {
		e.readRow(&r)
	}
	err := r.finish()
	if err != nil {
		e.rows = e.rows[:0]
		return err
	}
	e.zone = reuse(e.zone, zone)
	e.load = load
	return nil
}

// readRow adds a row, in the place of a former one if there is any, whose string it may keep.
func (e *evidence) readRow(r *reader) {
	if cap(e.rows) > len(e.rows) {
		e.rows = e.rows[:len(e.rows)+1]
	} else {
		e.rows = append(e.rows, zoneEvidence{})
	}
	row := &e.rows[len(e.rows)-1]
	row.zone = reuse(row.zone, r.zoneName())
	row.baseEpoch = uint32(r.varint(math.MaxUint32))
	row.seen = r.slots()
	row.failed = r.slots()
	if row.failed&^row.seen != 0 {
		r.failed = true
	}
}

// plan is the published part of a row.
type plan struct {
	epoch, baseEpoch uint32 // of the last change; since which evidence counts
	state            State
	permille         int  // share of ordinary traffic, in thousandths
	step             int  // of the ramp
	byOperator       bool // set for an operator's order
	epochAge         Time // of the epoch
	dwell            Time // for which the zone stays drained before trials
	setBy            string
}

func (p *plan) append(dst []byte) []byte {
	byOperator := byte(0)
	if p.byOperator {
		byOperator = 1
	}
	dst = append(dst, noteFormat, byte(p.state), byte(p.step), byOperator)
	dst = binary.AppendUvarint(dst, uint64(p.epoch))
	dst = binary.AppendUvarint(dst, uint64(p.baseEpoch))
	dst = binary.AppendUvarint(dst, uint64(p.permille))
	dst = binary.AppendUvarint(dst, uint64(max(p.epochAge, 0)))
	dst = binary.AppendUvarint(dst, uint64(p.dwell))
	return appendName(dst, p.setBy)
}

func readPlan(body []byte) (plan, error) {
	r := reader{rest: body}
	if r.byte() != noteFormat {
		return plan{}, errNoteFormat
	}
	var p plan
	p.state = State(r.byte())
	p.step = int(r.byte())
	p.byOperator = r.byte() == 1
	p.epoch = uint32(r.varint(math.MaxUint32))
	p.baseEpoch = uint32(r.varint(math.MaxUint32))
	p.permille = int(r.varint(wholePermille))
	p.epochAge = Time(r.varint(maxDuration))
	p.dwell = Time(r.varint(maxDuration))
	p.setBy = string(r.bytes(int(r.byte())))
	if p.state > Recovering || p.step > rampSteps || p.baseEpoch > p.epoch || p.state == Suspected {
		return plan{}, errNoteFormat
	}
	return p, r.finish()
}

// order is an operator's order.
type order struct {
	drain    bool // to drain the zone; else to return to it
	force    bool // even if the other zones cannot take its traffic
	duration Time // for which it stands
}

func (o order) append(dst []byte) []byte {
	var flags byte
	if o.drain {
		flags |= orderFlagDrain
	}
	if o.force {
		flags |= orderFlagForce
	}
	dst = append(dst, noteFormat, flags)
	return binary.AppendUvarint(dst, uint64(o.duration))
}

func readOrder(body []byte) (order, error) {
	r := reader{rest: body}
	if r.byte() != noteFormat {
		return order{}, errNoteFormat
	}
	flags := r.byte()
	o := order{
		drain:    flags&orderFlagDrain != 0,
		force:    flags&orderFlagForce != 0,
		duration: Time(r.varint(uint64(MaxOrderDuration))),
	}
	return o, r.finish()
}
