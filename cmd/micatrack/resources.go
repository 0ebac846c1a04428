package main

import (
	"log/slog"
	"runtime/metrics"
	"time"

	"micatrack/internal/front"
	"micatrack/internal/sock"
)

const resourceInterval = front.Time(time.Minute / tick) // between two lines about the resources in use

// resourceMetrics are the runtime's metrics that are logged, in the order of resourceLog.samples.
var resourceMetrics = [...]string{"/memory/classes/total:bytes", "/memory/classes/heap/objects:bytes", "/gc/heap/allocs:bytes",
	"/gc/cycles/total:gc-cycles"}

// resourceLog logs now and then what the front uses of memory, and the poller's largest read.
type resourceLog struct {
	log     *slog.Logger
	sockets *sock.Net
	next    front.Time
	samples [len(resourceMetrics)]metrics.Sample
}

func newResourceLog(now front.Time, log *slog.Logger, sockets *sock.Net) *resourceLog {
	r := &resourceLog{log: log, sockets: sockets, next: now + resourceInterval}
	for i, name := range resourceMetrics {
		r.samples[i].Name = name
	}
	return r
}

// logIfDue logs a line if resourceInterval has passed since the last.
func (r *resourceLog) logIfDue(now front.Time) {
	if now >= r.next {
		r.next = now + resourceInterval
		r.write()
	}
}

// write logs a line.
func (r *resourceLog) write() {
	metrics.Read(r.samples[:])
	call := r.sockets.LargestRead()
	r.log.Info("resources", "memory_kb", r.kilobytes(0), "heap_kb", r.kilobytes(1), "allocated_kb", r.kilobytes(2),
		"collections", r.samples[3].Value.Uint64(), "largest_read_bytes", call.Bytes,
		"largest_read_ended", call.Ended, "lost_packets", r.sockets.LostPackets())
}

// kilobytes returns the value of a metric in bytes, rounded down.
func (r *resourceLog) kilobytes(metric int) uint64 { return r.samples[metric].Value.Uint64() >> 10 }
