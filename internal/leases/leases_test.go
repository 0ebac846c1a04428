package leases

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "go.etcd.io/raft/v3/raftpb"

	"micatrack/fleet/lease"
	"micatrack/internal/peers"
	"micatrack/internal/record"
)

const span = 900 * time.Millisecond

// member is one front's part, with a loop of its own that notes how late it runs.
type member struct {
	*Leases
	peers  *peers.Peers
	mu     sync.Mutex
	held   map[string]uint64
	late   time.Duration // the longest turn
	end    chan struct{}
	do     chan func() // for its loop
	log    *strings.Builder
	logged *sync.Mutex
}

func (m *member) Held(name string, token uint64) { m.mu.Lock(); m.held[name] = token; m.mu.Unlock() }
func (m *member) Lost(name, _ string)            { m.mu.Lock(); delete(m.held, name); m.mu.Unlock() }

func (m *member) has(name string) uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[name]
}

type locked struct {
	mu *sync.Mutex
	w  io.Writer
}

func (l locked) Write(p []byte) (int, error) { l.mu.Lock(); defer l.mu.Unlock(); return l.w.Write(p) }

// some gives members of a fleet, all of which vote.
func some(t *testing.T, fleet string, n int, wants ...string) (all []*member) {
	start := time.Now()
	now := func() Time { return 1_000_000 + int64(time.Since(start)/tick) }
	var seats []lease.Seat
	var names []string
	for k := range n {
		p, err := peers.Open("127.0.0.1:0", fleet, func() {})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		name := fmt.Sprint("f", k)
		seats, names = append(seats, lease.Seat{Name: name, Addr: p.Addr()}), append(names, name)
		all = append(all, &member{peers: p, held: map[string]uint64{}, end: make(chan struct{}), do: make(chan func()), log: &strings.Builder{}, logged: &sync.Mutex{}})
	}
	for k, m := range all {
		path := filepath.Join(t.TempDir(), "state")
		if _, err := record.Create(path, fleet, names[k], true, names); err != nil {
			t.Fatal(err)
		}
		o := Order{Fleet: fleet, Self: lease.Party{Name: names[k], Life: 1}, Addr: seats[k].Addr, Seats: slices.Clone(seats), State: path,
			Terms: lease.Terms{Span: int64(span / tick), Drift: 0.01, Margin: 300}, Seed: uint64(k) + 1}
		m.Leases = Open(o, now, m.peers, m, func() {}, slog.New(slog.NewTextHandler(locked{m.logged, m.log}, nil)))
		for _, w := range wants {
			m.Holder.Want(now(), w)
		}
		go func() {
			for {
				select {
				case <-m.end:
					return
				case do := <-m.do:
					do()
				case <-time.After(2 * time.Millisecond):
				}
				at := time.Now()
				m.Turn(now())
				m.mu.Lock()
				m.late = max(m.late, time.Since(at))
				m.mu.Unlock()
			}
		}()
		t.Cleanup(func() { close(m.end); m.Close() })
	}
	return all
}

func await(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", within, what)
}

func lead(all []*member) *member {
	for _, m := range all {
		if v, err := m.View(); err == nil && v.Leads {
			return m
		}
	}
	return nil
}

func keeper(all []*member, name string) *member {
	for _, m := range all {
		if m.has(name) != 0 {
			return m
		}
	}
	return nil
}

// TestDiskStalls: the leader's disk stands still for 2 s. The loop does not notice, and leases are granted by the others.
func TestDiskStalls(t *testing.T) {
	t.Parallel()
	all := some(t, "stalls", 3, "l")
	await(t, 5*time.Second, "one holds it", func() bool { return keeper(all, "l") != nil })
	slow := lead(all)
	for _, m := range all {
		m.mu.Lock()
		m.late = 0
		m.mu.Unlock()
	}
	slow.vote.put(func(*lease.Voter) { // the voter's goroutine stands where the next flush would
		time.Sleep(2 * time.Second)
	})
	at := time.Now()
	for keeper(all, "l") == nil || time.Since(at) < 2500*time.Millisecond {
		if time.Since(at) > 6*time.Second {
			t.Fatal("nobody holds it")
		}
		time.Sleep(10 * time.Millisecond)
	}
	for k, m := range all {
		m.mu.Lock()
		if m.late > 50*time.Millisecond {
			t.Errorf("front %d: a turn took %v", k, m.late)
		}
		m.mu.Unlock()
	}
}

// full is a disk on which no space is left.
type full struct{}

func (full) Save(lease.Batch) error { return errors.New("no space is left") }

