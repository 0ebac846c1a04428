package lease

import (
	"bytes"
	"encoding/binary"
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"
)

// StateMachine is a second state machine in the voters' replicated log, beside the grants of leases. Only the
// voter's goroutine calls it. Its entries must not begin with the byte 1, with which those of leases begin.
type StateMachine interface {
	Owns(entry []byte) bool        // reports whether an entry belongs to this machine
	MaxEntry() int                 // returns the largest size of an entry in bytes
	Apply(entry []byte) error      // applies a committed entry; an error means that it had no effect, and must be the same on all voters
	Snapshot() []byte              // returns the whole state, empty if there is none yet
	Check(snapshot []byte) error   // returns the error that Restore would return, without changing the state
	Restore(snapshot []byte) error // replaces the state; on an error the state is unchanged
}

// Errors that Propose returns or passes to its callback.
var (
	// ErrNotLeader is returned if this voter is not the leader, or not ready yet.
	ErrNotLeader = errors.New("this voter does not lead")
	// ErrBusy is returned if there are maxProposals open proposals already.
	ErrBusy = errors.New("too many proposals are open")
	// ErrOutcomeUnknown is passed to the callback if the voter lost its leadership before the entry was
	// committed. The entry may be committed later, or never.
	ErrOutcomeUnknown = errors.New("the lead was lost before the entry was committed")
	errNoMachine      = errors.New("the snapshot holds state of a second state machine, which this voter does not run")
)

const (
	maxProposals       = 64      // open proposals of the second state machine
	snapshotBytes      = 8 << 20 // bytes of the second machine's entries after which a snapshot is made
	keepBytes          = 4 << 20 // bytes of entries kept before a snapshot, for voters that lag
	formatWithMachine  = 2       // first byte of a snapshot that also holds the second machine's state
	maxMachineSnapshot = 2 << 20 // bytes of the second machine's state in a snapshot
)

// proposal is an entry of the second state machine that this voter proposed as leader.
type proposal struct {
	term  uint64 // raft term in which it was proposed
	entry []byte
	done  func(err error)
}

// Propose proposes an entry of the second state machine. The voter's goroutine calls done exactly once: with
// the result of Apply once the entry is committed, or with ErrOutcomeUnknown. done must not call the voter. If
// Propose returns an error, nothing was proposed and done is not called.
func (v *Voter) Propose(now Time, entry []byte, done func(err error)) error {
	defer v.recoverPanic()
	v.now = now
	switch {
	case v.err != nil:
		return v.err
	case !v.Ready():
		return ErrNotLeader
	case len(v.proposals) >= maxProposals:
		return ErrBusy
	case v.machine == nil || !v.machine.Owns(entry) || len(entry) > v.machine.MaxEntry():
		return errMalformed
	}
	if err := v.node.Propose(entry); err != nil {
		return err
	}
	pending := proposal{term: v.node.BasicStatus().GetTerm(), entry: entry, done: done}
	v.proposals = append(v.proposals, pending)
	v.handleReady()
	return nil
}

// Ready reports whether this voter is the leader and has applied every entry committed before it became so.
func (v *Voter) Ready() bool { return v.leading && v.readyTerm != 0 }

// Confirm calls done once a quorum has confirmed, after now, that this voter is the leader, and every entry
// committed before that is applied. done is not called if the leadership is lost meanwhile, nor if the voter
// is not ready or has too many reads open.
func (v *Voter) Confirm(now Time, done func()) {
	defer v.recoverPanic()
	v.now = now
	if v.err != nil || !v.Ready() || v.openProposals+len(v.reads) > maxOpen {
		return
	}
	v.startRead(quorumRead{done: done})
	v.handleReady()
}

// applyToMachine applies a committed entry to the second state machine and passes the result to its proposer.
func (v *Voter) applyToMachine(e *pb.Entry) {
	v.machineBytes += len(e.Data)
	err := v.machine.Apply(e.Data)
	// Leadership can be lost and won again within one step; proposals of earlier terms have an unknown outcome.
	for len(v.proposals) > 0 && v.proposals[0].term < e.GetTerm() {
		p := v.proposals[0]
		v.proposals = v.proposals[1:]
		p.done(ErrOutcomeUnknown)
	}
	if len(v.proposals) == 0 {
		return
	}
	// Only the leader of a term proposes entries in it, and they are committed in the order in which it proposed
	// them.
	p := v.proposals[0]
	if p.term == e.GetTerm() && bytes.Equal(p.entry, e.Data) {
		v.proposals = v.proposals[1:]
		p.done(err)
	}
}

