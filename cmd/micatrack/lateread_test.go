//go:build linux && amd64

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
	"micatrack/internal/syscallfault"
)

const (
	holdUp           = 140 * time.Millisecond
	shortPatience    = 500                   // ms that the clients of these tests wait
	answerSlack      = 50 * time.Millisecond // in which an answer behind its client's time is accepted on sockets
	requestsPerBatch = 3
)

// patientClient sends requests at a known time and keeps its connection until its own time for them is over.
type patientClient struct {
	client
	sentAt time.Time
}

// sendRequests sends requests in one write, behind the startup message if the connection is new.
func (cl *patientClient) sendRequests(prefix []byte, name string, count int) {
	text := prefix
	for n := range count {
		text = pgwire.AppendSimpleQuery(text, fmt.Sprintf("/* id=%s-%d,c=any,d=%d,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'", name, n, shortPatience))
	}
	cl.sentAt = time.Now()
	cl.c.Write(text)
}

// expectAnswers checks that each request is answered before the client stops waiting.
func (cl *patientClient) expectAnswers(t *testing.T, name string, count int) {
	t.Helper()
	cl.c.SetReadDeadline(cl.sentAt.Add(shortPatience*time.Millisecond + answerSlack))
	for n := range count {
		if got := cl.answer(); got == "closed" {
			t.Errorf("%s: request %d of %d has no answer when its client stops waiting", name, n+1, count)
			return
		}
	}
}

func (w *world) dialPatient() *patientClient {
	w.t.Helper()
	conn, err := net.Dial("tcp", w.addr)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { conn.Close() })
	return &patientClient{client: client{w.t, conn, bufio.NewReader(conn), nil, ""}}
}

// hangForever has the stores take all requests and answer none.
func (w *world) hangForever() {
	w.does(func(string, string) (string, func(*net.TCPConn)) { return "", w.hang })
}

func TestRequestReadByAHeldUpFrontIsAnsweredInItsClientsTime(t *testing.T) {
	startup := pgwire.AppendStartup(nil, "web", "orders")
	for _, c := range []struct {
		name  string
		fresh bool
		count int
	}{
		{"open connection", false, 1},
		{"several requests", false, requestsPerBatch},
		{"new connection", true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "primary", "replica")
			w.hangForever()
			cmd := w.start()
			for round := range 3 {
				name := fmt.Sprintf("%s %d", c.name, round)
				var cl *patientClient
				if !c.fresh {
					cl = &patientClient{client: *w.client()}
				}
				cmd.Process.Signal(syscall.SIGSTOP)
				time.Sleep(5 * time.Millisecond)
				if c.fresh {
					cl = w.dialPatient()
					cl.sendRequests(startup, fmt.Sprintf("late-%d", round), c.count)
				} else {
					cl.sendRequests(nil, fmt.Sprintf("late-%d", round), c.count)
				}
				time.Sleep(holdUp)
				cmd.Process.Signal(syscall.SIGCONT)
				if c.fresh {
					cl.c.SetReadDeadline(time.Now().Add(outer))
					cl.answer() // of the startup
				}
				cl.expectAnswers(t, name, c.count)
			}
		})
	}
}

// slowCalls delays the result of each call of that number that is begun while enabled is set.
func slowCalls(number uint64, enabled *atomic.Bool) syscallfault.FaultFunc {
	return func(call syscallfault.Call) (fault syscallfault.Fault) {
		if call.Number == number && enabled.Load() {
			fault.Delay = holdUp
		}
		return fault
	}
}

func TestRequestReadByAHeldUpThreadIsAnsweredInItsClientsTime(t *testing.T) {
	for name, number := range map[string]uint64{"poller": syscall.SYS_EPOLL_WAIT, "accept": syscall.SYS_ACCEPT4} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, "primary", "replica")
			var enabled atomic.Bool
			w.startFaulty(slowCalls(number, &enabled))
			w.client().want("any", "value") // leaves a connection to a store open
			w.hangForever()
			for round := range 3 {
				cl := w.dialPatient()
				cl.c.Write(pgwire.AppendStartup(nil, "web", "orders"))
				cl.answer()
				enabled.Store(true)
				w.client() // ends the calls that were begun before
				if number == syscall.SYS_ACCEPT4 {
					cl = w.dialPatient()
					cl.sendRequests(pgwire.AppendStartup(nil, "web", "orders"), fmt.Sprintf("late-%d", round), 1)
					cl.c.SetReadDeadline(time.Now().Add(outer))
					cl.answer() // of the startup
				} else {
					cl.sendRequests(nil, fmt.Sprintf("late-%d", round), 1)
				}
				cl.expectAnswers(t, fmt.Sprintf("round %d", round), 1)
				enabled.Store(false)
				w.client() // ends the calls that are delayed
			}
		})
	}
}

func TestRequestWhoseDeadlineComesWhileHeldUpIsAnsweredInItsClientsTime(t *testing.T) {
	const beforeDeadline = 40 * time.Millisecond // from the next delay to the deadline
	w := newWorld(t, "primary", "replica")
	w.hangForever()
	cmd := w.start()
	holdUpFront := func() {
		cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(holdUp)
		cmd.Process.Signal(syscall.SIGCONT)
	}
	holdUpFront()
	time.Sleep(50 * time.Millisecond)
	for round := range 3 {
		cl := &patientClient{client: *w.client()}
		cl.sendRequests(nil, fmt.Sprintf("over-%d", round), requestsPerBatch)
		var delayed sync.WaitGroup
		delayed.Go(func() {
			time.Sleep(shortPatience*time.Millisecond - beforeDeadline)
			holdUpFront()
		})
		cl.expectAnswers(t, fmt.Sprintf("round %d", round), requestsPerBatch)
		delayed.Wait()
	}
}
