package lease

import (
	"bytes"
	"encoding/binary"
	"errors"

	pb "go.etcd.io/raft/v3/raftpb"
)

// StateMachine is a second state machine in the voters' replicated log, beside the book of leases. It is
// applied to by the voter's goroutine alone. Its entries are told apart from those of leases, which begin
// with 1.
type StateMachine interface {
	Owns(entry []byte) bool        // whether an entry is one of this machine's
	MaxEntry() int                 // bytes of one entry
	Apply(entry []byte) error      // takes a committed entry; an error: it did not count, the same on all voters
	Snapshot() []byte              // the whole state; empty: there is none yet
	Check(snapshot []byte) error   // whether Restore would take a snapshot; nothing changes
	Restore(snapshot []byte) error // replaces the state; on an error nothing has changed
}

// Errors of Propose.
var (
	ErrNotLeader = errors.New("this voter does not lead")
	ErrBusy      = errors.New("too many proposals are open")
	// ErrOutcomeUnknown: the lead was lost while the entry was on its way. It may be committed later, or
	// never.
	ErrOutcomeUnknown = errors.New("the lead was lost before the entry was committed")
	errNoMachine      = errors.New("a snapshot with a state that this voter does not host")
)

const (
	maxProposals       = 64      // of the second state machine that are open
	snapshotBytes      = 8 << 20 // bytes of the machine's entries after which a snapshot is made
	keepBytes          = 4 << 20 // bytes of entries kept behind a snapshot for those that lag
	formatWithMachine  = 2       // of a snapshot that holds a second state machine's too
	maxMachineSnapshot = 2 << 20 // bytes
)

// proposal is an entry of the machine that this voter proposed as leader.
type proposal struct {
	term  uint64
	entry []byte
	done  func(err error)
}

// Propose proposes an entry of the second state machine. done is called by the voter's goroutine, once: with
// what Apply gave, once the entry is committed, or with ErrOutcomeUnknown; it must not call the voter. An
// error returned: nothing was proposed.
func (v *Voter) Propose(now Time, entry []byte, done func(err error)) error {
	defer v.recoverCore()
	v.now = now
	switch {
	case v.aside != nil:
		return v.aside
	case !v.Ready():
		return ErrNotLeader
	case len(v.proposals) >= maxProposals:
		return ErrBusy
	case v.machine == nil || !v.machine.Owns(entry) || len(entry) > v.machine.MaxEntry():
		return errShape
	}
	if err := v.node.Propose(entry); err != nil {
		return err
	}
	p := proposal{term: v.node.BasicStatus().GetTerm(), entry: entry, done: done}
	v.proposals = append(v.proposals, p)
	v.handleReady()
	return nil
}

// Ready tells whether this voter leads and has applied all that was committed before it did.
func (v *Voter) Ready() bool { return v.leads && v.readyAt != 0 }

// Confirm has done called once a quorum has confirmed, after now, that this voter leads, and all that was
// committed before is applied. It is not called where the lead is lost meanwhile.
func (v *Voter) Confirm(now Time, done func()) {
	defer v.recoverCore()
	v.now = now
	if v.aside != nil || !v.Ready() || v.open+len(v.reads) > maxOpen {
		return
	}
	v.readIndex(read{done: done})
	v.handleReady()
}

// applyToMachine hands a committed entry to the second state machine, and the result to its proposer.
func (v *Voter) applyToMachine(e *pb.Entry) {
	v.machineBytes += len(e.Data)
	err := v.machine.Apply(e.Data)
	// The lead may have been lost and won again in one step.
	for len(v.proposals) > 0 && v.proposals[0].term < e.GetTerm() {
		p := v.proposals[0]
		v.proposals = v.proposals[1:]
		p.done(ErrOutcomeUnknown)
	}
	if len(v.proposals) == 0 {
		return
	}
	// Only the leader of a term proposes entries in it, and they are committed in the order of its proposals.
	p := v.proposals[0]
	if p.term == e.GetTerm() && bytes.Equal(p.entry, e.Data) {
		v.proposals = v.proposals[1:]
		p.done(err)
	}
}

// dropProposals tells proposers that what became of their entries is not known.
func (v *Voter) dropProposals() {
	open := v.proposals
	v.proposals = nil
	for _, p := range open {
		p.done(ErrOutcomeUnknown)
	}
}

// owned tells whether an entry belongs to the second state machine.
func (v *Voter) owned(entry []byte) bool {
	return v.machine != nil && len(entry) > 0 && entry[0] != format && v.machine.Owns(entry)
}

// maxEntry gives the bound of an entry's bytes.
func (v *Voter) maxEntry(entry []byte) int {
	if v.owned(entry) {
		return v.machine.MaxEntry()
	}
	return maxLeaseEntry
}

// snapshotData gives the state of both machines. Without a state of the second one it is the book's alone, as
// it was before there was a second one.
func (v *Voter) snapshotData() []byte {
	book := v.book.snapshot()
	if v.machine == nil {
		return book
	}
	state := v.machine.Snapshot()
	if len(state) == 0 {
		return book
	}
	data := binary.AppendUvarint([]byte{formatWithMachine}, uint64(len(book)))
	data = append(data, book...)
	return append(data, state...)
}

// splitSnapshot takes a snapshot's data apart: the book's, and the second machine's, if there is one.
func splitSnapshot(data []byte) (book, state []byte, err error) {
	if len(data) == 0 || data[0] != formatWithMachine {
		return data, nil, nil
	}
	size, width := binary.Uvarint(data[1:])
	if width <= 0 || size > uint64(len(data)-1-width) {
		return nil, nil, errShape
	}
	rest := data[1+width:]
	book, state = rest[:size], rest[size:]
	if len(state) == 0 || len(state) > maxMachineSnapshot {
		return nil, nil, errShape
	}
	return book, state, nil
}

// checkSnapshot reads a snapshot's data and gives its book; nothing changes.
func (v *Voter) checkSnapshot(data []byte) (book *Book, state []byte, err error) {
	text, state, err := splitSnapshot(data)
	if err != nil {
		return nil, nil, err
	}
	if book, err = readBook(text); err != nil {
		return nil, nil, err
	}
	if v.machine == nil {
		if len(state) > 0 {
			return nil, nil, errNoMachine
		}
		return book, nil, nil
	}
	return book, state, v.machine.Check(state)
}

// restore replaces both machines' states by those of a snapshot. Danger: a voter with one machine's state
// from before the snapshot and the other's from after; so both are read before either is replaced.
func (v *Voter) restore(data []byte) error {
	book, state, err := v.checkSnapshot(data)
	if err != nil {
		return err
	}
	if v.machine != nil {
		if err := v.machine.Restore(state); err != nil {
			return err
		}
	}
	v.book, v.machineBytes = book, 0
	return nil
}

// keepFrom gives the first entry that stays in the log behind a snapshot.
// Danger: two thousand entries as large as a change may be are more than a voter's file may hold.
func (v *Voter) keepFrom() uint64 {
	keep := v.book.Applied - min(keepEntries, v.book.Applied-1)
	first, err := v.disk.FirstIndex()
	if err != nil || first > v.book.Applied {
		return keep
	}
	entries, err := v.disk.Entries(first, v.book.Applied+1, ^uint64(0))
	if err != nil {
		return keep
	}
	size := 0
	for k := len(entries) - 1; k >= 0 && entries[k].GetIndex() >= keep; k-- {
		if size += len(entries[k].Data); size > keepBytes {
			return min(entries[k].GetIndex()+1, v.book.Applied)
		}
	}
	return keep
}
