package rig

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"sort"
	"sync"
	"time"

	"micatrack/internal/pgwire"
	"micatrack/internal/random"
	"micatrack/internal/standin"
)

// Kind is one kind of job that clients send.
type Kind struct {
	Profile string
	Write   bool
	Numbered,
	Fenced bool // it has to see its session's last write
	Share int // of all jobs, beside those of the others
}

// Done is one job as its client saw it end.
type Done struct {
	standin.Outcome
	Front string
	Kind  string
	Group int
	At    time.Time // when it was sent
	Took  time.Duration
	Lost  bool // the connection ended without an answer
}

// Load is open: jobs set out at a steady rate at each front whether or not others came back.
type Load struct {
	rig   *Rig
	kinds []Kind
	mu    sync.Mutex
	done  []Done
	stop  chan struct{}
	all   sync.WaitGroup
	n     int64
	after []int64 // of each group, the newest write's position
}

const patience = 1000 // milliseconds that a client waits

// Load starts clients at every front, so many jobs a second each.
func (r *Rig) Load(rate float64, kinds ...Kind) *Load {
	l := &Load{rig: r, kinds: kinds, stop: make(chan struct{}), after: make([]int64, len(r.Groups))}
	for _, f := range r.Fronts {
		l.all.Add(1)
		go l.clients(f, rate)
	}
	return l
}

// End stops the clients, waits for what is out and gives all jobs, the oldest first.
func (l *Load) End() []Done {
	close(l.stop)
	l.all.Wait()
	sort.SliceStable(l.done, func(a, b int) bool { return l.done[a].At.Before(l.done[b].At) })
	return l.done
}

// conn is one client's connection.
type conn struct {
	c net.Conn
	r *bufio.Reader
}

func dial(addr string) (*conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	k := &conn{c, bufio.NewReader(c)}
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.Write(pgwire.AppendStartup(nil, "web", "orders")); err != nil {
		c.Close()
		return nil, err
	}
	if _, err := k.answer(); err != nil {
		c.Close()
		return nil, err
	}
	return k, nil
}

// answer reads up to the next ReadyForQuery and gives the code of an error, if one came.
func (k *conn) answer() (code string, err error) {
	head := make([]byte, 5)
	for {
		if _, err := io.ReadFull(k.r, head); err != nil {
			return "", err
		}
		n := int(binary.BigEndian.Uint32(head[1:])) - 4
		if n < 0 || n > 1<<20 {
			return "", fmt.Errorf("a message of %d bytes", n)
		}
		body := make([]byte, n)
		if _, err := io.ReadFull(k.r, body); err != nil {
			return "", err
		}
		switch head[0] {
		case 'E':
			code = pgwire.SQLState(body)
		case 'Z':
			return code, nil
		}
	}
}

func (l *Load) clients(f *Front, rate float64) {
	defer l.all.Done()
	chance := random.New(l.rig.Plan.Seed*31 + uint64(f.n))
	idle := make(chan *conn, 256)
	defer func() {
		close(idle)
		for k := range idle {
			k.c.Close()
		}
	}()
	var out sync.WaitGroup
	defer out.Wait()
	shares := int64(0)
	for _, k := range l.kinds {
		shares += int64(max(k.Share, 1))
	}
	next := time.Now()
	for {
		next = next.Add(time.Duration((0.5 + float64(chance.Below(1000))/1000) / rate * float64(time.Second)))
		select {
		case <-l.stop:
			return
		case <-time.After(time.Until(next)):
		}
		pick, kind := chance.Below(shares), l.kinds[0]
		for _, k := range l.kinds {
			if kind = k; pick < int64(max(k.Share, 1)) {
				break
			}
			pick -= int64(max(k.Share, 1))
		}
		g := int(chance.Below(int64(len(l.rig.Groups))))
		out.Add(1)
		go func() { defer out.Done(); l.job(f, kind, g, idle) }()
	}
}

