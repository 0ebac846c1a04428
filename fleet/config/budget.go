package config

// budget is a token bucket that paces sending. Received bytes are charged to it as well, so that a machine
// that receives much sends less.
type budget struct {
	rate       int64 // bytes a second
	burst      int64 // bytes
	tokens     int64 // bytes times Second; negative after much was received
	refilledAt Time  // when tokens were last added
}

// Limits of traffic, sent and received together, including IP and UDP headers.
const (
	frontRate      = 1_200  // bytes a second; with frontBurst about 20,000 bytes in any ten seconds
	frontBurst     = 8_000  // bytes
	controlRate    = 40_000 // bytes a second; higher, because a control machine has no other work
	controlBurst   = 80_000 // bytes
	packetOverhead = 28     // bytes of the IPv4 and UDP headers
	smallReserve   = 1_000  // bytes that sending a chunk must leave for small messages
	largeReserve   = 2_000  // the same for a payload of many chunks, so that it does not use up the burst
	maxDebt        = 8_000  // bytes that the bucket can be in debt
)

// newBudget returns a full bucket.
func newBudget(now Time, rate, burst int64) budget {
	return budget{rate: rate, burst: burst, tokens: burst * Second, refilledAt: now}
}

// refill adds the tokens of the time since the last refill.
func (b *budget) refill(now Time) {
	if now <= b.refilledAt {
		return
	}
	elapsed := min(now-b.refilledAt, 60*Second)
	b.tokens = min(b.tokens+elapsed*b.rate, b.burst*Second)
	b.refilledAt = now
}

// spend charges a message of size bytes and its packet overhead.
func (b *budget) spend(now Time, size int) {
	b.refill(now)
	b.tokens = max(b.tokens-int64(size+packetOverhead)*Second, -maxDebt*Second)
}

// allows reports whether a small message may be sent now.
func (b *budget) allows(now Time) bool {
	b.refill(now)
	return b.tokens > 0
}

// chunkReserve returns how many bytes must remain in the budget after a chunk of a payload with the given
// number of chunks is sent.
func chunkReserve(chunks int) int {
	if chunks > smallPayloadChunks {
		return largeReserve
	}
	return smallReserve
}

// allowsChunk reports whether size bytes may be sent now with reserve bytes remaining.
func (b *budget) allowsChunk(now Time, size, reserve int) bool {
	b.refill(now)
	return b.tokens >= int64(reserve+size)*Second
}

// chunkAllowedAt returns the time from which allowsChunk holds, provided that nothing else is charged.
func (b *budget) chunkAllowedAt(now Time, size, reserve int) Time {
	b.refill(now)
	missing := int64(reserve+size)*Second - b.tokens
	if missing <= 0 {
		return now
	}
	return now + missing/b.rate + 1
}

// usedPermille returns how much of the burst is used up, in thousandths.
func (b *budget) usedPermille(now Time) int64 {
	b.refill(now)
	return 1000 - max(b.tokens, 0)*1000/(b.burst*Second)
}
