package config

// ScopeText is one scope's text in one version.
type ScopeText struct {
	Scope   Scope
	Text    []byte
	Program uint32 // the oldest program that can take it
}

// Stage is the open roll-out in a version: a text that counts only for its audience.
type Stage struct {
	Change ScopeText // without a text: the scope is removed
	Began  Version   // the version with which the roll-out began
	Step   Step
	Plan   Plan
}

// Step is how far a roll-out has come.
type Step uint8

// The steps of a roll-out. The one to all fronts is a version without a stage.
const (
	StepFront Step = 1 + iota
	StepZone
)

// Document is one version of the whole configuration.
type Document struct {
	Version Version
	Texts   []ScopeText // sorted by scope
	Stage   *Stage      // nil: no roll-out is open
}

// Text gives a scope's text, without a staged one.
func (d *Document) Text(scope Scope) ([]byte, bool) { panic("to come") }

// For gives the texts that count for one front, sorted by scope, a staged one included if the front is in its audience.
func (d *Document) For(front, zone string) []ScopeText { panic("to come") }

// Append appends the document's binary encoding: the same bytes for the same document.
func (d *Document) Append(dst []byte) []byte { panic("to come") }

// ReadDocument reads a document. Errors are ErrMalformed.
func ReadDocument(encoded []byte) (*Document, error) { panic("to come") }
