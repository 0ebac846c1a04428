package voterstate

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"micatrack/fleet/lease"
)

func entry(index, term uint64) *pb.Entry {
	return &pb.Entry{Index: &index, Term: &term, Data: []byte("some entry of the log")}
}

func hardState(term, commit uint64) *pb.HardState { return &pb.HardState{Term: &term, Commit: &commit} }

func equalState(a, b lease.PersistedState) bool {
	if !proto.Equal(a.HardState, b.HardState) || !proto.Equal(a.Snapshot, b.Snapshot) || len(a.Entries) != len(b.Entries) {
		return false
	}
	for k := range a.Entries {
		if !proto.Equal(a.Entries[k], b.Entries[k]) {
			return false
		}
	}
	return true
}

// newStateFile creates a state file with some history and returns its path and content.
func newStateFile(t testing.TB) (path string, state lease.PersistedState) {
	path = filepath.Join(t.TempDir(), "state")
	if _, err := Create(path, "f", "v1", true, []string{"a", "v1"}); err != nil {
		t.Fatal(err)
	}
	d, state, err := Open(path, "f", "v1")
	if err != nil || len(state.Entries) != 0 || state.HardState != nil {
		t.Fatalf("%v %+v", err, state)
	}
	save := func(b lease.Batch) {
		if err := d.Save(b); err != nil {
			t.Fatal(err)
		}
	}
	for n := uint64(2); n < 200; n++ {
		save(lease.Batch{HardState: hardState(2, n-1), Entries: []*pb.Entry{entry(n, 2)}})
	}
	save(lease.Batch{HardState: hardState(3, 150), Entries: []*pb.Entry{entry(190, 3), entry(191, 3)}}) // replaces the entries from 190 on
	at, term := uint64(150), uint64(2)
	save(lease.Batch{Snapshot: &pb.Snapshot{Data: []byte("book"), Metadata: &pb.SnapshotMetadata{Index: &at, Term: &term,
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}}, KeepFrom: 100})
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	d, state, err = Open(path, "f", "v1")
	if err != nil {
		t.Fatal(err)
	}
	d.Close()
	return path, state
}

// TestSavedStateIsReadBack checks that Open returns the hard state, snapshot and entries that were saved.
func TestSavedStateIsReadBack(t *testing.T) {
	_, state := newStateFile(t)
	if n := len(state.Entries); n != 41 || state.Entries[0].GetIndex() != 151 || state.Entries[40].GetTerm() != 3 || state.HardState.GetCommit() != 150 {
		t.Errorf("%d entries, %+v", n, state.HardState)
	}
}

