package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// rested plays two fronts whose clients rest now and then, and send two reads at once after each rest. Without trouble
// the rests are shorter than the 3 s within which bad clients are owed an end.
func rested(w *world) (broken []string, err error) {
	const clients = 200 // of each front
	rest := 2600 * time.Millisecond
	if !w.trouble {
		rest = 1200 * time.Millisecond
	}
	end := time.Now().Add(75 * time.Second)
	var all sync.WaitGroup
	var mu sync.Mutex
	for n := range 2 * clients {
		addr := []string{w.front.addr, w.other.addr}[n%2]
		all.Go(func() {
			for time.Now().Before(end) {
				found, e := w.restAndSend(addr, rest, end)
				mu.Lock()
				broken = append(broken, found...)
				if e != nil {
					err = e
				}
				mu.Unlock()
				if e != nil {
					return
				}
			}
		})
	}
	all.Wait()
	return broken, err
}

// restAndSend plays one connection of a client up to its end, and returns the requests that the front ended it over.
func (w *world) restAndSend(addr string, rest time.Duration, end time.Time) (broken []string, err error) {
	c, err := dial(addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	for time.Now().Before(end) {
		time.Sleep(rest + time.Duration(rand.Int64N(int64(300*time.Millisecond))))
		two := []*query{{class: "board-read", group: 1 + rand.IntN(2), ref: newRef(), waits: 900 * time.Millisecond},
			{class: "board-read", group: 1 + rand.IntN(2), ref: newRef(), waits: 900 * time.Millisecond}}
		if w.send(c, two...) != nil {
			return nil, nil // the front had closed a connection at rest
		}
		told := 0
		for _, q := range two {
			_, err := w.await(c, q)
			switch {
			case err == nil:
				told++
			case told > 0: // the front has read from this connection, and answered what came before
				broken = append(broken, fmt.Sprintf("request %s got no answer: %v", q.id, err))
			}
			if err != nil {
				return broken, nil
			}
		}
	}
	return nil, nil
}
