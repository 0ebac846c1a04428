package main

import (
	"micatrack/fleet/positions"
	"micatrack/internal/front"
)

// positionWatch connects the watch of store positions with the fleet node and the core. It belongs to the event loop. It
// implements positions.Host, and the core's front.PositionWatch.
type positionWatch struct {
	node  *fleetNode
	watch *positions.Service
}

// newPositionWatch returns a front's part in the watch and registers its message handlers.
func newPositionWatch(node *fleetNode, cfg *frontConfig, addr string) *positionWatch {
	watcherTimeout, storeTimeout := watchTimeouts(cfg)
	p := &positionWatch{node: node}
	p.watch = positions.New(node.now(), positions.Config{Name: cfg.name, Addr: addr, AnswerTimeout: watcherTimeout, Period: cfg.operators.Fleet.PeriodMS * 10,
		StoreTimeout: storeTimeout, Seed: cfg.settings.Seed}, p)
	node.adapter.Positions = p.watch
	node.peers.OnPositions(func(q positions.Query) { p.watch.HandleQuery(node.now(), q) }, func(a positions.Answer) { p.watch.HandleAnswer(node.now(), a) })
	return p
}

// step is the watch's part of one iteration of the event loop.
func (p *positionWatch) step(now front.Time) {
	p.node.adapter.UpdateMembers(p.node.Fleet)
	p.watch.Tick(now)
}

// SendQuery and the methods up to HoldsLease implement positions.Host.

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

// AcquireLease requests a lease, except during a planned stop: the leases that the front releases then are for other
// fronts to take.
func (p *positionWatch) AcquireLease(lease string) {
	if p.node.leases.stopping {
		return
	}
	if err := p.node.leases.Holder.Acquire(p.node.now(), lease); err != nil {
		p.node.log.Warn("lease for the watch of positions not requested", "error", err.Error())
	}
}
func (p *positionWatch) HoldsLease(lease string) bool {
	_, ok := p.node.leases.Holder.UsableToken(lease, 0)
	return ok
}

// RequestPosition, PositionObserved and QueryFailed implement front.PositionWatch.

func (p *positionWatch) RequestPosition(store string, need front.Time, any bool) bool {
	return p.watch.RequestPosition(p.node.now(), store, need, any)
}
func (p *positionWatch) PositionObserved(store string, position front.Time) {
	p.watch.PositionObserved(p.node.now(), store, position)
}
func (p *positionWatch) QueryFailed(store string) { p.watch.QueryFailed(p.node.now(), store) }
