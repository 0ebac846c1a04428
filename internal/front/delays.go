package front

const (
	// stepTolerance is how late a step may come, because of timers or other work, without counting as delayed.
	stepTolerance = 5 * millisecond
	// maxDelay is the longest time for which a front is expected to be held up.
	maxDelay = 150 * millisecond
	// catchUpTime is the time after a delay in which the input that arrived during it is read.
	catchUpTime = 20 * millisecond
	// loggedDelay is the length from which a delay is logged.
	loggedDelay = 50 * millisecond
)

// delay is the last time that the front did not run although a step was due: it was stopped, or its machine had no
// processor for it. Input that arrived meanwhile is read late.
type delay struct {
	lastStep   Time // time of the previous step
	begin      Time // when the delay began at the earliest
	caughtUpAt Time // when all input that arrived during the delay has been read
}

// observe is called at the beginning of each step with the time at which it was due at the latest. It returns how long
// the front may have been held up, or 0.
func (d *delay) observe(now, due Time) (span Time) {
	if now > due+stepTolerance {
		span = now - d.lastStep
		if now >= d.caughtUpAt { // otherwise the input that arrived during the one before may not have been read either
			d.begin = d.lastStep
		}
		d.begin = max(d.begin, now-maxDelay)
		d.caughtUpAt = now + catchUpTime
	}
	d.lastStep = now
	return span
}

// earliestArrival returns the earliest time at which input that is read now may have arrived.
func (d *delay) earliestArrival(now Time) Time {
	if now < d.caughtUpAt {
		return d.begin
	}
	return now
}

// noteDelay records and logs how long the front was held up before now. A step that itself took the time shows in its
// number of commands.
func (c *Core) noteDelay(now Time) {
	span := c.delay.observe(now, c.nextWake)
	if span < loggedDelay {
		return
	}
	c.counts.delays++
	c.counts.longestDelay = max(c.counts.longestDelay, span)
	c.balancer.RecordDelay(now, span)
	c.logLimited("held up", "up_to_ms", span/millisecond, "commands", c.work.commands, "busiest_client", c.work.busiestClient,
		"busiest_commands", c.work.busiestCommands)
}
