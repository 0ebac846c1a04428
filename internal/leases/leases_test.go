package leases

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
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
	"micatrack/internal/voterstate"
)

const span = 900 * time.Millisecond

// member is one front's part, with a loop of its own that notes how late it runs.
type member struct {
	*Leases
	peers  *peers.Transport
	mu     sync.Mutex
	held   map[string]uint64
	late   time.Duration // the longest turn
	end    chan struct{}
	do     chan func() // for its loop
	log    *strings.Builder
	logged *sync.Mutex
}

func (m *member) LeaseAcquired(name string, token uint64) {
	m.mu.Lock()
	m.held[name] = token
	m.mu.Unlock()
}
func (m *member) LeaseLost(name, _ string) { m.mu.Lock(); delete(m.held, name); m.mu.Unlock() }

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
	return many(t, fleet, n, n, span, wants...)
}

// many gives members of a fleet, of which the first vote.
func many(t *testing.T, fleet string, n, votes int, span time.Duration, wants ...string) (all []*member) {
	start := time.Now()
	now := func() Time { return 1_000_000 + int64(time.Since(start)/tick) }
	var seats []lease.VoterInfo
	var names []string
	for k := range n {
		p, err := peers.Open("127.0.0.1:0", fleet, func() {})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		name := fmt.Sprint("f", k)
		if names = append(names, name); k < votes {
			seats = append(seats, lease.VoterInfo{Name: name, Addr: p.Addr()})
		}
		all = append(all, &member{peers: p, held: map[string]uint64{}, end: make(chan struct{}), do: make(chan func()), log: &strings.Builder{}, logged: &sync.Mutex{}})
	}
	for k, m := range all {
		path := ""
		if k < votes {
			path = filepath.Join(t.TempDir(), "state")
			if _, err := voterstate.Create(path, fleet, names[k], true, names[:votes]); err != nil {
				t.Fatal(err)
			}
		}
		o := Config{Fleet: fleet, Self: lease.Instance{Name: names[k], Life: 1}, Addr: m.peers.Addr(), Voters: slices.Clone(seats), StatePath: path,
			Terms: lease.Terms{Span: int64(span / tick), Drift: 0.01, Margin: 300}, Seed: uint64(k) + 1}
		m.Leases = Open(o, now, m.peers, m, func() {}, slog.New(slog.NewTextHandler(locked{m.logged, m.log}, nil)))
		for _, w := range wants {
			m.Holder.Acquire(now(), w)
		}
		go func() {
			for {
				select {
				case <-m.end:
					return
				case do := <-m.do:
					do()
					continue
				case <-time.After(2 * time.Millisecond):
				}
				at := time.Now()
				m.Poll(now())
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
		if v, err := m.Status(); err == nil && v.Leads {
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
	h.do <- func() { h.Holder.Release(h.now(), "l") }
	await(t, 6*time.Second, "another holds it", func() bool { n := keeper(all, "l"); return n != nil && n.has("l") > old })
	v, err := m.Status()
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
	ids := []uint64{voterstate.InitialVoterID("ours", "f0"), voterstate.InitialVoterID("ours", "f1"), voterstate.InitialVoterID("ours", "f2"), 7}
	roll := (&voterstate.Identity{Fleet: "ours", Voters: []string{"f0", "f1", "f2"}}).InitialVotersHash()
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
		body := peers.AppendLease(nil, &peers.LeaseMessage{From: m.GetFrom(), To: m.GetTo(), Log: text, InitialVotersHash: roll})
		switch n % 7 {
		case 1:
			body = peers.AppendLease(nil, &peers.LeaseMessage{To: m.GetTo(), Request: &lease.Request{Op: lease.Op(chance.IntN(4)), Name: "l", From: lease.Instance{Name: "x", Life: 1},
				Token: *number(), Seq: *number(), ForwardedBy: *number(), Addr: "127.0.0.1:1"}})
		case 2:
			body = peers.AppendLease(nil, &peers.LeaseMessage{Reply: &lease.Reply{Name: "l", To: lease.Instance{Name: "f0", Life: 1}, Seq: uint64(n), Token: *number()}})
		case 3:
			body = body[:chance.IntN(len(body))]
		case 4:
			theirs[0].peers.SendLease(to.peers.Addr(), body) // their frame
			continue
		}
		stranger.SendLease(to.peers.Addr(), body)
		if n%200 == 0 {
			time.Sleep(5 * time.Millisecond)
		}
	}
	time.Sleep(2 * span)
	for k, m := range ours {
		v, err := m.Status()
		if err != nil || v.Aside != "" {
			t.Errorf("voter %d: %v %s", k, err, v.Aside)
		}
	}
	await(t, 4*span, "it is held", func() bool { return keeper(ours, "l") != nil })
	t.Logf("token %d before, %d after; %d dropped at the first", token, keeper(ours, "l").has("l"), ours[0].DroppedMessages.Load())
}

// TestMeasureLeases: MICATRACK_MEASURE=1 go test ./internal/leases -run Measure -v
func TestMeasureLeases(t *testing.T) {
	if os.Getenv("MICATRACK_MEASURE") == "" {
		t.Skip("a measurement")
	}
	const short = 300 * time.Millisecond
	all := many(t, "gaps", 8, 5, short, "l")
	wait := func(after uint64) (m *member, token uint64) {
		await(t, 10*time.Second, "one holds it", func() bool {
			for _, o := range all {
				if x := o.has("l"); x > after {
					m, token = o, x
				}
			}
			return m != nil
		})
		return m, token
	}
	tell := func(what string, gaps []time.Duration) {
		slices.Sort(gaps)
		t.Logf("%s, span %v: nobody holds it for %v, at the most %v of %d", what, short, gaps[len(gaps)/2], gaps[len(gaps)-1], len(gaps))
	}
	var planned, dead, led []time.Duration
	m, token := wait(0)
	for range 100 {
		at, old := time.Now(), m
		old.do <- func() { old.Holder.Release(old.now(), "l") }
		m, token = wait(token)
		planned = append(planned, time.Since(at))
		old.do <- func() { old.Holder.Acquire(old.now(), "l") }
		time.Sleep(short / 2)
	}
	tell("given back", planned)
	for range 100 {
		at, old, goOn := time.Now(), m, make(chan bool)
		old.do <- func() { <-goOn } // its loop stands still
		m, token = wait(token)
		dead = append(dead, time.Since(at))
		close(goOn)
		time.Sleep(short)
	}
	tell("the holder stands still", dead)
	for range 100 {
		at, old, goOn := time.Now(), m, make(chan bool)
		if v := lead(all[:5]); v != nil {
			v.vote.put(func(*lease.Voter) { <-goOn })
		}
		old.do <- func() { <-goOn }
		m, token = wait(token)
		led = append(led, time.Since(at))
		close(goOn)
		time.Sleep(short)
	}
	tell("holder and leader stand still", led)

	began := time.Now()
	names := []string{}
	for k := range 2000 {
		names = append(names, fmt.Sprint("m", k))
	}
	for k, o := range all {
		o.do <- func() {
			for n := k; n < len(names); n += len(all) {
				if n/len(all) < 240 {
					o.Holder.Acquire(o.now(), names[n])
				}
			}
		}
	}
	count := func() (n int) {
		for _, o := range all {
			o.mu.Lock()
			n += len(o.held)
			o.mu.Unlock()
		}
		return n
	}
	want := 8*240 + 1
	for end := time.Now().Add(30 * time.Second); count() < want && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("%d leases granted in %v, asked for at once", count(), time.Since(began))

	for _, n := range []int{10, 100, 300} {
		t.Run(fmt.Sprint(n, " fronts"), func(t *testing.T) {
			all := many(t, fmt.Sprint("load", n), n, 5, 3*time.Second, "l")
			for k, o := range all {
				o.do <- func() { o.Holder.Acquire(o.now(), fmt.Sprint("own", k)) }
			}
			time.Sleep(6 * time.Second)
			sums := func() (c [2]peers.Counts) {
				for k, o := range all {
					x, at := o.peers.Counts(), 0
					if k >= 5 {
						at = 1
					}
					c[at].Sent, c[at].Bytes = c[at].Sent+x.Sent, c[at].Bytes+x.Bytes
				}
				return c
			}
			a := sums()
			time.Sleep(6 * time.Second)
			b := sums()
			for k, who := range []string{"a voter", "another front"} {
				if m := float64([]int{5, n - 5}[k]) * 6; m > 0 {
					t.Logf("%d fronts with a lease each, all waiting for one more, span 3 s: %s sends %.1f messages and %.0f bytes a second", n, who,
						float64(b[k].Sent-a[k].Sent)/m, float64(b[k].Bytes-a[k].Bytes)/m)
				}
			}
		})
	}
}

// TestViewGivenUp: a view that was given up after its second is made all the same, later: it is nobody's by then (a fault that the
// race detector finds).
func TestViewGivenUp(t *testing.T) {
	t.Parallel()
	m := some(t, "givenup", 1)[0]
	m.vote.put(func(*lease.Voter) { time.Sleep(1500 * time.Millisecond) }) // nothing else orders the two
	if v, err := m.Status(); err == nil {
		t.Errorf("a voter that stands still gave %+v", v)
	}
	await(t, 5*time.Second, "the voter goes on", func() bool { _, err := m.Status(); return err == nil })
}
