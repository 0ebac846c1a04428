package membership

// Traffic budgets. All control traffic of a fleet together may take 3,000 bytes a second for each front in
// the worst ten seconds; probes, positions, leases and the configuration take their shares of it. Notes have
// more than their share: with less, fronts that learn late what others see keep sending requests to a zone
// that has failed again (TestZoneLossDuringRecovery).
const (
	urgentRate  = 700    // bytes a second of urgent facts and notes
	urgentBurst = 10_000 // bytes of them that may be sent at once after an idle time
	factRate    = 300    // bytes a second of facts about other members
	factBurst   = 3_000  // bytes of them that may be sent at once after an idle time
	soonRate    = 2_000  // bytes a second of notes that are spread soon
	soonBurst   = 16_000 // bytes of them that may be sent at once after an idle time
	quietRate   = 2_000  // bytes a second of notes that are spread quietly
	quietBurst  = 16_000 // bytes of them that may be sent at once after an idle time

	gossipHeaderBytes = 60  // bytes of a gossip message besides its facts and notes
	minUrgentBytes    = 150 // bytes of urgent facts and notes, or of soon notes, that make a message worthwhile
	minGossipBytes    = 400 // bytes of quiet notes, or of facts about other members, that make a message worthwhile

	responseRate     = 400    // bytes a second of responses to full syncs
	responseBurst    = 6_000  // bytes of them that may be sent at once after an idle time
	minResponseBytes = 1_000  // bytes that every response may have, whatever the budget
	startupRate      = 4_000  // bytes a second of responses to fronts that have just started
	startupBurst     = 64_000 // bytes of them that may be sent at once after an idle time
	minStartupBytes  = 4_000  // bytes that each of them may have, whatever the budget
	unitsPerByte     = 10_000 // units of a tokenBucket in a byte; at one byte a second, one unit is added per Time unit
)

// tokenBucket is a token bucket (RFC 2697) that counts bytes. It may be overdrawn, but at most by its burst,
// so that one large request does not block all others for long.
type tokenBucket struct {
	rate     int64 // bytes a second
	burst    int64 // capacity in bytes
	units    int64 // current content in units, see unitsPerByte; negative if overdrawn
	filledAt Time  // when the bucket was last refilled
}

func newTokenBucket(now Time, rate, burst int64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, units: burst * unitsPerByte, filledAt: now}
}

// available refills the bucket up to now and returns the number of bytes that it holds, which is negative if
// the bucket is overdrawn.
func (b *tokenBucket) available(now Time) int64 {
	elapsed := max(now-b.filledAt, 0)
	b.filledAt = now
	b.units = min(b.units+min(elapsed, b.burst*unitsPerByte)*b.rate, b.burst*unitsPerByte)
	return b.units / unitsPerByte
}

func (b *tokenBucket) spend(bytes int) {
	b.units = max(b.units-int64(bytes)*unitsPerByte, -b.burst*unitsPerByte)
}

// room returns how many bytes the bucket allows in one datagram.
func (b *tokenBucket) room(now Time) int { return int(min(max(b.available(now), 0), datagramBytes)) }

// mayGossip reports whether a gossip message is worth sending now, and charges its header to the budget that
// asks for it. Without budgets, when a zone or a region fails, hundreds of members change state at once, and
// each front would tell all others about each of them, which exceeds many times the traffic allowed for it.
func (m *Members) mayGossip() bool {
	switch {
	case m.urgentQueue.length > 0 && m.urgentBudget.room(m.now) >= minUrgentBytes:
		m.urgentBudget.spend(gossipHeaderBytes)
		return true
	case m.soonQueue.length > 0 && m.soonBudget.room(m.now) >= minUrgentBytes:
		m.soonBudget.spend(gossipHeaderBytes)
		return true
	case m.quietQueue.length > 0 && m.quietBudget.room(m.now) >= minGossipBytes:
		m.quietBudget.spend(gossipHeaderBytes)
		return true
	case m.factQueue.length > 0 && m.factBudget.room(m.now) >= minGossipBytes:
		m.factBudget.spend(gossipHeaderBytes)
		return true
	default:
		return false
	}
}
