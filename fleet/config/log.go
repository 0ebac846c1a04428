package config

import (
	"bytes"
	"fmt"
	"strings"
)

// Log is the deterministic state machine of the configuration. It has the same state on all control
// machines that have applied the same entries. It is not safe for concurrent use.
type Log struct {
	document *Document // newest version
	chain    chain     // newest version, encoded, and the deltas that lead to it
	history  history
}

// NewLog returns a log without any version.
func NewLog() *Log { return &Log{document: &Document{}} }

// Newest returns the newest version, or 0 if there is none.
func (l *Log) Newest() Version { return l.document.Version }

// Document returns the newest version, which must not be modified. Version 0 has no texts.
func (l *Log) Document() *Document { return l.document }

// Prepare checks a change and returns the entry to propose. The change takes effect only when the entry is
// applied. Errors are ErrInvalid, ErrTooLarge, ErrVersionConflict and ErrRolloutOpen.
func (l *Log) Prepare(c Change, check CheckFunc) (entry []byte, err error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	if c.Base != l.Newest() {
		return nil, &ConflictError{c.Base, l.Newest()}
	}
	if err := checkText(c.Scope, c.Text, check); err != nil {
		return nil, err
	}
	e := c.entry()
	if len(c.Text) > 0 {
		old, _ := l.document.Text(c.Scope)
		e.patch = makeDelta(old, c.Text).encode()
	}
	return l.encodeChecked(e)
}

// PrepareRollback checks a rollback and returns the entry to propose. The old texts are checked like new
// ones. Errors are ErrUnknownVersion and those of Prepare except ErrRolloutOpen.
func (l *Log) PrepareRollback(r Rollback, check CheckFunc) (entry []byte, err error) {
	if err := validateAttribution(r.Author, r.Reason, r.At); err != nil {
		return nil, err
	}
	old, err := l.DocumentAt(r.To)
	if err != nil {
		return nil, err
	}
	for _, t := range old.Texts {
		if err := checkText(t.Scope, t.Text, check); err != nil {
			return nil, err
		}
	}
	e := newEntry(KindRollback, r.Base, r.Author, r.Reason, r.At)
	e.to = r.To
	return l.encodeChecked(e)
}

// PrepareAbort returns the entry that ends the open roll-out without its change. Errors are ErrNoRollout,
// ErrInvalid and ErrTooLarge.
func (l *Log) PrepareAbort(author, reason string, at int64) (entry []byte, err error) {
	if err := validateAttribution(author, reason, at); err != nil {
		return nil, err
	}
	return l.encodeChecked(newEntry(KindAbort, l.Newest(), author, reason, at))
}

// prepareAdvance returns the entry that starts the next step of the open roll-out.
func (l *Log) prepareAdvance(author, reason string, at int64) ([]byte, error) {
	return l.encodeChecked(newEntry(KindAdvance, l.Newest(), author, reason, at))
}

// encodeChecked encodes an entry, or returns the error that applying it now would give.
func (l *Log) encodeChecked(e *entry) ([]byte, error) {
	if _, err := l.evaluate(e); err != nil {
		return nil, err
	}
	encoded := e.encode()
	if len(encoded) > MaxEntry {
		return nil, fmt.Errorf("%w: entry of %d bytes, at most %d", ErrTooLarge, len(encoded), MaxEntry)
	}
	return encoded, nil
}

// newEntry returns an entry with its header set.
func newEntry(kind Kind, base Version, author, reason string, at int64) *entry {
	return &entry{kind: kind, base: base, author: author, reason: reason, at: at}
}

// entry returns the log entry of a change, without the text.
func (c *Change) entry() *entry {
	e := newEntry(KindChange, c.Base, c.Author, c.Reason, c.At)
	e.scope, e.program = c.Scope, c.Program
	if c.Plan != nil && c.Plan.nextStep(0) != 0 {
		e.plan = c.Plan
	}
	return e
}

