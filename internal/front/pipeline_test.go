package front

import (
	"fmt"
	"strings"
	"testing"

	"micatrack/internal/pgwire"
)

// keyed is a query of that class and time on the entry of that key.
func keyed(class string, id int, milliseconds int, key string) string {
	return string(pgwire.AppendSimpleQuery(nil,
		fmt.Sprintf("/* id=%d,c=%s,d=%d,cluster=3 */ SELECT '%s'", id, class, milliseconds, key)))
}

// asked gives the open connection to the store that carries the request of that id.
func (s *stage) asked(id int) *wire {
	s.t.Helper()
	for _, dial := range s.dials {
		if !dial.closed && strings.Contains(string(dial.out), fmt.Sprintf("id=%d,", id)) {
			return dial
		}
	}
	return nil
}

// up answers the start of all connections to the store.
func (s *stage) up() {
	for n := 0; n < len(s.dials); n++ {
		if dial := s.dials[n]; strings.HasPrefix(string(dial.out), "\x00") {
			dial.take()
			s.say(dial, "R\x00\x00\x00\x08\x00\x00\x00\x00", ready)
		}
	}
}

// TestPipelinedReadsRunTogether: reads that came behind another are sent on with it, each with its own time; the answers
// go out in the order of the commands, whichever the store gives first.
func TestPipelinedReadsRunTogether(t *testing.T) {
	s := newStage(t, 20)
	cl := s.client()
	s.say(cl, keyed("any", 1, 1000, "a"), keyed("any", 2, 1000, "b"), keyed("session", 3, 1000, "c"))
	s.up()
	first, second, third := s.asked(1), s.asked(2), s.asked(3)
	if first == nil || second == nil || third == nil {
		t.Fatal("not all are sent on")
	}
	s.say(third, row("cc")+ready)
	s.say(second, row("bb")+ready)
	if got := cl.take(); got != "" {
		t.Fatalf("answered out of order: %q", got)
	}
	if s.core.kept != 2*len(row("bb")+ready) {
		t.Errorf("%d bytes kept", s.core.kept)
	}
	s.say(first, row("aa")+ready)
	if got := cl.take(); got != row("aa")+ready+row("bb")+ready+row("cc")+ready {
		t.Fatalf("answers %q", got)
	}
	if len(cl.in) != 0 || s.core.kept != 0 || s.core.behind != 0 {
		t.Errorf("%d bytes unread, %d kept, %d behind", len(cl.in), s.core.kept, s.core.behind)
	}
	s.step(Event{cl, Closed})
	s.idle(0)
}

// TestPipelinedTimeCountsFromItsLastByte: what waits behind a write of its session is answered as soon as the write is,
// once its own time is over, and is not sent on then.
func TestPipelinedTimeCountsFromItsLastByte(t *testing.T) {
	s := newStage(t, 20)
	cl := s.client()
	write, read := keyed("once", 1, 3000, "k"), keyed("session", 2, 1000, "k")
	s.say(cl, write, read[:len(read)-1])
	s.up()
	s.pass(second / 2)
	s.say(cl, read[len(read)-1:]) // its time begins here
	s.pass(second * 9 / 10)
	s.say(s.asked(1), value, ready)
	if got := cl.take(); got != value+ready {
		t.Fatalf("the write is answered %q", got)
	}
	s.up()
	carrier := s.asked(2)
	if carrier == nil {
		t.Fatal("a read with a tenth of its time left is not sent on")
	}
	if left := string(carrier.out); !strings.Contains(left, "d=99,") && !strings.Contains(left, "d=98,") {
		t.Errorf("it tells its store %q", left[strings.Index(left, "id=2"):])
	}
	s.say(carrier, value, ready)
	cl.take()

	s.say(cl, strings.Replace(write, "id=1", "id=3", 1), strings.Replace(read, "id=2", "id=4", 1))
	s.up()
	s.pass(second * 11 / 10)
	s.say(s.asked(3), value, ready)
	got := cl.take()
	if !strings.HasPrefix(got, value+ready) || code(t, strings.TrimPrefix(got, value+ready)) != pgwire.TooManyConnections {
		t.Errorf("answers %q", got)
	}
	if s.asked(4) != nil {
		t.Error("it is sent on after its time")
	}
	s.step(Event{cl, Closed})
	s.idle(0)
}

// TestPipelinedOrderWithinASession: a read waits for the write before it on the same entry, a write for a read; entries
// of other sessions go on beside them, and writes keep their order.
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
		s := newStage(t, 20)
		cl := s.client()
		s.say(cl, c.before, c.behind)
		s.up()
		if got := s.asked(2) != nil; got != c.together {
			t.Errorf("%s: together %v", c.name, got)
			continue
		}
		s.say(s.asked(1), value, ready)
		s.up()
		if s.asked(2) == nil {
			t.Errorf("%s: never sent on", c.name)
			continue
		}
		s.say(s.asked(2), value, ready)
		if got := cl.take(); got != value+ready+value+ready {
			t.Errorf("%s: answers %q", c.name, got)
		}
		s.step(Event{cl, Closed})
		s.idle(0)
	}
}

