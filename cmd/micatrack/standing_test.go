package main

import (
	"encoding/json"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// agent is a discovery of its own: what it tells, in which form and in what pieces is the test's.
type agent struct {
	w        *world
	whole    bool // it tells the whole list where others tell changes
	indented bool
	size     int // bytes of a piece; 0: all at once
	mu       sync.Mutex
	version  int
	states   map[string]string
	watches  []chan string
	asked    int
	addr     string
}

func newAgent(w *world, version int, states map[string]string) *agent {
	a := &agent{w: w, version: version, states: states}
	server := httptest.NewServer(a)
	w.t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	a.addr = strings.TrimPrefix(server.URL, "http://")
	return a
}

// object gives the list, or the named stores' part of it; the lock is held.
func (a *agent) object(whole bool, names ...string) string {
	var servers []map[string]any
	for name, state := range a.states {
		if whole || name == names[0] {
			role := map[bool]string{true: "primary", false: "replica"}[name == "primary"]
			servers = append(servers, map[string]any{"id": name, "addr": a.w.ports[name], "zone": "a", "kind": "k", "cell": 1,
				"state": state, "weight": 1, "started_ms": 0, "role": role})
		}
	}
	o := map[string]any{"version": a.version, "full": whole, "servers": servers}
	text, _ := json.Marshal(o)
	if a.indented {
		text, _ = json.MarshalIndent(o, "", "    ")
	}
	return string(text) + "\n"
}

// change gives a store another state and tells it.
func (a *agent) change(name, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	a.states[name] = state
	for _, c := range a.watches {
		c <- a.object(a.whole, name)
	}
}

func (a *agent) calls() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.asked
}

func (a *agent) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	said := make(chan string, 99)
	a.mu.Lock()
	said <- a.object(true)
	a.watches = append(a.watches, said)
	a.asked++
	a.mu.Unlock()
	for {
		text := "\n" // while nothing changes
		select {
		case text = <-said:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
		for n := cmpOr(a.size, len(text)); text != ""; text = text[min(n, len(text)):] {
			if _, err := io.WriteString(rw, text[:min(n, len(text))]); err != nil {
				return
			}
			http.NewResponseController(rw).Flush()
		}
	}
}

func cmpOr(a, b int) int {
	if a > 0 {
		return a
	}
	return b
}

// last notes when each store was last asked something.
type last struct {
	mu sync.Mutex
	at map[string]time.Time
}

func (w *world) lastAsked() *last {
	l := &last{at: map[string]time.Time{}}
	w.does(func(store, _ string) (string, func(*net.TCPConn)) {
		l.mu.Lock()
		l.at[store] = time.Now()
		l.mu.Unlock()
		return value, nil
	})
	return l
}

func (l *last) of(store string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at[store]
}

// reads sends one read after the other until a condition holds; that one is refused is no fault where nothing may serve it.
func (cl *client) reads(until func() bool) {
	cl.t.Helper()
	for end := time.Now().Add(outer); !until(); time.Sleep(time.Millisecond) {
		cl.ask("any")
		if got := cl.answer(); got != "value" && got != "53300" {
			cl.t.Fatalf("a read: %s", got)
		}
		if time.Now().After(end) {
			cl.t.Fatal("it does not come about")
		}
	}
}

