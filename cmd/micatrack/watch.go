package main

import (
	"micatrack/fleet/positions"
	"micatrack/internal/front"
)

// lookout is what a front's loop does for its watch of positions, and for its core what the watch takes over.
type lookout struct {
	t *together
	w *positions.Service
}

// look opens a front's part in the watch.
func look(t *together, o *orders, addr string) *lookout {
	wait, storeWait := watchWaits(o)
	l := &lookout{t: t}
	l.w = positions.New(t.now(), positions.Config{Name: o.name, Addr: addr, AnswerTimeout: wait, Period: o.operators.Fleet.PeriodMS * 10,
		StoreTimeout: storeWait, Seed: o.settings.Seed}, l)
	t.bridge.Positions = l.w
	t.peers.OnPositions(func(q positions.Query) { l.w.HandleQuery(t.now(), q) }, func(a positions.Answer) { l.w.HandleAnswer(t.now(), a) })
	return l
}

// turn is the watch's part of a turn of the loop.
func (l *lookout) turn(now front.Time) {
	l.t.bridge.UpdateMembers(l.t.Fleet)
	l.w.Tick(now)
}

// SendQuery to Holds are what the watch asks for.
func (l *lookout) SendQuery(addr string, q positions.Query)   { l.t.peers.SendQuery(addr, q) }
func (l *lookout) SendAnswer(addr string, a positions.Answer) { l.t.peers.SendAnswer(addr, a) }
func (l *lookout) QueryPosition(store string)                 { l.t.core.QueryPosition(store) }
func (l *lookout) ReportPosition(store string, position front.Time) {
	l.t.core.ReportPosition(store, position)
}
func (l *lookout) PositionResolved(store string, answered bool) {
	l.t.core.PositionResolved(store, answered)
}
func (l *lookout) ReleaseLease(lease string) { l.t.deputy.Holder.Release(l.t.now(), lease) }

// AcquireLease asks for a lease, but not any more once the front is to end: what it gives back then is others'.
func (l *lookout) AcquireLease(lease string) {
	if l.t.deputy.ending {
		return
	}
	if err := l.t.deputy.Holder.Acquire(l.t.now(), lease); err != nil {
		l.t.log.Warn("not watched", "error", err.Error())
	}
}
func (l *lookout) HoldsLease(lease string) bool {
	_, ok := l.t.deputy.Holder.UsableToken(lease, 0)
	return ok
}

// RequestPosition, Learned and Failed are what the core tells.
func (l *lookout) RequestPosition(store string, need front.Time, any bool) bool {
	return l.w.RequestPosition(l.t.now(), store, need, any)
}
func (l *lookout) PositionObserved(store string, position front.Time) {
	l.w.PositionObserved(l.t.now(), store, position)
}
func (l *lookout) QueryFailed(store string) { l.w.QueryFailed(l.t.now(), store) }
