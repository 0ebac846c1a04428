package zones

import (
	"encoding/binary"
	"errors"
	"math"
)

// Kinds of notes, encoded as the first byte of a note's key. Integers in note bodies are varints; bitmaps of
// slots are 8 bytes, little-endian.
const (
	keyEvidence = 'e' // followed by the observer's name
	keyPlan     = 'p' // followed by the zone whose fronts set the row, a zero byte, and the zone it is about
	keyOrder    = 'o' // followed by the zone
)

// noteFormat is the format version, the first byte of every note's body.
const noteFormat = 1

// Limits on what is decoded.
const (
	maxZoneName     = 32 // bytes
	maxEvidenceRows = 6  // zones in one evidence note; zones with failures come first
	maxDuration     = 1 << 40
)

// Bits of the flags byte of an order.
const (
	orderFlagDrain byte = 1 << iota
	orderFlagForce
)

var errNoteFormat = errors.New("malformed note or unknown note format")

// zoneEvidence is what one observer has seen of one zone's stores, with one bit for each slot.
type zoneEvidence struct {
	zone      string
	baseEpoch uint32 // base epoch of the plan row under which the evidence was collected
	seen      uint64 // slots of stores used within the window
	failed    uint64 // those of them whose last outcome was a failure
}

// evidence is the content of one observer's evidence note.
type evidence struct {
	zone string // zone that the observer runs in
	load uint8  // load that the observer estimates, in units of 1/255
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

// appendName appends a name of at most 255 bytes, preceded by its length.
func appendName(dst []byte, name string) []byte {
	dst = append(dst, byte(len(name)))
	return append(dst, name...)
}

// reader decodes the fields of a note. After the first decoding failure it returns zero values.
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

// finish returns errNoteFormat if decoding has failed or bytes are left over.
func (r *reader) finish() error {
	if r.failed || len(r.rest) > 0 {
		return errNoteFormat
	}
	return nil
}

// reuse returns the existing string if it equals name, which avoids an allocation.
func reuse(existing string, name []byte) string {
	if existing == string(name) {
		return existing
	}
	return string(name)
}

// read replaces the evidence with the decoded body. If it returns an error, the evidence has no rows.
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

// readRow appends a decoded row. It reuses the slice element that an earlier row left behind, with its string
// if that is equal.
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
	epoch      uint32 // number of the last change of the row
	baseEpoch  uint32 // epoch since which evidence counts
	state      State
	permille   int  // share of ordinary traffic, in thousandths
	step       int  // step of the recovery ramp
	byOperator bool // the row was set because of an operator's order
	epochAge   Time // time since the epoch began
	dwell      Time // how long the zone stays drained before trials begin
	setBy      string
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

// order is an operator's order for one zone.
type order struct {
	drain    bool // drains the zone; otherwise the order returns the zone to service
	force    bool // drains even if the other zones lack the capacity for its traffic
	duration Time // how long the order is in force
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
