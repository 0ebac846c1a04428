package main

import (
	"micatrack/fleet/positions"
	"micatrack/internal/front"
)

// positionWatch is what a front's loop does for its watch of positions, and for its core what the watch takes over.
type positionWatch struct {
	node  *fleetNode
	watch *positions.Service
}

// newPositionWatch opens a front's part in the watch.
func newPositionWatch(node *fleetNode, cfg *frontConfig, addr string) *positionWatch {
	watcherTimeout, storeTimeout := watchTimeouts(cfg)
	p := &positionWatch{node: node}
	p.watch = positions.New(node.now(), positions.Config{Name: cfg.name, Addr: addr, AnswerTimeout: watcherTimeout, Period: cfg.operators.Fleet.PeriodMS * 10,
		StoreTimeout: storeTimeout, Seed: cfg.settings.Seed}, p)
	node.bridge.Positions = p.watch
	node.peers.OnPositions(func(q positions.Query) { p.watch.HandleQuery(node.now(), q) }, func(a positions.Answer) { p.watch.HandleAnswer(node.now(), a) })
	return p
}

// step is the watch's part of a turn of the loop.
func (p *positionWatch) step(now front.Time) {
	p.node.bridge.UpdateMembers(p.node.Fleet)
	p.watch.Tick(now)
}

// SendQuery to Holds are what the watch asks for.
func (p *positionWatch) SendQuery(addr string, q positions.Query)   { p.node.peers.SendQuery(addr, q) }
func (p *positionWatch) SendAnswer(addr string, a positions.Answer) { p.node.peers.SendAnswer(addr, a) }
func (p *positionWatch) QueryPosition(store string)                 { p.node.core.QueryPosition(store) }
func (p *positionWatch) ReportPosition(store string, position front.Time) {
	p.node.core.ReportPosition(store, position)
}
func (p *positionWatch) PositionResolved(store string, answered bool) {
	p.node.core.PositionResolved(store, answered)
}
func (p *positionWatch) ReleaseLease(lease string) { p.node.leases.Holder.Release(p.node.now(), lease) }

// AcquireLease asks for a lease, but not any more once the front is to end: what it gives back then is others'.
func (p *positionWatch) AcquireLease(lease string) {
	if p.node.leases.stopping {
		return
	}
	if err := p.node.leases.Holder.Acquire(p.node.now(), lease); err != nil {
		p.node.log.Warn("not watched", "error", err.Error())
	}
}
func (p *positionWatch) HoldsLease(lease string) bool {
	_, ok := p.node.leases.Holder.UsableToken(lease, 0)
	return ok
}

// RequestPosition, Learned and Failed are what the core tells.
func (p *positionWatch) RequestPosition(store string, need front.Time, any bool) bool {
	return p.watch.RequestPosition(p.node.now(), store, need, any)
}
func (p *positionWatch) PositionObserved(store string, position front.Time) {
	p.watch.PositionObserved(p.node.now(), store, position)
}
func (p *positionWatch) QueryFailed(store string) { p.watch.QueryFailed(p.node.now(), store) }
