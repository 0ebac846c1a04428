package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"micatrack/internal/pgwire"
)

var program string

func TestMain(m *testing.M) {
	if os.Getenv(floodAddress) != "" {
		runFloodProcess()
		return
	}
	dir, err := os.MkdirTemp("", "micatrack")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "micatrack")
	if out, err := exec.Command("go", "build", "-race", "-o", program, ".").CombinedOutput(); err != nil {
		fmt.Printf("%s\n", out)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const outer = 20 * time.Second // the outer time of every wait; none is expected to come near it

// world stands in for the stores and for discovery.
type world struct {
	t         *testing.T
	mu        sync.Mutex
	changed   *sync.Cond
	version   int
	lines     map[string]string // a store's state by its name
	ports     map[string]string
	watches   int
	done      bool
	http      *httptest.Server
	silent    int                                                                 // watches opened before this number say nothing more
	down      bool                                                                // discovery takes calls and answers none
	copies    bool                                                                // stores send a second copy of each answer, unless something waits
	greets    func(store string)                                                  // before a store takes a connection in
	cut       bool                                                                // the next line of the watch is cut off
	answer    func(store, query string) (reply string, then func(c *net.TCPConn)) // for all but probes
	config    string
	switches  string // the operators' file, if there is one
	addr      string
	releasing chan struct{}
}

func newWorld(t *testing.T, stores ...string) *world {
	w := &world{t: t, lines: map[string]string{}, ports: map[string]string{}, releasing: make(chan struct{})}
	w.changed = sync.NewCond(&w.mu)
	w.does(func(string, string) (string, func(*net.TCPConn)) { return value, nil })
	for _, name := range stores {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		w.lines[name], w.ports[name] = "active", l.Addr().String()
		go func() {
			for c, err := l.Accept(); err == nil; c, err = l.Accept() {
				go w.serve(name, c.(*net.TCPConn))
			}
		}()
	}
	w.http = httptest.NewServer(http.HandlerFunc(w.discovery))
	t.Cleanup(func() {
		w.mu.Lock()
		w.done = true
		w.changed.Broadcast()
		w.mu.Unlock()
		w.http.CloseClientConnections()
		w.http.Close()
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.addr = l.Addr().String()
	l.Close()
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		t.Fatal(err)
	}
	c["listen"], c["discovery"] = w.addr, strings.TrimPrefix(w.http.URL, "http://")
	c["known"] = json.RawMessage(w.list(stores...))
	text, _ = json.Marshal(c)
	w.config = filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(w.config, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return w
}

func (w *world) list(names ...string) string {
	var lines []string
	for _, name := range names {
		role := "replica"
		if name == "primary" {
			role = "primary"
		}
		lines = append(lines, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"k","cell":1,"state":%q,"weight":1,`+
			`"started_ms":0,"role":%q}`, name, w.ports[name], w.lines[name], role))
	}
	return fmt.Sprintf(`{"version":%d,"full":true,"servers":[%s]}`, w.version, strings.Join(lines, ","))
}

// does sets how the stores answer.
func (w *world) does(f func(store, query string) (reply string, then func(c *net.TCPConn))) {
	w.mu.Lock()
	w.answer = f
	w.mu.Unlock()
}

// change gives a store another state and tells it on the watch.
func (w *world) change(name, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines[name] = state
	w.version++
	w.changed.Broadcast()
}

func (w *world) discovery(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watches++
	number := w.watches
	w.changed.Broadcast()
	for at := -1; ; {
		for (at == w.version || w.down || number <= w.silent) && !w.done {
			w.changed.Wait()
		}
		if w.done {
			return
		}
		at = w.version
		var names []string
		for _, name := range [...]string{"primary", "replica", "other"} {
			if w.lines[name] != "" {
				names = append(names, name)
			}
		}
		text := w.list(names...) + "\n"
		if w.cut {
			text, w.cut = text[:len(text)/2], false
			io.WriteString(rw, text)
			return
		}
		if _, err := io.WriteString(rw, text); err != nil || http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
}

func message(r io.Reader) (kind byte, body []byte, err error) {
	head := make([]byte, 5)
	if _, err := io.ReadFull(r, head); err != nil {
		return 0, nil, err
	}
	body = make([]byte, int(head[1])<<24|int(head[2])<<16|int(head[3])<<8|int(head[4])-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

const (
	ready = "Z\x00\x00\x00\x05I"
	value = "T\x00\x00\x00\x0a\x00\x01p\x00\x00\x00" + "D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x02ab" +
		"C\x00\x00\x00\x0dSELECT 1\x00"
)

func failure(code string) string { return string(pgwire.AppendError(nil, "ERROR", code, "m", "")) }

func (w *world) serve(name string, c *net.TCPConn) {
	defer c.Close()
	start := make([]byte, 4)
	if _, err := io.ReadFull(c, start); err != nil {
		return
	}
	in := bufio.NewReader(c)
	io.CopyN(io.Discard, in, int64(start[3])-4)
	w.mu.Lock()
	greets := w.greets
	w.mu.Unlock()
	if greets != nil {
		greets(name)
	}
	io.WriteString(c, "R\x00\x00\x00\x08\x00\x00\x00\x00"+ready)
	for {
		_, body, err := message(in)
		if err != nil {
			return
		}
		role := "replica"
		if name == "primary" {
			role = "primary"
		}
		now := time.Now().UnixMilli()
		notes := pgwire.AppendParameter(pgwire.AppendParameter(nil, "role", role), "applied_ms", fmt.Sprint(now))
		if len(body) == 1 { // an empty query
			c.Write(pgwire.AppendReady(append(pgwire.AppendEmptyQueryResponse(nil), notes...)))
			continue
		}
		if bytes.HasPrefix(body, []byte("SHOW load")) {
			row := fmt.Sprintf("x0=%d.%03d,x1=%d", now/1000, now%1000, map[string]int{"primary": 1, "replica": 0}[role])
			out := append([]byte("T\x00\x00\x00\x0a\x00\x01p\x00\x00\x00D\x00\x00\x00"), byte(10+len(row)), 0, 1, 0, 0, 0, byte(len(row)))
			out = append(append(out, row...), "C\x00\x00\x00\x09SHOW\x00"+ready...)
			c.Write(out)
			w.copyAnswer(c, in, out)
			continue
		}
		w.mu.Lock()
		answer := w.answer
		w.mu.Unlock()
		reply, then := answer(name, string(body))
		if reply != "" {
			io.WriteString(c, reply+string(notes)+ready)
			w.copyAnswer(c, in, []byte(reply+string(notes)+ready))
		}
		if then != nil {
			then(c)
			return
		}
	}
}

// copyAnswer sends a second copy of an answer up to longestCopyDelay late, if stores do that and nothing waits on the
// connection then.
func (w *world) copyAnswer(c *net.TCPConn, in *bufio.Reader, answer []byte) {
	const longestCopyDelay = 500 * time.Microsecond
	w.mu.Lock()
	copies := w.copies
	w.mu.Unlock()
	if !copies {
		return
	}
	c.SetReadDeadline(time.Now().Add(rand.N(longestCopyDelay)))
	_, err := in.Peek(1)
	c.SetReadDeadline(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.Write(answer)
	}
}

func reset(c *net.TCPConn) { c.SetLinger(0); c.Close() }

// hang says nothing until the test ends or lets it go.
func (w *world) hang(*net.TCPConn) { <-w.releasing }

// launch runs the program until the test ends, and gives its first log line that says so much. With MICATRACK_LOG set the
// whole log is printed.
func launch(t testing.TB, says string, env []string, args ...string) (cmd *exec.Cmd, line string) {
	t.Helper()
	return launchProgram(t, program, says, env, args...)
}

// launchProgram is launch of another build.
func launchProgram(t testing.TB, path, says string, env []string, args ...string) (cmd *exec.Cmd, line string) {
	t.Helper()
	cmd = exec.Command(path, args...)
	cmd.Env = append(env, "PATH="+os.Getenv("PATH"), "GORACE=halt_on_error=1 exitcode=66")
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	said := make(chan string, 1)
	go func() {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if strings.Contains(lines.Text(), "DATA RACE") || strings.Contains(lines.Text(), "panic") {
				t.Errorf("%s", lines.Text())
			}
			if os.Getenv("MICATRACK_LOG") != "" {
				fmt.Println(lines.Text())
			}
			if strings.Contains(lines.Text(), says) {
				select {
				case said <- lines.Text():
				default:
				}
			}
		}
	}()
	select {
	case line = <-said:
	case <-time.After(outer):
		t.Fatal("it does not serve")
	}
	return cmd, line
}

// start runs the program and waits until it serves.
func (w *world) start() *exec.Cmd {
	w.t.Helper()
	return w.startProgram(program)
}

// startProgram is start of another build.
func (w *world) startProgram(path string) *exec.Cmd {
	w.t.Helper()
	cmd, _ := launchProgram(w.t, path, "msg=serving", []string{"GW_DISCOVERY=" + strings.TrimPrefix(w.http.URL, "http://")},
		"serve", "-config", w.config, "-operators", w.switches)
	return cmd
}

// client is one connection to the program.
type client struct {
	t   *testing.T
	c   net.Conn
	r   *bufio.Reader
	key []byte // by which it cancels
	end string // the SQLSTATE behind which the connection was closed
}

func (w *world) client() *client {
	w.t.Helper()
	c, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(outer))
	cl := &client{w.t, c, bufio.NewReader(c), nil, ""}
	c.Write(pgwire.AppendStartup(nil, "web", "orders"))
	cl.answer()
	return cl
}

// serial numbers the requests of all tests, of which some run side by side.
var serial atomic.Int64

func (cl *client) ask(profile string) {
	cl.c.Write(pgwire.AppendSimpleQuery(nil, fmt.Sprintf("/* id=%d,c=%s,d=2500,cluster=1 */ SELECT payload FROM entries "+
		"WHERE ref = 'k'", serial.Add(1), profile)))
}

// answer gives "value", an SQLSTATE, "ready" for an answer without either, or "closed".
func (cl *client) answer() string {
	got := "ready"
	for {
		kind, body, err := message(cl.r)
		switch {
		case err != nil:
			if got != "ready" && got != "value" {
				cl.end = got
			}
			return "closed"
		case kind == 'D':
			got = "value"
			if string(body) != "\x00\x01\x00\x00\x00\x02ab" {
				cl.t.Errorf("row %q", body)
			}
		case kind == 'E':
			got = pgwire.SQLState(body)
		case kind == 'K':
			cl.key = body
		case kind == 'Z':
			return got
		}
	}
}

func (cl *client) want(profile, want string) {
	cl.t.Helper()
	cl.ask(profile)
	if got := cl.answer(); got != want {
		cl.t.Errorf("%s: %s, want %s", profile, got, want)
	}
}

func TestServed(t *testing.T) {
	w := newWorld(t, "primary", "replica")
	w.start()
	cl := w.client()
	cl.c.Write(pgwire.AppendSimpleQuery(nil, ""))
	if got := cl.answer(); got != "ready" {
		t.Fatalf("empty query: %s", got)
	}
	cl.want("save", "value")
	cl.want("any", "value")
	cl.want("mine", "value")
	cl.want("none", "22023")
	w.does(func(string, string) (string, func(*net.TCPConn)) { return failure("XX000"), nil })
	cl.want("save", "08007") // it may have run
	w.does(func(string, string) (string, func(*net.TCPConn)) { return failure("53300"), nil })
	cl.want("save", "53300") // it never ran
}

func TestStoresThatFail(t *testing.T) {
	w := newWorld(t, "primary", "replica")
	w.start()
	cl := w.client()
	cl.want("any", "value")
	for name, fail := range map[string]func(*net.TCPConn){"reset": reset, "hang": w.hang,
		"end": func(c *net.TCPConn) { c.Close() }} {
		w.does(func(store, _ string) (string, func(*net.TCPConn)) {
			if store == "replica" {
				return "", fail
			}
			return value, nil
		})
		began := time.Now()
		cl.ask("any")
		if got := cl.answer(); got != "value" && got != "53300" || time.Since(began) > 3*time.Second {
			t.Errorf("%s: a read ends with %s after %v", name, got, time.Since(began))
		}
		w.does(func(string, string) (string, func(*net.TCPConn)) { return "", fail })
		cl.want("save", "08007")
		w.does(func(string, string) (string, func(*net.TCPConn)) { return value, nil })
	}
	close(w.releasing)
}

func TestDrainsAndWatchesThatBreak(t *testing.T) {
	w := newWorld(t, "primary", "replica", "other")
	w.start()
	cl := w.client()
	var mu sync.Mutex
	seen := map[string]int{}
	w.does(func(store, _ string) (string, func(*net.TCPConn)) {
		mu.Lock()
		seen[store]++
		mu.Unlock()
		return value, nil
	})
	// until asks until the stores met in a row of jobs are as wanted.
	until := func(what string, ok func() bool) {
		t.Helper()
		for end := time.Now().Add(outer); ; {
			mu.Lock()
			clear(seen)
			mu.Unlock()
			for range 40 {
				cl.want("any", "value")
			}
			mu.Lock()
			done := ok()
			mu.Unlock()
			if done {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s: %v", what, seen)
			}
		}
	}
	until("both replicas serve", func() bool { return seen["replica"] > 0 && seen["other"] > 0 })
	w.change("other", "leaving")
	until("none goes to the one that drains", func() bool { return seen["replica"] > 0 && seen["other"] == 0 })
	w.mu.Lock()
	w.cut = true
	w.mu.Unlock()
	w.change("other", "active") // this line is cut off; the next watch brings the list
	until("the watch is opened again", func() bool { return seen["other"] > 0 })
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.watches < 2 || w.watches > 10 {
		t.Errorf("%d watches", w.watches)
	}
}

func TestTerm(t *testing.T) {
	w := newWorld(t, "primary")
	cmd := w.start()
	asked := make(chan struct{}, 9)
	w.does(func(string, string) (string, func(*net.TCPConn)) {
		asked <- struct{}{}
		<-w.releasing
		return value, nil
	})
	busy, idle := w.client(), w.client()
	busy.ask("save")
	<-asked
	cmd.Process.Signal(syscall.SIGTERM)
	late := w.client() // connections keep coming for a moment
	late.ask("save")
	if got := idle.answer(); got != "closed" {
		t.Errorf("the idle client: %s", got)
	}
	close(w.releasing)
	for name, cl := range map[string]*client{"in hand": busy, "taken late": late} {
		if got := cl.answer(); got != "value" {
			t.Errorf("the job %s: %s", name, got)
		}
		if got := cl.answer(); got != "closed" {
			t.Errorf("the client of the job %s: %s", name, got)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v", err)
	}
}

// TestReload: SIGHUP moves the watch to the address that the file now names, though the environment still names
// the old one; a file that cannot be read changes nothing; jobs go on all the while.
func TestReload(t *testing.T) {
	w := newWorld(t, "primary", "replica")
	w.switches = filepath.Join(t.TempDir(), "operators.json")
	os.WriteFile(w.switches, []byte(`{"door":{"on":true}}`), 0o600)
	cmd := w.start()
	cl := w.client()
	asked := make(chan struct{}, 99)
	other := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		if since := r.URL.Query().Get("since"); since != "" {
			t.Errorf("another discovery is asked since %s", since)
		}
		w.discovery(rw, r)
	}))
	t.Cleanup(func() { other.CloseClientConnections(); go other.Close() })
	whole, _ := os.ReadFile(w.config)
	moved := bytes.ReplaceAll(whole, []byte(w.http.URL[len("http://"):]), []byte(other.URL[len("http://"):]))
	hup := func(text []byte) {
		os.WriteFile(w.config, text, 0o600)
		cmd.Process.Signal(syscall.SIGHUP)
		for range 20 {
			cl.want("any", "value")
		}
	}
	hup(whole[:len(whole)/2])
	os.WriteFile(w.switches, []byte(`{"door":{"on":"perhaps"}}`), 0o600) // a faulty operators' file, with all else right
	hup(moved)
	select {
	case <-asked:
		t.Error("discovery is followed though the operators' file is faulty")
	case <-time.After(200 * time.Millisecond):
	}
	os.WriteFile(w.switches, []byte(`{"door":{"on":true}}`), 0o600)
	hup(moved)
	select {
	case <-asked:
	case <-time.After(outer):
		t.Fatal("the new discovery is not asked")
	}
	w.http.CloseClientConnections()
	hup(moved)
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err != nil || len(asked) > 0 {
		t.Errorf("it ends with %v, after %d more calls", err, len(asked))
	}
}

func TestKilledAndStartedAgain(t *testing.T) {
	w := newWorld(t, "primary", "replica")
	first := w.start()
	cl := w.client()
	cl.want("save", "value")
	first.Process.Kill()
	if got := cl.answer(); got != "closed" {
		t.Errorf("after the kill: %s", got)
	}
	first.Wait()
	w.start()
	again := w.client()
	again.want("save", "value")
	again.want("mine", "value")
}

func TestCommandLine(t *testing.T) {
	w := newWorld(t, "primary")
	taken, err := net.Listen("tcp", w.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	write := func(text string) string {
		path := filepath.Join(t.TempDir(), "c.json")
		os.WriteFile(path, []byte(text), 0o600)
		return path
	}
	whole, _ := os.ReadFile(w.config)
	for _, c := range []struct {
		args   []string
		status int
		say    string
	}{
		{nil, 2, "Usage"},
		{[]string{"route"}, 2, `unknown command "route"`},
		{[]string{"-h"}, 0, "serve"},
		{[]string{"serve", "-h"}, 0, "-config"},
		{[]string{"serve", "-nosuch"}, 2, "nosuch"},
		{[]string{"serve", "more"}, 2, `unexpected argument "more"`},
		{[]string{"version"}, 0, "micatrack"},
		{[]string{"check", "-config", w.config}, 0, "1 stores known"},
		{[]string{"serve"}, 2, "GW_CONFIG"},
		{[]string{"serve", "-config", "/nonexistent"}, 2, "/nonexistent"},
		{[]string{"serve", "-config", write("{")}, 2, "unexpected end"},
		{[]string{"serve", "-config", write(`{"listen":"nowhere"}`)}, 2, "listen"},
		{[]string{"serve", "-config", write(strings.Replace(string(whole), `"cores":1`, `"cores":0`, 1))}, 2, "limits"},
		{[]string{"serve", "-config", write(strings.Replace(string(whole), `"seed":"`, `"seed":"x`, 1))}, 2, "seed"},
		{[]string{"serve", "-config", write(strings.Replace(string(whole), `"state":"active"`, `"state":"odd"`, 1))}, 2, "known"},
		{[]string{"serve", "-config", write(strings.Replace(string(whole), `"session"`, `"odd"`, 1))}, 2, "Extra.Freshness"},
		{[]string{"check", "-config", w.config, "-operators", "../../deploy/operators.json"}, 0, "on: nothing more"},
		{[]string{"check", "--config=" + w.config, "--operators", write(`{"door":{"on":true}}`)}, 0, "on: door"},
		{[]string{"check", "-config", w.config, "-operators", write(`{"door":{"on":1}}`)}, 2, "/door/on: got number, want boolean"},
		{[]string{"serve", "-config", w.config, "-operators", write(`{"gate":{}}`)}, 2, "/gate: unknown key"},
		{[]string{"serve", "-config", w.config, "-operators", "/nonexistent"}, 2, "/nonexistent"},
		{[]string{"completion", "bash"}, 0, "micatrack"},
		{[]string{"serve", "-config", w.config}, 1, "listen"},
	} {
		cmd := exec.Command(program, c.args...)
		cmd.Env = []string{}
		out, _ := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != c.status || !strings.Contains(string(out), c.say) {
			t.Errorf("%v: status %d, want %d with %q: %s", c.args, got, c.status, c.say, out)
		}
	}
}
