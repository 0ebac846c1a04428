// Command 7 is a case of the second review: a read that has to see all writes before it waits for its connection, meanwhile the
// front is told that the store is a replica, and the read is sent there all the same.
package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"micatrack/review/stage2"
)

const (
	groups    = 4
	played    = 2                      // groups whose primary hands over
	handshake = 220 * time.Millisecond // how late a connection comes up; it has 250 ms
	work      = 85 * time.Millisecond  // of a statement
	longWork  = 180 * time.Millisecond // of one read
	slower    = 10                     // a replica in trouble applies so much less than there is
	limitMS   = 2000
)

var connections, lateOnes atomic.Int64 // to all stores

// group is one group with its stores.
type group struct {
	*stage2.Group
	number int
	stores [3]*stage2.Store

	mu       sync.Mutex
	handover time.Time // when the first store became a replica
	late     int       // so many of the next connections to the first store come up late
}

func (g *group) name(i int) string { return fmt.Sprintf("s-%d%c", g.number, 'a'+i) }

func main() {
	s := stage2.Open(7)
	var entries []stage2.Entry
	var all []*group
	for n := 1; n <= groups; n++ {
		g := &group{number: n}
		g.Group = stage2.NewGroup(g.name(0))
		for i := range g.stores {
			store := s.NewStore(g.name(i), g.Group)
			store.Work = func(id string) bool {
				if strings.HasPrefix(id, "long") {
					time.Sleep(longWork)
				} else {
					time.Sleep(work)
				}
				return true
			}
			store.Connecting = func(int) { connections.Add(1) }
			store.Lag = func() time.Duration { return 10 * time.Millisecond }
			g.stores[i] = store
			role := "replica"
			if i == 0 {
				role = "primary"
			}
			entries = append(entries, stage2.Entry{ID: store.Name, Addr: store.Addr(), Zone: "a", Kind: "std-3", Cell: uint64(n),
				State: "active", Weight: 1, Role: role})
		}
		first := g.stores[0]
		first.Connecting = func(int) {
			connections.Add(1)
			g.mu.Lock()
			late := g.late > 0
			g.late--
			g.mu.Unlock()
			if late {
				lateOnes.Add(1)
				s.Note("store %s: this connection comes up %v late", first.Name, handshake)
				time.Sleep(handshake)
			}
		}
		first.Lag = func() time.Duration { // as a replica it applies the log more slowly
			g.mu.Lock()
			defer g.mu.Unlock()
			since := time.Since(g.handover)
			return since - since/slower
		}
		all = append(all, g)
	}
	discovery := s.NewDiscovery(entries...)
	front := s.StartFront("front-1", stage2.FrontOptions{Discovery: discovery.Addr(), Settings: stage2.Settings(250, "carried",
		stage2.Class{Name: "slot-check", Freshness: "fresh", Idempotency: "repeatable", Group: "all", AimMS: 600, LimitMS: limitMS, Worth: 1},
		stage2.Class{Name: "slot-browse", Freshness: "bounded", Idempotency: "repeatable", Group: "all", AimMS: 200, LimitMS: 600, OldestMS: 300, Worth: 3, LateWorth: 0.2},
		stage2.Class{Name: "slot-any", Freshness: "any", Idempotency: "repeatable", Group: "all", AimMS: 300, LimitMS: 2000, Worth: 1},
		stage2.Class{Name: "book-slot", Freshness: "write", Idempotency: "once", Group: "cell", AimMS: 600, LimitMS: 3000, Worth: 3, LateWorth: 0.3})})
	for _, g := range all { // all groups have some traffic
		c, err := stage2.Dial(front.Addr)
		if err != nil {
			s.Fail(err.Error())
		}
		for k := range 12 {
			c.Ask(stage2.Read(fmt.Sprintf("b-%d-%d", g.number, k), "slot-any", fmt.Sprint("b", k), 2000, g.number))
		}
		c.Close()
	}
	for _, g := range all[:played] {
		play(s, front, g)
	}
	time.Sleep(100 * time.Millisecond)
	s.Note("connections to stores: %d, late ones: %d", connections.Load(), lateOnes.Load())
	if 3*lateOnes.Load() > connections.Load() {
		s.Fail("more than a third of the connections came up late")
	}
	s.Close()
}

// play has one group's primary hand over, with reads in hand.
func play(s *stage2.Stage, front *stage2.Front, g *group) {
	var clients [3]*stage2.Client
	for i := range clients {
		c, err := stage2.Dial(front.Addr)
		if err != nil {
			s.Fail(err.Error())
		}
		defer c.Close()
		clients[i] = c
	}
	ref := fmt.Sprintf("7f3a9c21e0b4%04d", g.number)
	ask := func(c *stage2.Client, id, text string) stage2.Answer {
		s.Note("client sends %s", text)
		a := c.Ask(text)
		s.Note("client is told of %s: %v", id, a)
		return a
	}
	// The front serves this group for a while, one request after the other, so that it has one connection to the primary.
	for k := range 4 {
		id := fmt.Sprintf("w-%d-%d", g.number, k)
		ask(clients[0], id, stage2.Write(id, "book-slot", ref, 3000, g.number))
	}
	time.Sleep(300 * time.Millisecond)

	if s.Trouble { // the primary drains and hands over; the list does not tell it yet
		g.mu.Lock()
		g.handover, g.late = time.Now(), 2
		g.mu.Unlock()
		g.Promote(g.name(1))
		s.Note("group %d: %s hands over to %s and applies the log %d times more slowly", g.number, g.name(0), g.name(1), slower)
	}
	time.Sleep(100 * time.Millisecond)
	// Another front's client writes at the new primary.
	writer, err := stage2.Dial(g.stores[map[bool]int{true: 1, false: 0}[s.Trouble]].Addr())
	if err != nil {
		s.Fail(err.Error())
	}
	defer writer.Close()
	newest := fmt.Sprintf("other-%d", g.number)
	if a := ask(writer, newest, stage2.Write(newest, "book-slot", ref, 3000, g.number)); a.Code != "" || a.Err != nil {
		s.Fail("the write at the new primary failed")
	}
	committed := time.Now()

	// Three reads, one behind the other: the second and the third need new connections, which come up late. The first one's answer
	// tells that the store is a replica; its connection is given to the second read.
	var others sync.WaitGroup
	for k, id := range []string{fmt.Sprintf("first-%d", g.number), fmt.Sprintf("long-%d", g.number)} {
		others.Add(1)
		go func() {
			defer others.Done()
			ask(clients[k], id, stage2.Read(id, "slot-check", "another", limitMS, g.number))
		}()
		time.Sleep(10 * time.Millisecond)
	}
	id := fmt.Sprintf("third-%d", g.number)
	a := ask(clients[2], id, stage2.Read(id, "slot-check", ref, limitMS, g.number))
	others.Wait()
	if a.Code == "" && a.Err == nil && a.Value != newest {
		s.JudgeStale(g.stores[:], id, newest, committed)
	}
}
