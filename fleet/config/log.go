package config

import (
	"bytes"
	"fmt"
	"strings"
)

// Log is the deterministic state that entries lead to. It is the same on all control machines after the same
// entries. Not safe for use from several goroutines.
type Log struct {
	document *Document
	chain    chain // the newest version as bytes, and what leads to it
	history  history
}

// NewLog gives a log without any version.
func NewLog() *Log { return &Log{document: &Document{}} }

// Newest gives the newest version, 0 if there is none.
func (l *Log) Newest() Version { return l.document.Version }

// Document gives the newest version; it must not be changed. Version 0 has no texts.
func (l *Log) Document() *Document { return l.document }

// Prepare checks a change and gives the entry to propose. The change is not in force by that: its entry has
// to be applied. Errors: ErrFaulty, ErrTooLarge, ErrVersionConflict, ErrRollout.
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

// PrepareRollback does the same for a rollback; the old texts are checked as new ones are. Errors:
// ErrUnknownVersion and those of Prepare but ErrRollout.
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

// PrepareAbort gives the entry that stops the open roll-out. Errors: ErrNoRollout.
func (l *Log) PrepareAbort(author, reason string, at int64) (entry []byte, err error) {
	if err := validateAttribution(author, reason, at); err != nil {
		return nil, err
	}
	return l.encodeChecked(newEntry(KindAbort, l.Newest(), author, reason, at))
}

// prepareAdvance gives the entry for the next step of the open roll-out.
func (l *Log) prepareAdvance(author, reason string, at int64) ([]byte, error) {
	return l.encodeChecked(newEntry(KindAdvance, l.Newest(), author, reason, at))
}

// encodeChecked encodes an entry that would count if it was applied now.
func (l *Log) encodeChecked(e *entry) ([]byte, error) {
	if _, err := l.evaluate(e); err != nil {
		return nil, err
	}
	encoded := e.encode()
	if len(encoded) > MaxEntry {
		return nil, fmt.Errorf("%w: an entry of %d bytes, at most %d", ErrTooLarge, len(encoded), MaxEntry)
	}
	return encoded, nil
}

func newEntry(kind Kind, base Version, author, reason string, at int64) *entry {
	return &entry{kind: kind, base: base, author: author, reason: reason, at: at}
}

func (c *Change) entry() *entry {
	e := newEntry(KindChange, c.Base, c.Author, c.Reason, c.At)
	e.scope, e.program = c.Scope, c.Program
	if c.Plan != nil && c.Plan.nextStep(0) != 0 {
		e.plan = c.Plan
	}
	return e
}

// validate tells which bound a change breaks.
func (c *Change) validate() error {
	if !c.Scope.valid() {
		return fmt.Errorf("%w: a scope's name is 1 to %d of a-z, 0-9, - and _", ErrInvalid, MaxScopeName)
	}
	if len(c.Text) > MaxTextBytes {
		return fmt.Errorf("%w: %s has %d bytes, at most %d", ErrTooLarge, c.Scope, len(c.Text), MaxTextBytes)
	}
	if p := c.Plan; p != nil {
		if len(p.Front) > MaxName || len(p.Zone) > MaxName {
			return fmt.Errorf("%w: a plan's front or zone has over %d bytes", ErrTooLarge, MaxName)
		}
		if p.Soak < 0 || p.Soak > maxSoak || p.Limit < 0 || p.Limit > maxLimit {
			return fmt.Errorf("%w: a plan's soak is at most an hour, its limit a day", ErrTooLarge)
		}
	}
	return validateAttribution(c.Author, c.Reason, c.At)
}

// validateAttribution tells which bound the notes for the history break.
func validateAttribution(author, reason string, at int64) error {
	if author == "" || reason == "" || at < 0 {
		return fmt.Errorf("%w: author, reason and time have to be named", ErrInvalid)
	}
	if len(author) > MaxAuthor || len(reason) > MaxReason {
		return fmt.Errorf("%w: author at most %d bytes, reason %d", ErrTooLarge, MaxAuthor, MaxReason)
	}
	return nil
}

