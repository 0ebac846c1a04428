package balance

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sort"
)

// A request as it comes in, and while it waits for a store.

// RetryDetector tells a client's further try by the time that it has left.
type RetryDetector struct {
	usual Time // that most clients' tries have left
	votes int  // tries in a row, on balance, that had it
}

// Observe takes one try with the time it had left when it came: with less than most have it is a further one.
// Danger: the longest time ever seen is no measure.
func (t *RetryDetector) Observe(left, slack Time) bool {
	if off := left - t.usual; max(off, -off) <= slack {
		t.votes = min(t.votes+1, 16)
	} else if t.votes--; t.votes < 0 {
		t.usual, t.votes = left, 1
	} else {
		return true
	}
	return false
}

func (b *Balancer) Submit(now Time, in Request) error {
	b.now = now
	b.requestRate += float64(b.beat) / float64(second)
	p, ok := b.classOf[in.Class]
	if !ok {
		return fmt.Errorf("request %s: profile %q is not in the settings", in.ID, in.Class)
	}
	if len(b.free) == 0 {
		b.requests = append(b.requests, request{})
		b.free = append(b.free, int32(len(b.requests)-1))
	}
	i := b.free[len(b.free)-1]
	b.free = b.free[:len(b.free)-1]
	b.requestOf[in.ID] = i
	j, pr := &b.requests[i], &b.classes[p]
	*j = request{id: in.ID, class: p, group: b.groupAt(in.Group), slot: -1, came: now,
		limit: min(now+in.Left, b.closing)}
	j.wanted = now - in.Waited + min(pr.ExpectedTime+Time(pr.Stretch*float64(in.Work)), pr.Deadline)
	if pr.tries.Observe(in.Left+in.Waited, b.beat) {
		j.wanted -= max(pr.Deadline-in.Left-in.Waited, 0)
	}
	if in.Session != "" {
		h := fnv.New32a()
		h.Write([]byte(in.Session))
		j.slot = int32(h.Sum32() >> (32 - fenceBits))
	}
	if pr.Need == Session && (b.carried || j.slot < 0) && in.WriteAge >= 0 {
		j.fence = now - in.WriteAge
	}
	j.rank = pr.Credit / pr.typical
	b.usual += (pr.Credit - b.usual) / 64
	if q := b.tenants[in.Tenant]; q != nil {
		q.bucket = min(q.bucket+q.perTime*float64(now-q.filled), q.perTime*float64(second))
		q.filled = now
		if q.bucket--; q.bucket < 0 {
			q.bucket, j.rank = q.bucket+1, j.rank*b.overShare
		}
	}
	b.proceed(i, Result{})
	return nil
}

func (b *Balancer) place(i int32) {
	j := &b.requests[i]
	if m := b.choose(j); m >= 0 {
		b.send(i, m)
		return
	}
	j.held = true
	g := &b.groups[j.group]
	if !j.funds { // Danger: each of hundreds of fronts looks on for what little waits there, at a higher cost.
		j.funds = true
		g.purse += b.perCredit * b.classes[j.class].Credit / max(b.usual, 1e-6)
	}
	// Ranks go by powers of two, and within one the newest first: it has the most time left to be in time.
	at := sort.Search(len(g.held), func(k int) bool {
		return math.Ilogb(b.requests[g.held[k]].rank) <= math.Ilogb(j.rank)
	})
	g.held = slices.Insert(g.held, at, i)
}

func (b *Balancer) release(gi int32) {
	g := &b.groups[gi]
	keep := 0
	for _, i := range g.held {
		j := &b.requests[i]
		if !j.held || j.group != gi {
			continue // it went or ended meanwhile
		} else if !b.mayRepeat(j) { // Danger: what may have run must not wait here past the time of its repeats.
			b.giveUp(i)
		} else if m := b.choose(j); m >= 0 {
			j.held = false
			b.send(i, m)
		} else {
			g.held[keep] = i
			keep++
		}
	}
	g.held = g.held[:keep]
}
