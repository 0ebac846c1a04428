// Package lease lets one front of a fleet act for all of them for a bounded time. Every front can rely on
// that despite lost peers, partitions, slow links, stopped processes and restarts. The package does no I/O, reads the
// clock only through its host and takes its random numbers from its own seed: the same calls lead to the same actions.
//
// A few voters keep the record of grants in a replicated log (Ongaro and Ousterhout's Raft, by
// go.etcd.io/raft/v3, whose core does no I/O). A grant is given out only once most voters have persisted it.
// Grants and the ends of grants are log entries. A renewal is not: the leader only has a quorum confirm that it is
// still the leader (a quorum read) after the request came.
//
// Two holders never rely on one lease at the same time, for these reasons. A holder relies on it, by its own clock,
// for Span less the drift, counted from before it sent the request. The leader keeps it, by its own clock, for Span
// plus the drift and the margin, counted from after a quorum confirmed that request. A new leader knows all grants,
// since they are in the log, but no renewals, so it keeps every lease for a whole span from the moment at which it has
// applied the first entry of its own term. The leader that confirmed the last renewal had a quorum after the request
// came, so every later leader was elected after that, and its wait ends later. An entry takes effect only if the lease
// still has the token that its proposer saw.
//
// Time alone does not protect what a holder changes, since its process can be stopped between reading the clock
// and making the change. So tokens grow with each grant (fencing tokens), and whatever is changed must refuse a token
// that is older than the newest it has seen.
package lease

import (
	"errors"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"micatrack/internal/random"
)

const (
	electionTimeoutTicks = 10      // ticks without a leader after which a voter becomes a candidate
	heartbeatTicks       = 1       // ticks between the heartbeats of a leader
	keepEntries          = 2000    // entries kept before a snapshot, for voters that lag
	snapshotEvery        = 4000    // entries after which a snapshot is made
	maxOpen              = 1024    // open proposals and reads of a leader
	maxLeaseEntry        = 4096    // bytes of one entry of the grants
	maxMessageEntries    = 800     // bytes of entries in one message, so that most messages fit into a datagram
	maxInflight          = 64      // unacknowledged messages with entries to one voter
	maxUncommitted       = 1 << 20 // bytes of entries that a leader has proposed and not committed
	ticksPerSpan         = 60      // ticks in the span of a lease
)

// Voter is one of the voters that keep the record of grants. It is not safe for concurrent use.
type Voter struct {
	host             VoterHost
	id               uint64
	terms            Terms
	node             *raft.RawNode
	storage          *raft.MemoryStorage // the persisted state, in the form that raft reads
	confState        *pb.ConfState
	grants           *GrantTable
	now              Time
	nextTickAt       Time
	silentTicks      int // ticks since this voter last heard from a leader
	electionTicks    int // silent ticks after which this voter becomes a candidate
	rng              random.Source
	leading          bool
	readyTerm        uint64                 // term in which this voter leads and has applied an entry; 0 if none
	timers           map[string]*leaseTimer // by lease; kept by the leader alone
	timerNames       []string               // keys of timers, so that no decision depends on the iteration order of a map
	openProposals    int                    // number of timers with proposalPending
	reads            []quorumRead           // open reads, oldest first
	machine          StateMachine           // second state machine; may be nil
	proposals        []proposal             // open proposals of the second state machine, oldest first
	machineBytes     int                    // bytes of the second machine's entries since the last snapshot
	readID           uint64                 // ID of the newest read
	snapshotIndex    uint64                 // log index of the last snapshot
	err              error                  // why the voter has stepped aside; nil if it has not
	changePending    bool                   // whether a change of the voters is proposed and not yet applied
	RejectedMessages uint64                 // messages dropped because they cannot come from another voter
}

// ErrSteppedAside is wrapped by the error of a voter that has stepped aside: it no longer votes, leads or grants leases.
var ErrSteppedAside = errors.New("this voter has stepped aside")