// validate returns an error if a change is incomplete or exceeds a limit.
func (c *Change) validate() error {
	if !c.Scope.valid() {
		return fmt.Errorf("%w: a scope name has 1 to %d characters of a-z, 0-9, - and _", ErrInvalid, MaxScopeName)
	}
	if len(c.Text) > MaxTextBytes {
		return fmt.Errorf("%w: %s has %d bytes, at most %d", ErrTooLarge, c.Scope, len(c.Text), MaxTextBytes)
	}
	if p := c.Plan; p != nil {
		if len(p.Front) > MaxName || len(p.Zone) > MaxName {
			return fmt.Errorf("%w: the front or zone of a plan has more than %d bytes", ErrTooLarge, MaxName)
		}
		if p.Soak < 0 || p.Soak > maxSoak || p.Limit < 0 || p.Limit > maxLimit {
			return fmt.Errorf("%w: the soak time of a plan is at most an hour, its limit at most a day", ErrTooLarge)
		}
	}
	return validateAttribution(c.Author, c.Reason, c.At)
}

// validateAttribution returns an error if the author, reason or time of an entry is missing or exceeds a
// limit.
func validateAttribution(author, reason string, at int64) error {
	if author == "" || reason == "" || at < 0 {
		return fmt.Errorf("%w: author, reason and time are required", ErrInvalid)
	}
	if len(author) > MaxAuthor || len(reason) > MaxReason {
		return fmt.Errorf("%w: author at most %d bytes, reason %d", ErrTooLarge, MaxAuthor, MaxReason)
	}
	return nil
}

// checkText validates the text of a scope with check. It does not call check for a scope that is removed.
func checkText(scope Scope, text []byte, check CheckFunc) error {
	if len(text) == 0 || check == nil {
		return nil
	}
	if err := check(scope, text); err != nil {
		return fmt.Errorf("%w: %s: %s", ErrInvalid, scope, oneLine(err.Error()))
	}
	return nil
}

// oneLine returns text with line breaks replaced by semicolons.
func oneLine(text string) string {
	return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return r == '\n' || r == '\r' }), "; ")
}

// Apply applies a committed entry. An entry that is rejected changes nothing, and Result.Err is
// ErrMalformed, ErrVersionConflict, ErrTooLarge, ErrRolloutOpen, ErrNoRollout or ErrUnknownVersion, the
// same on all machines.
func (l *Log) Apply(encoded []byte) Result {
	e, err := readEntry(encoded)
	if err != nil {
		return Result{l.Newest(), err}
	}
	next, err := l.evaluate(e)
	if err != nil {
		return Result{l.Newest(), err}
	}
	l.setNewest(next, e)
	return Result{Version: next.Version}
}

// setNewest makes next the newest version and records e in the history.
func (l *Log) setNewest(next *Document, e *entry) {
	document := next.Append(nil)
	old := l.chain.document
	l.history.add(next.Version, e, makeDelta(document, old).encode())
	l.chain.add(l.Newest(), next.Version, document, makeDelta(old, document))
	l.document = next
}

// evaluate returns the document that an entry produces, without changing the log. An entry can be committed
// late, by a deposed leader, or concurrently with another writer's; so it applies only to the exact version
// that its proposer saw.
func (l *Log) evaluate(e *entry) (*Document, error) {
	if e.base != l.Newest() {
		return nil, &ConflictError{e.base, l.Newest()}
	}
	next := l.document.clone()
	next.Version++
	var err error
	switch e.kind {
	case KindChange:
		err = next.applyChange(e)
	case KindRollback:
		err = l.applyRollback(next, e.to)
	case KindAdvance:
		err = next.advanceRollout()
	case KindAbort:
		err = next.abortRollout()
	}
	if err == nil {
		err = next.checkSize()
	}
	return next, err
}

// applyChange applies a change to the document, or stages it if it has a roll-out plan.
func (d *Document) applyChange(e *entry) error {
	if d.Stage != nil {
		return fmt.Errorf("%w since version %d", ErrRolloutOpen, d.Stage.Began)
	}
	text := ScopeText{Scope: e.scope, Program: e.program}
	if len(e.patch) > 0 {
		patch, err := readDelta(e.patch)
		if err != nil {
			return err
		}
		old, _ := d.Text(e.scope)
		if text.Text, err = patch.apply(old); err != nil {
			return err
		}
	}
	if e.plan == nil || e.plan.nextStep(0) == 0 {
		d.put(text)
		return nil
	}
	d.Stage = &Stage{Change: text, Began: d.Version, Step: e.plan.nextStep(0), Plan: *e.plan}
	final := d.clone()
	final.put(text)
	return final.checkSize()
}

