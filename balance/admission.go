package balance

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sort"
)

// Admission of requests, and the queue of those that wait for a store.

// RetryDetector recognizes the retries of clients by the time that they have left.
type RetryDetector struct {
	usualTimeLeft Time // time left of most tries on arrival
	votes         int  // matches with usualTimeLeft less mismatches, from 0 to 16
}

// Observe records the time that a try has left on arrival and reports whether it is a retry: one whose time
// left differs by more than slack from that of most tries. The longest time ever seen would be no measure:
// a last try may come with more time left than a first one, and first tries would then be taken for
// retries.
func (detector *RetryDetector) Observe(timeLeft, slack Time) bool {
	if diff := timeLeft - detector.usualTimeLeft; max(diff, -diff) <= slack {
		detector.votes = min(detector.votes+1, 16)
	} else if detector.votes--; detector.votes < 0 {
		detector.usualTimeLeft, detector.votes = timeLeft, 1
	} else {
		return true
	}
	return false
}

// Submit takes in a new request: it sends it, queues it, or gives its final answer through the Front. It
// returns an error if the request's class is not in the settings.
func (b *Balancer) Submit(now Time, in Request) error {
	b.now = now
	b.requestRate += float64(b.tickInterval) / float64(second)
	classIndex, ok := b.classOf[in.Class]
	if !ok {
		return fmt.Errorf("request %s: profile %q is not in the settings", in.ID, in.Class)
	}
	if len(b.freeRequests) == 0 {
		b.requests = append(b.requests, request{})
		b.freeRequests = append(b.freeRequests, int32(len(b.requests)-1))
	}
	i := b.freeRequests[len(b.freeRequests)-1]
	b.freeRequests = b.freeRequests[:len(b.freeRequests)-1]
	b.requestOf[in.ID] = i
	req, class := &b.requests[i], &b.classes[classIndex]
	*req = request{id: in.ID, class: classIndex, group: b.groupIndex(in.Group), fenceSlot: -1, arrivedAt: now,
		deadline: min(now+in.Left-b.delays.reserve(now, in.Left), b.shutdownAt)}
	req.expectedBy = now - in.Waited + min(class.ExpectedTime+Time(class.Stretch*float64(in.Work)),
		class.Deadline)
	// The expected time of a retry runs from the first try. Its start is taken to be a Deadline before the
	// client gives up.
	if class.retries.Observe(in.Left+in.Waited, b.tickInterval) {
		req.expectedBy -= max(class.Deadline-in.Left-in.Waited, 0)
	}
	if in.Session != "" {
		hash := fnv.New32a()
		hash.Write([]byte(in.Session))
		req.fenceSlot = int32(hash.Sum32() >> (32 - fenceBits))
	}
	if class.Need == Session && in.WriteAge >= 0 { // where fences are remembered, the later one counts
		req.fence = now - in.WriteAge
	}
	req.priority = class.Credit / class.typicalTime
	b.usualCredit += (class.Credit - b.usualCredit) / 64
	if tenant := b.tenants[in.Tenant]; tenant != nil {
		tenant.tokens = min(tenant.tokens+tenant.rate*float64(now-tenant.refilledAt), tenant.rate*float64(second))
		tenant.refilledAt = now
		if tenant.tokens--; tenant.tokens < 0 {
			tenant.tokens, req.priority = tenant.tokens+1, req.priority*b.overQuotaCredit
		}
	}
	b.continueRequest(i, Result{})
	return nil
}

// dispatch sends the request to a store if one can take it now, and queues it otherwise.
func (b *Balancer) dispatch(i int32) {
	req := &b.requests[i]
	if memberIndex := b.chooseMember(req); memberIndex >= 0 {
		b.send(i, memberIndex)
		return
	}
	req.waiting = true
	group := &b.groups[req.group]
	// Each waiting request pays once for a part of the search for a primary. Without this bound, each of
	// hundreds of fronts would go on probing for the few requests that wait there, at a cost above their
	// credit.
	if !req.fundedSearch {
		req.fundedSearch = true
		group.searchProbes += b.searchProbesPerCredit * b.classes[req.class].Credit / max(b.usualCredit, 1e-6)
	}
	// The queue is ordered by powers of two of the priority. Within one power the newest request comes first:
	// it has the most time left to be answered in time.
	at := sort.Search(len(group.waiting), func(k int) bool {
		return math.Ilogb(b.requests[group.waiting[k]].priority) <= math.Ilogb(req.priority)
	})
	group.waiting = slices.Insert(group.waiting, at, i)
}

// dispatchWaiting sends those of the group's waiting requests that a store can take now, in the order of
// the queue.
func (b *Balancer) dispatchWaiting(groupIndex int32) {
	group := &b.groups[groupIndex]
	kept := 0
	for _, i := range group.waiting {
		req := &b.requests[i]
		if !req.waiting || req.group != groupIndex {
			continue // it was sent or has ended since it was queued
		} else if !b.mayRepeat(req) {
			// A request that may have run must not wait past the time until which it may be repeated.
			b.giveUp(i)
		} else if memberIndex := b.chooseMember(req); memberIndex >= 0 {
			req.waiting = false
			b.send(i, memberIndex)
		} else {
			group.waiting[kept] = i
			kept++
		}
	}
	group.waiting = group.waiting[:kept]
}