// checkText has a scope's text checked. A scope that is removed is not.
func checkText(scope Scope, text []byte, check CheckFunc) error {
	if len(text) == 0 || check == nil {
		return nil
	}
	if err := check(scope, text); err != nil {
		return fmt.Errorf("%w: %s: %s", ErrInvalid, scope, oneLine(err.Error()))
	}
	return nil
}

// oneLine gives a text without its ends of lines.
func oneLine(text string) string {
	return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return r == '\n' || r == '\r' }), "; ")
}

// Apply applies a committed entry. What does not fit changes nothing: Result.Err is ErrMalformed,
// ErrVersionConflict, ErrTooLarge, ErrRollout, ErrNoRollout or ErrUnknownVersion, the same on all machines.
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

// setNewest makes a document the newest version.
func (l *Log) setNewest(next *Document, e *entry) {
	document := next.Append(nil)
	old := l.chain.document
	l.history.add(next.Version, e, makeDelta(document, old).encode())
	l.chain.add(l.Newest(), next.Version, document, makeDelta(old, document))
	l.document = next
}

// evaluate gives what an entry leads to, and changes nothing. Danger: an entry may be committed late, by a leader
// that was deposed, or together with another writer's: it counts for the very version that its proposer saw.
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

// applyChange makes a change in a document, or stages it.
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
	whole := d.clone()
	whole.put(text)
	return whole.checkSize()
}

// advanceRollout brings the open roll-out one step further.
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

// applyRollback gives a document the texts of an older version.
func (l *Log) applyRollback(next *Document, to Version) error {
	old, err := l.DocumentAt(to)
	if err != nil {
		return err
	}
	next.Texts = old.Texts
	next.Stage = nil
	return nil
}

// DocumentAt gives an older version, without its stage if it had one. Errors: ErrUnknownVersion.
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
		return nil, fmt.Errorf("%w: %d; known are %d to %d", ErrUnknownVersion, v, oldest, l.Newest())
	}
	d, err := ReadDocument(found)
	if err != nil {
		return nil, err
	}
	d.Stage = nil
	return d, nil
}

// History gives what is known of versions, the newest last, at most MaxHistory.
func (l *Log) History() []Record { return l.history.list() }

// Fields of a snapshot.
const (
	snapshotDocument = 1
	snapshotRecord   = 2
)

// Snapshot gives the whole state, at most MaxSnapshot bytes.
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

// Restore replaces the state by that of a snapshot. On an error nothing has changed. Empty: no version.
func (l *Log) Restore(snapshot []byte) error {
	if len(snapshot) == 0 {
		*l = *NewLog()
		return nil
	}
	if snapshot[0] != entryMagic || len(snapshot) > MaxSnapshot {
		return fmt.Errorf("%w: no snapshot of a configuration", ErrMalformed)
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

// rebuildChain makes the steps between versions from what history keeps.
func (l *Log) rebuildChain() error {
	newest := l.document.Version
	if newest == 0 || l.history.newest() != newest {
		return fmt.Errorf("%w: a snapshot whose history is another's", ErrMalformed)
	}
	var documents [][]byte // from the newest back
	l.history.walkBack(l.chain.document, func(_ Version, document []byte) bool {
		documents = append(documents, document)
		return true
	})
	oldest := newest - Version(len(documents)) + 1
	if len(documents) < len(l.history.records) {
		return fmt.Errorf("%w: a snapshot whose history does not fit", ErrMalformed)
	}
	l.chain = chain{version: oldest, document: documents[len(documents)-1]}
	for k := len(documents) - 2; k >= 0; k-- {
		old, document := documents[k+1], documents[k]
		l.chain.add(l.chain.version, l.chain.version+1, document, makeDelta(old, document))
	}
	return nil
}
