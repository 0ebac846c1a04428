package config

// upstream is a machine that this one pulls versions from. The first upstream also receives reports.
type upstream struct {
	reportsTo       bool             // reports are sent to it
	fixed           bool             // the leader, seen from another control machine; kept until the leader changes
	addr            string           // "" if no machine is known
	attempt         int              // machines tried since the first choice
	chosenAt        Time             // when it was chosen
	reviewAt        Time             // when the choice is reviewed
	nextAt          Time             // when the next heartbeat is sent
	answered        bool             // whether it has answered since it was chosen
	unanswered      int              // consecutive heartbeats without an answer
	unansweredSince Time             // when the first of them was sent
	seq             uint64           // sequence number of the last heartbeat
	sentHeartbeats  [4]sentHeartbeat // last heartbeats, by sequence number modulo the length
	version         Version          // newest version that it has announced
	noDeltaFrom     Version          // it has no delta from this version; 0: not known
}

// sentHeartbeat is a heartbeat that was sent and may still be answered.
type sentHeartbeat struct {
	seq uint64
	at  Time // when it was sent
}

// Timeouts of heartbeats.
const (
	heartbeatInterval = Second
	heartbeatJitter   = 100 * Millisecond  // random addition to the interval, so that machines do not synchronize
	answerTimeout     = 500 * Millisecond  // after which an unanswered heartbeat is sent again
	probeTimeout      = 700 * Millisecond  // for which a newly chosen upstream may stay silent
	maxUnanswered     = 3                  // consecutive unanswered heartbeats; see silenceTimeout
	silenceTimeout    = 1400 * Millisecond // with maxUnanswered heartbeats, after which another upstream is chosen
	slowAttempts      = 12                 // attempts, after which one is made every two seconds
	reviewInterval    = 30 * Second        // after which the choice is reviewed; a random time of up to as much is added
)

// choose selects the upstream for the given attempt; attempt 0 is the first choice.
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

// candidate returns the address for the current attempt. The secondary upstream differs from the primary
// one if the second draw finds another machine.
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

// tick sends a heartbeat if one is due, and replaces an upstream that does not answer. Without this, a
// relay that has failed or is cut off would cut off all machines below it.
func (u *upstream) tick(n *node) {
	if n.now < u.nextAt || !n.topologyKnown && !u.fixed {
		return
	}
	switch {
	case u.fixed:
	case u.addr == "": // no machine was known
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

// unresponsive reports whether the upstream is considered down. Reports can be sent several times a second,
// so a number of unanswered heartbeats is not enough: a minimum time must have passed as well.
func (u *upstream) unresponsive(now Time) bool {
	if !u.answered {
		return u.unanswered > 0
	}
	return u.unanswered >= maxUnanswered && now-u.unansweredSince >= silenceTimeout
}

// review selects a new primary upstream if the first choice has changed with the list of machines. The
// secondary upstream is always drawn again, so that children spread over machines that have joined.
func (u *upstream) review(n *node) {
	u.reviewAt = n.now + reviewInterval + n.source.Below(reviewInterval)
	if !u.reportsTo || n.topology.primaryUpstream(0, &n.source) != u.addr {
		u.choose(n, 0)
	}
}

// sendHeartbeat sends a heartbeat. With reports, the caller has already assigned the sequence number.
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

// flushReports sends the upstream the reports that it does not know yet, if that is due.
func (n *node) flushReports() {
	if n.reports.flushAt == 0 || n.now < n.reports.flushAt {
		return
	}
	if len(n.upstreams) == 0 || !n.upstreams[0].answered {
		n.reports.flushAt = n.now + answerTimeout // the upstream is still being probed
		return
	}
	if at := n.reports.batch.at + answerTimeout; len(n.reports.batch.sent) > 0 && n.now < at {
		n.reports.flushAt = at // the previous batch is not acknowledged
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
	n.reports.scheduleFlush(n.now, answerTimeout) // sent again unless acknowledged
}

// upstreamAt returns the upstream with an address, or nil.
func (n *node) upstreamAt(addr string) *upstream {
	for _, u := range n.upstreams {
		if u.addr == addr {
			return u
		}
	}
	return nil
}

// handleAcknowledge handles an upstream's answer to a heartbeat or a pull.
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
		return // too late: the heartbeat is no longer remembered
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

// handleOffer records that an upstream has, or is receiving, a newer version.
func (n *node) handleOffer(from string, m *message) {
	u := n.upstreamAt(from)
	if u == nil {
		return
	}
	u.version = max(u.version, m.version)
	n.startTransfer()
}
