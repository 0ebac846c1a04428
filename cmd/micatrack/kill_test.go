package main

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestAllIsAnsweredBeforeTheEarliestKillThoughHeldUp(t *testing.T) {
	const (
		longest = 500 * time.Millisecond // deadline of the settings
		kill    = longest + 700*time.Millisecond
		heldFor = 150 * time.Millisecond
		clients = 20
	)
	for _, before := range []time.Duration{140, 200, 270} { // ms before the kill, when the front is held up
		t.Run(fmt.Sprint(int(before)), func(t *testing.T) {
			w := newWorld(t, "primary", "replica")
			w.configure(func(c map[string]any) {
				for _, p := range c["settings"].(map[string]any)["Profiles"].([]any) {
					p.(map[string]any)["HardLimit"], p.(map[string]any)["Aim"] = longest.Microseconds(), 300_000
				}
			})
			w.does(func(string, string) (string, func(*net.TCPConn)) { return "", w.hang }) // stores hang through the whole end
			cmd := w.start()
			var all sync.WaitGroup
			var answered, lost atomic.Int64
			var killed atomic.Bool
			var begun time.Time
			for n := range clients {
				cl := w.client()
				all.Go(func() {
					defer cl.c.Close()
					for k := 0; ; k++ { // one after another, for as long as the connection stays open
						cl.send(fmt.Sprintf("kill%d-%d-%d", before, n, k), "mine", int(longest.Milliseconds()))
						if cl.answer() != "closed" {
							answered.Add(1)
							continue
						}
						if killed.Load() { // the front had not ended the connection by itself
							lost.Add(1)
						}
						return
					}
				})
			}
			begun = time.Now()
			cmd.Process.Signal(syscall.SIGTERM)
			time.Sleep(kill - before*time.Millisecond)
			cmd.Process.Signal(syscall.SIGSTOP)
			time.Sleep(heldFor)
			cmd.Process.Signal(syscall.SIGCONT)
			time.Sleep(time.Until(begun.Add(kill)))
			killed.Store(true)
			cmd.Process.Signal(syscall.SIGKILL)
			all.Wait()
			close(w.releasing)
			if lost.Load() > 0 || answered.Load() < clients {
				t.Errorf("%d requests were found unanswered by SIGKILL, %d answered", lost.Load(), answered.Load())
			}
		})
	}
}
