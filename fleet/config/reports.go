package config

import (
	"cmp"
	"slices"
)

// reports holds the reports that a machine knows: on a relay those of the fronts below it, on a control
// machine all of them.
type reports struct {
	entries      []reportEntry // by ID
	batch        reportBatch   // reports sent upstream
	flushAt      Time          // when new reports are sent upstream; 0: there are none
	pendingSince Time          // since when new reports are waiting
}

// reportEntry is the latest report of one front.
type reportEntry struct {
	report
	heardAt Time // when the front made the report, derived from its age
	dirty   bool // not yet acknowledged by the upstream
}

// reportBatch holds the reports that were sent upstream and are not acknowledged.
type reportBatch struct {
	seq  uint64 // sequence number of the heartbeat
	at   Time   // when it was sent
	sent []report
}

// Timeouts and limits of reports.
const (
	reportDelay         = 250 * Millisecond // for which a relay collects reports before it forwards them together
	reportRefresh       = 7 * Second        // after which a front repeats its report
	SilentAfter         = 20 * Second       // without a report, after which a front counts as silent
	reportTTL           = 30 * Second       // after which a relay drops a report that was not renewed
	maxReportBudgetUsed = 300               // thousandths of the budget, above which reports wait: versions go first
	maxReportWait       = 3 * Second        // maximum time that reports wait for budget
	maxBatchBytes       = 900               // bytes of reports in one message
)

// find returns the index of the entry of a front, or the index at which it would be inserted, and whether
// it is present.
func (r *reports) find(id uint64) (int, bool) {
	compare := func(e reportEntry, id uint64) int { return cmp.Compare(e.id, id) }
	return slices.BinarySearchFunc(r.entries, id, compare)
}

// add stores a report if it is newer than the known one of the same front. Reports carry an age because a
// relay sends all reports it knows to a new upstream: without the age, reports of fronts that have long
// moved to another relay would seem fresh and would circulate forever.
func (r *reports) add(now Time, reported report) {
	heardAt := now - Time(reported.age)*Second
	if now-heardAt > reportTTL {
		return
	}
	k, has := r.find(reported.id)
	if has && !reported.newer(&r.entries[k].report) {
		return
	}
	if !has {
		if len(r.entries) >= MaxFronts && !r.evictSilent(now) {
			return
		}
		k, _ = r.find(reported.id)
		r.entries = slices.Insert(r.entries, k, reportEntry{})
	}
	r.entries[k] = reportEntry{reported, heardAt, true}
	r.scheduleFlush(now, reportDelay)
}

// scheduleFlush has new reports sent upstream after delay at the latest.
func (r *reports) scheduleFlush(now, delay Time) {
	if r.flushAt == 0 {
		r.pendingSince = now
	}
	if r.flushAt == 0 || r.flushAt > now+delay {
		r.flushAt = now + delay
	}
}

// evictSilent removes the front that has been silent for longest, and reports whether there was one.
func (r *reports) evictSilent(now Time) bool {
	oldest := 0
	for k := range r.entries {
		if r.entries[k].heardAt < r.entries[oldest].heardAt {
			oldest = k
		}
	}
	if now-r.entries[oldest].heardAt < SilentAfter {
		return false
	}
	r.entries = slices.Delete(r.entries, oldest, oldest+1)
	return true
}

// expire removes the fronts that were not heard from for the given duration.
func (r *reports) expire(now, span Time) {
	r.entries = slices.DeleteFunc(r.entries, func(e reportEntry) bool { return now-e.heardAt > span })
}

// resendAll marks all reports to be sent again, to an upstream that has none of them.
func (r *reports) resendAll(now Time) {
	for k := range r.entries {
		r.entries[k].dirty = true
	}
	r.batch = reportBatch{}
	if len(r.entries) > 0 {
		r.scheduleFlush(now, 0)
	}
}

// nextBatch returns the reports to send with the heartbeat numbered seq. Reports of an earlier,
// unacknowledged batch are included again in their current state.
func (r *reports) nextBatch(now Time, seq uint64) []report {
	r.flushAt = 0
	r.batch = reportBatch{seq: seq, at: now}
	size := 0
	for k := range r.entries {
		if !r.entries[k].dirty {
			continue
		}
		reported := r.entries[k].report
		reported.age = uint64(max(now-r.entries[k].heardAt, 0) / Second)
		size += len(reported.append(nil)) + 3
		if size > maxBatchBytes || len(r.batch.sent) == maxReports {
			break
		}
		r.batch.sent = append(r.batch.sent, reported)
	}
	return r.batch.sent
}

// acknowledged marks the reports of the heartbeat numbered seq as received by the upstream.
func (r *reports) acknowledged(now Time, seq uint64) {
	if seq != r.batch.seq || len(r.batch.sent) == 0 {
		return
	}
	for _, sent := range r.batch.sent {
		k, has := r.find(sent.id)
		if has && r.entries[k].incarnation == sent.incarnation && r.entries[k].seq == sent.seq {
			r.entries[k].dirty = false
		}
	}
	r.batch = reportBatch{}
	if slices.ContainsFunc(r.entries, func(e reportEntry) bool { return e.dirty }) {
		r.scheduleFlush(now, reportDelay)
	}
}
