// Package lease lets one front of a fleet act for all of them for a bounded time, and lets everybody rely on
// that through lost peers, partitions, slow links, stopped processes and restarts. It does no I/O, reads no
// clock but through its host and draws from its own seed: the same calls lead to the same actions.
//
// A few voters keep the record of grants in a replicated log (Ongaro and Ousterhout's Raft, by
// go.etcd.io/raft/v3, whose core has no I/O); what is promised has been written through by most of them.
// Grants and ends are entries; a renewal is none: the leader only has most voters confirm that it still leads
// (a read by quorum), after the question came.
//
// Why two holders never rely on one lease at once. A holder relies on it for Span from before it asked, by
// its own clock, less the drift. The leader keeps it for Span from after a quorum confirmed that question,
// more the drift and the margin. A new leader knows of all grants, since they stand in the log, and of no
// renewals: it keeps every lease for a whole span from when it has applied its own first entry. Whoever
// confirmed the last renewal had a quorum after the question came, so every later leader was elected after
// that, and its wait ends later. An entry counts only over the token that its proposer saw.
//
// Time alone is no proof for what is acted on, since a process can be stopped between its look at the clock
// and its act: tokens grow with each grant, and what is acted on refuses one that is older than the newest it
// has seen.
package lease

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"micatrack/internal/random"
)

const (
	election          = 10      // ticks without a leader after which one stands
	beatTicks         = 1       // between a leader's signs of life
	keepEntries       = 2000    // entries kept behind a snapshot for those that lag
	snapshotEvery     = 4000    // entries after which a snapshot is made
	maxOpen           = 1024    // proposals and reads that a leader has open
	maxLeaseEntry     = 4096    // bytes of one entry
	maxMessageEntries = 800     // bytes of entries in one message, so that most go as datagrams
	maxInflight       = 64      // messages with entries on their way to one voter
	maxUncommitted    = 1 << 20 // bytes of entries that a leader has proposed and not committed
	ticksSpan         = 60      // ticks in a lease's span
)

// Voter is one that keeps the record.
type Voter struct {
	host             VoterHost
	id               uint64
	terms            Terms
	node             *raft.RawNode
	disk             *raft.MemoryStorage // what is on disk, as raft reads it
	conf             *pb.ConfState
	book             *Book
	now              Time
	tickAt           Time
	silentTicks      int // ticks without a sign of a leader
	electionTicks    int // silent ticks after which this voter stands
	mwc              random.Source
	leads            bool
	readyAt          uint64 // term that this voter leads in and has applied an entry of; 0: none
	timed            map[string]*timing
	order            []string // of timed, so that nothing is decided by a map's order
	open             int
	reads            []read
	machine          StateMachine // nil: none
	proposals        []proposal   // of the machine, in their order
	machineBytes     int          // of its entries since the last snapshot
	readID           uint64
	snapshotIndex    uint64 // index of the last snapshot
	aside            error
	changing         bool   // a change of the voters is proposed
	RejectedMessages uint64 // messages that could not be another voter's
}

// ErrAside: the voter takes no part any more.
var ErrSteppedAside = errors.New("this voter has stepped aside")

// NewVoter starts a voter from what its disk holds. voters are those of the fleet's first start; later ones
// stand in what is kept.
func NewVoter(
	now Time, id uint64, voters []uint64, k PersistedState, t Terms, seed uint64, h VoterHost, m StateMachine,
) (*Voter, error) {
	v := &Voter{
		host: h, machine: m, id: id, terms: t, now: now, mwc: random.New(seed), disk: raft.NewMemoryStorage(),
		book: newBook(), timed: map[string]*timing{}, conf: &pb.ConfState{Voters: voters},
	}
	if raft.IsEmptySnap(k.Snapshot) {
		k.Snapshot = v.firstSnapshot()
	}
	if err := v.disk.ApplySnapshot(k.Snapshot); err != nil {
		return nil, err
	}
	if err := v.disk.Append(k.Entries); err != nil {
		return nil, err
	}
	if !raft.IsEmptyHardState(k.HardState) {
		v.disk.SetHardState(k.HardState)
	} else {
		v.disk.SetHardState(&pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))})
	}
	var err error
	if err = v.restore(k.Snapshot.Data); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	v.conf, v.snapshotIndex = k.Snapshot.GetMetadata().GetConfState(), k.Snapshot.GetMetadata().GetIndex()
	v.book.Applied = v.snapshotIndex
	if v.node, err = raft.NewRawNode(v.raftConfig()); err != nil {
		return nil, err
	}
	v.tickAt, v.electionTicks = now+v.tick(), v.drawElectionTicks()
	return v, nil
}