// NewVoter starts a voter from its persisted state. voters are the IDs of the voters of the fleet's first start;
// changes since then are part of the persisted state. It returns an error if that state is inconsistent.
func NewVoter(
	now Time, id uint64, voters []uint64, state PersistedState, t Terms, seed uint64, h VoterHost, m StateMachine,
) (*Voter, error) {
	v := &Voter{
		host: h, machine: m, id: id, terms: t, now: now, rng: random.New(seed), storage: raft.NewMemoryStorage(),
		grants: newGrantTable(), timers: map[string]*leaseTimer{}, confState: &pb.ConfState{Voters: voters},
	}
	if raft.IsEmptySnap(state.Snapshot) {
		state.Snapshot = v.firstSnapshot()
	}
	if err := v.storage.ApplySnapshot(state.Snapshot); err != nil {
		return nil, err
	}
	if err := v.storage.Append(state.Entries); err != nil {
		return nil, err
	}
	if !raft.IsEmptyHardState(state.HardState) {
		v.storage.SetHardState(state.HardState)
	} else {
		v.storage.SetHardState(&pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))})
	}
	var err error
	if err = v.restore(state.Snapshot.Data); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	v.confState, v.snapshotIndex = state.Snapshot.GetMetadata().GetConfState(), state.Snapshot.GetMetadata().GetIndex()
	v.grants.Applied = v.snapshotIndex
	if v.node, err = raft.NewRawNode(v.raftConfig()); err != nil {
		return nil, err
	}
	v.nextTickAt, v.electionTicks = now+v.tickInterval(), v.drawElectionTicks()
	return v, nil
}

// firstSnapshot returns the snapshot from which the log of every initial voter starts.
func (v *Voter) firstSnapshot() *pb.Snapshot {
	at := &pb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: v.confState}
	return &pb.Snapshot{Metadata: at, Data: v.grants.snapshot()}
}

func (v *Voter) raftConfig() *raft.Config {
	return &raft.Config{
		ID: v.id, Storage: v.storage, Applied: v.snapshotIndex,
		ElectionTick: electionTimeoutTicks, HeartbeatTick: heartbeatTicks,
		MaxSizePerMsg: maxMessageEntries, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxUncommitted,
		CheckQuorum: true, PreVote: true, StepDownOnRemoval: true, DisableProposalForwarding: true,
		Logger: silentLogger{},
	}
}

// tickInterval returns the duration of one raft tick.
func (v *Voter) tickInterval() Time { return max(v.terms.Span/ticksPerSpan, 1) }

// drawElectionTicks draws the number of silent ticks after which this voter becomes a candidate. The library's own
// draw cannot be seeded, so it isn't used.
func (v *Voter) drawElectionTicks() int {
	return electionTimeoutTicks + int(v.rng.Below(electionTimeoutTicks))
}

// IsLeader reports whether this voter is the leader, as far as it knows.
func (v *Voter) IsLeader() bool { return v.leading }

// Leader returns the ID of the leader, or 0 if it is not known.
func (v *Voter) Leader() uint64 { return v.node.BasicStatus().Lead }

// Err returns why the voter has stepped aside, or nil if it has not.
func (v *Voter) Err() error { return v.err }

// Next returns when Tick must be called again.
func (v *Voter) Next() Time { return v.nextTickAt }

// recoverPanic makes the voter step aside if the raft library panics on an impossible state. Without this, a voter
// that lost its disk, or a peer that sends arbitrary messages, would end the process and with it the serving of
// requests.
func (v *Voter) recoverPanic() {
	if p := recover(); p != nil {
		v.stepAside(fmt.Errorf("%v", p))
	}
}

// stepAside ends this voter's part in the fleet because of an error, and logs it.
func (v *Voter) stepAside(err error) {
	v.err = fmt.Errorf("%w: %w", ErrSteppedAside, err)
	v.leading, v.readyTerm = false, 0
	v.failProposals()
	v.host.Log(fmt.Sprintf("voter %d steps aside: %v", v.id, err))
}

// Tick advances the voter to now: it runs the raft ticks that are due, ends expired leases and processes what follows.
func (v *Voter) Tick(now Time) {
	defer v.recoverPanic()
	if v.now = now; v.err != nil {
		return
	}
	for n := 0; now >= v.nextTickAt && n < 2*electionTimeoutTicks; n++ {
		v.nextTickAt += v.tickInterval()
		v.tickOnce()
	}
	if now >= v.nextTickAt { // the process was stopped: the ticks that it missed are skipped
		v.nextTickAt = now + v.tickInterval()
	}
	if v.leading && v.readyTerm != 0 {
		v.expireLeases()
	}
	v.handleReady()
}

// tickOnce runs one raft tick. Only a leader uses the library's tick; the others count silent ticks themselves, to draw
// their election timeouts from the seed.
func (v *Voter) tickOnce() {
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

// HandleMessage handles a raft message of another voter.
func (v *Voter) HandleMessage(now Time, m *pb.Message) {
	defer v.recoverPanic()
	if v.now = now; v.err != nil {
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
	// A voter that was asked for its vote restarts its election timeout. Otherwise it would wait no longer for the new
	// leader than for one that has long been silent.
	if t := m.GetType(); t == pb.MsgVote {
		v.silentTicks = 0
	}
	v.node.Step(m) // errors concern messages that do not apply to this voter, such as those of an unknown peer
	v.handleReady()
}
