// Command 6 is a case of the second review: a store's answer is followed by a second copy, and the front passes that copy to the
// client of another request.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"micatrack/review/stage2"
)

const (
	stores  = 8 // in two groups
	cores   = 3
	clients = 50
	work    = 45 * time.Millisecond
	way     = 300 * time.Microsecond // to a store, in each direction; up to three tenths more now and then
	length  = 40 * time.Second
	share   = 25 // one of so many answers comes with a second copy
	limitMS = 1200
)

func main() {
	s := stage2.Open(6)
	var entries []stage2.Entry
	var answers, copies atomic.Int64
	for n := range stores {
		group := uint64(n/4 + 1)
		if n%4 == 0 {
			groups = append(groups, stage2.NewGroup(fmt.Sprintf("s-%da", group)))
		}
		store := s.NewStore(fmt.Sprintf("s-%d%c", group, 'a'+n%4), groups[len(groups)-1])
		running := make(chan struct{}, cores)
		store.Way, store.Echo = way, true
		store.Lag = func() time.Duration { return 10 * time.Millisecond }
		store.Work = func(string) bool {
			running <- struct{}{}
			time.Sleep(work)
			<-running
			return true
		}
		store.Twice = func(id string) bool {
			if !s.Trouble || answers.Add(1)%share != 0 {
				return false
			}
			copies.Add(1)
			s.Note("store %s: sends a second copy of the answer to %s", store.Name, id)
			return true
		}
		role := "replica"
		if n%4 == 0 {
			role = "primary"
		}
		entries = append(entries, stage2.Entry{ID: store.Name, Addr: store.Addr(), Zone: "a", Kind: "tipo-a", Cell: group, State: "active",
			Weight: 1, Role: role})
	}
	discovery := s.NewDiscovery(entries...)
	front := s.StartFront("front-1", stage2.FrontOptions{Discovery: discovery.Addr(), Settings: stage2.Settings(500, "carried",
		stage2.Class{Name: "vitrina", Freshness: "any", Idempotency: "repeatable", Group: "all", AimMS: 300, LimitMS: limitMS, Worth: 1},
		stage2.Class{Name: "pedido", Freshness: "write", Idempotency: "by_key", Group: "cell", AimMS: 750, LimitMS: 3000, WindowMS: 3000, Worth: 4, LateWorth: 0.7})})
	var served, refused, failed, foreign atomic.Int64
	var all sync.WaitGroup
	until := time.Now().Add(length)
	for n := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			c, err := stage2.Dial(front.Addr)
			if err != nil {
				s.Fail(err.Error())
			}
			defer c.Close()
			for k := 0; time.Now().Before(until); k++ {
				id := fmt.Sprintf("%d-%d", n, k)
				a := c.Ask(stage2.Read(id, "vitrina", "ref-"+id, limitMS, n%2+1))
				s.Note("client is told of %s: %v", id, a)
				switch {
				case a.Err != nil:
					s.Fail("a client's connection ended: " + a.Err.Error())
				case a.Refused():
					refused.Add(1)
				case a.Code != "":
					failed.Add(1)
				case a.Value != "value of "+id:
					if foreign.Add(1) <= 20 {
						s.Break("the client that asked %s was served %q", id, a.Value)
					}
				default:
					served.Add(1)
				}
			}
		}()
	}
	all.Wait()
	s.Note("served %d, refused %d, failed %d, served with another request's value %d; second copies %d", served.Load(), refused.Load(),
		failed.Load(), foreign.Load(), copies.Load())
	fmt.Printf("served %d, refused %d, failed %d, served with another request's value %d; second copies %d\n", served.Load(), refused.Load(),
		failed.Load(), foreign.Load(), copies.Load())
	s.Close()
}

var groups []*stage2.Group
