package config

import (
	"cmp"
	"slices"
)

// reports is what a machine knows of fronts: on a relay those below it, on a control machine all.
type reports struct {
	entries      []reportEntry // by id
	batch        reportBatch
	flushAt      Time // when what is new has to go up; 0: nothing is
	pendingSince Time // since when
}

type reportEntry struct {
	report
	heardAt Time
	dirty   bool // the upstream has not acknowledged it
}

// reportBatch is what was sent up and is not acknowledged.
type reportBatch struct {
	seq  uint64
	at   Time
	sent []report
}

// Spans of reports.
const (
	reportDelay         = 250 * Millisecond // for which a relay gathers what it passes on together
	reportRefresh       = 7 * Second        // after which a front says again what it has
	SilentAfter         = 20 * Second       // without a report a front counts as silent
	reportTTL           = 30 * Second       // after which a relay forgets a front that it does not hear of
	maxReportBudgetUsed = 300               // thousandths of the budget, then reports wait: versions go first;
	maxReportWait       = 3 * Second        // for so long at most
	maxBatchBytes       = 900               // bytes of reports in one message
)

func (r *reports) find(id uint64) (int, bool) {
	compare := func(e reportEntry, id uint64) int { return cmp.Compare(e.id, id) }
	return slices.BinarySearchFunc(r.entries, id, compare)
}

// add takes a report in, if it is newer than what is known. Danger: a relay that tells a new upstream all it
// knows would make fronts fresh that have long gone elsewhere, and those reports would go round for ever; so
// a report has an age.
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

func (r *reports) scheduleFlush(now, delay Time) {
	if r.flushAt == 0 {
		r.pendingSince = now
	}
	if r.flushAt == 0 || r.flushAt > now+delay {
		r.flushAt = now + delay
	}
}

// evictSilent forgets the front that was silent for longest, if one is silent.
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

// expire drops fronts that were not heard of for a span.
func (r *reports) expire(now, span Time) {
	r.entries = slices.DeleteFunc(r.entries, func(e reportEntry) bool { return now-e.heardAt > span })
}

// resendAll has everything told once more, to an upstream that knows nothing of it.
func (r *reports) resendAll(now Time) {
	for k := range r.entries {
		r.entries[k].dirty = true
	}
	r.batch = reportBatch{}
	if len(r.entries) > 0 {
		r.scheduleFlush(now, 0)
	}
}

// nextBatch gives the reports for the message with a number. What was in an earlier one goes again with later
// words.
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

// acknowledged notes that the upstream has the reports of a message.
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
