package front

import (
	"fmt"
	"strings"
	"testing"

	"micatrack/internal/pgwire"
)

// keyed returns a query of that class and timeout on the entry of that key.
func keyed(class string, id int, milliseconds int, key string) string {
	return string(pgwire.AppendSimpleQuery(nil,
		fmt.Sprintf("/* id=%d,c=%s,d=%d,cluster=3 */ SELECT '%s'", id, class, milliseconds, key)))
}

// carrierOf returns the open store connection that carries the request of that id.
func (s *harness) carrierOf(id int) *fakeLink {
	s.t.Helper()
	for _, dial := range s.dials {
		if !dial.closed && strings.Contains(string(dial.out), fmt.Sprintf("id=%d,", id)) {
			return dial
		}
	}
	return nil
}

// welcomeAll answers the startup of all connections to the store.
func (s *harness) welcomeAll() {
	for n := 0; n < len(s.dials); n++ {
		if dial := s.dials[n]; strings.HasPrefix(string(dial.out), "\x00") {
			dial.takeOutput()
			s.send(dial, "R\x00\x00\x00\x08\x00\x00\x00\x00", ready)
		}
	}
}

// TestPipelinedReadsRunTogether checks that pipelined reads are sent to the store together, each with its own timeout,
// and that the answers are sent in the order of the commands, whichever the store gives first.
func TestPipelinedReadsRunTogether(t *testing.T) {
	s := newHarness(t, 20)
	cl := s.newClient()
	s.send(cl, keyed("any", 1, 1000, "a"), keyed("any", 2, 1000, "b"), keyed("session", 3, 1000, "c"))
	s.welcomeAll()
	first, second, third := s.carrierOf(1), s.carrierOf(2), s.carrierOf(3)
	if first == nil || second == nil || third == nil {
		t.Fatal("not all are sent")
	}
	s.send(third, row("cc")+ready)
	s.send(second, row("bb")+ready)
	if got := cl.takeOutput(); got != "" {
		t.Fatalf("answered out of order: %q", got)
	}
	if s.core.bufferedBytes != 2*len(row("bb")+ready) {
		t.Errorf("%d bytes buffered", s.core.bufferedBytes)
	}
	s.send(first, row("aa")+ready)
	if got := cl.takeOutput(); got != row("aa")+ready+row("bb")+ready+row("cc")+ready {
		t.Fatalf("answers %q", got)
	}
	if len(cl.in) != 0 || s.core.bufferedBytes != 0 || s.core.pipelined != 0 {
		t.Errorf("%d bytes unread, %d buffered, %d pipelined", len(cl.in), s.core.bufferedBytes, s.core.pipelined)
	}
	s.step(Event{cl, Closed})
	s.checkReleased(0)
}

// TestPipelinedDeadlineFromLastByte checks that a read behind a write of its session whose time has run out is answered
// as soon as the write is, and is not sent then.
func TestPipelinedDeadlineFromLastByte(t *testing.T) {
	s := newHarness(t, 20)
	cl := s.newClient()
	write, read := keyed("once", 1, 3000, "k"), keyed("session", 2, 1000, "k")
	s.send(cl, write, read[:len(read)-1])
	s.welcomeAll()
	s.advance(second / 2)
	s.send(cl, read[len(read)-1:]) // its time starts here
	s.advance(second * 9 / 10)
	s.send(s.carrierOf(1), value, ready)
	if got := cl.takeOutput(); got != value+ready {
		t.Fatalf("the write is answered %q", got)
	}
	s.welcomeAll()
	carrier := s.carrierOf(2)
	if carrier == nil {
		t.Fatal("a read with a tenth of its time left is not sent")
	}
	if left := string(carrier.out); !strings.Contains(left, "d=99,") && !strings.Contains(left, "d=98,") {
		t.Errorf("its store is sent the timeout %q", left[strings.Index(left, "id=2"):])
	}
	s.send(carrier, value, ready)
	cl.takeOutput()

	s.send(cl, strings.Replace(write, "id=1", "id=3", 1), strings.Replace(read, "id=2", "id=4", 1))
	s.welcomeAll()
	s.advance(second * 11 / 10)
	s.send(s.carrierOf(3), value, ready)
	got := cl.takeOutput()
	if !strings.HasPrefix(got, value+ready) || code(t, strings.TrimPrefix(got, value+ready)) != pgwire.TooManyConnections {
		t.Errorf("answers %q", got)
	}
	if s.carrierOf(4) != nil {
		t.Error("it is sent after its time")
	}
	s.step(Event{cl, Closed})
	s.checkReleased(0)
}

