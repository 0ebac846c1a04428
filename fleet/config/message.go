package config

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// messageKind is the kind of a message.
type messageKind uint8

const (
	heartbeat   messageKind = 1 + iota // to an upstream: the sender's newest version, and reports
	acknowledge                        // answer to a heartbeat: the sender's newest version and the age of its proof
	offer                              // to a child: a newer version is available
	pull                               // to an upstream: request for a newer version
	chunk                              // one part of a payload
)

// message is a message between machines. Which fields are used depends on its kind.
type message struct {
	kind           messageKind
	seq            uint64    // sequence number of a heartbeat and of its acknowledgement
	version        Version   // newest version that the sender holds; in an offer also one that it is receiving
	receiving      Version   // of an acknowledgement: version that the sender has received a part of; 0 if none
	proven         bool      // of an acknowledgement: version is known to have been the newest, see age
	age            Time      // upper bound of the time from when version was the newest to when this was sent
	full           bool      // of an acknowledgement: this upstream accepts no more children
	noDelta        bool      // of an acknowledgement: no delta from the bases that the child named
	reportUpstream bool      // of a heartbeat: the receiver is the upstream that the sender reports to
	bases          []Version // of a pull: versions that a delta may start from
	payload        payloadID // of a pull or a chunk: the payload
	total          uint64    // number of chunks of a payload
	index          uint64    // index of a chunk
	wanted         []byte    // of a pull: bitmap of the missing chunks, lowest bit first
	data           []byte    // content of a chunk
	reports        []report  // of a heartbeat: reports to forward
}

// payloadID identifies a payload. Payloads with the same ID have the same bytes on all machines.
type payloadID struct {
	from Version // base of the delta; 0: the whole document
	to   Version // version that the delta produces
	sum  uint64  // xxhash of the payload
}

// Limits of the parts of a message.
const (
	chunkSize       = 1000 // bytes of each chunk of a payload except the last
	maxChunks       = maxDelta/chunkSize + 1
	maxBases        = 8
	maxReports      = 32
	maxReportReason = 120 // bytes of the reason in a report
	checksumSize    = 4   // bytes of the checksum of a message
)

// Field numbers of a message and of a report.
const (
	messageVersion        = 1
	messageKindOf         = 2
	messageSeq            = 3
	messageHolds          = 4
	messageProven         = 5 // age plus one, so that an age of 0 is not omitted
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

// checksum returns a checksum that detects corrupt messages and messages of other fleets. It does not
// protect against forgery.
func checksum(fleet string, body []byte) uint32 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(fleet)
	d.Write([]byte{0})
	d.Write(body)
	return uint32(d.Sum64())
}

// boolField returns the encoded value of a boolean field.
func boolField(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

// encode appends the encoded message and its checksum to dst.
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

// readMessage decodes a message. The result shares memory with encoded. Errors are ErrMalformed.
func readMessage(encoded []byte, fleet string) (*message, error) {
	body := len(encoded) - checksumSize
	if body < 1 || len(encoded) > MaxMessage {
		return nil, fmt.Errorf("%w: message of %d bytes", ErrMalformed, len(encoded))
	}
	if binary.LittleEndian.Uint32(encoded[body:]) != checksum(fleet, encoded[:body]) {
		return nil, fmt.Errorf("%w: checksum mismatch: corrupt or from another fleet", ErrMalformed)
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
		return nil, fmt.Errorf("%w: unsupported message version or kind", ErrMalformed)
	}
	return m, m.validate()
}

// readField decodes one field of a message.
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

// validate returns an error if a message exceeds a limit or its fields contradict each other.
func (m *message) validate() error {
	lists := len(m.bases) > maxBases || len(m.reports) > maxReports
	if lists || m.total > maxChunks || len(m.data) > chunkSize {
		return fmt.Errorf("%w: message exceeds its limits", ErrMalformed)
	}
	if len(m.wanted) > (maxChunks+7)/8 {
		return fmt.Errorf("%w: more chunks requested than a payload can have", ErrMalformed)
	}
	if m.kind != chunk {
		return nil
	}
	last := m.index+1 == m.total
	cut := len(m.data) == 0 || !last && len(m.data) != chunkSize
	if m.index >= m.total || m.payload.to <= m.payload.from || cut {
		return fmt.Errorf("%w: chunk does not belong to a valid payload", ErrMalformed)
	}
	return nil
}

// report is the state of one front, as that front reported it. Relays forward it unchanged except for its
// age.
type report struct {
	id          uint64  // xxhash of the front's name; see nameID
	incarnation uint64  // of the front; a report of a later incarnation replaces one of an earlier
	seq         uint64  // within one incarnation, a report with a larger number replaces an earlier one
	inForce     Version // version in force; 0 if none
	received    Version // newest version received
	state       FrontState
	program     uint32 // program number of the front
	reason      string // why a newer version is held or refused
	age         uint64 // seconds that the report has spent on relays
}

// append appends the encoded report to dst.
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

// readReport decodes a report.
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
		err = fmt.Errorf("%w: report without a front or a valid state", ErrMalformed)
	}
	return r, err
}

// newer reports whether r is later than another report of the same front.
func (r *report) newer(than *report) bool {
	if r.incarnation != than.incarnation {
		return r.incarnation > than.incarnation
	}
	return r.seq > than.seq
}
