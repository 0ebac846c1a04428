package main

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

func TestClientGoesWhileTheFrontIsHeldUp(t *testing.T) {
	const (
		rounds  = 25
		heldFor = 150 * time.Millisecond
	)
	w := newWorld(t, "primary")
	w.configure(func(c map[string]any) {
		ceilings := c["settings"].(map[string]any)["Ceilings"].(map[string]any)
		ceilings["DialTimeout"], ceilings["ConnIdle"] = 5_000_000, 40_000 // a new connection for each round
	})
	s := w.watchIDs()
	w.does(func(_, query string) (string, func(*net.TCPConn)) { s.note(query); return value, nil })
	came, greet, greeted := make(chan struct{}, 99), make(chan struct{}), make(chan struct{}, 99)
	w.greets = func(string) { came <- struct{}{}; <-greet; greeted <- struct{}{} }
	cmd := w.start()
	left := map[string]time.Time{}
	for round := range rounds {
		cl, id := w.client(), fmt.Sprint("held-up-", round)
		for len(came) > 0 {
			<-came
		}
		cl.send(id, "save", 2900)
		<-came
		cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(5 * time.Millisecond)
		for len(greeted) > 0 {
			<-greeted
		}
	drain: // all connections that wait are greeted before the client goes: what the front hears of first is the store
		for {
			select {
			case greet <- struct{}{}:
			case <-time.After(5 * time.Millisecond):
				break drain
			}
		}
		left[id] = w.goes(cl, ways[round%2])
		time.Sleep(heldFor)
		cmd.Process.Signal(syscall.SIGCONT)
		time.Sleep(60 * time.Millisecond)
	}
	s.gone(t, left)
}
