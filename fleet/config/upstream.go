package config

// upstream is a machine that this one asks for versions; to the first one reports go as well.
type upstream struct {
	reportsTo       bool
	fixed           bool // the leader, of another control machine; it stays until another leads
	addr            string
	attempt         int // how many were passed over since the first choice
	chosenAt        Time
	reviewAt        Time
	nextAt          Time // of the next heartbeat
	answered        bool // since it was chosen
	unanswered      int  // heartbeats in a row,
	unansweredSince Time // and when the first of them went
	seq             uint64
	sentHeartbeats  [4]sentHeartbeat // the last heartbeats
	version         Version          // the newest that it told of
	noDeltaFrom     Version          // it has no delta from this version; 0: nothing is known
}

// sentHeartbeat is a heartbeat on its way.
type sentHeartbeat struct {
	seq uint64
	at  Time
}

// Spans of heartbeats.
const (
	heartbeatInterval = Second
	heartbeatJitter   = 100 * Millisecond  // drawn on top, so that machines do not go in step
	answerTimeout     = 500 * Millisecond  // after which an unanswered heartbeat is sent again
	probeTimeout      = 700 * Millisecond  // for which a newly chosen upstream may stay silent
	maxUnanswered     = 3                  // heartbeats in a row, and
	silenceTimeout    = 1400 * Millisecond // that no answer came for so long: then another upstream is chosen
	slowAttempts      = 12                 // attempts after which they come once in two seconds
	reviewInterval    = 30 * Second        // after which the first choice is tried again, and so much is drawn
)

// choose takes another upstream, or the first choice on attempt 0.
func (u *upstream) choose(n *node, attempt int) {
	u.attempt = attempt
	u.addr = u.candidate(n)
	u.chosenAt, u.nextAt = n.now, n.now
	u.answered, u.unanswered, u.version, u.noDeltaFrom = false, 0, 0, 0
	u.reviewAt = n.now + reviewInterval + n.source.Below(reviewInterval)
	if u.reportsTo {
		n.reports.resendAll(n.now)
	}
}

// candidate gives the address for an attempt. The second upstream is another than the first where there is
// another.
func (u *upstream) candidate(n *node) string {
	if u.reportsTo {
		return n.topology.primaryUpstream(u.attempt, &n.source)
	}
	addr := n.topology.secondaryUpstream(u.attempt, &n.source)
	if addr == n.upstreams[0].addr {
		addr = n.topology.secondaryUpstream(u.attempt, &n.source)
	}
	return addr
}

// tick sends a heartbeat when one is due, or gives the upstream up.
// Danger: a relay that has died, or is cut off, would cut off all that hang on it.
func (u *upstream) tick(n *node) {
	if n.now < u.nextAt || !n.topologyKnown && !u.fixed {
		return
	}
	switch {
	case u.fixed:
	case u.addr == "": // nobody was known
		u.choose(n, 0)
	case u.unresponsive(n.now):
		u.choose(n, u.attempt+1)
	case u.attempt > 0 && n.now >= u.reviewAt:
		u.choose(n, 0)
	case u.attempt == 0 && n.now >= u.reviewAt:
		u.review(n)
	}
	u.sendHeartbeat(n, nil)
}

// unresponsive tells whether an upstream has to be taken for gone. Reports may go several times a second, so it
// takes a span as well as a number.
func (u *upstream) unresponsive(now Time) bool {
	if !u.answered {
		return u.unanswered > 0
	}
	return u.unanswered >= maxUnanswered && now-u.unansweredSince >= silenceTimeout
}

// review looks whether the first choice is another one since the list of machines has changed. The second
// upstream is drawn anew, so that children spread over the machines that have come.
func (u *upstream) review(n *node) {
	u.reviewAt = n.now + reviewInterval + n.source.Below(reviewInterval)
	if !u.reportsTo || n.topology.primaryUpstream(0, &n.source) != u.addr {
		u.choose(n, 0)
	}
}

func (u *upstream) sendHeartbeat(n *node, reports []report) {
	if reports == nil {
		u.seq++
	}
	u.sentHeartbeats[u.seq%uint64(len(u.sentHeartbeats))] = sentHeartbeat{u.seq, n.now}
	if u.unanswered == 0 {
		u.unansweredSince = n.now
	}
	u.unanswered++
	switch {
	case u.addr == "":
		u.nextAt = n.now + Second
	case u.answered:
		u.nextAt = n.now + answerTimeout
	case u.attempt > slowAttempts:
		u.nextAt = n.now + 2*Second
	default:
		u.nextAt = n.now + probeTimeout
	}
	m := &message{kind: heartbeat, seq: u.seq, version: n.chain.version, reportUpstream: u.reportsTo}
	m.reports = reports
	n.sendMessage(u.addr, m)
}

// flushReports sends what the upstream does not know yet.
func (n *node) flushReports() {
	if n.reports.flushAt == 0 || n.now < n.reports.flushAt {
		return
	}
	if len(n.upstreams) == 0 || !n.upstreams[0].answered {
		n.reports.flushAt = n.now + answerTimeout // it is tried whether it is there
		return
	}
	if at := n.reports.batch.at + answerTimeout; len(n.reports.batch.sent) > 0 && n.now < at {
		n.reports.flushAt = at // the last ones are not acknowledged
		return
	}
	if n.budget.usedPermille(n.now) > maxReportBudgetUsed && n.now-n.reports.pendingSince < maxReportWait {
		n.reports.flushAt = n.now + reportDelay
		return
	}
	u := n.upstreams[0]
	reports := n.reports.nextBatch(n.now, u.seq+1)
	if len(reports) == 0 {
		return
	}
	u.seq++
	u.sendHeartbeat(n, reports)
	n.reports.scheduleFlush(n.now, answerTimeout) // again, unless it is acknowledged
}

// upstreamAt gives the upstream with an address, nil if none has it.
func (n *node) upstreamAt(addr string) *upstream {
	for _, u := range n.upstreams {
		if u.addr == addr {
			return u
		}
	}
	return nil
}

// handleAcknowledge takes an upstream's answer in.
func (n *node) handleAcknowledge(from string, m *message) {
	if m.noDelta {
		n.handleNoDelta(from)
	}
	u := n.upstreamAt(from)
	if u == nil || m.seq == 0 {
		return
	}
	sent := u.sentHeartbeats[m.seq%uint64(len(u.sentHeartbeats))]
	if sent.seq != m.seq {
		return // it was too long under way
	}
	if m.full && !u.fixed {
		u.choose(n, u.attempt+1)
		return
	}
	u.answered, u.unanswered = true, 0
	u.nextAt = max(u.nextAt, sent.at+heartbeatInterval+n.source.Below(heartbeatJitter))
	u.version = max(m.version, m.receiving)
	if u.reportsTo {
		n.reports.acknowledged(n.now, m.seq)
	}
	if m.proven {
		n.proveNewest(sent.at-m.age, m.version)
	}
	n.startTransfer()
}

// handleOffer notes that an upstream has, or is getting, something newer.
func (n *node) handleOffer(from string, m *message) {
	u := n.upstreamAt(from)
	if u == nil {
		return
	}
	u.version = max(u.version, m.version)
	n.startTransfer()
}
