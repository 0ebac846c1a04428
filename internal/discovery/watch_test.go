package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"micatrack/balance"
	"micatrack/internal/front"
	"micatrack/internal/settings"
)

// entry returns the list entry of a store.
func entry(id, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":"10.1.0.18:5433","zone":"a","cell":3,"state":%q,"weight":1.5,`+
		`"started_ms":1767225600123,"role":"replica"}`, id, state)
}

// writePieces returns an answer that writes text in pieces of size bytes, each in its own packet, and closes the connection.
func writePieces(text string, size int) func(c *net.TCPConn) {
	return func(c *net.TCPConn) {
		c.SetNoDelay(true)
		for ; text != ""; text = text[min(size, len(text)):] {
			if _, err := io.WriteString(c, text[:min(size, len(text))]); err != nil {
				return
			}
			time.Sleep(time.Microsecond)
		}
		c.Close()
	}
}

// chunked returns a complete response that carries text in chunks of size bytes.
func chunked(text string, size int) string {
	out := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for ; text != ""; text = text[min(size, len(text)):] {
		piece := text[:min(size, len(text))]
		out += fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	return out + "0\r\n\r\n"
}

// TestUnrequestedWholeLists sends whole lists on a watch that requested changes since a version: as the first object, between
// changes and twice in a row, on one line and indented, in pieces down to one byte, without a length and in chunks. All must be
// reported in order, as whole lists with all their stores, and the next call must request changes since the last of them.
func TestUnrequestedWholeLists(t *testing.T) {
	const whole, changes, broke = balance.ListFull, balance.ListChanges, balance.ListFailed
	all := entry("s-1", "active") + "," + entry("s-2", "leaving") + "," + entry("s-3", "active")
	for _, c := range []struct {
		name    string
		objects []string
		kinds   []balance.ListKind
		stores  []int
		since   string
	}{
		{"first", []string{list(41, true, all)}, []balance.ListKind{whole}, []int{3}, "41"},
		{"at the same version", []string{list(40, true, all)}, []balance.ListKind{whole}, []int{3}, "40"},
		{"between changes", []string{list(41, false, entry("s-2", "leaving")), list(42, true, all),
			list(43, false, entry("s-3", "left"))}, []balance.ListKind{changes, whole, changes}, []int{1, 3, 1}, "43"},
		{"twice", []string{list(41, true, all), list(42, true, entry("s-1", "active"))},
			[]balance.ListKind{whole, whole}, []int{3, 1}, "42"},
		{"empty", []string{list(41, true)}, []balance.ListKind{whole}, []int{0}, "41"},
		// A list with an older version is rejected on this watch; the next watch requests the whole list.
		{"going back", []string{list(41, true, all), list(39, true, all)}, []balance.ListKind{whole}, []int{3}, ""},
		{"first, and older", []string{list(39, true, all)}, nil, nil, ""},
	} {
		for _, size := range []int{1, 7, 1 << 20} {
			for _, put := range []func(text string) string{func(text string) string { return text }, indented} {
				for _, form := range []func(text string) string{func(text string) string { return responseHead + text },
					func(text string) string { return chunked(text, 3*size) }} {
					var text strings.Builder
					for _, o := range c.objects {
						text.WriteString(put(o) + "\n\n")
					}
					addr, calls := startScript(t, writePieces(form(text.String()), size))
					updated := make(chan struct{}, 99)
					w := newWatcher(addr, 40, func() { updated <- struct{}{} }, slog.New(slog.NewTextHandler(io.Discard, nil)))
					w.answerTimeout, w.silenceTimeout = time.Hour, time.Hour // so that a slow machine can't fail the test
					go w.run()
					w.Connect()
					if got := <-calls; got != "40" {
						t.Fatalf("the watch requests changes since %q", got)
					}
					var lists []front.StoreList
					for range append(c.kinds, broke) {
						select {
						case <-updated:
							lists = w.TakeUpdates(lists)
						case <-time.After(20 * time.Second):
							t.Fatalf("%s, in pieces of %d: received only %v", c.name, size, lists)
						}
					}
					for k, want := range c.kinds {
						if lists[k].Kind != want || len(lists[k].Entries) != c.stores[k] {
							t.Errorf("%s, in pieces of %d: received %+v, want kind %d with %d stores", c.name, size, lists[k], want,
								c.stores[k])
						}
					}
					if last := lists[len(lists)-1]; last.Kind != broke || len(lists) != len(c.kinds)+1 {
						t.Errorf("%s, in pieces of %d: received %d lists, the last %+v", c.name, size, len(lists), last)
					}
					if w.Connect(); <-calls != c.since {
						t.Errorf("%s, in pieces of %d: the next call does not request changes since %q", c.name, size, c.since)
					}
				}
			}
		}
	}
}

// refusingSockets implements front.Sockets and refuses every dial.
type refusingSockets struct{}

func (refusingSockets) Dial(string) (front.Link, error) { return nil, errors.New("refused") }

// runCore runs a real core with the lists of w on a virtual clock until the given time. The core reopens the watch when it
// breaks. onList is called for each list.
func runCore(t *testing.T, w *Watcher, until time.Time, onList func(l front.StoreList)) {
	const tick = 100 * time.Microsecond
	now := func() front.Time { return time.Now().UnixNano() / int64(tick) }
	c := balance.Settings{Seed: 7, Fronts: 1, EventInterval: 50, ListPushed: true, ListInterval: 100_000, AnswerSlack: 200,
		WarmupTime:  100_000,
		MaxAttempts: 4, Classes: []balance.Class{{Name: "any", ExpectedTime: 3000, Deadline: 12_000, Credit: 1}}}
	core, err := front.New(now(), c, settings.Process{DialTimeout: 2500, IdleTimeout: 300_000}, front.Limits{MaxConnections: 20,
		MaxClients: 10, MaxStoreMessage: 1 << 16},
		refusingSockets{}, w.Connect, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	var lists []front.StoreList
	for w.Connect(); time.Now().Before(until); time.Sleep(max(time.Duration(core.NextStep()-now())*tick, tick)) {
		for _, l := range w.TakeUpdates(lists[:0]) {
			core.UpdateStores(l)
			onList(l)
		}
		core.Step(now(), nil)
	}
}

// TestDrainReportedAfterWatchFallsSilent keeps a watch alive for 13 s, with an empty line every 2 s, and lets it fall silent at
// the moment a store begins to drain. The next calls are answered, or first refused, reset or never answered. The drain must be
// reported within 6 s by a new watch, and the number of calls must be bounded.
func TestDrainReportedAfterWatchFallsSilent(t *testing.T) {
	const silentAfter, within = 13 * time.Second, 6 * time.Second
	type answer = func(c net.Conn) // nil: the call is refused
	reset := func(c net.Conn) { c.Close() }
	unanswered := func(net.Conn) {}
	for name, failures := range map[string][]answer{"answered": nil, "refused": {nil, nil}, "reset": {reset, reset},
		"never answered": {unanswered}, "refused, then never answered": {nil, unanswered}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, calls := time.Now(), 0
				var ends []net.Conn
				serveFirstWatch := func(c net.Conn) {
					io.WriteString(c, responseHead+list(1, true, entry("s-1", "active"))+"\n")
					for time.Since(began) < silentAfter-time.Second {
						time.Sleep(heartbeatInterval)
						io.WriteString(c, "\n")
					}
				}
				serveRecovered := func(c net.Conn) {
					_, err := io.WriteString(c, responseHead+list(2, true, entry("s-1", "leaving"))+"\n")
					for ; err == nil; _, err = io.WriteString(c, "\n") {
						time.Sleep(heartbeatInterval)
					}
				}
				w := newWatcher("127.0.0.1:1", -1, func() {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
				w.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn,
					error) {
					clientEnd, serverEnd := net.Pipe()
					ends = append(ends, serverEnd)
					k := calls
					if calls++; k > 0 && k <= len(failures) && failures[k-1] == nil {
						return nil, errors.New("refused")
					}
					go func() {
						http.ReadRequest(bufio.NewReader(serverEnd))
						go io.Copy(io.Discard, serverEnd)
						switch {
						case k == 0:
							serveFirstWatch(serverEnd)
						case k <= len(failures):
							failures[k-1](serverEnd)
						default:
							serveRecovered(serverEnd)
						}
					}()
					return clientEnd, nil
				}
				go w.run()
				var drainedAfter time.Duration
				runCore(t, w, began.Add(silentAfter+10*time.Second), func(l front.StoreList) {
					if l.Kind != balance.ListFailed && l.Entries[0].Condition == balance.Draining && drainedAfter == 0 {
						drainedAfter = time.Since(began)
					}
				})
				if drainedAfter < silentAfter || drainedAfter > silentAfter+within {
					t.Errorf("the drain was reported %v after the beginning", drainedAfter)
				}
				if calls != 2+len(failures) {
					t.Errorf("%d calls", calls)
				}
				w.mu.Lock()
				w.cancelWatch()
				w.mu.Unlock()
				synctest.Wait()
				close(w.connectRequests) // ends run
				for _, c := range ends {
					c.Close()
				}
				time.Sleep(2 * heartbeatInterval) // the goroutines that write to them get an error and end
			})
		})
	}
}

