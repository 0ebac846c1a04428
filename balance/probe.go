package balance

import (
	"cmp"
	"fmt"
)

// Health of the stores: when one is asked for its position, left alone, or taken to be back.

// probe asks a member for its position when nothing has shown it of late, sooner while a primary is sought.
func (b *Balancer) probe(m *member, g *group) {
	every, fresh := b.probeNow, max(m.heard, m.probed)
	seeks := g.sought > 0 && len(g.held) > 0 && m.asked == 0 && g.purse >= 1
	if seeks { // Danger: hundreds of fronts seeking a primary that is out of reach for long
		every, fresh = max(b.probeEvery/2, (b.now-g.sought)/4), m.probed
	} else if m.asked > 0 { // Danger: hundreds of fronts asking a dead store at a steady pace
		every = min(max(b.probeEvery, m.probed-m.asked), b.probeNow, b.cold)
	}
	if !b.mayProbe || !m.open || b.now-fresh < every || m.part == 0 && !seeks && b.elsewhere(g) > 0 {
		return
	}
	need := b.now - every
	if seeks {
		need, g.purse = 0, g.purse-1
	}
	b.ask(m, need, false)
	m.probed += b.chance(every / 8)
}

func (b *Balancer) ask(m *member, need Time, any bool) {
	m.probed, m.asked = b.now, cmp.Or(m.asked, b.now)
	b.front.Probe(m.store, need, any)
}

func (b *Balancer) ProbeDone(now Time, store uint32, r Result) {
	b.now = now
	i, ok := b.memberOf[store]
	if !ok {
		return
	}
	if m := &b.members[i]; r.Ending != Served && r.Ending != Overloaded {
		if m.suspect = m.suspect || r.Ending != NotSent; r.Ending == ConnectFailed {
			m.unreached = m.probed
		}
		return
	}
	b.learn(i, r.Load, 0)
	b.alive(i, r.Since)
	b.release(b.members[i].group)
}

// shun tells until when to stay away from a member that refuses or fails: longer each time.
// Danger: a store that fails at once, full, broken or draining, looks the least busy and draws every request.
func (b *Balancer) shun(m *member) Time {
	m.refusals = min(m.refusals+1, 8)
	return b.now + min(b.beat<<m.refusals, b.quickest)
}

// alive: the member has answered, on a connection that has stood since then.
func (b *Balancer) alive(i int32, since Time) {
	m := &b.members[i]
	if m.asked > 0 && !m.suspect {
		off := float64(b.now-m.asked) - m.reply
		m.reply += off / 16
		m.vary += (max(off, -off) - m.vary) / 16
	}
	switch lived := since > 0 && since < m.unreached; {
	case m.unreached == 0 || lived && m.refusals < 2: // Danger: one lost connection is no restart.
	case lived || m.position >= m.unreached:
		b.scarce = b.now // it, or its log, went on while it took no connection: it lived, and has none to spare
	default:
		m.started = b.now // it may have started anew unannounced, and is then cold
	}
	m.asked, m.unreached = 0, 0
	if m.suspect {
		m.suspect = false
		b.front.Log(fmt.Sprintf("store %d is back", m.store))
	}
}

func (b *Balancer) usable(m *member) bool {
	return m.open && b.now >= m.shut && !m.suspect
}
