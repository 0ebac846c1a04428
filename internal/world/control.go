package world

import (
	"fmt"
	"slices"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"micatrack/fleet/lease"
	"micatrack/internal/peers"
)

// Control is one control machine: a voter of the fleet's leases, with a disk that takes no time.
type Control struct {
	Node
	Traffic Traffic
	Writes  int // batches that it would have flushed to its disk
	w       *World
	id      uint64
	voter   *lease.Voter
	kept    lease.PersistedState
}

func newControl(w *World, n int) *Control {
	zone := w.Zones[n%len(w.Zones)]
	c := &Control{Node: Node{Name: fmt.Sprint("c", n), Zone: zone, Region: w.Plan.region(zone)}, w: w,
		id: uint64(n + 1)}
	c.Start()
	return c
}

// Start begins the voter's life, from what its disk holds.
func (c *Control) Start() {
	var ids []uint64
	for n := range c.w.Plan.Voters {
		ids = append(ids, uint64(n+1))
	}
	voter, err := lease.NewVoter(c.w.Now, c.id, ids, c.copyOfKept(), c.w.Terms, c.w.Seed*7919+c.id, c, nil)
	if err != nil {
		panic(err) // a plan that no voter can start from
	}
	c.voter = voter
	c.planned()
}

// Kill ends the machine at once.
func (c *Control) Kill() { c.voter = nil }

// Leads tells whether the machine runs and leads the voters.
func (c *Control) Leads() bool { return c.voter != nil && c.voter.IsLeader() }

// Grants tells how many leases are held as the voter has it.
func (c *Control) Grants() int {
	if c.voter == nil {
		return 0
	}
	return len(c.voter.Grants())
}

func (c *Control) planned() {
	voter := c.voter
	c.w.At(voter.Next()-c.w.Now, func() {
		if c.voter == voter {
			c.do(func() { voter.Tick(c.w.Now) })
			c.planned()
		}
	})
}

func (c *Control) do(work func()) {
	before := c.w.Meter.enter(Voter)
	work()
	c.w.Meter.enter(before)
}

// post sends a message of leases. One that meets a cut is lost, as its connection would be.
func (c *Control) post(to *Control, message *peers.LeaseMessage) {
	body := peers.AppendLease(nil, message)
	c.Traffic.Sent[Leases].count(len(body))
	if c.w.cut(c.Node, to.Node) {
		return
	}
	c.w.At(c.w.Delay+c.w.distance(c.Node, to.Node), func() { to.take(body) })
}

func (c *Control) take(body []byte) {
	c.Traffic.Received[Leases].count(len(body))
	message, err := peers.ReadLease(body)
	if c.voter == nil || err != nil {
		return
	}
	switch {
	case message.Request != nil:
		c.do(func() { c.voter.HandleRequest(c.w.Now, *message.Request) })
	case message.Reply != nil:
		c.Reply(0, message.Addr, *message.Reply)
	default:
		var log pb.Message
		if proto.Unmarshal(message.Log, &log) == nil {
			c.do(func() { c.voter.HandleMessage(c.w.Now, &log) })
		}
	}
}

// Save keeps a batch on the disk. With Carry, Pass, Reply and Log it is lease.VoterHost.
func (c *Control) Save(b lease.Batch) error {
	c.Writes++
	if b.HardState != nil {
		c.kept.HardState = proto.Clone(b.HardState).(*pb.HardState)
	}
	if b.Snapshot != nil {
		c.kept.Snapshot = proto.Clone(b.Snapshot).(*pb.Snapshot)
		folded := b.Snapshot.GetMetadata().GetIndex()
		c.kept.Entries = slices.DeleteFunc(c.kept.Entries, func(e *pb.Entry) bool { return e.GetIndex() <= folded })
	}
	for _, entry := range b.Entries { // one that is there already is replaced, with all behind it
		index := entry.GetIndex()
		c.kept.Entries = slices.DeleteFunc(c.kept.Entries, func(e *pb.Entry) bool { return e.GetIndex() >= index })
		c.kept.Entries = append(c.kept.Entries, proto.Clone(entry).(*pb.Entry))
	}
	return nil
}

// copyOfKept gives what the disk holds, which a voter may change.
func (c *Control) copyOfKept() lease.PersistedState {
	return lease.PersistedState{HardState: c.kept.HardState, Snapshot: c.kept.Snapshot, Entries: slices.Clone(c.kept.Entries)}
}

func (c *Control) Send(to uint64, m *pb.Message) {
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	c.post(c.w.Voters[to-1], &peers.LeaseMessage{From: c.id, To: to, Log: text})
}

func (c *Control) Forward(to uint64, a lease.Request) {
	c.post(c.w.Voters[to-1], &peers.LeaseMessage{From: c.id, To: to, Request: &a})
}

func (c *Control) Reply(via uint64, addr string, r lease.Reply) {
	message := &peers.LeaseMessage{From: c.id, To: via, Reply: &r, Addr: addr}
	if via != 0 && via != c.id {
		c.post(c.w.Voters[via-1], message)
		return
	}
	to := c.w.byPeer[addr]
	if to == nil {
		return
	}
	body := peers.AppendLease(nil, message)
	c.Traffic.Sent[Leases].count(len(body))
	if c.w.cut(c.Node, to.Node) {
		return
	}
	c.w.At(c.w.Delay+c.w.distance(c.Node, to.Node), func() { to.granted(body) })
}

func (c *Control) Log(string) {}

// granted takes a voter's answer in, once the process runs.
func (f *Front) granted(body []byte) {
	if f.frozen {
		f.slept = append(f.slept, func() { f.granted(body) })
		return
	}
	f.Traffic.Received[Leases].count(len(body))
	before := f.w.Meter.enter(LeaseHolder)
	message, err := peers.ReadLease(body)
	if f.holder != nil && err == nil && message.Reply != nil {
		f.holder.HandleReply(f.w.Now, *message.Reply)
	}
	f.w.Meter.enter(before)
	f.wake()
}

// asks is what a front does for its holder of leases.
type asks struct{ f *Front }

func (a asks) LeaseAcquired(string, uint64) {}
func (a asks) LeaseLost(string, string)     {}
func (a asks) Clocks() (Time, Time)         { return a.f.w.Now, a.f.w.Now }
func (a asks) SendRequest(n int, q lease.Request) {
	f, to := a.f, a.f.w.Voters[n]
	body := peers.AppendLease(nil, &peers.LeaseMessage{To: to.id, Request: &q})
	f.Traffic.Sent[Leases].count(len(body))
	if f.w.cut(f.Node, to.Node) {
		return
	}
	f.w.At(f.w.Delay+f.w.distance(f.Node, to.Node), func() { to.take(body) })
}

// AcquireLease, Drop and Holds are what the watch asks of leases.
func (l looks) AcquireLease(name string) {
	if l.f.holder != nil {
		l.f.holder.Acquire(l.f.w.Now, name)
	}
}

func (l looks) ReleaseLease(name string) {
	if l.f.holder != nil {
		l.f.holder.Release(l.f.w.Now, name)
	}
}

func (l looks) HoldsLease(name string) bool {
	if l.f.holder == nil {
		return true
	}
	_, held := l.f.holder.UsableToken(name, 0)
	return held
}
