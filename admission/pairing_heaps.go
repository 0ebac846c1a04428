package admission

// pairingHeaps keeps any number of pairing heaps over one slab of numbered things (Fredman, Sedgewick, Sleator and
// Tarjan 1986). A thing is in one heap at most, and a heap is known by the thing on top of it, -1 if it is
// empty. Nothing is allocated but when the slab grows, and a thing can be taken out from anywhere, which is
// why this is no slice: half of what is queued leaves from the middle.
type pairingHeaps struct {
	nodes  []node
	before func(a, b int32) bool // a comes out first; a strict order
}

// node is one thing's place: its first child, its next sibling, and its parent if it is a first child, else
// the sibling before it.
type node struct{ child, next, prev int32 }

var detached = node{-1, -1, -1}

// grow makes room for things numbered below n.
func (h *pairingHeaps) grow(n int) {
	for len(h.nodes) < n {
		h.nodes = append(h.nodes, detached)
	}
}

// insert adds thing i to the heap with that top and gives the new top.
func (h *pairingHeaps) insert(top, i int32) int32 {
	h.nodes[i] = detached
	return h.meld(top, i)
}

// remove takes thing i out of the heap with that top and gives the new top, -1 if none is left.
func (h *pairingHeaps) remove(top, i int32) int32 {
	k := h.nodes[i]
	rest := h.mergeSiblings(k.child)
	h.nodes[i] = detached
	if i == top {
		return rest
	}
	if k.next >= 0 {
		h.nodes[k.next].prev = k.prev
	}
	if q := &h.nodes[k.prev]; q.child == i {
		q.child = k.next
	} else {
		q.next = k.next
	}
	return h.meld(top, rest)
}

func (h *pairingHeaps) meld(a, b int32) int32 {
	if a < 0 || b < 0 {
		return max(a, b)
	}
	if h.before(b, a) {
		a, b = b, a
	}
	first := h.nodes[a].child
	h.nodes[b].prev, h.nodes[b].next = a, first
	if first >= 0 {
		h.nodes[first].prev = b
	}
	h.nodes[a].child = b
	return a
}

// mergeSiblings melds siblings, from the first on, into one heap: in pairs one way, then all on the way back.
func (h *pairingHeaps) mergeSiblings(first int32) int32 {
	pairs := int32(-1)
	for a := first; a >= 0; {
		b, rest := h.nodes[a].next, int32(-1)
		h.nodes[a].next, h.nodes[a].prev = -1, -1
		if b >= 0 {
			rest = h.nodes[b].next
			h.nodes[b].next, h.nodes[b].prev = -1, -1
		}
		m := h.meld(a, b)
		h.nodes[m].next = pairs
		pairs, a = m, rest
	}
	top := int32(-1)
	for pairs >= 0 {
		m := pairs
		pairs = h.nodes[m].next
		h.nodes[m].next = -1
		top = h.meld(top, m)
	}
	return top
}