// advanceRollout moves the open roll-out to its next step.
func (d *Document) advanceRollout() error {
	if d.Stage == nil {
		return ErrNoRollout
	}
	stage := *d.Stage
	stage.Step = stage.Plan.nextStep(stage.Step)
	if stage.Step == 0 {
		d.put(stage.Change)
		d.Stage = nil
		return nil
	}
	d.Stage = &stage
	return nil
}

// abortRollout ends the open roll-out without its change.
func (d *Document) abortRollout() error {
	if d.Stage == nil {
		return ErrNoRollout
	}
	d.Stage = nil
	return nil
}

// applyRollback sets the texts of next to those of an older version.
func (l *Log) applyRollback(next *Document, to Version) error {
	old, err := l.DocumentAt(to)
	if err != nil {
		return err
	}
	next.Texts = old.Texts
	next.Stage = nil
	return nil
}

// DocumentAt returns an older version, without its stage if it had one. The error is ErrUnknownVersion if
// the history does not have it.
func (l *Log) DocumentAt(v Version) (*Document, error) {
	var found []byte
	l.history.walkBack(l.chain.document, func(version Version, document []byte) bool {
		if version == v {
			found = document
		}
		return version > v
	})
	if len(found) == 0 {
		oldest := l.history.oldest()
		return nil, fmt.Errorf("%w: %d; the history has %d to %d", ErrUnknownVersion, v, oldest, l.Newest())
	}
	d, err := ReadDocument(found)
	if err != nil {
		return nil, err
	}
	d.Stage = nil
	return d, nil
}

// History returns the records of the known versions, oldest first, at most MaxHistory.
func (l *Log) History() []Record { return l.history.list() }

// Field numbers of a snapshot.
const (
	snapshotDocument = 1
	snapshotRecord   = 2
)

// Snapshot returns the encoded state, at most MaxSnapshot bytes; nil if there is no version.
func (l *Log) Snapshot() []byte {
	if l.Newest() == 0 {
		return nil
	}
	dst := appendPart([]byte{entryMagic}, snapshotDocument, l.chain.document)
	for k := range l.history.records {
		dst = appendPart(dst, snapshotRecord, l.history.records[k].append(nil))
	}
	return dst
}

// Restore replaces the state with that of a snapshot; an empty snapshot has no version. If Restore returns
// an error, the state is unchanged.
func (l *Log) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		*l = *NewLog()
		return nil
	}
	if snapshot[0] != entryMagic || len(snapshot) > MaxSnapshot {
		return fmt.Errorf("%w: not a configuration snapshot", ErrMalformed)
	}
	restored := NewLog()
	err := eachField(bytes.Clone(snapshot[1:]), func(f field) (err error) {
		switch f.number {
		case snapshotDocument:
			restored.chain.document = f.bytes
			restored.document, err = ReadDocument(f.bytes)
		case snapshotRecord:
			err = restored.history.readRecord(f.bytes)
		}
		return err
	})
	if err != nil {
		return err
	}
	if err := restored.rebuildChain(); err != nil {
		return err
	}
	*l = *restored
	return nil
}

// rebuildChain reconstructs the deltas between versions from the history.
func (l *Log) rebuildChain() error {
	newest := l.document.Version
	if newest == 0 || l.history.newest() != newest {
		return fmt.Errorf("%w: snapshot history does not end with the snapshot's version", ErrMalformed)
	}
	var documents [][]byte // newest first
	l.history.walkBack(l.chain.document, func(_ Version, document []byte) bool {
		documents = append(documents, document)
		return true
	})
	oldest := newest - Version(len(documents)) + 1
	if len(documents) < len(l.history.records) {
		return fmt.Errorf("%w: snapshot history does not match its document", ErrMalformed)
	}
	l.chain = chain{version: oldest, document: documents[len(documents)-1]}
	for k := len(documents) - 2; k >= 0; k-- {
		old, document := documents[k+1], documents[k]
		l.chain.add(l.chain.version, l.chain.version+1, document, makeDelta(old, document))
	}
	return nil
}