// TestDiskFull: the leader's disk takes nothing more. It steps aside with one line, its front goes on asking, and the
// others grant.
func TestDiskFull(t *testing.T) {
	t.Parallel()
	all := some(t, "full", 3, "l")
	await(t, 5*time.Second, "one holds it", func() bool { return keeper(all, "l") != nil })
	m := lead(all)
	m.vote.put(func(*lease.Voter) { m.vote.saver = full{} })
	h := keeper(all, "l")
	old := h.has("l")
	h.do <- func() { h.Holder.Drop(h.now(), "l") }
	await(t, 6*time.Second, "another holds it", func() bool { n := keeper(all, "l"); return n != nil && n.has("l") > old })
	v, err := m.View()
	if err != nil || !strings.Contains(v.Aside, "no space is left") {
		t.Errorf("%+v, %v", v, err)
	}
	m.logged.Lock()
	if n := strings.Count(m.log.String(), "steps aside"); n != 1 {
		t.Errorf("%d lines say so: %s", n, m.log)
	}
	m.logged.Unlock()
}

// TestTwoFleetsOnOneNetwork: another fleet's voters send all they have to this one's addresses, and a peer sends spoilt and
// made-up messages. The leases go on, and no voter steps aside.
func TestTwoFleetsOnOneNetwork(t *testing.T) {
	t.Parallel()
	ours, theirs := some(t, "ours", 3, "l"), some(t, "theirs", 3, "l")
	await(t, 5*time.Second, "both are held", func() bool { return keeper(ours, "l") != nil && keeper(theirs, "l") != nil })
	token := keeper(ours, "l").has("l")
	stranger, err := peers.Open("127.0.0.1:0", "ours", func() {})
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	chance := rand.New(rand.NewPCG(1, 2))
	number := func() *uint64 {
		return proto.Uint64([]uint64{0, 1, 2, 3, 5, 100, 1 << 40, ^uint64(0)}[chance.IntN(8)])
	}
	ids := []uint64{record.FirstID("ours", "f0"), record.FirstID("ours", "f1"), record.FirstID("ours", "f2"), 7}
	roll := (&record.Who{Fleet: "ours", Voters: []string{"f0", "f1", "f2"}}).Roll()
	for n := range 4000 {
		to := ours[chance.IntN(3)]
		kind := pb.MessageType(chance.IntN(24))
		m := pb.Message{Type: &kind, To: &ids[chance.IntN(4)], From: &ids[chance.IntN(4)], Term: proto.Uint64(uint64(chance.IntN(3))), LogTerm: number(),
			Index: number(), Commit: number(), Reject: proto.Bool(chance.IntN(2) == 0), RejectHint: number(), Context: []byte("x")}
		for range chance.IntN(3) {
			m.Entries = append(m.Entries, &pb.Entry{Index: number(), Term: number(), Data: []byte("not an entry")})
		}
		if chance.IntN(4) == 0 {
			m.Snapshot = &pb.Snapshot{Data: []byte("no book"), Metadata: &pb.SnapshotMetadata{Index: number(), Term: number(),
				ConfState: &pb.ConfState{Voters: ids}}}
		}
		text, _ := proto.Marshal(&m)
		if n%5 == 0 && len(text) > 0 {
			text[chance.IntN(len(text))] ^= 1 << chance.IntN(8)
		}
		body := peers.AppendLease(nil, &peers.Lease{From: m.GetFrom(), To: m.GetTo(), Log: text, Roll: roll})
		switch n % 7 {
		case 1:
			body = peers.AppendLease(nil, &peers.Lease{To: m.GetTo(), Ask: &lease.Ask{Op: lease.Op(chance.IntN(4)), Name: "l", From: lease.Party{Name: "x", Life: 1},
				Token: *number(), Seq: *number(), Via: *number(), Addr: "127.0.0.1:1"}})
		case 2:
			body = peers.AppendLease(nil, &peers.Lease{Reply: &lease.Reply{Name: "l", To: lease.Party{Name: "f0", Life: 1}, Seq: uint64(n), Token: *number()}})
		case 3:
			body = body[:chance.IntN(len(body))]
		case 4:
			theirs[0].peers.Lease(to.peers.Addr(), body) // their frame
			continue
		}
		stranger.Lease(to.peers.Addr(), body)
		if n%200 == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(2 * span)
	for k, m := range ours {
		v, err := m.View()
		if err != nil || v.Aside != "" {
			t.Errorf("voter %d: %v %s", k, err, v.Aside)
		}
	}
	await(t, 4*span, "it is held", func() bool { return keeper(ours, "l") != nil })
	t.Logf("token %d before, %d after; %d dropped at the first", token, keeper(ours, "l").has("l"), ours[0].Dropped.Load())
}
