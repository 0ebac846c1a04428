package config

import "fmt"

// history stores who made each version, when and why, and the delta back to the version before it.
type history struct {
	records []record // consecutive versions, oldest first
	size    int      // estimated bytes of the encoded records
}

// record is the history entry of one version.
type record struct {
	Record
	previousDelta []byte // payload from this version's document to the previous one
}

const maxHistoryBytes = 512 << 10 // of all encoded records

// Field numbers of an encoded record, in addition to those of an entry's header.
const (
	recordVersion = 11
	recordBefore  = 12
)

// add appends a new version and drops the oldest ones beyond the limits.
func (h *history) add(v Version, e *entry, before []byte) {
	r := record{previousDelta: before, Record: Record{Version: v, Kind: e.kind, Scope: e.scope, To: e.to}}
	r.Author, r.Reason, r.At = e.author, e.reason, e.at
	h.records = append(h.records, r)
	h.size += r.estimatedSize()
	for len(h.records) > MaxHistory || h.size > maxHistoryBytes && len(h.records) > 1 {
		h.size -= h.records[0].estimatedSize()
		h.records = h.records[1:]
	}
}

// estimatedSize estimates the encoded size of a record, in bytes.
func (r *record) estimatedSize() int {
	return 64 + len(r.Scope) + len(r.Author) + len(r.Reason) + len(r.previousDelta)
}

// walkBack calls visit with the document of each known version, from the newest to the oldest, until visit
// returns false.
func (h *history) walkBack(document []byte, visit func(v Version, document []byte) bool) {
	for k := len(h.records) - 1; k >= 0; k-- {
		if !visit(h.records[k].Version, document) {
			return
		}
		before, err := readDelta(h.records[k].previousDelta)
		if err != nil {
			return
		}
		if document, err = before.apply(document); err != nil {
			return
		}
	}
}

// list returns the records, oldest first.
func (h *history) list() []Record {
	list := make([]Record, 0, len(h.records))
	for k := range h.records {
		list = append(list, h.records[k].Record)
	}
	return list
}

// oldest returns the oldest known version, or 0 if there is none.
func (h *history) oldest() Version {
	if len(h.records) == 0 {
		return 0
	}
	return h.records[0].Version
}

// newest returns the newest version, or 0 if there is none.
func (h *history) newest() Version {
	if len(h.records) == 0 {
		return 0
	}
	return h.records[len(h.records)-1].Version
}

// append appends the encoded record to dst.
func (r *record) append(dst []byte) []byte {
	e := entry{kind: r.Kind, to: r.To, author: r.Author, reason: r.Reason, at: r.At}
	dst = e.appendHeader(dst)
	dst = appendText(dst, entryScope, r.Scope)
	dst = appendNumber(dst, recordVersion, uint64(r.Version))
	return appendPart(dst, recordBefore, r.previousDelta)
}

// readRecord decodes a record and appends it to the history.
func (h *history) readRecord(encoded []byte) error {
	var e entry
	var version Version
	var before []byte
	err := eachField(encoded, func(f field) error {
		switch f.number {
		case recordVersion:
			version = Version(f.value)
		case recordBefore:
			before = f.bytes
		default:
			return e.readField(f)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if version == 0 || len(h.records) > 0 && h.newest()+1 != version || len(h.records) >= MaxHistory {
		return fmt.Errorf("%w: history versions are not consecutive or too many", ErrMalformed)
	}
	h.add(version, &e, before)
	return nil
}
