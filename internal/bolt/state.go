package bolt

// State is a server state of the specification.
type State uint8

// The server states.
const (
	Authentication State = iota // From version 5.1 on: HELLO succeeded, LOGON is expected; before: HELLO is expected.
	Negotiation                 // From version 5.1 on: HELLO is expected.
	Ready
	Streaming
	TxReady
	TxStreaming
	Failed
	Interrupted
	Defunct
)

// InitialState returns the state of a connection after the handshake.
func InitialState(v Version) State {
	if hasLogon(v) {
		return Negotiation
	}
	return Authentication
}

// hasLogon reports whether version v has the messages LOGON and LOGOFF.
func hasLogon(v Version) bool { return v.Major() > 5 || v.Major() == 5 && v.Minor() >= 1 }

// Accepts reports whether request w is carried out or ignored in state s. If neither, the request is a protocol error and
// the connection becomes defunct.
func (s State) Accepts(v Version, w MessageType) (carried, ignored bool) {
	switch {
	case w == Goodbye:
		return s != Defunct, false
	case s == Defunct:
		return false, false
	case w == Reset:
		return s >= Ready, false
	case s == Failed || s == Interrupted:
		return false, w.fieldCount() >= 0 && w != Hello && w != Logon
	case w == Telemetry:
		return s == Ready && (v.Major() > 5 || v.Major() == 5 && v.Minor() >= 4), false
	case w == Logon || w == Logoff:
		return hasLogon(v) && (w == Logon && s == Authentication || w == Logoff && s == Ready), false
	}
	switch s {
	case Negotiation:
		return w == Hello, false
	case Authentication:
		return w == Hello && !hasLogon(v), false
	case Ready:
		return w == Run || w == BeginTx || w == Route, false
	case Streaming:
		return w == Pull || w == Discard, false
	case TxReady:
		return w == Run || w == Commit || w == Rollback, false
	case TxStreaming:
		return w == Run || w == Pull || w == Discard || w == Commit || w == Rollback, false
	}
	return false, false
}

// After returns the state after request w was carried out: whether it succeeded, whether its result has more records, and
// how many results of the transaction are open then.
func (s State) After(w MessageType, ok, more bool, open int) State {
	switch {
	case w == Goodbye:
		return Defunct
	case !ok && (w == Reset || w == Hello || w == Logon):
		return Defunct
	case !ok:
		return Failed
	}
	switch w {
	case Hello:
		if s == Negotiation {
			return Authentication
		}
		return Ready
	case Logon, Reset, Commit, Rollback:
		return Ready
	case Logoff:
		return Authentication
	case BeginTx:
		return TxReady
	case Run:
		if s == Ready {
			return Streaming
		}
		return TxStreaming
	case Pull, Discard:
		switch {
		case more || s == TxStreaming && open > 0:
			return s
		case s == Streaming:
			return Ready
		}
		return TxReady
	}
	return s
}