// TestPipelinedOrderWithinASession checks that a read waits for the write before it on the same entry, and a write for
// a read. Entries of other sessions run concurrently, and writes keep their order.
func TestPipelinedOrderWithinASession(t *testing.T) {
	for _, c := range []struct {
		name           string
		before, behind string
		together       bool
	}{
		{"read behind a write", keyed("once", 1, 1000, "k"), keyed("session", 2, 1000, "k"), false},
		{"read of another session behind a write", keyed("once", 1, 1000, "k"), keyed("session", 2, 1000, "l"), true},
		{"write behind a read", keyed("session", 1, 1000, "k"), keyed("once", 2, 1000, "k"), false},
		{"write of another session behind a read", keyed("any", 1, 1000, "k"), keyed("once", 2, 1000, "l"), true},
		{"write behind a write", keyed("once", 1, 1000, "k"), keyed("once", 2, 1000, "l"), false},
		{"read behind a read", keyed("session", 1, 1000, "k"), keyed("session", 2, 1000, "k"), true},
	} {
		s := newHarness(t, 20)
		cl := s.newClient()
		s.send(cl, c.before, c.behind)
		s.welcomeAll()
		if got := s.carrierOf(2) != nil; got != c.together {
			t.Errorf("%s: concurrent %v", c.name, got)
			continue
		}
		s.send(s.carrierOf(1), value, ready)
		s.welcomeAll()
		if s.carrierOf(2) == nil {
			t.Errorf("%s: never sent", c.name)
			continue
		}
		s.send(s.carrierOf(2), value, ready)
		if got := cl.takeOutput(); got != value+ready+value+ready {
			t.Errorf("%s: answers %q", c.name, got)
		}
		s.step(Event{cl, Closed})
		s.checkReleased(0)
	}
}

// TestPipelineBounds checks that at most maxPipelined requests of one client are pending behind the first, and that
// answers past the memory bound become failures; all are answered once, in order.
func TestPipelineBounds(t *testing.T) {
	s := newHarness(t, 200)
	s.core.limits.MaxBufferedReplies = 2 * len(value+ready)
	cl := s.newClient()
	text, asked := "", 3*maxPipelined
	for id := 1; id <= asked; id++ {
		text += keyed("any", id, 1000, "k")
	}
	s.send(cl, text)
	if s.core.pending != maxPipelined+1 {
		t.Errorf("%d pending", s.core.pending)
	}
	s.welcomeAll()
	for id := maxPipelined + 1; id > 0; id-- {
		if carrier := s.carrierOf(id); carrier != nil {
			s.send(carrier, value, ready)
			carrier.takeOutput()
		}
		if s.core.bufferedBytes > s.core.limits.MaxBufferedReplies+maxPipelined*80 {
			t.Errorf("%d bytes buffered", s.core.bufferedBytes)
		}
	}
	s.advance(3 * second)
	answers := strings.Count(cl.takeOutput(), ready)
	if answers != asked {
		t.Errorf("%d answers", answers)
	}
	s.step(Event{cl, Closed})
	s.checkReleased(0)
}

// TestPipelineOfDisconnectedClient checks that everything is released that a disconnected client had pending, answered
// or not.
func TestPipelineOfDisconnectedClient(t *testing.T) {
	s := newHarness(t, 20)
	cl := s.newClient()
	s.send(cl, keyed("any", 1, 1000, "a"), keyed("any", 2, 1000, "b"), keyed("any", 3, 1000, "c"))
	s.welcomeAll()
	s.send(s.carrierOf(3), value, ready)
	carriers := []*fakeLink{s.carrierOf(1), s.carrierOf(2)}
	s.step(Event{cl, Closed})
	for _, carrier := range carriers {
		if !carrier.closed {
			t.Error("an attempt is not cancelled")
		}
	}
	if s.core.bufferedBytes != 0 || s.core.pipelined != 0 {
		t.Errorf("%d buffered, %d pipelined", s.core.bufferedBytes, s.core.pipelined)
	}
	s.checkReleased(0)
}

