package discovery

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"micatrack/balance"
)

// TestFirstAnsweredCallBecomesWatch: calls made while discovery was unresponsive are never answered. Each Connect makes one more
// call, the first that is answered becomes the watch, and the others are closed.
func TestFirstAnsweredCallBecomesWatch(t *testing.T) {
	const unanswered = 3
	closed := make(chan struct{}, unanswered)
	silent := func(c *net.TCPConn) {
		io.Copy(io.Discard, c) // until the watcher cancels the call
		closed <- struct{}{}
	}
	addr, calls := startScript(t, silent, silent, silent, write(responseHead, list(7, true, storeEntry)+"\n"))
	updated := make(chan struct{}, 9)
	w := newWatcher(addr, -1, func() { updated <- struct{}{} }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.silenceTimeout, w.answerTimeout = time.Hour, time.Hour
	go w.run()
	for range unanswered + 1 {
		w.Connect()
		select {
		case <-calls:
		case <-time.After(20 * time.Second):
			t.Fatal("no further call was made")
		}
	}
	select {
	case <-updated:
	case <-time.After(20 * time.Second):
		t.Fatal("no list was received")
	}
	if got := w.TakeUpdates(nil); len(got) != 1 || got[0].Kind != balance.ListFull {
		t.Errorf("received %+v", got)
	}
	for range unanswered {
		select {
		case <-closed:
		case <-time.After(20 * time.Second):
			t.Fatal("a call that is no longer needed stays open")
		}
	}
	w.Connect() // a watch is open
	select {
	case <-calls:
		t.Error("another call was made while a watch was open")
	case <-time.After(100 * time.Millisecond):
	}
}

// TestCallsAreBounded: however often Connect is called, no more than maxCalls calls are open at once.
func TestCallsAreBounded(t *testing.T) {
	addr, calls := startScript(t)
	w := newWatcher(addr, -1, func() {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.silenceTimeout, w.answerTimeout = time.Hour, time.Hour
	go w.run()
	asked := time.Now()
	for time.Since(asked) < 300*time.Millisecond {
		w.Connect()
		time.Sleep(time.Millisecond)
	}
	if len(calls) < 2 || len(calls) > maxCalls {
		t.Errorf("%d calls, want 2 to maxCalls", len(calls))
	}
}