// TestPipelineBounds: of what one client sends at once no more than mostBehind requests are in hand behind the first, and
// answers past the bound of memory are failures; all are answered once, in order.
func TestPipelineBounds(t *testing.T) {
	s := newStage(t, 200)
	s.core.limits.MaxBufferedReplies = 2 * len(value+ready)
	cl := s.client()
	text, asked := "", 3*mostBehind
	for id := 1; id <= asked; id++ {
		text += keyed("any", id, 1000, "k")
	}
	s.say(cl, text)
	if s.core.inHand != mostBehind+1 {
		t.Errorf("%d in hand", s.core.inHand)
	}
	s.up()
	for id := mostBehind + 1; id > 0; id-- {
		if carrier := s.asked(id); carrier != nil {
			s.say(carrier, value, ready)
			carrier.take()
		}
		if s.core.kept > s.core.limits.MaxBufferedReplies+mostBehind*80 {
			t.Errorf("%d bytes kept", s.core.kept)
		}
	}
	s.pass(3 * second)
	answers := strings.Count(cl.take(), ready)
	if answers != asked {
		t.Errorf("%d answers", answers)
	}
	s.step(Event{cl, Closed})
	s.idle(0)
}

// TestPipelineOfOneThatGoesAhead: a client that goes leaves nothing behind of what it had in hand, answered or not.
func TestPipelineOfOneThatGoesAhead(t *testing.T) {
	s := newStage(t, 20)
	cl := s.client()
	s.say(cl, keyed("any", 1, 1000, "a"), keyed("any", 2, 1000, "b"), keyed("any", 3, 1000, "c"))
	s.up()
	s.say(s.asked(3), value, ready)
	carriers := []*wire{s.asked(1), s.asked(2)}
	s.step(Event{cl, Closed})
	for _, carrier := range carriers {
		if !carrier.closed {
			t.Error("an attempt goes on")
		}
	}
	if s.core.kept != 0 || s.core.behind != 0 {
		t.Errorf("%d kept, %d behind", s.core.kept, s.core.behind)
	}
	s.idle(0)
}

// TestStopWithAPipeline: at the end all that was read before the connection ends is answered, and it ends behind the last
// answer; what comes behind the end is not taken.
func TestStopWithAPipeline(t *testing.T) {
	s := newStage(t, 20)
	cl := s.client()
	s.core.Stop(s.now)
	s.pass(s.core.stopAt - s.now - second/100)
	s.say(cl, keyed("any", 1, 5000, "a"), keyed("any", 2, 5000, "b"))
	s.up()
	s.pass(second / 50)
	s.say(cl, keyed("any", 3, 5000, "c"))
	s.up()
	for _, id := range []int{2, 1, 3} {
		if cl.finished {
			t.Fatalf("it ends before request %d is answered", id)
		}
		s.say(s.asked(id), value, ready)
	}
	if got := cl.take(); got != strings.Repeat(value+ready, 3) {
		t.Errorf("answers %q", got)
	}
	s.say(cl, keyed("any", 4, 5000, "d"))
	if !cl.finished || s.asked(4) != nil {
		t.Errorf("ended %v, sent on what came after the end: %v", cl.finished, s.asked(4) != nil)
	}
	s.step(Event{cl, Closed})
	s.pass(second)
	s.idle(0)
}

// TestPipelineAcrossTheEnd forces SIGTERM while one request is in hand and others of the same client have been read behind
// it. Each that was read before the front ended the connection is answered, in order, and then it is hung up on.
func TestPipelineAcrossTheEnd(t *testing.T) {
	s := newStage(t, 20)
	cl := s.client()
	long := func(n int) string { return strings.Replace(ask("once", n), "d=1000", "d=3000", 1) }
	s.say(cl, long(1), long(2), ask("any", 3))
	st := s.store()
	s.core.Stop(s.now)
	s.pass(second * 5 / 2) // idle clients are hung up on by now
	s.say(st, value, ready)
	for range 3 {
		if !st.closed && strings.Contains(string(st.out), "id=") {
			st.take()
			s.say(st, value, ready)
		}
		s.pass(100)
	}
	s.pass(2 * second)
	if got := cl.take(); strings.Count(got, ready) != 3 || !cl.finished {
		t.Errorf("%d of 3 requests that were read are answered, hung up on %v: %q", strings.Count(got, ready), cl.finished, got)
	}
}

// TestArrivals: moments are told apart up to the bound, past it messages never count as come too late, and one that comes
// in more pieces than that counts from its last byte.
func TestArrivals(t *testing.T) {
	const size = 10 // bytes of a message
	message := "S\x00\x00\x00\x09-----"
	var a arrivals
	ring := ""
	for n := 1; n <= 2*mostMarks; n++ {
		ring += message
		a.scan([]byte(ring), Time(n))
	}
	if a.came(size, 99) != 1 || a.came(2*size, 99) != 2 || a.came(2*mostMarks*size, 99) != mostMarks {
		t.Errorf("%+v", a)
	}
	a.discard(size)
	if a.came(size, 99) != 2 || a.came(2*size, 99) != 3 || a.count != mostMarks-1 {
		t.Errorf("after a message was dropped: %+v", a)
	}
	if a.came(1000, 99) != 99 {
		t.Error("what was never noted came now")
	}
	a = arrivals{}
	long := "Q\x00\x00\x03\xe8" + strings.Repeat("-", 996)
	for n := 1; n <= len(long); n++ {
		a.scan([]byte(long[:n]), Time(n))
	}
	if got := a.came(len(long), 99); got != Time(len(long)) || a.count != 1 {
		t.Errorf("in pieces: came at %d, of %d", got, len(long))
	}
	a.scan([]byte("?\xff\xff\xff\xff"), 5) // what cannot be read ends nothing
}
