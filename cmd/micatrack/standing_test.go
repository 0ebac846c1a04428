package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"micatrack/internal/pgwire"
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
	muted    int // of the watches, the first so many say nothing more
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
			servers = append(servers, map[string]any{"id": name, "addr": a.w.ports[name], "zone": "a", "kind": "k",
				"cell":  1,
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
	number := a.asked
	a.mu.Unlock()
	for {
		text := "\n" // while nothing changes
		select {
		case text = <-said:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
		muted := number <= a.muted
		a.mu.Unlock()
		if muted {
			<-r.Context().Done()
			return
		}
		for n := cmp.Or(a.size, len(text)); text != ""; text = text[min(n, len(text)):] {
			if _, err := io.WriteString(rw, text[:min(n, len(text))]); err != nil {
				return
			}
			http.NewResponseController(rw).Flush()
		}
	}
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

// reads sends one read after the other until a condition holds; that one is refused is no fault where nothing
// may serve it.
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

// TestReloadWhileStoresDrain forces SIGHUP right behind a drain that the old agent has told, to an agent
// whose list is newer, older, or without the store; it tells changes or whole lists, on one line or indented
// and in pieces. Nothing new goes to the store that drains past its grace, nor to one that drains in the new
// agent's list 4 s after SIGHUP, and a drain that the new agent tells later holds.
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

// TestDrainBehindALateSilence forces the watch of a front to fall silent after 13 s of life, on which it told
// an empty line every 2 s, in the moment in which a store begins to drain. It is opened anew, and nothing new
// goes to that store 6 s after the silence began, and its grace.
func TestDrainBehindALateSilence(t *testing.T) {
	t.Parallel()
	const life, told, grace = 13 * time.Second, 6 * time.Second, 550 * time.Millisecond
	w := newWorld(t, "primary", "replica", "other")
	a := newAgent(w, 40, map[string]string{"primary": "active", "replica": "active", "other": "active"})
	w.configure(func(f map[string]any) { f["discovery"] = a.addr })
	l := w.lastAsked()
	w.start()
	cl := w.client()
	cl.c.SetDeadline(time.Now().Add(2 * outer))
	cl.reads(func() bool { return a.calls() > 0 })
	opened := time.Now()
	cl.reads(func() bool { return time.Since(opened) > life })
	if n := a.calls(); n != 1 {
		t.Errorf("%d watches while one speaks", n)
	}
	a.mu.Lock()
	a.muted = a.asked
	a.mu.Unlock()
	a.change("other", "leaving")
	silent := time.Now()
	cl.reads(func() bool { return time.Since(silent) > told+2*grace })
	if late := l.of("other").Sub(silent); late > told+grace || late < 0 {
		t.Errorf("the store that drains is asked until %v after the silence began", late)
	}
	if n := a.calls(); n < 2 || n > 4 { // on a slow machine a call may be given up
		t.Errorf("%d watches", n)
	}
}

// listenAt gives a loopback address where nothing listens.
func listenAt(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestKilledBehindAnAccept forces SIGKILL on each of thirty fronts in the moment in which it has accepted a
// connection, among others that rest, wait for an answer or have sent a part, and all start again at once at
// the same address, while their clients keep their ends and call again. Nine in ten are ready within 10 s.
func TestKilledBehindAnAccept(t *testing.T) {
	const fronts, least, within = 30, 27, 10 * time.Second
	w := newWorld(t, "primary", "replica")
	w.does(func(string, string) (string, func(*net.TCPConn)) { return "", w.hang })
	defer close(w.releasing)
	var all sync.WaitGroup
	took := make([]time.Duration, fronts)
	for k := range fronts {
		addr := listenAt(t)
		w.configure(func(c map[string]any) { c["listen"] = addr })
		text, err := os.ReadFile(w.config)
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(t.TempDir(), "config.json")
		os.WriteFile(path, text, 0o600)
		start := func() *exec.Cmd {
			cmd := exec.Command(program, "serve", "-config", path)
			cmd.Env = []string{"GORACE=halt_on_error=1 exitcode=66"}
			if err := cmd.Start(); err != nil {
				t.Error(err)
				return nil
			}
			t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
			return cmd
		}
		all.Go(func() {
			first := start()
			if first == nil || served(addr, time.Now().Add(outer)) == nil {
				t.Error("it does not serve")
				return
			}
			var kept []net.Conn
			defer func() {
				for _, c := range kept {
					c.Close()
				}
			}()
			for _, says := range []string{"", killedAsk, killedAsk[:20]} {
				if c := served(addr, time.Now().Add(outer)); c != nil {
					io.WriteString(c, says)
					kept = append(kept, c)
				}
			}
			c, err := net.Dial("tcp", addr)
			first.Process.Kill() // right behind the accept
			if err == nil {
				kept = append(kept, c)
			}
			first.Wait()
			again := time.Now()
			if start() == nil {
				return
			}
			if c := served(addr, again.Add(outer)); c != nil {
				took[k] = time.Since(again)
				kept = append(kept, c)
			}
		})
	}
	all.Wait()
	inTime, short, most := 0, 0, time.Duration(0)
	for _, d := range took {
		if most = max(most, d); d > 0 && d <= within {
			inTime++
		}
		if d > 0 && d <= 6*time.Second {
			short++
		}
	}
	t.Logf("%d of %d are ready within 10 s, %d within 6 s, the last after %v", inTime, fronts, short, most)
	if inTime < least {
		t.Errorf("%d of %d are ready within %v", inTime, fronts, within)
	}
}

var killedAsk = string(pgwire.AppendSimpleQuery(nil,
	"/* id=killed,c=save,d=2900,cluster=1 */ INSERT INTO entries (ref) VALUES ('k') RETURNING payload"))

// served connects until a front answers an empty query, and gives the connection; nil: it does not by then.
func served(addr string, end time.Time) net.Conn {
	for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			continue
		}
		c.SetDeadline(end)
		c.Write(append(pgwire.AppendStartup(nil, "web", "orders"), pgwire.AppendSimpleQuery(nil, "")...))
		for {
			kind, _, err := message(c)
			if kind == 'I' && err == nil {
				message(c) // ReadyForQuery
				return c
			} else if err != nil {
				c.Close()
				break
			}
		}
	}
	return nil
}

var timeLeft = regexp.MustCompile(`([ ,*])d=\d+`)

// TestFormsOverSocketsAByteAtATime forces each form of request to come over a real connection a byte at a
// time, from the startup message on. The store is sent it unchanged but for the time left, and the value
// comes back.
func TestFormsOverSocketsAByteAtATime(t *testing.T) {
	w := newWorld(t, "primary", "replica")
	got := make(chan string, 99)
	w.does(func(_, query string) (string, func(*net.TCPConn)) { got <- query; return value, nil })
	w.start()
	for _, text := range []string{
		"/* id=a1,c=any,t=acme,d=2480,cluster=1 */ SELECT payload FROM entries WHERE ref = '7f3a'",
		"/* id=a2,c=mine,t=acme,d=2480,cluster=1,after=1767225600123 */ SELECT payload FROM entries WHERE ref = '7f3a'",
		"/* id=a3,c=save,t=acme,d=2480,k=5c0f,cluster=1 */ INSERT INTO entries (ref, payload) VALUES ('7f3a', " +
			"'\\x9f03') RETURNING payload",
		"/* id=a4,c=any,t=acme,d=2480,cluster=1,r=1 */ SELECT payload FROM entries WHERE ref = '7f3a'",
		"/*cluster=1,d=2480,r=1,c=any,id=a5*/SELECT payload FROM entries WHERE ref = '7f3a'",
	} {
		c, err := net.Dial("tcp", w.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.(*net.TCPConn).SetNoDelay(true)
		c.SetDeadline(time.Now().Add(outer))
		stream := "\x00\x00\x00\x08\x04\xd2\x16\x2f" + string(pgwire.AppendSimpleQuery(pgwire.AppendStartup(nil, "web",
			"orders"), text))
		for k := range stream {
			c.Write([]byte{stream[k]})
			time.Sleep(20 * time.Microsecond)
		}
		if no := make([]byte, 1); c != nil {
			if io.ReadFull(c, no); no[0] != 'N' {
				t.Errorf("SSL is answered %q", no)
			}
		}
		answers := ""
		for answers != "ZTDCZ" && !strings.HasSuffix(answers, "E") {
			kind, _, err := message(c)
			if err != nil {
				t.Fatal(err)
			}
			if strings.ContainsRune("TDCZE", rune(kind)) {
				answers += string(kind)
			}
		}
		if answers != "ZTDCZ" {
			t.Errorf("%s: answered %s", text, answers)
		}
		unchanged := func(s string) string {
			return timeLeft.ReplaceAllString(strings.TrimSuffix(s, "\x00"),
				"${1}d=?")
		}
		if sent := <-got; unchanged(sent) != unchanged(text) {
			t.Errorf("the store is sent %q for %q", sent, text)
		}
	}
}

// crossing is one client's request that crosses the front's close of its connection.
type crossing struct {
	id      string
	behind  bool // it was sent once the front's end was seen
	answers int
}

// cross sends a request on a resting connection at a moment, or once the front has ended it, and counts its
// answers.
func (cl *client) cross(x *crossing, at time.Time) {
	if x.behind {
		for kind, err := byte(0), error(nil); err == nil; kind, _, err = message(cl.r) {
			_ = kind
		}
	} else {
		time.Sleep(time.Until(at))
	}
	cl.send(x.id, "any", 900)
	for {
		kind, _, err := message(cl.r)
		if err != nil {
			return
		}
		if kind == 'C' || kind == 'E' {
			x.answers++
		}
	}
}

// crossed holds what clients saw against what stores were sent: each request was answered once, by one
// attempt, or not at all and never sent on; what was sent behind the front's end was neither.
func (s *seen) crossed(t *testing.T, crossings []crossing) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	answered, unread, behind := 0, 0, 0
	for _, x := range crossings {
		switch sent := len(s.at[x.id]); {
		case x.answers > 1 || sent > 1:
			t.Errorf("%s: %d answers, %d attempts", x.id, x.answers, sent)
		case x.behind && (x.answers > 0 || sent > 0):
			t.Errorf("%s was sent behind the end: %d answers, %d attempts", x.id, x.answers, sent)
		case x.answers == 0 && sent > 0:
			t.Errorf("%s is sent on and not answered", x.id)
		case x.behind:
			behind++
		case x.answers > 0:
			answered++
		default:
			unread++
		}
	}
	t.Logf("%d were answered, %d crossed the end unanswered, %d were sent behind it", answered, unread, behind)
}

// TestRequestInTheInstantOfTheClose forces requests on 160 resting connections all around the instant in
// which the front ends them after SIGTERM, a quarter of them right behind that end. What is read after it is
// not sent on and not answered; of the others each is answered once, by one attempt, or not at all and never
// sent on.
func TestRequestInTheInstantOfTheClose(t *testing.T) {
	const (
		clients = 160
		ends    = 600 * time.Millisecond // after SIGTERM, where deadlines are short
		around  = 40 * time.Millisecond
	)
	w := newWorld(t, "primary", "replica")
	w.configure(func(c map[string]any) {
		for _, p := range c["settings"].(map[string]any)["Profiles"].([]any) {
			p.(map[string]any)["HardLimit"], p.(map[string]any)["Aim"] = 500_000, 300_000
		}
	})
	s := w.watchIDs()
	w.does(func(_, query string) (string, func(*net.TCPConn)) { s.note(query); return value, nil })
	cmd := w.start()
	var resting []*client
	for range clients {
		resting = append(resting, w.client())
	}
	crossings := make([]crossing, clients)
	var all sync.WaitGroup
	signal := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	for k, cl := range resting {
		x := &crossings[k]
		x.id, x.behind = fmt.Sprint("x", k), k%4 == 0
		at := signal.Add(ends - around/4 + around*time.Duration(k)/clients)
		all.Go(func() { cl.cross(x, at); cl.c.Close() })
	}
	all.Wait()
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v", err)
	}
	s.crossed(t, crossings)
}

// TestRequestWhileTheFrontMakesRoom forces requests on resting connections in the moment in which new clients
// fill the descriptors and the front ends those that rest, in ten rounds. What crosses the close is never
// sent on, the rest is answered once, and the front serves on.
func TestRequestWhileTheFrontMakesRoom(t *testing.T) {
	const (
		rounds, resting, fresh = 10, 30, 40
		around                 = 20 * time.Millisecond
	)
	w := newWorld(t, "primary", "replica")
	w.configure(func(c map[string]any) { c["limits"].(map[string]any)["sockets"] = 96 })
	s := w.watchIDs()
	w.does(func(_, query string) (string, func(*net.TCPConn)) { s.note(query); return value, nil })
	w.start()
	var all []crossing
	for round := range rounds {
		var clients []*client
		for range resting {
			clients = append(clients, w.client())
		}
		time.Sleep(around) // they rest
		crossings := make([]crossing, resting)
		var done, came sync.WaitGroup
		began := time.Now()
		for k, cl := range clients {
			x := &crossings[k]
			x.id = fmt.Sprintf("r%d-%d", round, k)
			done.Go(func() {
				cl.c.SetDeadline(time.Now().Add(2 * time.Second)) // past any answer
				cl.cross(x, began.Add(around*time.Duration(k)/resting))
				cl.c.Close()
			})
		}
		var others []net.Conn
		var mu sync.Mutex
		for k := range fresh {
			came.Go(func() {
				time.Sleep(time.Until(began.Add(around * time.Duration(k) / fresh)))
				if c, err := net.Dial("tcp", w.addr); err == nil {
					c.Write(pgwire.AppendStartup(nil, "web", "orders"))
					mu.Lock()
					others = append(others, c)
					mu.Unlock()
				}
			})
		}
		came.Wait()
		done.Wait()
		for _, c := range others {
			c.Close()
		}
		all = append(all, crossings...)
	}
	s.crossed(t, all)
	unread := 0
	for _, x := range all {
		if x.answers == 0 {
			unread++
		}
	}
	if unread == 0 {
		t.Error("no request crossed a close")
	}
	cl := w.client()
	cl.send("again", "any", 900)
	if got := cl.answer(); got != "value" {
		t.Errorf("on a new connection: %s", got)
	}
}
