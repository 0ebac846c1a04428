package config

import "fmt"

// history keeps who made each version, when and why, and how to come back to the version before.
type history struct {
	records []record // one version after the other
	size    int      // bytes, encoded
}

type record struct {
	Record
	previousDelta []byte // a payload: from this version's document to the one before
}

const maxHistoryBytes = 512 << 10 // of all records, encoded

// Fields of a record beside those of an entry's head.
const (
	recordVersion = 11
	recordBefore  = 12
)

// add notes a new version. The oldest go where there are too many.
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

func (r *record) estimatedSize() int {
	return 64 + len(r.Scope) + len(r.Author) + len(r.Reason) + len(r.previousDelta)
}

// walkBack hands over versions' documents from the newest to the oldest that is known, until it is told to stop.
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

func (h *history) list() []Record {
	list := make([]Record, 0, len(h.records))
	for k := range h.records {
		list = append(list, h.records[k].Record)
	}
	return list
}

func (h *history) oldest() Version {
	if len(h.records) == 0 {
		return 0
	}
	return h.records[0].Version
}

func (h *history) newest() Version {
	if len(h.records) == 0 {
		return 0
	}
	return h.records[len(h.records)-1].Version
}

func (r *record) append(dst []byte) []byte {
	e := entry{kind: r.Kind, to: r.To, author: r.Author, reason: r.Reason, at: r.At}
	dst = e.appendHeader(dst)
	dst = appendText(dst, entryScope, r.Scope)
	dst = appendNumber(dst, recordVersion, uint64(r.Version))
	return appendPart(dst, recordBefore, r.previousDelta)
}

// readRecord takes one more record in.
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
		return fmt.Errorf("%w: versions of a history", ErrMalformed)
	}
	h.add(version, &e, before)
	return nil
}