// failProposals ends all open proposals with ErrOutcomeUnknown.
func (v *Voter) failProposals() {
	open := v.proposals
	v.proposals = nil
	for _, p := range open {
		p.done(ErrOutcomeUnknown)
	}
}

// ownedByMachine reports whether an entry belongs to the second state machine.
func (v *Voter) ownedByMachine(entry []byte) bool {
	return v.machine != nil && len(entry) > 0 && entry[0] != formatVersion && v.machine.Owns(entry)
}

// maxEntry returns the largest allowed size of an entry in bytes, which depends on the machine that owns it.
func (v *Voter) maxEntry(entry []byte) int {
	if v.ownedByMachine(entry) {
		return v.machine.MaxEntry()
	}
	return maxLeaseEntry
}

// snapshotData returns the encoded state of both machines. If the second one has no state, the result is the
// encoded grants alone, in the format from before there was a second machine.
func (v *Voter) snapshotData() []byte {
	grants := v.grants.snapshot()
	if v.machine == nil {
		return grants
	}
	state := v.machine.Snapshot()
	if len(state) == 0 {
		return grants
	}
	data := binary.AppendUvarint([]byte{formatWithMachine}, uint64(len(grants)))
	data = append(data, grants...)
	return append(data, state...)
}

// splitSnapshot splits a snapshot's data into the grants and the second machine's state, which is nil if it holds
// none.
func splitSnapshot(data []byte) (grants, state []byte, err error) {
	if len(data) == 0 || data[0] != formatWithMachine {
		return data, nil, nil
	}
	size, width := binary.Uvarint(data[1:])
	if width <= 0 || size > uint64(len(data)-1-width) {
		return nil, nil, errMalformed
	}
	rest := data[1+width:]
	grants, state = rest[:size], rest[size:]
	if len(state) == 0 || len(state) > maxMachineSnapshot {
		return nil, nil, errMalformed
	}
	return grants, state, nil
}

// checkSnapshot decodes and checks a snapshot's data without changing the voter.
func (v *Voter) checkSnapshot(data []byte) (grants *GrantTable, state []byte, err error) {
	encoded, state, err := splitSnapshot(data)
	if err != nil {
		return nil, nil, err
	}
	if grants, err = decodeGrantTable(encoded); err != nil {
		return nil, nil, err
	}
	if v.machine == nil {
		if len(state) > 0 {
			return nil, nil, errNoMachine
		}
		return grants, nil, nil
	}
	return grants, state, v.machine.Check(state)
}

// restore replaces the states of both machines with those of a snapshot. Both are checked before either is
// replaced; otherwise, on an error, the voter could keep one machine's state from before the snapshot and the
// other's from after it.
func (v *Voter) restore(data []byte) error {
	grants, state, err := v.checkSnapshot(data)
	if err != nil {
		return err
	}
	if v.machine != nil {
		if err := v.machine.Restore(state); err != nil {
			return err
		}
	}
	v.grants, v.machineBytes = grants, 0
	return nil
}

// keepFrom returns the index of the first entry to keep in the log when a snapshot is made. It is bounded by
// bytes as well as by entries, because 2000 entries of the largest size would exceed the size limit of a voter's
// file.
func (v *Voter) keepFrom() uint64 {
	keep := v.grants.Applied - min(keepEntries, v.grants.Applied-1)
	first, err := v.storage.FirstIndex()
	if err != nil || first > v.grants.Applied {
		return keep
	}
	entries, err := v.storage.Entries(first, v.grants.Applied+1, ^uint64(0))
	if err != nil {
		return keep
	}
	size := 0
	for k := len(entries) - 1; k >= 0 && entries[k].GetIndex() >= keep; k-- {
		if size += len(entries[k].Data); size > keepBytes {
			return min(entries[k].GetIndex()+1, v.grants.Applied)
		}
	}
	return keep
}
