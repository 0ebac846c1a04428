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

// entry is a store's line in the list.
func entry(id, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":"10.1.0.18:5433","zone":"a","cell":3,"state":%q,"weight":1.5,`+
		`"started_ms":1767225600123,"role":"replica"}`, id, state)
}

// writePieces writes text in pieces of that many bytes, each in a packet of its own.
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

// chunked puts text into an answer's chunks of that many bytes, with its end.
func chunked(text string, size int) string {
	out := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for ; text != ""; text = text[min(size, len(text)):] {
		piece := text[:min(size, len(text))]
		out += fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	}
	return out + "0\r\n\r\n"
}

// TestUnrequestedWholeLists forces whole lists on a watch that was opened since a version, as
// its first object, between changes and twice in a row, on one line and indented, in pieces down to a byte,
// with a length and in chunks. All are told in order, as whole ones, with all their stores, and the next call
// is since the last of them.
func TestUnrequestedWholeLists(t *testing.T) {
	const whole, changes, broke = balance.ListFull, balance.ListChanges, balance.ListFailed
	all := entry("s-1", "active") + "," + entry("s-2", "leaving") + "," + entry("s-3", "active")
	for _, c := range []struct {
		name    string
		objects []string
		news    []balance.ListKind
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
		// One that goes back is not believed on this watch; the next is opened for the whole list.
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
					told := make(chan struct{}, 99)
					w := newWatcher(addr, 40, func() { told <- struct{}{} }, slog.New(slog.NewTextHandler(io.Discard, nil)))
					w.answerTimeout, w.silenceTimeout = time.Hour, time.Hour // how fast the machine is says nothing here
					go w.run()
					w.Connect()
					if got := <-calls; got != "40" {
						t.Fatalf("opened since %q", got)
					}
					var lists []front.StoreList
					for range append(c.news, broke) {
						select {
						case <-told:
							lists = w.TakeUpdates(lists)
						case <-time.After(20 * time.Second):
							t.Fatalf("%s, in pieces of %d: only %v", c.name, size, lists)
						}
					}
					for k, want := range c.news {
						if lists[k].Kind != want || len(lists[k].Entries) != c.stores[k] {
							t.Errorf("%s, in pieces of %d: told %+v, want %d with %d stores", c.name, size, lists[k], want,
								c.stores[k])
						}
					}
					if last := lists[len(lists)-1]; last.Kind != broke || len(lists) != len(c.news)+1 {
						t.Errorf("%s, in pieces of %d: %d told, the last of them %+v", c.name, size, len(lists), last)
					}
					if w.Connect(); <-calls != c.since {
						t.Errorf("%s, in pieces of %d: the next call is not since %q", c.name, size, c.since)
					}
				}
			}
		}
	}
}

// refusingSockets is a front's sockets where no store is asked anything.
type refusingSockets struct{}

func (refusingSockets) Dial(string) (front.Link, error) { return nil, errors.New("refused") }

// runCore is a real core that a watcher's lists are told to, and that has it opened anew, on a virtual
// clock.
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

// TestDrainReportedAfterWatchFallsSilent forces a watch to live for 13 s, with an empty line every 2 s, and then to
// say nothing more in the moment in which a store begins to drain; the next call is answered, or is first
// refused, reset, or never answered. The drain is told within 6 s, by a watch opened anew, and calls are not
// made without end.
func TestDrainReportedAfterWatchFallsSilent(t *testing.T) {
	const life, within = 13 * time.Second, 6 * time.Second
	type answer = func(c net.Conn) // nil: the call is refused
	reset := func(c net.Conn) { c.Close() }
	mute := func(net.Conn) {}
	for name, bad := range map[string][]answer{"answered": nil, "refused": {nil, nil}, "reset": {reset, reset},
		"never answered": {mute}, "refused, then never answered": {nil, mute}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began, calls := time.Now(), 0
				var ends []net.Conn
				lives := func(c net.Conn) {
					io.WriteString(c, responseHead+list(1, true, entry("s-1", "active"))+"\n")
					for time.Since(began) < life-time.Second {
						time.Sleep(heartbeatInterval)
						io.WriteString(c, "\n")
					}
				}
				back := func(c net.Conn) {
					_, err := io.WriteString(c, responseHead+list(2, true, entry("s-1", "leaving"))+"\n")
					for ; err == nil; _, err = io.WriteString(c, "\n") {
						time.Sleep(heartbeatInterval)
					}
				}
				w := newWatcher("127.0.0.1:1", -1, func() {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
				w.client.Transport.(*http.Transport).DialContext = func(context.Context, string, string) (net.Conn,
					error) {
					here, there := net.Pipe()
					ends = append(ends, there)
					k := calls
					if calls++; k > 0 && k <= len(bad) && bad[k-1] == nil {
						return nil, errors.New("refused")
					}
					go func() {
						http.ReadRequest(bufio.NewReader(there))
						go io.Copy(io.Discard, there)
						switch {
						case k == 0:
							lives(there)
						case k <= len(bad):
							bad[k-1](there)
						default:
							back(there)
						}
					}()
					return here, nil
				}
				go w.run()
				var drains time.Duration
				runCore(t, w, began.Add(life+10*time.Second), func(l front.StoreList) {
					if l.Kind != balance.ListFailed && l.Entries[0].Condition == balance.Draining && drains == 0 {
						drains = time.Since(began)
					}
				})
				if drains < life || drains > life+within {
					t.Errorf("told %v after the beginning", drains)
				}
				if calls != 2+len(bad) {
					t.Errorf("%d calls", calls)
				}
				w.mu.Lock()
				w.cancelWatch()
				w.mu.Unlock()
				synctest.Wait()
				close(w.connectRequests) // run ends
				for _, c := range ends {
					c.Close()
				}
				time.Sleep(2 * heartbeatInterval) // whoever writes to them hears of it
			})
		})
	}
}

// TestSetAddrToLaggingAgent forces a move to an agent that lags: its first whole lists are from before what the old
// one has told, and close stores but open none; the first that is as new counts in full.
func TestSetAddrToLaggingAgent(t *testing.T) {
	const whole, older = balance.ListFull, balance.ListStale
	stays := func(text string) func(c *net.TCPConn) { return write(responseHead, text) }
	from, _ := startScript(t, stays(list(40, true, entry("s-1", "leaving"))))
	to, calls := startScript(t, stays(list(7, true, entry("s-1", "active"))+list(8, true, entry("s-1", "active"))+
		list(40, true, entry("s-1", "active"))))
	told := make(chan struct{}, 99)
	w := newWatcher(from, -1, func() { told <- struct{}{} }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.answerTimeout, w.silenceTimeout = time.Hour, time.Hour
	go w.run()
	w.Connect()
	var lists []front.StoreList
	for k, want := range []balance.ListKind{whole, older, older, whole} {
		select {
		case <-told:
			lists = w.TakeUpdates(lists)
		case <-time.After(20 * time.Second):
			t.Fatalf("only %d told", k)
		}
		if lists[k].Kind != want {
			t.Errorf("told %d as %d, want %d", k, lists[k].Kind, want)
		}
		if k == 0 {
			w.SetAddr(to)
		}
	}
	if since := <-calls; since != "" {
		t.Errorf("the new agent is asked since %q", since)
	}
}
