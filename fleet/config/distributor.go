package config

// DistributorHost is the control machine that a Distributor runs on.
type DistributorHost interface {
	// Send sends one datagram to addr; the datagram may be lost. The message is valid only during the call.
	Send(addr string, message []byte)

	// Propose proposes an entry to the replicated log. It is only called while SetLeader says that this
	// machine leads.
	Propose(entry []byte) error

	// UnixMilliseconds returns the wall clock time, which the history shows for entries made here.
	UnixMilliseconds() int64

	// Log logs one line of text.
	Log(text string)
}

// DistributorOptions are the parameters of a new Distributor.
type DistributorOptions struct {
	Fleet string // name of the fleet; messages of other fleets are dropped
	Name  string // name of this control machine
	Seed  uint64 // seed of the distributor's random source
}

// Distributor serves the versions of a Log on one control machine. It is not safe for concurrent use, and
// the Log must only be changed by the same goroutine.
type Distributor struct {
	node
	host        DistributorHost
	log         *Log
	isLeader    bool    // whether this machine leads the replicated log
	announced   Version // newest version that children were told of
	announcedAt Time    // when they were told
	rollout     rollout
}

// NewDistributor starts a distributor. The caller applies entries to log and calls LogChanged.
func NewDistributor(now Time, options DistributorOptions, log *Log, host DistributorHost) *Distributor {
	d := &Distributor{host: host, log: log, announcedAt: now, announced: log.Newest()}
	d.node = newNode(now, options.Fleet, options.Name, options.Seed, host.Send)
	d.budget = newBudget(now, controlRate, controlBurst)
	d.chain = &log.chain
	d.children.limit = maxControlChildren
	return d
}

// SetPeers sets the known machines. The list of control machines must be complete; it may include this one.
func (d *Distributor) SetPeers(now Time, peers Peers) {
	d.now = now
	d.setPeers(peers)
}

// SetLeader sets whether this machine leads the replicated log and, if another machine does, its address.
// The address is empty if the leader is not known.
func (d *Distributor) SetLeader(now Time, leads bool, leader string) {
	d.now = now
	if leads != d.isLeader {
		d.isLeader = leads
		d.announcedAt = now // an earlier leader may have announced it at an unknown time; a later time is always safe
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

// LeadershipConfirmed records that a quorum read, started at the time asked, found this machine to be the
// leader with all entries up to then applied. Without it, this machine does not claim that its newest
// version is the fleet's newest. Confirm leadership about once a second while this machine leads.
func (d *Distributor) LeadershipConfirmed(now, asked Time) {
	d.now = now
	d.proof.record(asked)
}

// LogChanged must be called after entries were applied to the log or a snapshot was restored.
func (d *Distributor) LogChanged(now Time) {
	d.now = now
	if d.log.Newest() == d.announced {
		return
	}
	d.announced, d.announcedAt = d.log.Newest(), now
	d.rollout = rollout{stepSince: now}
	d.scheduleOffer()
}

// Receive handles a message from another machine. Answers go to the address from. A malformed message is
// dropped and counted.
func (d *Distributor) Receive(now Time, from string, message []byte) {
	d.now = now
	d.receive(from, message)
}

// Next returns when Tick must be called next.
func (d *Distributor) Next() Time { return min(d.nextTick(), max(d.rollout.checkAt, d.now+1)) }

// Tick performs the work that is due: heartbeats, offers, chunks and the open roll-out.
func (d *Distributor) Tick(now Time) {
	d.now = now
	d.tick()
	d.reports.expire(now, frontTTL)
	if now >= d.rollout.checkAt {
		d.rollout.checkAt = now + rolloutInterval
		d.checkRollout()
	}
}
