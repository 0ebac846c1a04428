package config

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// messageKind tells what a message is.
type messageKind uint8

const (
	heartbeat   messageKind = 1 + iota // to an upstream: this is what I have; reports beside it
	acknowledge                        // to a heartbeat: what I have, and how old that is at most
	offer                              // to a child: there is something newer
	pull                               // to an upstream: send me something newer
	chunk                              // a part of a payload
)

// message is what machines tell each other. Which fields count depends on its kind.
type message struct {
	kind           messageKind
	seq            uint64  // of a heartbeat, and of the answer to it
	version        Version // the newest that the sender holds whole; of an offer the one that it has or gets
	receiving      Version // of an answer: the version that a part of has come in, 0 if none
	proven         bool    // of an answer: nothing newer than version existed
	age            Time    // at some moment at most this long before the answer was sent
	full           bool    // of an answer: this upstream takes no more children
	noDelta        bool    // of an answer: no delta from the bases that the child named
	reportUpstream bool    // of a heartbeat: this upstream is the one that reports go to
	bases          []Version
	payload        payloadID
	total          uint64 // chunks of a payload
	index          uint64 // of a chunk
	wanted         []byte // of a pull: the chunks that are missing, a bit each, the lowest first
	data           []byte // of a chunk
	reports        []report
}

// payloadID names one payload: the same bytes at all machines that have it.
type payloadID struct {
	from, to Version
	sum      uint64 // xxhash
}

// Bounds of a message's parts.
const (
	chunkSize       = 1000 // bytes; each chunk of a payload has so many but the last
	maxChunks       = maxDelta/chunkSize + 1
	maxBases        = 8
	maxReports      = 32
	maxReportReason = 120 // bytes of a reason in a report
	checksumSize    = 4   // bytes of a message's checksum
)

// Fields of a message and of a report.
const (
	messageVersion        = 1
	messageKindOf         = 2
	messageSeq            = 3
	messageHolds          = 4
	messageProven         = 5 // the age and one
	messageFull           = 6
	messageNoDelta        = 7
	messageBase           = 8
	messageFrom           = 9
	messageTo             = 10
	messageSum            = 11
	messageTotal          = 12
	messageIndex          = 13
	messageWanted         = 14
	messageData           = 15
	messageReport         = 16
	messageReportUpstream = 17
	messageReceiving      = 18

	reportID          = 1
	reportIncarnation = 2
	reportSeq         = 3
	reportInForce     = 4
	reportReceived    = 5
	reportState       = 6
	reportProgram     = 7
	reportReason      = 8
	reportAge         = 9
)

// checksum tells a message of this fleet from a spoilt one and from another fleet's. It is no proof against
// forging.
func checksum(fleet string, body []byte) uint32 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(fleet)
	d.Write([]byte{0})
	d.Write(body)
	return uint32(d.Sum64())
}

