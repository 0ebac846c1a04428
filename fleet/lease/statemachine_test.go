package lease

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

// entryList is a second state machine whose state is the list of its entries. Apply refuses an entry that it has
// applied already.
type entryList struct{ state []byte }

const entryListPrefix = 0xEE

var errDuplicate = errors.New("the entry is a duplicate")

func (l *entryList) Owns(entry []byte) bool { return entry[0] == entryListPrefix }
func (l *entryList) MaxEntry() int          { return 1 << 20 }
func (l *entryList) Snapshot() []byte       { return bytes.Clone(l.state) }
func (l *entryList) Apply(entry []byte) error {
	if bytes.Contains(l.state, entry[:min(len(entry), 16)]) {
		return errDuplicate
	}
	l.state = append(l.state, entry[:min(len(entry), 16)]...)
	return nil
}
func (l *entryList) Check(snapshot []byte) error {
	if len(snapshot) > 0 && snapshot[0] != entryListPrefix {
		return errMalformed
	}
	return nil
}
func (l *entryList) Restore(snapshot []byte) error {
	l.state = bytes.Clone(snapshot)
	return l.Check(snapshot)
}

// machine returns a new second state machine for a voter that starts, or nil if the world has none.
func (w *world) machine(v *voter) StateMachine {
	if !w.hostMachines {
		return nil
	}
	v.list = &entryList{}
	return v.list
}

// newWorldWithMachines returns a world whose voters have a second state machine, and in which a voter leads.
func newWorldWithMachines(t *testing.T) *world {
	w := newWorld(3, 1, defect{})
	w.hostMachines = true
	for _, v := range w.voters {
		w.crash(v)
		w.restart(v)
	}
	w.elect(t)
	return w
}

// elect lets time pass until a voter leads and is ready, and returns it.
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

// machineEntry returns an entry of the second state machine, with size bytes of payload.
func machineEntry(n, size int) []byte {
	return append([]byte(fmt.Sprintf("\xEE%014d.", n)), make([]byte, size)...)
}

// propose proposes an entry at the leader and returns the error that the callback received.
func (w *world) propose(t *testing.T, lead *voter, entry []byte) (result error) {
	result = errors.New("the callback was not called")
	if err := lead.v.Propose(lead.clock(), entry, func(err error) { result = err }); err != nil {
		t.Fatal(err)
	}
	w.settle()
	return result
}

// TestSecondMachine checks that entries of the second state machine reach all voters in one order beside those of
// leases and survive restarts and snapshots, and that a voter that was down gets a snapshot of both machines.
func TestSecondMachine(t *testing.T) {
	w := newWorldWithMachines(t)
	w.fronts[0].h.Acquire(w.fronts[0].clock(), "l")
	w.advance(second / 10)
	w.settle()
	lead := w.leader()
	downVoter := w.voters[0]
	if downVoter == lead {
		downVoter = w.voters[1]
	}
	w.crash(downVoter)
	for n := range 30 { // more bytes than are kept before a snapshot
		if err := w.propose(t, lead, machineEntry(n, 512<<10)); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.propose(t, lead, machineEntry(7, 0)); !errors.Is(err, errDuplicate) {
		t.Errorf("a duplicate entry: %v", err)
	}
	if lead.persisted.Snapshot == nil || len(lead.persisted.Entries) > 30 {
		t.Errorf("%d entries are kept, snapshot %v", len(lead.persisted.Entries), lead.persisted.Snapshot.GetMetadata())
	}
	w.restart(downVoter)
	for range 40 {
		w.advance(second / 20)
		w.settle()
	}
	for _, v := range w.voters {
		if !bytes.Equal(v.list.state, lead.list.state) || len(v.list.state) != 30*16 {
			t.Errorf("voter %d has %d bytes of %d", v.id, len(v.list.state), len(lead.list.state))
		}
		w.crash(v)
		w.restart(v)
	}
	w.elect(t)
	for _, v := range w.voters {
		if len(v.list.state) != 30*16 || len(v.v.grants.grants) != 1 {
			t.Errorf("voter %d after a restart: %d bytes, %d grants", v.id, len(v.list.state), len(v.v.grants.grants))
		}
	}
	if names, err := DescribeLeases(lead.persisted); err != nil || len(names) != 1 {
		t.Errorf("%v, %v", names, err)
	}
}

// TestProposalOutcome checks that a leader that is partitioned off reports an unknown outcome to its proposer, and
// never a refusal.
func TestProposalOutcome(t *testing.T) {
	w := newWorldWithMachines(t)
	lead := w.leader()
	self := fmt.Sprint("v", lead.id)
	w.cut = func(from, to string) bool { return from == self || to == self }
	result := errors.New("the callback was not called")
	if err := lead.v.Propose(lead.clock(), machineEntry(1, 0), func(err error) { result = err }); err != nil {
		t.Fatal(err)
	}
	for range 40 {
		w.advance(second / 20)
		w.settle()
	}
	if !errors.Is(result, ErrOutcomeUnknown) {
		t.Errorf("a leader that was partitioned off reports %v", result)
	}
	next := w.elect(t)
	if next == lead {
		t.Fatal("the voter that was partitioned off still leads")
	}
	if err := lead.v.Propose(lead.clock(), machineEntry(2, 0), func(error) {}); !errors.Is(err, ErrNotLeader) {
		t.Errorf("a voter that does not lead accepts a proposal: %v", err)
	}
	if err := w.propose(t, next, machineEntry(3, 0)); err != nil {
		t.Error(err)
	}
	w.cut = nil
	for range 40 {
		w.advance(second / 20)
		w.settle()
	}
	if !bytes.Equal(lead.list.state, machineEntry(3, 0)) {
		t.Errorf("the voter that was partitioned off has %q", lead.list.state)
	}
}

// TestSnapshotFormats checks that a snapshot without a state of the second machine keeps the format from before there
// was one, and that a truncated snapshot, or one of a machine that the voter does not run, is refused as a whole.
func TestSnapshotFormats(t *testing.T) {
	w := newWorldWithMachines(t)
	lead := w.leader()
	if !bytes.Equal(lead.v.snapshotData(), lead.v.grants.snapshot()) {
		t.Error("without a state the snapshot has another format")
	}
	w.propose(t, lead, machineEntry(1, 0))
	data := lead.v.snapshotData()
	if err := lead.v.restore(data); err != nil || len(lead.list.state) != 16 {
		t.Errorf("%v, %d bytes", err, len(lead.list.state))
	}
	withoutMachine := newWorld(1, 0, defect{}).voters[0].v
	if _, _, err := withoutMachine.checkSnapshot(data); !errors.Is(err, errNoMachine) {
		t.Errorf("a voter without the machine: %v", err)
	}
	for cut := range data {
		if grants, state, err := lead.v.checkSnapshot(data[:cut]); err == nil && len(state) == 0 {
			t.Errorf("%d bytes of %d are accepted: %+v", cut, len(data), grants)
		}
	}
}
