package config

import (
	"fmt"
	"math"
)

// entryMagic is the first byte of each entry. Entries of package lease, which share the replicated log,
// begin with 1.
const entryMagic = 0xC5

// entry is one change of a Log, as stored in the replicated log.
type entry struct {
	kind    Kind
	base    Version // version that the entry applies to
	to      Version // restored version; only of a rollback
	author  string  // who proposed the entry
	reason  string  // why
	at      int64   // when, in Unix milliseconds of the proposer's clock
	scope   Scope   // changed scope; only of a change
	program uint32  // minimum program number
	patch   []byte  // payload against the scope's text in base; empty: the scope is removed
	plan    *Plan   // roll-out plan; nil: all fronts at once
}

// Field numbers of an encoded entry.
const (
	entryKind    = 1
	entryBase    = 2
	entryTo      = 3
	entryAuthor  = 4
	entryReason  = 5
	entryAt      = 6
	entryScope   = 7
	entryProgram = 8
	entryPatch   = 9
	entryPlan    = 10
)

// IsEntry reports whether an entry of the shared replicated log belongs to this package rather than to
// package lease.
func IsEntry(entry []byte) bool { return len(entry) > 0 && entry[0] == entryMagic }

// encode returns the encoded entry.
func (e *entry) encode() []byte {
	dst := e.appendHeader([]byte{entryMagic})
	dst = appendText(dst, entryScope, e.scope)
	dst = appendNumber(dst, entryProgram, uint64(e.program))
	dst = appendText(dst, entryPatch, e.patch)
	if e.plan != nil {
		dst = appendPart(dst, entryPlan, e.plan.append(nil))
	}
	return dst
}

// appendHeader appends the fields that the history also stores.
func (e *entry) appendHeader(dst []byte) []byte {
	dst = appendNumber(dst, entryKind, uint64(e.kind))
	dst = appendNumber(dst, entryBase, uint64(e.base))
	dst = appendNumber(dst, entryTo, uint64(e.to))
	dst = appendText(dst, entryAuthor, e.author)
	dst = appendText(dst, entryReason, e.reason)
	return appendNumber(dst, entryAt, uint64(max(e.at, 0)))
}

// readEntry decodes an entry. Errors are ErrMalformed.
func readEntry(encoded []byte) (*entry, error) {
	if !IsEntry(encoded) || len(encoded) > MaxEntry {
		return nil, fmt.Errorf("%w: unknown entry format or entry too long", ErrMalformed)
	}
	e := &entry{}
	if err := eachField(encoded[1:], e.readField); err != nil {
		return nil, err
	}
	if e.kind < KindChange || e.kind > KindAbort {
		return nil, fmt.Errorf("%w: unknown entry kind", ErrMalformed)
	}
	if e.kind == KindChange && !e.scope.valid() {
		return nil, fmt.Errorf("%w: invalid scope name", ErrMalformed)
	}
	return e, nil
}

// readField decodes one field of an entry.
func (e *entry) readField(f field) (err error) {
	switch f.number {
	case entryKind:
		e.kind = Kind(min(f.value, math.MaxUint8))
	case entryBase:
		e.base = Version(f.value)
	case entryTo:
		e.to = Version(f.value)
	case entryAuthor:
		e.author, err = f.text(MaxAuthor)
	case entryReason:
		e.reason, err = f.text(MaxReason)
	case entryAt:
		e.at = int64(min(f.value, math.MaxInt64))
	case entryScope:
		e.scope = Scope(f.bytes)
	case entryProgram:
		e.program = uint32(min(f.value, math.MaxUint32))
	case entryPatch:
		e.patch = f.bytes
	case entryPlan:
		e.plan = &Plan{}
		err = eachField(f.bytes, e.plan.readField)
	}
	return err
}
