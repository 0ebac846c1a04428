package admission

// piles keeps any number of pairing heaps over one slab of numbered things (Fredman, Sedgewick, Sleator and
// Tarjan 1986). A thing is in one heap at most, and a heap is known by the thing on top of it, -1 if it is
// empty. Nothing is allocated but when the slab grows, and a thing can be taken out from anywhere, which is
// why this is no slice: half of what is queued leaves from the middle.
type piles struct {
	knots  []knot
	before func(a, b int32) bool // a comes out first; a strict order
}

// knot is one thing's place: its first child, its next sibling, and its parent if it is a first child, else
// the sibling before it.
type knot struct{ child, next, prev int32 }

var loose = knot{-1, -1, -1}

// grow makes room for things numbered below n.
func (p *piles) grow(n int) {
	for len(p.knots) < n {
		p.knots = append(p.knots, loose)
	}
}

// put adds thing i to the heap with that top and gives the new top.
func (p *piles) put(top, i int32) int32 {
	p.knots[i] = loose
	return p.meld(top, i)
}

// cut takes thing i out of the heap with that top and gives the new top, -1 if none is left.
func (p *piles) cut(top, i int32) int32 {
	k := p.knots[i]
	rest := p.gather(k.child)
	p.knots[i] = loose
	if i == top {
		return rest
	}
	if k.next >= 0 {
		p.knots[k.next].prev = k.prev
	}
	if q := &p.knots[k.prev]; q.child == i {
		q.child = k.next
	} else {
		q.next = k.next
	}
	return p.meld(top, rest)
}

func (p *piles) meld(a, b int32) int32 {
	if a < 0 || b < 0 {
		return max(a, b)
	}
	if p.before(b, a) {
		a, b = b, a
	}
	first := p.knots[a].child
	p.knots[b].prev, p.knots[b].next = a, first
	if first >= 0 {
		p.knots[first].prev = b
	}
	p.knots[a].child = b
	return a
}

// gather melds siblings, from the first on, into one heap: in pairs one way, then all on the way back.
func (p *piles) gather(first int32) int32 {
	pairs := int32(-1)
	for a := first; a >= 0; {
		b, rest := p.knots[a].next, int32(-1)
		p.knots[a].next, p.knots[a].prev = -1, -1
		if b >= 0 {
			rest = p.knots[b].next
			p.knots[b].next, p.knots[b].prev = -1, -1
		}
		m := p.meld(a, b)
		p.knots[m].next = pairs
		pairs, a = m, rest
	}
	top := int32(-1)
	for pairs >= 0 {
		m := pairs
		pairs = p.knots[m].next
		p.knots[m].next = -1
		top = p.meld(top, m)
	}
	return top
}