// TestSetAddrToLaggingAgent switches to an agent that lags: its first whole lists are older than what the old agent has sent and
// are reported as older ones, which take stores out of use but put none into use. The first one that is as new counts in full.
func TestSetAddrToLaggingAgent(t *testing.T) {
	const whole, older = balance.ListFull, balance.ListStale
	stays := func(text string) func(c *net.TCPConn) { return write(responseHead, text) }
	from, _ := startScript(t, stays(list(40, true, entry("s-1", "leaving"))))
	to, calls := startScript(t, stays(list(7, true, entry("s-1", "active"))+list(8, true, entry("s-1", "active"))+
		list(40, true, entry("s-1", "active"))))
	updated := make(chan struct{}, 99)
	w := newWatcher(from, -1, func() { updated <- struct{}{} }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.answerTimeout, w.silenceTimeout = time.Hour, time.Hour
	go w.run()
	w.Connect()
	var lists []front.StoreList
	for k, want := range []balance.ListKind{whole, older, older, whole} {
		select {
		case <-updated:
			lists = w.TakeUpdates(lists)
		case <-time.After(20 * time.Second):
			t.Fatalf("received only %d lists", k)
		}
		if lists[k].Kind != want {
			t.Errorf("list %d is of kind %d, want %d", k, lists[k].Kind, want)
		}
		if k == 0 {
			w.SetAddr(to)
		}
	}
	if since := <-calls; since != "" {
		t.Errorf("the new agent is asked for changes since %q", since)
	}
}
