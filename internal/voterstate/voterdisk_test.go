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

func hard(term, commit uint64) *pb.HardState { return &pb.HardState{Term: &term, Commit: &commit} }

func same(a, b lease.PersistedState) bool {
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

// written makes a state with some history, and gives what is in it.
func written(t testing.TB) (path string, k lease.PersistedState) {
	path = filepath.Join(t.TempDir(), "state")
	if _, err := Create(path, "f", "v1", true, []string{"a", "v1"}); err != nil {
		t.Fatal(err)
	}
	d, k, err := Open(path, "f", "v1")
	if err != nil || len(k.Entries) != 0 || k.HardState != nil {
		t.Fatalf("%v %+v", err, k)
	}
	save := func(b lease.Batch) {
		if err := d.Save(b); err != nil {
			t.Fatal(err)
		}
	}
	for n := uint64(2); n < 200; n++ {
		save(lease.Batch{HardState: hard(2, n-1), Entries: []*pb.Entry{entry(n, 2)}})
	}
	save(lease.Batch{HardState: hard(3, 150), Entries: []*pb.Entry{entry(190, 3), entry(191, 3)}}) // those from 190 on are replaced
	at, term := uint64(150), uint64(2)
	save(lease.Batch{Snapshot: &pb.Snapshot{Data: []byte("book"), Metadata: &pb.SnapshotMetadata{Index: &at, Term: &term,
		ConfState: &pb.ConfState{Voters: []uint64{1, 2, 3}}}}, KeepFrom: 100})
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	d, k, err = Open(path, "f", "v1")
	if err != nil {
		t.Fatal(err)
	}
	d.Close()
	return path, k
}

func TestWhatWasSavedComesBack(t *testing.T) {
	_, k := written(t)
	if n := len(k.Entries); n != 41 || k.Entries[0].GetIndex() != 151 || k.Entries[40].GetTerm() != 3 || k.HardState.GetCommit() != 150 {
		t.Errorf("%d entries, %+v", n, k.HardState)
	}
}

// TestTornAndFlipped: cut at each 512th byte, and with single bits flipped, a state is told to be wrong or is what it was;
// nothing ends the process.
func TestTornAndFlipped(t *testing.T) {
	path, want := written(t)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	try := func(what string, text []byte) (refused bool) {
		p := filepath.Join(t.TempDir(), "state")
		if err := os.WriteFile(p, text, 0o600); err != nil {
			t.Fatal(err)
		}
		d, k, err := Open(p, "f", "v1")
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("%s: more than a line: %v", what, err)
			}
			return true
		}
		defer d.Close()
		if !same(k, want) {
			t.Errorf("%s: another state is taken: %+v", what, k.HardState)
		}
		return false
	}
	torn := 0
	for n := 0; n < len(whole); n += 512 {
		if try("torn", whole[:n]) {
			torn++
		}
	}
	chance := rand.New(rand.NewPCG(1, 2))
	flipped := 0
	for range 2000 {
		b := append([]byte(nil), whole...)
		b[chance.IntN(len(b))] ^= 1 << chance.IntN(8)
		if try("flipped", b) {
			flipped++
		}
	}
	t.Logf("%d of %d torn and %d of 2000 flipped are refused; the others are what was saved", torn, (len(whole)+511)/512, flipped)
	if torn == 0 || flipped == 0 {
		t.Error("nothing is refused")
	}
}

// TestForeign: a state of another fleet, voter or format, a lost one, and one that is open elsewhere are refused in a line.
func TestForeign(t *testing.T) {
	path, _ := written(t)
	for _, who := range [][2]string{{"g", "v1"}, {"f", "v2"}} {
		if _, _, err := Open(path, who[0], who[1]); err == nil {
			t.Errorf("%v opens it", who)
		}
	}
	if _, _, err := Open(path+"-lost", "f", "v1"); !errors.Is(err, ErrNoState) {
		t.Error(err)
	}
	if _, err := Create(path, "f", "v1", true, []string{"a", "v1"}); err == nil {
		t.Error("a state is replaced")
	}
	d, _, err := Open(path, "f", "v1")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(path, "f", "v1"); err == nil {
		t.Error("two open it at once")
	}
	d.Close()
	if err := d.Save(lease.Batch{HardState: hard(9, 9)}); err == nil {
		t.Error("a write to a closed state counts")
	}
	a, err1 := Create(filepath.Join(t.TempDir(), "a"), "f", "v1", false, []string{"a", "v1"})
	b, err2 := Create(filepath.Join(t.TempDir(), "b"), "f", "v1", false, []string{"a", "v1"})
	if err1 != nil || err2 != nil || a.ID == b.ID || a.ID == InitialVoterID("f", "v1") {
		t.Errorf("%v %v: a voter that lost its disk comes back as the one it was: %+v %+v", err1, err2, a, b)
	}
}

// TestShow: what is in a state is told without its voter.
func TestShow(t *testing.T) {
	path := filepath.Join(t.TempDir(), "state")
	if _, err := Create(path, "f", "v1", true, []string{"a", "v1"}); err != nil {
		t.Fatal(err)
	}
	d, k, err := Open(path, "f", "v1")
	if err != nil {
		t.Fatal(err)
	}
	v, err := lease.NewVoter(0, d.Identity.ID, []uint64{d.Identity.ID}, k, lease.Terms{Span: 30_000, Drift: 0.01, Margin: 100}, 1, host{d}, nil)
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

// host has a voter alone with its disk.
type host struct{ d *File }

func (h host) Save(b lease.Batch) error        { return h.d.Save(b) }
func (host) Send(uint64, *pb.Message)          {}
func (host) Forward(uint64, lease.Request)     {}
func (host) Reply(uint64, string, lease.Reply) {}
func (host) Log(string)                        {}

// BenchmarkSave: one grant, written through.
func BenchmarkSave(b *testing.B) {
	path := filepath.Join(b.TempDir(), "state")
	Create(path, "f", "v1", true, []string{"a", "v1"})
	d, _, err := Open(path, "f", "v1")
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	for n := uint64(2); b.Loop(); n++ {
		if err := d.Save(lease.Batch{HardState: hard(2, n-1), Entries: []*pb.Entry{entry(n, 2)}}); err != nil {
			b.Fatal(err)
		}
	}
}