// TestReloadWhileStoresDrain forces SIGHUP right behind a drain that the old agent has told, to an agent whose list is newer,
// older, or without the store; it tells changes or whole lists, on one line or indented and in pieces. Nothing new goes to
// the store that drains past its grace, nor to one that drains in the new agent's list 4 s after SIGHUP, and a drain that
// the new agent tells later holds.
func TestReloadWhileStoresDrain(t *testing.T) {
	const (
		grace = 550 * time.Millisecond // of a drain, by the rule
		told  = 4 * time.Second        // after SIGHUP, by the rule
		slow  = time.Second            // for the machine, beside the grace
	)
	active := map[string]string{"primary": "active", "replica": "active", "other": "active"}
	with := func(changes ...string) map[string]string {
		states := maps.Clone(active)
		for k := 0; k < len(changes); k += 2 {
			states[changes[k]] = changes[k+1]
		}
		return states
	}
	for _, c := range []struct {
		name    string
		version int
		states  map[string]string
		whole   bool
	}{
		{"newer", 90, with("other", "leaving", "replica", "leaving"), false},
		{"newer, whole lists", 90, with("other", "leaving", "replica", "leaving"), true},
		{"the same", 41, with("other", "leaving"), false},
		{"older", 7, with(), false},
		{"older, whole lists", 7, with(), true},
		{"older, with a drain of its own", 7, with("replica", "leaving"), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "primary", "replica", "other")
			before := newAgent(w, 40, with())
			after := newAgent(w, c.version, c.states)
			if after.whole = c.whole; c.whole {
				after.indented, after.size = true, 7
			}
			move := func(a *agent) { w.configure(func(f map[string]any) { f["discovery"] = a.addr }) }
			move(before)
			l := w.lastAsked()
			cmd := w.start()
			cl := w.client()
			cl.reads(func() bool { return before.calls() > 0 && !l.of("replica").IsZero() && !l.of("other").IsZero() })
			move(after)
			before.change("other", "leaving")
			drained := time.Now()
			cl.reads(func() bool { return time.Since(drained) > 100*time.Millisecond }) // the front has read it
			hup := time.Now()
			cmd.Process.Signal(syscall.SIGHUP)
			cl.reads(func() bool { return after.calls() > 0 && time.Since(hup) > told+2*grace })
			if late := l.of("other").Sub(drained); late > grace+slow {
				t.Errorf("the store that drains is asked until %v after that was told", late)
			}
			if late := l.of("replica").Sub(hup); c.states["replica"] == "leaving" && late > told+grace {
				t.Errorf("a store that drains in the new list is asked until %v after SIGHUP", late)
			} else if c.states["replica"] == "active" && time.Since(l.of("replica")) > 2*time.Second {
				t.Errorf("the store that does not drain is not asked")
			}
			if c.states["replica"] == "active" {
				after.change("replica", "leaving")
				drained = time.Now()
				cl.reads(func() bool { return time.Since(drained) > grace+slow+time.Second })
				if late := l.of("replica").Sub(drained); late > grace+slow {
					t.Errorf("a drain that the new agent told holds %v later", late)
				}
			}
			if c.states["other"] == "active" && l.of("other").After(hup.Add(slow)) {
				t.Errorf("a list from before the drain has the store asked again %v after SIGHUP", l.of("other").Sub(hup))
			}
		})
	}
}

// TestDrainToldAtTheReturn: discovery is silent for some seconds, and a store begins to drain in the moment in which it
// speaks again. It counts as told then, whichever calls are open; no call from before is ever answered. Nothing new reaches
// the store past its grace of half a second.
func TestDrainToldAtTheReturn(t *testing.T) {
	for _, outage := range []time.Duration{5500 * time.Millisecond, 7 * time.Second, 9 * time.Second} {
		t.Run(outage.String(), func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "primary", "replica", "other")
			last := map[string]time.Time{}
			var mu sync.Mutex
			w.does(func(store, _ string) (string, func(*net.TCPConn)) {
				mu.Lock()
				last[store] = time.Now()
				mu.Unlock()
				return value, nil
			})
			w.start()
			cl := w.client()
			cl.want("any", "value")
			w.mu.Lock()
			for w.watches == 0 {
				w.changed.Wait()
			}
			w.silent = math.MaxInt
			w.mu.Unlock()
			serve := func(span time.Duration) {
				for began := time.Now(); time.Since(began) < span; time.Sleep(time.Millisecond) {
					cl.want("any", "value")
				}
			}
			serve(outage)
			w.mu.Lock()
			w.silent = w.watches
			w.lines["other"] = "leaving"
			w.version++
			back := time.Now()
			w.mu.Unlock()
			serve(2 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			if after := last["other"].Sub(back); after > 500*time.Millisecond || after < -time.Second {
				t.Errorf("the store that drains is asked until %v after discovery came back", after)
			}
		})
	}
}
