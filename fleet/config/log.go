package config

// Log is the deterministic state that entries lead to. It is the same on all control machines after the same entries.
// Not safe for use from several goroutines.
type Log struct{}

// NewLog gives a log without any version.
func NewLog() *Log { panic("to come") }

// Prepare checks a change and gives the entry to propose. The change is not in force by that: its entry has to be
// applied. Errors: ErrFaulty, ErrTooLarge, ErrVersionConflict, ErrRollout.
func (l *Log) Prepare(c Change, check Check) (entry []byte, err error) { panic("to come") }

// PrepareRollback does the same for a rollback; the old texts are checked as new ones are. Errors: ErrUnknownVersion and
// those of Prepare but ErrRollout.
func (l *Log) PrepareRollback(r Rollback, check Check) (entry []byte, err error) { panic("to come") }

// PrepareAbort gives the entry that stops the open roll-out. Errors: ErrNoRollout.
func (l *Log) PrepareAbort(author, reason string, at int64) (entry []byte, err error) {
	panic("to come")
}

// Apply applies a committed entry. What does not fit changes nothing: Result.Err is ErrMalformed, ErrVersionConflict,
// ErrTooLarge, ErrRollout, ErrNoRollout or ErrUnknownVersion, the same on all machines.
func (l *Log) Apply(entry []byte) Result { panic("to come") }

// IsEntry tells whether bytes of the shared replicated log are an entry of this package. Those of package lease are not.
func IsEntry(entry []byte) bool { panic("to come") }

// Snapshot gives the whole state, at most MaxSnapshot bytes.
func (l *Log) Snapshot() []byte { panic("to come") }

// Restore replaces the state by that of a snapshot. On an error nothing has changed. Empty: no version.
func (l *Log) Restore(snapshot []byte) error { panic("to come") }

// Newest gives the newest version, 0 if there is none.
func (l *Log) Newest() Version { panic("to come") }

// Document gives the newest version; it must not be changed. Version 0 has no texts.
func (l *Log) Document() *Document { panic("to come") }

// At gives an older version, without its stage if it had one. Errors: ErrUnknownVersion.
func (l *Log) At(v Version) (*Document, error) { panic("to come") }

// History gives what is known of versions, the newest last, at most MaxHistory.
func (l *Log) History() []Record { panic("to come") }
