package balance

const (
	delayMemory     = 10 * second         // how long a delay of the front counts
	maxDelayReserve = 150 * second / 1000 // a front is not expected to be held up for longer
	reserveDivisor  = 2                   // at most this part of a request's time is kept back
)

// delayReserve is the time by which requests are answered earlier, while the front is now and then held
// up. Without it a request whose deadline comes during a delay is answered behind it, or not at all if its
// client leaves first.
type delayReserve struct {
	span  Time // the longest of the recent delays, less the slack that an answer has
	until Time // when they are forgotten
}

// RecordDelay reports that the front was held up for up to the given span.
func (b *Balancer) RecordDelay(now, span Time) {
	b.now = now
	reserve := &b.delays
	if now >= reserve.until {
		reserve.span = 0
	}
	reserve.span = max(reserve.span, min(span, maxDelayReserve)-b.answerSlack)
	reserve.until = now + delayMemory
}

// reserve returns the time that is kept back for a request with the given time left.
func (r *delayReserve) reserve(now, timeLeft Time) Time {
	if now >= r.until {
		return 0
	}
	return min(r.span, max(timeLeft, 0)/reserveDivisor)
}