// job sends one job and notes how it ended.
func (l *Load) job(f *Front, kind Kind, g int, idle chan *conn) {
	l.mu.Lock()
	l.n++
	n := l.n
	d := Done{Front: f.Name, Kind: kind.Profile, Group: g, At: time.Now(),
		Outcome: standin.Outcome{RequestID: fmt.Sprint("j", n), Write: kind.Write}}
	if kind.Fenced {
		d.After = l.after[g]
	}
	l.mu.Unlock()
	text := fmt.Sprintf("/* id=%s,c=%s,t=t%d,d=%d,cluster=%d", d.RequestID, kind.Profile, n%5, patience, g+1)
	if kind.Numbered {
		d.IdempotencyKey = "m" + d.RequestID
		text += ",k=" + d.IdempotencyKey
	}
	verb := " */ SELECT payload FROM entries WHERE ref = 's%d'"
	if kind.Write {
		verb = " */ INSERT INTO entries (ref) VALUES ('s%d') RETURNING payload"
	}
	var k *conn
	var err error
	select {
	case k = <-idle:
	default:
		if k, err = dial(f.Addr); err != nil {
			return // no front there: no job was taken
		}
	}
	k.c.SetDeadline(time.Now().Add(3 * patience * time.Millisecond))
	_, err = k.c.Write(pgwire.AppendSimpleQuery(nil, text+fmt.Sprintf(verb, n%97)))
	code := ""
	if err == nil {
		code, err = k.answer()
	}
	d.Took = time.Since(d.At)
	if d.Lost = err != nil; !d.Lost {
		d.Delivered, d.Rejected = code == "", code == pgwire.TooManyConnections
		select {
		case idle <- k:
		default:
			k.c.Close()
		}
	} else {
		k.c.Close()
	}
	l.mu.Lock()
	l.done = append(l.done, d)
	l.mu.Unlock()
	if d.Delivered && kind.Write {
		if p := l.rig.Groups[g].WritePosition(d.RequestID); p > 0 {
			l.mu.Lock()
			l.after[g] = max(l.after[g], p)
			l.mu.Unlock()
		}
	}
}

// Check holds all jobs against the ledgers: the five rules as far as ledgers tell, over all fronts together.
func (r *Rig) Check(done []Done) {
	r.T.Helper()
	told := make([][]standin.Outcome, len(r.Groups))
	for _, d := range done {
		if !d.Lost {
			told[d.Group] = append(told[d.Group], d.Outcome)
		}
		if !d.Lost && d.Took > 2*patience*time.Millisecond && !r.late[d.Front] {
			r.T.Errorf("%s at %s was answered after %v", d.RequestID, d.Front, d.Took)
		}
	}
	for g, group := range r.Groups {
		for k, b := range group.Check(told[g], 550*time.Millisecond) {
			if k < 5 {
				r.T.Errorf("group %d: %s", g+1, b)
			}
		}
	}
}

// Entries gives what a store did from one moment to another, the oldest first.
func (s *Store) Entries(from, to time.Time) (n int) {
	for _, e := range s.Group.Ledger() {
		if e.Store == s.Name && !e.At.Before(from) && e.At.Before(to) {
			n++
		}
	}
	return n
}

// Budget is what a store that came up cold bears.
type Budget struct {
	Up         time.Time     // when it came up
	Rate       float64       // jobs a second that it does when it is warm
	StartShare float64       // of that, with which it starts
	Cold       time.Duration // by then it is warm
	Multiple   float64       // of what it can do, over a whole Span, at which it falls over
	Span       time.Duration
}

// Peak gives the largest part of its budget that a store was sent in any span after it came up: at 1 it falls over.
func (s *Store) Peak(b Budget, until time.Time) (peak float64) {
	var at []time.Time
	for _, e := range s.Group.Ledger() {
		if e.Store == s.Name && !e.At.Before(b.Up) && e.At.Before(until) {
			at = append(at, e.At)
		}
	}
	first := 0
	for k := range at {
		for at[k].Sub(at[first]) >= b.Span {
			first++
		}
		warm := min(float64(at[first].Sub(b.Up))/float64(b.Cold), 1)
		bears := b.Rate * (b.StartShare + (1-b.StartShare)*warm) * b.Multiple * b.Span.Seconds()
		peak = max(peak, float64(k-first+1)/bears)
	}
	return peak
}

// InTime tells which part of the jobs that set out in a span was delivered within so long.
func InTime(done []Done, from, to time.Time, within time.Duration) float64 {
	all, good := 0, 0
	for _, d := range done {
		if !d.At.Before(from) && d.At.Before(to) {
			if all++; d.Delivered && d.Took <= within {
				good++
			}
		}
	}
	return float64(good) / float64(max(all, 1))
}
