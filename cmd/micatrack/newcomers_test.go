package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"micatrack/internal/pgwire"
)

// newcomers has that many clients connect at once, each with its startup message and one request behind it, and counts how
// each was ended: with a value, with an error, without a word.
type newcomers struct {
	answered, told, silent atomic.Int64
	all                    sync.WaitGroup
}

func (n *newcomers) come(t *testing.T, w *world, count int) {
	for k := range count {
		n.all.Go(func() {
			conn, err := net.Dial("tcp", w.addr)
			if err != nil {
				return // the front has not accepted it
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(outer))
			text := pgwire.AppendStartup(nil, "web", "orders")
			text = pgwire.AppendSimpleQuery(text, fmt.Sprintf("/* id=new%d,c=any,d=900,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'", k))
			conn.Write(text)
			reader := bufio.NewReader(conn)
			for {
				switch kind, _, err := message(reader); {
				case err != nil:
					n.silent.Add(1)
					t.Logf("client %d: %v", k, err)
					return
				case kind == 'D':
					n.answered.Add(1)
					return
				case kind == 'E':
					n.told.Add(1)
					return
				}
			}
		})
	}
}

func TestNewcomersAreAnsweredOrTold(t *testing.T) {
	w := newWorld(t, "primary", "replica")
	w.start()
	var n newcomers
	n.come(t, w, 3000)
	n.all.Wait()
	t.Logf("%d answered, %d told, %d closed without a word", n.answered.Load(), n.told.Load(), n.silent.Load())
	if n.silent.Load() > 0 || n.answered.Load() == 0 {
		t.Errorf("%d of %d were closed without a word, %d answered", n.silent.Load(), 3000, n.answered.Load())
	}
	for end := time.Now().Add(outer); ; { // a client comes again where it is refused
		cl := w.client()
		cl.ask("any")
		got := cl.answer()
		if cl.c.Close(); got == "value" {
			return
		} else if got != "53300" && cl.end != "53300" || time.Now().After(end) {
			t.Fatalf("a working client behind them: %s", got)
		}
	}
}

func TestNewcomersAreAnsweredOrToldAtTheEnd(t *testing.T) {
	w := newWorld(t, "primary", "replica")
	w.configure(func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = 256 })
	cmd := w.start()
	var n newcomers
	n.come(t, w, 400)
	time.Sleep(50 * time.Millisecond)
	cmd.Process.Signal(syscall.SIGTERM)
	n.all.Wait()
	t.Logf("%d answered, %d told, %d closed without a word", n.answered.Load(), n.told.Load(), n.silent.Load())
	if n.silent.Load() > 0 || n.answered.Load() == 0 {
		t.Errorf("%d of %d were closed without a word, %d answered", n.silent.Load(), 400, n.answered.Load())
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v", err)
	}
}
