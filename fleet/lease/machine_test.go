package lease

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

// entryList is a second state machine: the entries that it was given, one after the other. One entry comes in
// once.
type entryList struct{ state []byte }

const listMark = 0xEE

var errTwice = errors.New("it is there already")

func (l *entryList) Owns(entry []byte) bool { return entry[0] == listMark }
func (l *entryList) MaxEntry() int          { return 1 << 20 }
func (l *entryList) Snapshot() []byte       { return bytes.Clone(l.state) }
func (l *entryList) Apply(entry []byte) error {
	if bytes.Contains(l.state, entry[:min(len(entry), 16)]) {
		return errTwice
	}
	l.state = append(l.state, entry[:min(len(entry), 16)]...)
	return nil
}
func (l *entryList) Check(snapshot []byte) error {
	if len(snapshot) > 0 && snapshot[0] != listMark {
		return errShape
	}
	return nil
}
func (l *entryList) Restore(snapshot []byte) error {
	l.state = bytes.Clone(snapshot)
	return l.Check(snapshot)
}

// machine gives a voter's second state machine for a new life.
func (w *world) machine(v *voter) StateMachine {
	if !w.hosts {
		return nil
	}
	v.list = &entryList{}
	return v.list
}

// hosting gives a world whose voters have a second state machine, with one of them that leads.
func hosting(t *testing.T) *world {
	w := newWorld(3, 1, flaw{})
	w.hosts = true
	for _, v := range w.voters {
		w.crash(v)
		w.revive(v)
	}
	w.elect(t)
	return w
}

// elect lets time pass until a voter leads and is ready.
func (w *world) elect(t *testing.T) *voter {
	for range 200 {
		w.advance(second / 20)
		w.settle()
		if lead := w.leader(); lead != nil {
			return lead
		}
	}
	t.Fatal("no voter leads")
	return nil
}

func mark(n, size int) []byte {
	return append([]byte(fmt.Sprintf("\xEE%014d.", n)), make([]byte, size)...)
}

// propose proposes an entry at the leader and gives what its proposer was told.
func (w *world) propose(t *testing.T, lead *voter, entry []byte) (told error) {
	told = errors.New("nothing was told")
	if err := lead.v.Propose(lead.clock(), entry, func(err error) { told = err }); err != nil {
		t.Fatal(err)
	}
	w.settle()
	return told
}

// TestSecondMachine: entries come to all voters in one order beside leases, outlive restarts and snapshots,
// and a voter that was away gets a snapshot of both machines.
func TestSecondMachine(t *testing.T) {
	w := hosting(t)
	w.askers[0].h.Acquire(w.askers[0].clock(), "l")
	w.advance(second / 10)
	w.settle()
	lead := w.leader()
	away := w.voters[0]
	if away == lead {
		away = w.voters[1]
	}
	w.crash(away)
	for n := range 30 { // more bytes than are kept behind a snapshot
		if err := w.propose(t, lead, mark(n, 512<<10)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.propose(t, lead, mark(7, 0)); !errors.Is(err, errTwice) {
		t.Errorf("an entry that does not count: %v", err)
	}
	if lead.kept.Snapshot == nil || len(lead.kept.Entries) > 30 {
		t.Errorf("%d entries are kept, snapshot %v", len(lead.kept.Entries), lead.kept.Snapshot.GetMetadata())
	}
	w.revive(away)
	for range 40 {
		w.advance(second / 20)
		w.settle()
	}
	for _, v := range w.voters {
		if !bytes.Equal(v.list.state, lead.list.state) || len(v.list.state) != 30*16 {
			t.Errorf("voter %d has %d bytes of %d", v.id, len(v.list.state), len(lead.list.state))
		}
		w.crash(v)
		w.revive(v)
	}
	w.elect(t)
	for _, v := range w.voters {
		if len(v.list.state) != 30*16 || len(v.v.book.grants) != 1 {
			t.Errorf("voter %d after a restart: %d bytes, %d grants", v.id, len(v.list.state), len(v.v.book.grants))
		}
	}
	if names, err := DescribeLeases(lead.kept); err != nil || len(names) != 1 {
		t.Errorf("%v, %v", names, err)
	}
}

// TestProposalOutcome: a leader that is cut off tells its proposer that it does not know, and never that it
// was refused.
func TestProposalOutcome(t *testing.T) {
	w := hosting(t)
	lead := w.leader()
	self := fmt.Sprint("v", lead.id)
	w.cut = func(from, to string) bool { return from == self || to == self }
	told := errors.New("nothing was told")
	if err := lead.v.Propose(lead.clock(), mark(1, 0), func(err error) { told = err }); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		w.advance(second / 20)
		w.settle()
	}
	if !errors.Is(told, ErrOutcomeUnknown) {
		t.Errorf("a leader cut off tells %v", told)
	}
	next := w.elect(t)
	if next == lead {
		t.Fatal("the voter that was cut off still leads")
	}
	if err := lead.v.Propose(lead.clock(), mark(2, 0), func(error) {}); !errors.Is(err, ErrNotLeader) {
		t.Errorf("a voter that does not lead takes a proposal: %v", err)
	}
	if err := w.propose(t, next, mark(3, 0)); err != nil {
		t.Error(err)
	}
	w.cut = nil
	for range 40 {
		w.advance(second / 20)
		w.settle()
	}
	if !bytes.Equal(lead.list.state, mark(3, 0)) {
		t.Errorf("the voter that was cut off has %q", lead.list.state)
	}
}

// TestSnapshotForms: without a state of the second machine a snapshot is as it was before there was one; a
// spoilt one, or one of a machine that is not there, is refused as a whole.
func TestSnapshotForms(t *testing.T) {
	w := hosting(t)
	lead := w.leader()
	if !bytes.Equal(lead.v.snapshotData(), lead.v.book.snapshot()) {
		t.Error("without a state the snapshot has another form")
	}
	w.propose(t, lead, mark(1, 0))
	data := lead.v.snapshotData()
	if err := lead.v.restore(data); err != nil || len(lead.list.state) != 16 {
		t.Errorf("%v, %d bytes", err, len(lead.list.state))
	}
	alone := newWorld(1, 0, flaw{}).voters[0].v
	if _, _, err := alone.checkSnapshot(data); !errors.Is(err, errNoMachine) {
		t.Errorf("a voter without the machine: %v", err)
	}
	for cut := range data {
		if book, state, err := lead.v.checkSnapshot(data[:cut]); err == nil && len(state) == 0 {
			t.Errorf("%d bytes of %d are taken: %+v", cut, len(data), book)
		}
	}
}
