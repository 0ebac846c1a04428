package config

// budget paces what is sent, as a token bucket. Received bytes are taken from it too, so that a machine which
// receives much sends less.
type budget struct {
	rate       int64 // bytes a second
	burst      int64 // bytes
	tokens     int64 // bytes times Second; below zero after much was received
	refilledAt Time
}

// Bounds of traffic, sent and received together, headers of IP and UDP included.
const (
	frontRate      = 1_200 // bytes a second; with frontBurst about 20,000 in any ten seconds
	frontBurst     = 8_000
	controlRate    = 40_000 // a control machine does nothing else
	controlBurst   = 80_000
	packetOverhead = 28    // bytes of IP version 4 and UDP
	smallReserve   = 1_000 // bytes that chunks leave to small messages
	largeReserve   = 2_000 // the same where a payload has many chunks, so that it does not use up the burst
	maxDebt        = 8_000 // bytes
)

func newBudget(now Time, rate, burst int64) budget {
	return budget{rate: rate, burst: burst, tokens: burst * Second, refilledAt: now}
}

func (b *budget) refill(now Time) {
	if now <= b.refilledAt {
		return
	}
	elapsed := min(now-b.refilledAt, 60*Second)
	b.tokens = min(b.tokens+elapsed*b.rate, b.burst*Second)
	b.refilledAt = now
}

// spend takes the bytes of one message.
func (b *budget) spend(now Time, size int) {
	b.refill(now)
	b.tokens = max(b.tokens-int64(size+packetOverhead)*Second, -maxDebt*Second)
}

// allows tells whether a small message may go.
func (b *budget) allows(now Time) bool {
	b.refill(now)
	return b.tokens > 0
}

// chunkReserve gives the bytes that a chunk of a payload of so many chunks leaves.
func chunkReserve(chunks int) int {
	if chunks > smallPayloadChunks {
		return largeReserve
	}
	return smallReserve
}

// allowsChunk tells whether so many bytes may go and leave a reserve.
func (b *budget) allowsChunk(now Time, size, reserve int) bool {
	b.refill(now)
	return b.tokens >= int64(reserve+size)*Second
}

// chunkAllowedAt is when so many bytes may go and leave a reserve.
func (b *budget) chunkAllowedAt(now Time, size, reserve int) Time {
	b.refill(now)
	missing := int64(reserve+size)*Second - b.tokens
	if missing <= 0 {
		return now
	}
	return now + missing/b.rate + 1
}

// usedPermille gives which part of the burst is used up, in thousandths.
func (b *budget) usedPermille(now Time) int64 {
	b.refill(now)
	return 1000 - max(b.tokens, 0)*1000/(b.burst*Second)
}
