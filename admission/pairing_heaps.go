package admission

// pairingHeaps holds any number of pairing heaps (Fredman, Sedgewick, Sleator and Tarjan, 1986) over one
// slice of numbered items. An item is in at most one heap. A heap is identified by its top item, or -1 if it
// is empty. Memory is allocated only when the slice grows. An item can be removed from any position, which
// rules out a sorted slice or a binary heap: half of the queued items leave from the middle.
type pairingHeaps struct {
	nodes  []node                // indexed by item
	before func(a, b int32) bool // reports whether item a precedes item b; a strict order
}

// node holds the links of one item, each of which is -1 if there is none.
type node struct {
	child int32 // first child
	next  int32 // next sibling
	prev  int32 // the parent of a first child, else the previous sibling
}

// detached is the node of an item that is in no heap.
var detached = node{-1, -1, -1}

// grow makes room for items below n.
func (h *pairingHeaps) grow(n int) {
	for len(h.nodes) < n {
		h.nodes = append(h.nodes, detached)
	}
}

// insert adds item i to the heap with that top and returns the new top.
func (h *pairingHeaps) insert(top, i int32) int32 {
	h.nodes[i] = detached
	return h.meld(top, i)
}

// remove removes item i from the heap with that top and returns the new top, or -1 if the heap is empty.
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

// meld merges two heaps and returns the top of the result.
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

// mergeSiblings merges a list of siblings into one heap and returns its top. It merges neighbours in pairs
// from first to last, then the pairs from last to first.
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