// firstSnapshot is what the log of every first voter begins from.
func (v *Voter) firstSnapshot() *pb.Snapshot {
	at := &pb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: v.conf}
	return &pb.Snapshot{Metadata: at, Data: v.book.snapshot()}
}

func (v *Voter) raftConfig() *raft.Config {
	return &raft.Config{
		ID: v.id, Storage: v.disk, Applied: v.snapshotIndex,
		ElectionTick: election, HeartbeatTick: beatTicks,
		MaxSizePerMsg: maxMessageEntries, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommitted,
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true, DisableProposalForwarding: true,
		Logger: quietLogger{},
	}
}

func (v *Voter) tick() Time { return max(v.terms.Span/ticksSpan, 1) }

// drawElectionTicks gives the ticks after which this voter stands. The library's own draw is not from a seed.
func (v *Voter) drawElectionTicks() int { return election + int(v.mwc.Below(election)) }

// IsLeader tells whether this voter leads, as far as it knows.
func (v *Voter) IsLeader() bool { return v.leads }

// Leader gives who leads, 0 if that is not known.
func (v *Voter) Leader() uint64 { return v.node.BasicStatus().Lead }

// Err tells why the voter has stepped aside, nil if it has not.
func (v *Voter) Err() error { return v.aside }

// Next is when Beat must be called again.
func (v *Voter) Next() Time { return v.tickAt }

// recoverCore has the voter step aside where the log's core finds what cannot be. Danger: a voter that lost
// its disk, or a peer that says anything, would end the process and the serving of jobs.
func (v *Voter) recoverCore() {
	if p := recover(); p != nil {
		v.stepAside(fmt.Errorf("%v", p))
	}
}

func (v *Voter) stepAside(err error) {
	v.aside = fmt.Errorf("%w: %w", ErrSteppedAside, err)
	v.leads, v.readyAt = false, 0
	v.dropProposals()
	v.host.Log(fmt.Sprintf("voter %d steps aside: %v", v.id, err))
}

// Tick lets time pass.
func (v *Voter) Tick(now Time) {
	defer v.recoverCore()
	if v.now = now; v.aside != nil {
		return
	}
	for n := 0; now >= v.tickAt && n < 2*election; n++ {
		v.tickAt += v.tick()
		v.oneTick()
	}
	if now >= v.tickAt { // it stood still: what it missed is not made up for
		v.tickAt = now + v.tick()
	}
	if v.leads && v.readyAt != 0 {
		v.expire()
	}
	v.handleReady()
}

func (v *Voter) oneTick() {
	if v.node.BasicStatus().RaftState == raft.StateLeader {
		v.node.Tick()
		return
	}
	v.node.TickQuiesced()
	if v.silentTicks++; v.silentTicks >= v.electionTicks {
		v.silentTicks, v.electionTicks = 0, v.drawElectionTicks()
		v.node.Campaign()
	}
}

// HandleMessage takes another voter's message in.
func (v *Voter) HandleMessage(now Time, m *pb.Message) {
	defer v.recoverCore()
	if v.now = now; v.aside != nil {
		return
	}
	if why := v.rejectReason(m); why != "" {
		v.RejectedMessages++
		return
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= v.node.BasicStatus().GetTerm() {
			v.silentTicks = 0
		}
	}
	// Danger: a vote given, and then a leader waited for no longer than one that has long been silent.
	if t := m.GetType(); t == pb.MsgVote {
		v.silentTicks = 0
	}
	v.node.Step(m) // an error is of a message that says nothing here
	v.handleReady()
}
