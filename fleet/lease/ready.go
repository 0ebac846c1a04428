package lease

import (
	"encoding/binary"
	"fmt"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
)

// handleReady carries out what the log's core asks for: first the disk, then what may be told.
func (v *Voter) handleReady() {
	for v.aside == nil && v.node.HasReady() {
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

// persist writes through what the log's core asks for, and then has the core's own view of the disk follow.
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
		if err := v.install(b.Snapshot); err != nil {
			return err
		}
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		v.disk.SetHardState(rd.HardState)
	}
	return v.disk.Append(rd.Entries)
}

// install takes over a snapshot of the leader's.
func (v *Voter) install(s *pb.Snapshot) error {
	if err := v.restore(s.Data); err != nil {
		return err
	}
	if err := v.disk.ApplySnapshot(s); err != nil {
		return err
	}
	v.conf, v.snapshotIndex = s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex()
	v.book.Applied = v.snapshotIndex
	return nil
}

// confirmReads notes the reads that a quorum has confirmed.
func (v *Voter) confirmReads(states []raft.ReadState) {
	for _, r := range states {
		for k := range v.reads {
			if len(r.RequestCtx) == 8 && v.reads[k].id == binary.BigEndian.Uint64(r.RequestCtx) {
				v.reads[k].index = max(r.Index, 1)
			}
		}
	}
}

// setLeading notes whether this voter leads now.
func (v *Voter) setLeading(leads bool) {
	if v.leads == leads {
		return
	}
	if v.leads, v.readyAt, v.changing = leads, 0, false; !leads {
		v.timed, v.order, v.reads, v.open = map[string]*timing{}, nil, nil, 0
		v.dropProposals()
		v.silentTicks, v.electionTicks = 0, v.drawElectionTicks()
	}
}

// applyCommitted takes an entry that most voters have.
func (v *Voter) applyCommitted(e *pb.Entry) {
	v.book.Applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		v.applyConfChange(e)
	case pb.EntryNormal:
		switch {
		case len(e.Data) == 0:
		case v.owned(e.Data):
			v.applyToMachine(e)
		default:
			v.applyEntry(e)
		}
	}
	if v.leads && v.readyAt == 0 && e.GetTerm() == v.node.BasicStatus().GetTerm() {
		v.readyAt = e.GetTerm() // its own first entry: all that was granted before is known
		v.startTiming()
		v.host.Log(fmt.Sprintf("voter %d leads in term %d, %d leases", v.id, v.readyAt, len(v.book.byName)))
	}
}

// compact makes a snapshot, so that the log stays bounded.
func (v *Voter) compact() {
	full := v.book.Applied >= v.snapshotIndex+snapshotEvery || v.machineBytes >= snapshotBytes
	if v.aside != nil || !full {
		return
	}
	s, err := v.disk.CreateSnapshot(v.book.Applied, v.conf, v.snapshotData())
	if err != nil {
		return
	}
	keep := v.keepFrom()
	if err := v.host.Save(Batch{Snapshot: s, KeepFrom: keep}); err != nil {
		v.stepAside(err)
		return
	}
	v.snapshotIndex, v.machineBytes = v.book.Applied, 0
	if first, err := v.disk.FirstIndex(); err == nil && keep > first {
		v.disk.Compact(keep)
	}
}
