package membership

// Figures of the budget. A fleet's control has 3,000 bytes a second for each front in the worst ten seconds; probes,
// positions, leases and the configuration take their parts of it. Notes have more than their part: with less, fronts that hear
// late what others see go on sending to a zone that is lost once more (TestLossDuringTheReturn).
const (
	urgentRate  = 700    // bytes a second of what is urgent
	urgentBurst = 10_000 // bytes of it that may go at once after a quiet time
	factRate    = 300    // bytes a second of facts of other members
	factBurst   = 3_000  // bytes of them that may go at once after a quiet time
	soonRate    = 2_000  // the same of notes that are spread soon,
	soonBurst   = 16_000
	quietRate   = 2_000 // and quietly
	quietBurst  = 16_000

	gossipHeaderBytes = 60  // of a message of gossip, besides facts and notes
	minUrgentBytes    = 150 // of what is urgent for which a round of gossip is worth its message
	minGossipBytes    = 400 // the same of facts, or of quiet notes

	responseRate     = 400   // bytes a second of answers to full exchanges
	responseBurst    = 6_000 // bytes of them at once
	minResponseBytes = 1_000 // of one answer in any case
	startupRate      = 4_000 // the same of answers to fronts that have just started
	startupBurst     = 64_000
	minStartupBytes  = 4_000
	unitsPerByte     = 10_000 // units of a bucket in a byte: a Time at a rate of one byte a second is one unit
)

// tokenBucket is a token bucket (RFC 2697) in bytes. It may be overdrawn, by its burst at most: whoever asks for much in a row must
// not shut all others out for long.
type tokenBucket struct {
	rate, burst int64 // bytes a second, bytes
	units       int64
	filledAt    Time
}

func newTokenBucket(now Time, rate, burst int64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, units: burst * unitsPerByte, filledAt: now}
}

// available fills the bucket up to a moment and returns the bytes that it holds.
func (b *tokenBucket) available(now Time) int64 {
	elapsed := max(now-b.filledAt, 0)
	b.filledAt = now
	b.units = min(b.units+min(elapsed, b.burst*unitsPerByte)*b.rate, b.burst*unitsPerByte)
	return b.units / unitsPerByte
}

func (b *tokenBucket) spend(bytes int) {
	b.units = max(b.units-int64(bytes)*unitsPerByte, -b.burst*unitsPerByte)
}

// room returns how many bytes a bucket allows in one datagram.
func (b *tokenBucket) room(now Time) int { return int(min(max(b.available(now), 0), datagramBytes)) }

// mayGossip reports whether a round of gossip is worth a message now, and charges what asks for it with the message's head.
//
// Danger: where a zone or a region is lost, hundreds of members change at once, and each front would tell all others of each
// of them, many times what the network is given for it.
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
