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

	gossipHeadBytes = 60  // of a message of gossip, besides facts and notes
	minUrgentBytes  = 150 // of what is urgent for which a round of gossip is worth its message
	minGossipBytes  = 400 // the same of facts, or of quiet notes

	answerRate     = 400   // bytes a second of answers to full exchanges
	answerBurst    = 6_000 // bytes of them at once
	minAnswerBytes = 1_000 // of one answer in any case
	firstRate      = 4_000 // the same of answers to fronts that have just started
	firstBurst     = 64_000
	minFirstBytes  = 4_000
	unitsPerByte   = 10_000 // units of a bucket in a byte: a Time at a rate of one byte a second is one unit
)

// bucket is a token bucket (RFC 2697) in bytes. It may be overdrawn, by its burst at most: whoever asks for much in a row must
// not shut all others out for long.
type bucket struct {
	rate, burst int64 // bytes a second, bytes
	units       int64
	filledAt    Time
}

func newBucket(now Time, rate, burst int64) bucket {
	return bucket{rate: rate, burst: burst, units: burst * unitsPerByte, filledAt: now}
}

// left fills the bucket up to a moment and returns the bytes that it holds.
func (b *bucket) left(now Time) int64 {
	passed := max(now-b.filledAt, 0)
	b.filledAt = now
	b.units = min(b.units+min(passed, b.burst*unitsPerByte)*b.rate, b.burst*unitsPerByte)
	return b.units / unitsPerByte
}

func (b *bucket) take(bytes int) {
	b.units = max(b.units-int64(bytes)*unitsPerByte, -b.burst*unitsPerByte)
}

// room returns how many bytes a bucket allows in one datagram.
func (b *bucket) room(now Time) int { return int(min(max(b.left(now), 0), datagramBytes)) }

// mayGossip reports whether a round of gossip is worth a message now, and charges what asks for it with the message's head.
//
// Danger: where a zone or a region is lost, hundreds of members change at once, and each front would tell all others of each
// of them, many times what the network is given for it.
func (m *Members) mayGossip() bool {
	switch {
	case m.urgent.length > 0 && m.urgentBudget.room(m.now) >= minUrgentBytes:
		m.urgentBudget.take(gossipHeadBytes)
		return true
	case m.soon.length > 0 && m.soonBudget.room(m.now) >= minUrgentBytes:
		m.soonBudget.take(gossipHeadBytes)
		return true
	case m.quiet.length > 0 && m.quietBudget.room(m.now) >= minGossipBytes:
		m.quietBudget.take(gossipHeadBytes)
		return true
	case m.facts.length > 0 && m.factBudget.room(m.now) >= minGossipBytes:
		m.factBudget.take(gossipHeadBytes)
		return true
	default:
		return false
	}
}
