package balance

import "math"

// The choice of a store: past the fence, with room, the least busy; else the primary.

// need is the position that a read has to see.
func (b *Balancer) need(j *request) Time {
	if p := &b.classes[j.class]; p.Need == Bounded {
		return b.now - p.Bound
	} else if p.Need == Session && !b.carried && j.slot >= 0 {
		j.fence = max(j.fence, b.fences[j.slot]) // Danger: its session may have written while it was held.
		if b.writes[j.slot] > 0 {
			// Danger: the answer of a write that is out may be lost, and what it told counts as known soon after.
			return max(j.fence, b.now-second/10+b.beat)
		}
	}
	return j.fence
}

// choose gives the member for the request's next attempt, or -1 if it has to wait.
func (b *Balancer) choose(j *request) int32 {
	g, p := &b.groups[j.group], &b.classes[j.class]
	primary := b.primary(g)
	if p.Need >= Fresh {
		if primary < 0 || !b.members[primary].proven && (p.Need != Write || b.members[primary].scouted) {
			return -1 // a denied primary takes one write; the rest follow once it is taken
		} else if b.room(&b.members[primary], p) {
			return primary
		}
		b.overload()
		return -1
	}
	need, sizes := b.need(j), b.elsewhere(g)
	best, least, full := [2]int32{-1, -1}, [2]float64{}, false // known to be past the need; likely to be
	for _, i := range g.members {
		m := &b.members[i]
		if i == g.primary && m.proven || !b.usable(m) {
			continue
		}
		// Danger: one that comes back stands idle and would draw all. It gets its part of its fair share.
		if m.part < 1 && sizes > 0 && !b.odds(m.part*m.size/sizes) {
			continue
		}
		// What it lagged by when last heard it may lag by still. Where stores check reads that is enough.
		reach := m.position + b.now - m.heard
		past := m.position >= need || b.checks && m.heard > 0 && reach >= need ||
			m.told >= need && p.Repeat == Idempotent && b.now >= b.wary
		if !past && m.heard > 0 && reach+p.ExpectedTime/10 < need {
			continue
		}
		if !b.room(m, p) {
			full = full || past
			continue
		}
		// How busy, for what it can do. Danger: fronts with few attempts find all idle, and all choose alike.
		v := (float64(m.inFlight) - math.Log(float64(b.chance(1<<20)+1)/(1<<20))) / (m.size * b.warmth(m))
		if m.far {
			v *= 2 // a crossing is paid for, so the own place may be somewhat busier
		}
		if p.stills > 0.5 && p.ExpectedTime > 2*b.tightest {
			// Danger: long requests that stop the log, spread, keep all replicas behind. All fronts fill one first.
			v = float64(m.store)
		}
		k := 0
		if !past {
			k = 1
		}
		if best[k] < 0 || v < least[k] {
			best[k], least[k] = i, v
		}
	}
	if best[0] >= 0 {
		return best[0]
	}
	if best[1] >= 0 && b.mayProbe && b.now-j.came < p.ExpectedTime/10 {
		// Danger: each of many fronts has few answers, positions grow old, reads spill. So a likely one is asked.
		if m := &b.members[best[1]]; b.now-m.probed > b.probeEvery/2 && j.asks < 2 {
			j.asks++
			b.ask(m, need, true)
		}
		return -1
	}
	if !j.barred && primary >= 0 && b.members[primary].proven && b.room(&b.members[primary], p) {
		// Danger: where replicas lag, hundreds of fronts spill to the primary together, each too little to see
		// it fill, and the writes drown. So a read spills by the odds that spilled ones came back in good time.
		if j.spilled = b.odds(b.spill); j.spilled {
			return primary
		}
		j.barred = true
	}
	if full || primary >= 0 {
		b.overload()
	}
	return -1
}