// TestTruncatedAndCorruptedFiles truncates a state file at each multiple of 512 bytes and flips single bits of it. Open must
// either refuse the file or return the state that was saved, and must never end the process.
func TestTruncatedAndCorruptedFiles(t *testing.T) {
	path, want := newStateFile(t)
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	try := func(what string, text []byte) (refused bool) {
		p := filepath.Join(t.TempDir(), "state")
		if err := os.WriteFile(p, text, 0o600); err != nil {
			t.Fatal(err)
		}
		d, state, err := Open(p, "f", "v1")
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: the error has more than one line: %v", what, err)
			}
			return true
		}
		defer d.Close()
		if !equalState(state, want) {
			t.Errorf("%s: a different state is accepted: %+v", what, state.HardState)
		}
		return false
	}
	truncatedRefused := 0
	for n := 0; n < len(complete); n += 512 {
		if try("truncated", complete[:n]) {
			truncatedRefused++
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	flippedRefused := 0
	for range 2000 {
		b := append([]byte(nil), complete...)
		b[rng.IntN(len(b))] ^= 1 << rng.IntN(8)
		if try("bit flipped", b) {
			flippedRefused++
		}
	}
	t.Logf("%d of %d truncated files and %d of 2000 with a flipped bit are refused; the others give the saved state", truncatedRefused, (len(complete)+511)/512, flippedRefused)
	if truncatedRefused == 0 || flippedRefused == 0 {
		t.Error("no truncated or no corrupted file is refused")
	}
}

// TestMismatchedFilesAreRefused checks that a state file of another fleet or voter, a missing one, and one that is open
// elsewhere are refused, and that a voter that is added later gets a new ID.
func TestMismatchedFilesAreRefused(t *testing.T) {
	path, _ := newStateFile(t)
	for _, who := range [][2]string{{"g", "v1"}, {"f", "v2"}} {
		if _, _, err := Open(path, who[0], who[1]); err == nil {
			t.Errorf("%v opens the file", who)
		}
	}
	if _, _, err := Open(path+"-lost", "f", "v1"); !errors.Is(err, ErrNoState) {
		t.Error(err)
	}
	if _, err := Create(path, "f", "v1", true, []string{"a", "v1"}); err == nil {
		t.Error("an existing state file is replaced")
	}
	d, _, err := Open(path, "f", "v1")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, "f", "v1"); err == nil {
		t.Error("two open the file at the same time")
	}
	d.Close()
	if err := d.Save(lease.Batch{HardState: hardState(9, 9)}); err == nil {
		t.Error("a write to a closed state file succeeds")
	}
	a, err1 := Create(filepath.Join(t.TempDir(), "a"), "f", "v1", false, []string{"a", "v1"})
	b, err2 := Create(filepath.Join(t.TempDir(), "b"), "f", "v1", false, []string{"a", "v1"})
	if err1 != nil || err2 != nil || a.ID == b.ID || a.ID == InitialVoterID("f", "v1") {
		t.Errorf("%v %v: a voter that lost its disk returns under its old ID: %+v %+v", err1, err2, a, b)
	}
}

// TestReadSummary checks that a state file can be summarized while its voter is not running.
func TestReadSummary(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	if _, err := Create(path, "f", "v1", true, []string{"a", "v1"}); err != nil {
		t.Fatal(err)
	}
	d, state, err := Open(path, "f", "v1")
	if err != nil {
		t.Fatal(err)
	}
	v, err := lease.NewVoter(0, d.Identity.ID, []uint64{d.Identity.ID}, state, lease.Terms{Span: 30_000, Drift: 0.01, Margin: 100}, 1, diskHost{d}, nil)
	if err != nil {
		t.Fatal(err)
	}
	for now := lease.Time(0); now < 60_000; now += 500 {
		if v.Tick(now); now == 40_000 {
			v.HandleRequest(now, lease.Request{Op: lease.Acquire, Name: "watch", From: lease.Instance{Name: "f1", Life: 1}, Seq: 1})
		}
	}
	d.Close()
	s, err := ReadSummary(path)
	if err != nil || len(s.Leases) != 1 || !strings.Contains(s.Leases[0], "watch: f1") {
		t.Errorf("%v %+v", err, s)
	}
}

// diskHost is a VoterHost that persists batches and sends nothing.
type diskHost struct{ d *File }

func (h diskHost) Save(b lease.Batch) error        { return h.d.Save(b) }
func (diskHost) Send(uint64, *pb.Message)          {}
func (diskHost) Forward(uint64, lease.Request)     {}
func (diskHost) Reply(uint64, string, lease.Reply) {}
func (diskHost) Log(string)                        {}

// BenchmarkSave measures persisting one entry with its hard state.
func BenchmarkSave(b *testing.B) {
	path := filepath.Join(b.TempDir(), "state")
	Create(path, "f", "v1", true, []string{"a", "v1"})
	d, _, err := Open(path, "f", "v1")
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	for n := uint64(2); b.Loop(); n++ {
		if err := d.Save(lease.Batch{HardState: hardState(2, n-1), Entries: []*pb.Entry{entry(n, 2)}}); err != nil {
			b.Fatal(err)
		}
	}
}
