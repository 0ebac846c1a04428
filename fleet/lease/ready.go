package lease

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// handleReady processes raft's pending work: it persists first, and only then sends messages and applies entries.
func (v *Voter) handleReady() {
	for v.err == nil && v.node.HasReady() {
		rd := v.node.Ready()
		if err := v.persist(&rd); err != nil {
			v.stepAside(err)
			return
		}
		if rd.SoftState != nil {
			v.setLeading(rd.SoftState.RaftState == raft.StateLeader)
		}
		for _, m := range rd.Messages {
			v.host.Send(m.GetTo(), m)
		}
		v.confirmReads(rd.ReadStates)
		for _, e := range rd.CommittedEntries {
			v.applyCommitted(e)
		}
		v.node.Advance(rd)
		v.answerReads()
	}
	v.compact()
}

// persist saves the hard state, entries and snapshot of rd to disk, and then updates raft's in-memory storage to match.
func (v *Voter) persist(rd *raft.Ready) error {
	b := Batch{HardState: rd.HardState, Entries: rd.Entries}
	if !raft.IsEmptySnap(rd.Snapshot) {
		b.Snapshot = rd.Snapshot
	}
	if !raft.IsEmptyHardState(b.HardState) || len(b.Entries) > 0 || b.Snapshot != nil {
		if err := v.host.Save(b); err != nil {
			return err
		}
	}
	if b.Snapshot != nil {
		if err := v.installSnapshot(b.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		v.storage.SetHardState(rd.HardState)
	}
	return v.storage.Append(rd.Entries)
}

// installSnapshot replaces this voter's state with a snapshot received from the leader.
func (v *Voter) installSnapshot(s *pb.Snapshot) error {
	if err := v.restore(s.Data); err != nil {
		return err
	}
	if err := v.storage.ApplySnapshot(s); err != nil {
		return err
	}
	v.confState, v.snapshotIndex = s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex()
	v.grants.Applied = v.snapshotIndex
	return nil
}

// confirmReads records which reads a quorum has confirmed, and at which log index.
func (v *Voter) confirmReads(states []raft.ReadState) {
	for _, r := range states {
		for k := range v.reads {
			if len(r.RequestCtx) == 8 && v.reads[k].id == binary.BigEndian.Uint64(r.RequestCtx) {
				v.reads[k].confirmedIndex = max(r.Index, 1)
			}
		}
	}
}

// setLeading records whether this voter is the leader now. A voter that loses the leadership drops all that only a
// leader keeps.
func (v *Voter) setLeading(leads bool) {
	if v.leading == leads {
		return
	}
	if v.leading, v.readyTerm, v.changePending = leads, 0, false; !leads {
		v.timers, v.timerNames, v.reads, v.openProposals = map[string]*leaseTimer{}, nil, nil, 0
		v.failProposals()
		v.silentTicks, v.electionTicks = 0, v.drawElectionTicks()
	}
}

// applyCommitted applies a committed entry.
func (v *Voter) applyCommitted(e *pb.Entry) {
	v.grants.Applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		v.applyConfChange(e)
	case pb.EntryNormal:
		switch {
		case len(e.Data) == 0:
		case v.ownedByMachine(e.Data):
			v.applyToMachine(e)
		default:
			v.applyEntry(e)
		}
	}
	if v.leading && v.readyTerm == 0 && e.GetTerm() == v.node.BasicStatus().GetTerm() {
		v.readyTerm = e.GetTerm() // first entry of its own term: every earlier grant is known now
		v.startTimers()
		v.host.Log(fmt.Sprintf("voter %d leads in term %d, %d leases", v.id, v.readyTerm, len(v.grants.byName)))
	}
}

// compact makes a snapshot and shortens the log, once enough entries or bytes have been applied since the last one.
func (v *Voter) compact() {
	full := v.grants.Applied >= v.snapshotIndex+snapshotEvery || v.machineBytes >= snapshotBytes
	if v.err != nil || !full {
		return
	}
	snapshot, err := v.storage.CreateSnapshot(v.grants.Applied, v.confState, v.snapshotData())
	if err != nil {
		return
	}
	keep := v.keepFrom()
	if err := v.host.Save(Batch{Snapshot: snapshot, KeepFrom: keep}); err != nil {
		v.stepAside(err)
		return
	}
	v.snapshotIndex, v.machineBytes = v.grants.Applied, 0
	if first, err := v.storage.FirstIndex(); err == nil && keep > first {
		v.storage.Compact(keep)
	}
}
