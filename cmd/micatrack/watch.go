package main

import (
	"micatrack/fleet/watch"
	"micatrack/internal/front"
)

// lookout is what a front's loop does for its watch of positions, and for its core what the watch takes over.
type lookout struct {
	t *together
	w *watch.Watch
}

// look opens a front's part in the watch.
func look(t *together, o *orders, addr string) *lookout {
	wait, storeWait := watchWaits(o)
	l := &lookout{t: t}
	l.w = watch.New(t.now(), watch.Self{Name: o.name, Addr: addr, Wait: wait, Period: o.operators.Fleet.PeriodMS * 10,
		Patience: storeWait, Seed: o.settings.Seed}, l)
	t.bridge.Watch = l.w
	t.peers.OnWatch(func(q watch.Query) { l.w.Hear(t.now(), q) }, func(a watch.Answer) { l.w.Told(t.now(), a) })
	return l
}

// turn is the watch's part of a turn of the loop.
func (l *lookout) turn(now front.Time) {
	l.t.bridge.Peers(l.t.Fleet)
	l.w.Beat(now)
}

// Query to Holds are what the watch asks for.
func (l *lookout) Query(addr string, q watch.Query)        { l.t.peers.Query(addr, q) }
func (l *lookout) Answer(addr string, a watch.Answer)      { l.t.peers.Answer(addr, a) }
func (l *lookout) Survey(store string)                     { l.t.core.QueryPosition(store) }
func (l *lookout) Vouch(store string, position front.Time) { l.t.core.ReportPosition(store, position) }
func (l *lookout) Proxied(store string, answered bool)     { l.t.core.PositionResolved(store, answered) }
func (l *lookout) Drop(lease string)                       { l.t.deputy.Holder.Drop(l.t.now(), lease) }

// Want asks for a lease, but not any more once the front is to end: what it gives back then is others'.
func (l *lookout) Want(lease string) {
	if l.t.deputy.ending {
		return
	}
	if err := l.t.deputy.Holder.Want(l.t.now(), lease); err != nil {
		l.t.log.Warn("not watched", "error", err.Error())
	}
}
func (l *lookout) Holds(lease string) bool {
	_, ok := l.t.deputy.Holder.May(lease, 0)
	return ok
}

// RequestPosition, Learned and Failed are what the core tells.
func (l *lookout) RequestPosition(store string, need front.Time, any bool) bool {
	return l.w.Ask(l.t.now(), store, need, any)
}
func (l *lookout) PositionObserved(store string, position front.Time) {
	l.w.Learned(l.t.now(), store, position)
}
func (l *lookout) QueryFailed(store string) { l.w.Failed(l.t.now(), store) }
