package discovery

import (
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"micatrack/balance"
)

// TestCallsWhileSilent: calls that were made while discovery was silent are never answered; one more is made each time that
// the watch is asked for, and the first that is answered is the watch. The others are closed.
func TestFirstAnsweredCallBecomesWatch(t *testing.T) {
	const unanswered = 3
	closed := make(chan struct{}, unanswered)
	silent := func(c *net.TCPConn) {
		io.Copy(io.Discard, c) // until the watcher ends it
		closed <- struct{}{}
	}
	addr, calls := startScript(t, silent, silent, silent, write(responseHead, list(7, true, storeEntry)+"\n"))
	told := make(chan struct{}, 9)
	w := newWatcher(addr, -1, func() { told <- struct{}{} }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	w.silenceTimeout, w.answerTimeout = time.Hour, time.Hour
	go w.run()
	for range unanswered + 1 {
		w.Connect()
		select {
		case <-calls:
		case <-time.After(20 * time.Second):
			t.Fatal("no further call is made")
		}
	}
	select {
	case <-told:
	case <-time.After(20 * time.Second):
		t.Fatal("nothing is told")
	}
	if got := w.TakeUpdates(nil); len(got) != 1 || got[0].Kind != balance.ListFull {
		t.Errorf("told %+v", got)
	}
	for range unanswered {
		select {
		case <-closed:
		case <-time.After(20 * time.Second):
			t.Fatal("a call that is not needed any more stays open")
		}
	}
	w.Connect() // a watch stands
	select {
	case <-calls:
		t.Error("one more call though a watch stands")
	case <-time.After(100 * time.Millisecond):
	}
}

// TestCallsAreBounded: however often the watch is asked for, no more than maxCalls calls are open at once.
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
		t.Errorf("%d calls", len(calls))
	}
}
