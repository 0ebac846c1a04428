package config

// DistributorHost is what a Distributor does.
type DistributorHost interface {
	Send(addr string, message []byte) // one datagram; it may be lost. message is only valid during the call
	Propose(entry []byte) error       // to the replicated log; only asked where Lead said so
	UnixMilliseconds() int64          // the wall clock, for what history says of entries made here
	Log(text string)
}

// DistributorOptions is what a Distributor is started with.
type DistributorOptions struct {
	Fleet string // messages of another are dropped
	Name  string // of this control machine
	Seed  uint64
}

// Distributor serves the versions of a Log on one control machine. Not safe for use from several goroutines;
// the Log must be changed by the same one.
type Distributor struct {
	node
	host        DistributorHost
	log         *Log
	isLeader    bool
	announced   Version // the newest that children were told of
	announcedAt Time    // when it was
	rollout     rollout
}

// NewDistributor starts a distributor. log is the state that entries are applied to beside it.
func NewDistributor(now Time, options DistributorOptions, log *Log, host DistributorHost) *Distributor {
	d := &Distributor{host: host, log: log, announcedAt: now, announced: log.Newest()}
	d.node = newNode(now, options.Fleet, options.Name, options.Seed, host.Send)
	d.budget = newBudget(now, controlRate, controlBurst)
	d.chain = &log.chain
	d.children.limit = maxControlChildren
	return d
}

// SetPeers tells who is there. Controls names all control machines, this one too.
func (d *Distributor) SetPeers(now Time, peers Peers) {
	d.now = now
	d.setPeers(peers)
}

// SetLeader tells who leads the replicated log as far as known: whether this machine does, or at which address who
// does is reached (none: not known).
func (d *Distributor) SetLeader(now Time, leads bool, leader string) {
	d.now = now
	if leads != d.isLeader {
		d.isLeader = leads
		d.announcedAt = now // an earlier leader may have served it; a wait that is too long does no harm
		d.rollout = rollout{}
	}
	if leads || leader == "" {
		d.upstreams = nil
		return
	}
	if len(d.upstreams) == 1 && d.upstreams[0].addr == leader {
		return
	}
	d.upstreams = []*upstream{{reportsTo: true, fixed: true, addr: leader, nextAt: now}}
	d.reports.resendAll(now)
}

// LeadershipConfirmed tells that a read by quorum, asked at the moment asked, has found this machine to lead, and that
// all entries up to then are applied. Without it, this machine does not say that its newest version is the
// fleet's. Ask about once a second while this machine leads.
func (d *Distributor) LeadershipConfirmed(now, asked Time) {
	d.now = now
	d.proof.record(asked)
}

// LogChanged tells that entries were applied to the log, or a snapshot was restored.
func (d *Distributor) LogChanged(now Time) {
	d.now = now
	if d.log.Newest() == d.announced {
		return
	}
	d.announced, d.announcedAt = d.log.Newest(), now
	d.rollout = rollout{stepSince: now}
	d.scheduleOffer()
}

// Receive takes a message in. from is the address that answers go to. A malformed one is dropped and counted.
func (d *Distributor) Receive(now Time, from string, message []byte) {
	d.now = now
	d.receive(from, message)
}

// Next is when Beat must be called again.
func (d *Distributor) Next() Time { return min(d.nextTick(), max(d.rollout.checkAt, d.now+1)) }

// Tick does what is due.
func (d *Distributor) Tick(now Time) {
	d.now = now
	d.tick()
	d.reports.expire(now, frontTTL)
	if now >= d.rollout.checkAt {
		d.rollout.checkAt = now + rolloutInterval
		d.checkRollout()
	}
}