// TestShutdownWithPipeline checks that during a shutdown every request that was read before the connection ends is
// answered, and that the connection ends after the last answer; later input is not accepted.
func TestShutdownWithPipeline(t *testing.T) {
	s := newHarness(t, 20)
	cl := s.newClient()
	s.core.Stop(s.now)
	s.advance(s.core.shutdownAt - s.now - second/100)
	s.send(cl, keyed("any", 1, 5000, "a"), keyed("any", 2, 5000, "b"))
	s.welcomeAll()
	s.advance(second / 50)
	s.send(cl, keyed("any", 3, 5000, "c"))
	s.welcomeAll()
	for _, id := range []int{2, 1, 3} {
		if cl.finished {
			t.Fatalf("it ends before request %d is answered", id)
		}
		s.send(s.carrierOf(id), value, ready)
	}
	if got := cl.takeOutput(); got != strings.Repeat(value+ready, 3) {
		t.Errorf("answers %q", got)
	}
	s.send(cl, keyed("any", 4, 5000, "d"))
	if !cl.finished || s.carrierOf(4) != nil {
		t.Errorf("ended %v, sent input received after the end: %v", cl.finished, s.carrierOf(4) != nil)
	}
	s.step(Event{cl, Closed})
	s.advance(second)
	s.checkReleased(0)
}

// TestPipelineAtShutdown forces SIGTERM while one request is pending and others of the same client have been read
// behind it. Each request that was read before the front ended the connection must be answered, in order, before the
// client is closed.
func TestPipelineAtShutdown(t *testing.T) {
	s := newHarness(t, 20)
	cl := s.newClient()
	long := func(n int) string { return strings.Replace(ask("once", n), "d=1000", "d=3000", 1) }
	s.send(cl, long(1), long(2), ask("any", 3))
	st := s.welcomeNewest()
	s.core.Stop(s.now)
	s.advance(second * 5 / 2) // idle clients are closed by now
	s.send(st, value, ready)
	for range 3 {
		if !st.closed && strings.Contains(string(st.out), "id=") {
			st.takeOutput()
			s.send(st, value, ready)
		}
		s.advance(100)
	}
	s.advance(2 * second)
	if got := cl.takeOutput(); strings.Count(got, ready) != 3 || !cl.finished {
		t.Errorf("%d of 3 requests that were read are answered, closed %v: %q", strings.Count(got, ready), cl.finished, got)
	}
}

// TestArrivalTimes checks that arrival times are distinct up to the bound, that beyond it a message never counts as
// arrived too late, and that a message in more pieces than the bound counts from its last byte.
func TestArrivalTimes(t *testing.T) {
	const size = 10 // bytes of a message
	message := "S\x00\x00\x00\x09-----"
	var a arrivalTimes
	buffer := ""
	for n := 1; n <= 2*maxArrivalMarks; n++ {
		buffer += message
		a.scan([]byte(buffer), Time(n))
	}
	if a.arrivedAt(size, 99) != 1 || a.arrivedAt(2*size, 99) != 2 || a.arrivedAt(2*maxArrivalMarks*size, 99) != maxArrivalMarks {
		t.Errorf("%+v", a)
	}
	a.discard(size)
	if a.arrivedAt(size, 99) != 2 || a.arrivedAt(2*size, 99) != 3 || a.count != maxArrivalMarks-1 {
		t.Errorf("after a message was dropped: %+v", a)
	}
	if a.arrivedAt(1000, 99) != 99 {
		t.Error("an arrival that was never recorded does not count as now")
	}
	a = arrivalTimes{}
	long := "Q\x00\x00\x03\xe8" + strings.Repeat("-", 996)
	for n := 1; n <= len(long); n++ {
		a.scan([]byte(long[:n]), Time(n))
	}
	if got := a.arrivedAt(len(long), 99); got != Time(len(long)) || a.count != 1 {
		t.Errorf("in pieces: arrived at %d, of %d", got, len(long))
	}
	a.scan([]byte("?\xff\xff\xff\xff"), 5) // input that cannot be parsed ends no message
}

func TestCommandsSentWithTheStartupCountFromTheirArrival(t *testing.T) {
	s := newHarness(t, 40, true)
	cl := &fakeLink{in: pgwire.AppendStartup(nil, "web", "orders")}
	cl.in = append(cl.in, keyed("once", 1, 500, "a")+keyed("once", 2, 500, "a")+keyed("once", 3, 500, "a")...)
	s.step(Event{cl, Accepted | Readable})
	s.welcomeAll()
	cl.takeOutput()
	s.advance(500 * millisecond)
	if answers := strings.Count(cl.takeOutput(), ready); answers != 3 {
		t.Errorf("%d of 3 commands are answered when their client's time is over", answers)
	}
}