func boolField(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// encode appends a message with its checksum.
func (m *message) encode(dst []byte, fleet string) []byte {
	begin := len(dst)
	dst = appendNumber(dst, messageVersion, MessageVersion)
	dst = appendNumber(dst, messageKindOf, uint64(m.kind))
	dst = appendNumber(dst, messageSeq, m.seq)
	dst = appendNumber(dst, messageHolds, uint64(m.version))
	dst = appendNumber(dst, messageReceiving, uint64(m.receiving))
	if m.proven {
		dst = appendNumber(dst, messageProven, uint64(m.age)+1)
	}
	dst = appendNumber(dst, messageFull, boolField(m.full))
	dst = appendNumber(dst, messageNoDelta, boolField(m.noDelta))
	dst = appendNumber(dst, messageReportUpstream, boolField(m.reportUpstream))
	for _, base := range m.bases {
		dst = appendNumber(dst, messageBase, uint64(base))
	}
	if m.payload.to != 0 {
		dst = appendNumber(dst, messageFrom, uint64(m.payload.from))
		dst = appendNumber(dst, messageTo, uint64(m.payload.to))
		dst = appendFixed(dst, messageSum, m.payload.sum)
	}
	dst = appendNumber(dst, messageTotal, m.total)
	dst = appendNumber(dst, messageIndex, m.index)
	dst = appendText(dst, messageWanted, m.wanted)
	dst = appendText(dst, messageData, m.data)
	for k := range m.reports {
		dst = appendPart(dst, messageReport, m.reports[k].append(nil))
	}
	return binary.LittleEndian.AppendUint32(dst, checksum(fleet, dst[begin:]))
}

// readMessage reads a message. Its parts share memory with encoded.
func readMessage(encoded []byte, fleet string) (*message, error) {
	body := len(encoded) - checksumSize
	if body < 1 || len(encoded) > MaxMessage {
		return nil, fmt.Errorf("%w: a message of %d bytes", ErrMalformed, len(encoded))
	}
	if binary.LittleEndian.Uint32(encoded[body:]) != checksum(fleet, encoded[:body]) {
		return nil, fmt.Errorf("%w: spoilt, or of another fleet", ErrMalformed)
	}
	m := &message{}
	formatVersion := uint64(0)
	err := eachField(encoded[:body], func(f field) error {
		if f.number == messageVersion {
			formatVersion = f.value
			return nil
		}
		return m.readField(f)
	})
	if err != nil {
		return nil, err
	}
	if formatVersion != MessageVersion || m.kind < heartbeat || m.kind > chunk {
		return nil, fmt.Errorf("%w: a message of another version or kind", ErrMalformed)
	}
	return m, m.validate()
}

// readField takes one field in.
func (m *message) readField(f field) error {
	switch f.number {
	case messageKindOf:
		m.kind = messageKind(min(f.value, math.MaxUint8))
	case messageSeq:
		m.seq = f.value
	case messageHolds:
		m.version = Version(f.value)
	case messageReceiving:
		m.receiving = Version(f.value)
	case messageProven:
		m.proven = f.value > 0 && f.value < math.MaxInt64/2
		m.age = Time(f.value) - 1
	case messageFull:
		m.full = f.value != 0
	case messageNoDelta:
		m.noDelta = f.value != 0
	case messageReportUpstream:
		m.reportUpstream = f.value != 0
	case messageBase:
		m.bases = append(m.bases, Version(f.value))
	case messageFrom:
		m.payload.from = Version(f.value)
	case messageTo:
		m.payload.to = Version(f.value)
	case messageSum:
		m.payload.sum = f.value
	case messageTotal:
		m.total = f.value
	case messageIndex:
		m.index = f.value
	case messageWanted:
		m.wanted = f.bytes
	case messageData:
		m.data = f.bytes
	case messageReport:
		r, err := readReport(f.bytes)
		m.reports = append(m.reports, r)
		return err
	}
	return nil
}

// validate tells which bound a message breaks.
func (m *message) validate() error {
	lists := len(m.bases) > maxBases || len(m.reports) > maxReports
	if lists || m.total > maxChunks || len(m.data) > chunkSize {
		return fmt.Errorf("%w: a message over its bounds", ErrMalformed)
	}
	if len(m.wanted) > (maxChunks+7)/8 {
		return fmt.Errorf("%w: more chunks wanted than there can be", ErrMalformed)
	}
	if m.kind != chunk {
		return nil
	}
	last := m.index+1 == m.total
	cut := len(m.data) == 0 || !last && len(m.data) != chunkSize
	if m.index >= m.total || m.payload.to <= m.payload.from || cut {
		return fmt.Errorf("%w: a chunk of no payload", ErrMalformed)
	}
	return nil
}

// report is what a front says of itself; relays pass it on unread.
type report struct {
	id          uint64 // xxhash of its name
	incarnation uint64 // of the front; a later one counts over an earlier one,
	seq         uint64 // and in one life a later report
	inForce     Version
	received    Version
	state       FrontState
	program     uint32
	reason      string
	age         uint64 // seconds for which relays have had it
}

func (r *report) append(dst []byte) []byte {
	dst = appendFixed(dst, reportID, r.id)
	dst = appendNumber(dst, reportIncarnation, r.incarnation)
	dst = appendNumber(dst, reportSeq, r.seq)
	dst = appendNumber(dst, reportInForce, uint64(r.inForce))
	if r.received != r.inForce {
		dst = appendNumber(dst, reportReceived, uint64(r.received))
	}
	dst = appendNumber(dst, reportState, uint64(r.state))
	dst = appendNumber(dst, reportProgram, uint64(r.program))
	dst = appendText(dst, reportReason, r.reason)
	return appendNumber(dst, reportAge, r.age)
}

func readReport(encoded []byte) (r report, err error) {
	err = eachField(encoded, func(f field) (err error) {
		switch f.number {
		case reportID:
			r.id = f.value
		case reportIncarnation:
			r.incarnation = f.value
		case reportSeq:
			r.seq = f.value
		case reportInForce:
			r.inForce = Version(f.value)
		case reportReceived:
			r.received = Version(f.value)
		case reportState:
			r.state = FrontState(min(f.value, math.MaxUint8))
		case reportProgram:
			r.program = uint32(min(f.value, math.MaxUint32))
		case reportAge:
			r.age = min(f.value, math.MaxUint32)
		case reportReason:
			r.reason, err = f.text(maxReportReason)
		}
		return err
	})
	r.received = max(r.received, r.inForce)
	if err == nil && (r.id == 0 || r.state < StateInForce || r.state > StateEmpty) {
		err = fmt.Errorf("%w: a report of nobody", ErrMalformed)
	}
	return r, err
}

// newer tells whether a report is later than another of the same front.
func (r *report) newer(than *report) bool {
	if r.incarnation != than.incarnation {
		return r.incarnation > than.incarnation
	}
	return r.seq > than.seq
}
