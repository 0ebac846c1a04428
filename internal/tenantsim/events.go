package tenantsim

import "container/heap"

// event is an action that happens at a given time.
type event struct {
	at     Time
	number int // order in which events were scheduled; decides between events at the same time
	do     func()
}

// events is a heap of events, the earliest first.
type events struct {
	list []event
	last int // number of the event that was scheduled last
}

// Len implements heap.Interface.
func (e *events) Len() int { return len(e.list) }

// Less implements heap.Interface.
func (e *events) Less(i, k int) bool {
	a, b := &e.list[i], &e.list[k]
	return a.at < b.at || a.at == b.at && a.number < b.number
}

// Swap implements heap.Interface.
func (e *events) Swap(i, k int) { e.list[i], e.list[k] = e.list[k], e.list[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { e.list = append(e.list, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

// schedule schedules an action after a span.
func (s *Simulation) schedule(span Time, do func()) {
	s.events.last++
	heap.Push(&s.events, event{s.Now + max(span, 0), s.events.last, do})
}
