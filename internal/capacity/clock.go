package capacity

import "golang.org/x/sys/unix"

const clockLooks = 10_000 // for which the overhead of one is measured

// threadTime is the processor time of this thread in nanoseconds. What other processes take does not count,
// nor does what the collector does on other threads.
func threadTime() int64 {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &now) != nil {
		return 0
	}
	return now.Nano()
}

// clockOverhead is what one look at the clock takes.
func clockOverhead() int64 {
	began := threadTime()
	for range clockLooks {
		threadTime()
	}
	return (threadTime() - began) / clockLooks
}
