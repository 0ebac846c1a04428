package config

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// ScopeText is the text of one scope in one version.
type ScopeText struct {
	Scope   Scope
	Text    []byte
	Program uint32 // minimum program number of a front that can use the text
}

// Stage is the open roll-out of a version: a text that applies only to the fronts of the current step.
type Stage struct {
	Change ScopeText // staged text; empty: the scope is removed
	Began  Version   // version with which the roll-out began
	Step   Step      // current step
	Plan   Plan
}

// Step is a step of a roll-out.
type Step uint8

// Steps of a roll-out. The last step, to all fronts, is a version without a Stage.
const (
	StepFront Step = 1 + iota
	StepZone
)

// Limits of a plan's durations, and the default limit of a step.
const (
	maxSoak      = 3600 * Second
	maxLimit     = 24 * 3600 * Second
	defaultLimit = 60 * Second
)

// Document is one version of the complete configuration.
type Document struct {
	Version Version
	Texts   []ScopeText // sorted by scope
	Stage   *Stage      // open roll-out; nil if there is none
}

// find returns the index of a scope in Texts, or the index at which it would be inserted, and whether it is
// present.
func (d *Document) find(scope Scope) (int, bool) {
	compare := func(t ScopeText, s Scope) int { return cmp.Compare(t.Scope, s) }
	return slices.BinarySearchFunc(d.Texts, scope, compare)
}

// Text returns the text of a scope and whether the scope exists. Staged text is not considered.
func (d *Document) Text(scope Scope) ([]byte, bool) {
	if k, has := d.find(scope); has {
		return d.Texts[k].Text, true
	}
	return nil, false
}

// TextsFor returns the texts that apply to one front, sorted by scope. A staged text is included if the
// open roll-out includes the front.
func (d *Document) TextsFor(front, zone string) []ScopeText {
	if d.Stage == nil || !d.Stage.Includes(front, zone) {
		return d.Texts
	}
	staged := Document{Texts: slices.Clone(d.Texts)}
	staged.put(d.Stage.Change)
	return staged.Texts
}

// Includes reports whether the roll-out has reached a front. The front of the first step stays included
// during the zone's step.
func (s *Stage) Includes(front, zone string) bool {
	if front == s.Plan.Front && front != "" {
		return true
	}
	return s.Step == StepZone && zone == s.Plan.Zone && zone != ""
}

// put sets the text of a scope, or removes the scope if the text is empty.
func (d *Document) put(t ScopeText) {
	k, has := d.find(t.Scope)
	switch {
	case len(t.Text) == 0 && has:
		d.Texts = slices.Delete(d.Texts, k, k+1)
	case len(t.Text) == 0:
	case has:
		d.Texts[k] = t
	default:
		d.Texts = slices.Insert(d.Texts, k, t)
	}
}

// textBytes returns the size of all texts together.
func (d *Document) textBytes() int {
	total := 0
	for _, t := range d.Texts {
		total += len(t.Text)
	}
	return total
}

// checkSize returns an ErrTooLarge if the document has too many scopes or too much text.
func (d *Document) checkSize() error {
	if len(d.Texts) > MaxScopes {
		return fmt.Errorf("%w: %d scopes, at most %d", ErrTooLarge, len(d.Texts), MaxScopes)
	}
	if size := d.textBytes(); size > MaxTextBytes {
		return fmt.Errorf("%w: the texts have %d bytes in total, at most %d", ErrTooLarge, size, MaxTextBytes)
	}
	return nil
}

// clone returns a copy that can be changed without changing d. The texts themselves are shared; they are
// never written to.
func (d *Document) clone() *Document {
	c := *d
	c.Texts = slices.Clone(d.Texts)
	return &c
}

// Field numbers of an encoded document, of a text in it and of a stage.
const (
	documentVersion = 1
	documentText    = 2
	documentStage   = 3

	textScope   = 1
	textBytes   = 2
	textProgram = 3

	stageChange = 1
	stageBegan  = 2
	stageStep   = 3
	stageFront  = 4
	stageZone   = 5
	stageSoak   = 6
	stageLimit  = 7
)

// Append appends the binary encoding of the document to dst. Equal documents have equal encodings.
func (d *Document) Append(dst []byte) []byte {
	dst = appendNumber(dst, documentVersion, uint64(d.Version))
	for k := range d.Texts {
		dst = appendPart(dst, documentText, d.Texts[k].append(nil))
	}
	if d.Stage != nil {
		dst = appendPart(dst, documentStage, d.Stage.append(nil))
	}
	return dst
}

