package front

import (
	"micatrack/balance"
	"micatrack/internal/pgwire"
)

// answerMarker tells where the answer to the current request of a PostgreSQL connection begins.
//
// A store may send more than the answer to a request, such as a second copy of it, and that may arrive when the
// connection has already been given its next request. So empty queries are written ahead of each request: whatever
// arrives before their answers belongs to an earlier request.
//
// A copy may hold the answers to the empty queries of the earlier request as well. So their number alternates between
// one and two.
type answerMarker struct {
	queries   int  // empty queries ahead of the current request; 0: none
	answered  int  // answers to empty queries that have arrived in a row
	emptySeen bool // the message group that is being read answers an empty query
	verified  bool // the store has answered an empty query of this connection as one
	// unsupported is set if the store answers an empty query with something else. Where its answers begin cannot be
	// marked.
	unsupported bool
}

// maxEmptyQueries is the larger of the numbers of empty queries between which requests alternate.
const maxEmptyQueries = 2

// emptyQueries are the empty queries ahead of a request.
var emptyQueries = pgwire.AppendSimpleQuery(pgwire.AppendSimpleQuery(nil, ""), "")

// begin prepares the marker for the next request, and appends the empty queries to be written ahead of it.
func (m *answerMarker) begin(dst []byte) []byte {
	m.answered, m.emptySeen = 0, false
	if m.unsupported {
		return dst
	}
	m.queries = m.queries%maxEmptyQueries + 1
	return append(dst, emptyQueries[:m.queries*len(emptyQueries)/maxEmptyQueries]...)
}

// pending reports whether the answer to the current request has not begun yet.
func (m *answerMarker) pending() bool { return !m.unsupported && m.answered < m.queries }

// endGroup handles the ReadyForQuery that ends a group of messages. It reports whether the group answered an empty
// query.
func (m *answerMarker) endGroup() (empty bool) {
	switch {
	case m.emptySeen:
		m.emptySeen, m.verified = false, true
		m.answered++
		return true
	case !m.verified:
		// There is no earlier answer on this connection that this could be a copy of.
		m.unsupported = true
	default:
		m.answered = 0
	}
	return false
}

// readUntilAnswer handles the messages ahead of the answer to the current request.
func readUntilAnswer(k *conn, c *Core, kind byte, body []byte) bool {
	m := &k.marker
	switch kind {
	case 'I':
		if m.emptySeen {
			return false
		}
		m.emptySeen = true
	case 'S':
		return k.readParameter(body)
	case 'E':
		// A fatal error ends the connection, so it can be no copy: the store says it instead of the answer.
		k.errorCode = ""
		if pgwire.Fatal(body) {
			k.errorCode = pgwire.SQLState(body)
		}
		return !m.emptySeen
	case 'T', 'D', 'C':
		return !m.emptySeen
	case 'N':
	case 'Z':
		k.endMarkerGroup(c)
	default:
		return false
	}
	return true
}

// endMarkerGroup handles the end of a group of messages ahead of the answer to the current request.
func (k *conn) endMarkerGroup(c *Core) {
	supported := !k.marker.unsupported
	empty := k.marker.endGroup()
	switch {
	case empty && !k.marker.pending() && k.report.Role != balance.RoleUnknown:
		c.balancer.RecordReport(c.now, k.store, k.report, k.since)
	case !empty && k.marker.unsupported && supported:
		c.logLimited("store does not answer empty queries", "store", k.store, "addr", k.addr)
	case !empty:
		c.counts.strayAnswers++
		c.logLimited("answer of an earlier request discarded", "store", k.store, "addr", k.addr)
	}
	k.errorCode, k.report, k.loadReport = "", balance.Report{}, balance.Report{}
	if !k.marker.pending() {
		k.onMessage = readAnswer
	}
}