func (t *ScopeText) append(dst []byte) []byte {
	dst = appendText(dst, textScope, t.Scope)
	dst = appendText(dst, textBytes, t.Text)
	return appendNumber(dst, textProgram, uint64(t.Program))
}

func (s *Stage) append(dst []byte) []byte {
	dst = appendPart(dst, stageChange, s.Change.append(nil))
	dst = appendNumber(dst, stageBegan, uint64(s.Began))
	dst = appendNumber(dst, stageStep, uint64(s.Step))
	return s.Plan.append(dst)
}

func (p *Plan) append(dst []byte) []byte {
	dst = appendText(dst, stageFront, p.Front)
	dst = appendText(dst, stageZone, p.Zone)
	dst = appendNumber(dst, stageSoak, uint64(p.Soak))
	return appendNumber(dst, stageLimit, uint64(p.Limit))
}

// ReadDocument decodes a document. Errors are ErrMalformed. The result shares memory with encoded.
func ReadDocument(encoded []byte) (*Document, error) {
	if len(encoded) > MaxDocument {
		return nil, fmt.Errorf("%w: document of %d bytes", ErrMalformed, len(encoded))
	}
	d := &Document{}
	err := eachField(encoded, func(f field) error {
		switch f.number {
		case documentVersion:
			d.Version = Version(f.value)
		case documentText:
			return d.readText(f.bytes)
		case documentStage:
			stage, err := readStage(f.bytes)
			d.Stage = stage
			return err
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if err := d.checkSize(); err != nil || d.Version == 0 {
		return nil, fmt.Errorf("%w: document exceeds its limits or has no version", ErrMalformed)
	}
	return d, nil
}

// readText decodes one text and appends it to the document.
func (d *Document) readText(encoded []byte) error {
	t, err := readScopeText(encoded)
	if err != nil {
		return err
	}
	if last := len(d.Texts) - 1; len(t.Text) == 0 || last >= 0 && d.Texts[last].Scope >= t.Scope {
		return fmt.Errorf("%w: scopes are not sorted or have no text", ErrMalformed)
	}
	d.Texts = append(d.Texts, t)
	return nil
}

func readScopeText(encoded []byte) (t ScopeText, err error) {
	err = eachField(encoded, func(f field) error {
		switch f.number {
		case textScope:
			t.Scope = Scope(f.bytes)
		case textBytes:
			t.Text = f.bytes
		case textProgram:
			if f.value > math.MaxUint32 {
				return ErrMalformed
			}
			t.Program = uint32(f.value)
		}
		return nil
	})
	if err == nil && (!t.Scope.valid() || len(t.Text) > MaxTextBytes) {
		err = fmt.Errorf("%w: invalid scope name or text", ErrMalformed)
	}
	return t, err
}

func readStage(encoded []byte) (*Stage, error) {
	s := &Stage{}
	err := eachField(encoded, func(f field) (err error) {
		switch f.number {
		case stageChange:
			s.Change, err = readScopeText(f.bytes)
		case stageBegan:
			s.Began = Version(f.value)
		case stageStep:
			s.Step = Step(min(f.value, math.MaxUint8))
		default:
			err = s.Plan.readField(f)
		}
		return err
	})
	if err == nil && (s.Change.Scope == "" || s.Step < StepFront || s.Step > StepZone) {
		err = fmt.Errorf("%w: incomplete roll-out stage", ErrMalformed)
	}
	return s, err
}

// readField decodes one field of a plan.
func (p *Plan) readField(f field) (err error) {
	switch f.number {
	case stageFront:
		p.Front, err = f.text(MaxName)
	case stageZone:
		p.Zone, err = f.text(MaxName)
	case stageSoak:
		p.Soak, err = f.duration(maxSoak)
	case stageLimit:
		p.Limit, err = f.duration(maxLimit)
	}
	return err
}

// nextStep returns the step after current, or 0 if the change goes to all fronts next.
func (p *Plan) nextStep(current Step) Step {
	if current < StepFront && p.Front != "" {
		return StepFront
	}
	if current < StepZone && p.Zone != "" {
		return StepZone
	}
	return 0
}
