package front

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/pgwire"
)

// sendInPieces sends text in pieces of that many bytes, with one step for each.
func (s *harness) sendInPieces(w *fakeLink, text string, size int) {
	for ; text != ""; text = text[min(size, len(text)):] {
		s.send(w, text[:min(size, len(text))])
	}
}

// forms are the requests that the protocol specification allows, each with the time that its client waits, in ms.
var forms = []struct {
	name, text string
	left       int
}{
	{"read",
		"/* id=9b1f,c=any,t=acme,d=480,cluster=3 */ SELECT payload FROM entries WHERE ref = '7f3a'", 480},
	{"read with a position",
		"/* id=9b1f,c=session,t=acme,d=480,cluster=3,after=1767225600123 */ SELECT payload FROM entries " +
			"WHERE ref = '7f3a'", 480},
	{"write",
		"/* id=9b1f,c=once,d=2480,cluster=3 */ INSERT INTO entries (ref, payload) VALUES ('7f3a', '\\x9f03') " +
			"RETURNING payload", 2480},
	{"keyed write",
		"/* id=9b1f,c=keyed,t=acme,d=480,k=5c0f,cluster=3 */ INSERT INTO entries (ref, payload) " +
			"VALUES ('7f3a', '\\x9f03') RETURNING payload", 480},
	{"a client's further try",
		"/* id=9b1f,c=any,t=acme,d=80,cluster=3,r=1 */ SELECT payload FROM entries WHERE ref = '7f3a'",
		80},
	{"another order",
		"/* cluster=3,d=480,k=5c0f,r=1,t=acme,c=keyed,id=9b1f */ INSERT INTO entries (ref) VALUES ('7f3a') RETURNING payload", 480},
	{"no blanks", "/*id=9b1f,c=any,d=480,cluster=3*/SELECT payload FROM entries WHERE ref = '7f3a'", 480},
	{"no key", "/* id=9b1f,c=any,d=480,cluster=3 */ SELECT payload FROM entries", 480},
	{"the longest value",
		"/* id=9b1f,c=once,d=480,cluster=3 */ INSERT INTO entries (ref, payload) VALUES ('7f3a', '\\x" +
			strings.Repeat("9f", 64<<10) + "') RETURNING payload", 480},
}

// TestRequestFormsInPieces sends each form of request that the protocol specification allows in pieces, down to one
// byte at a time and from the startup message on, and its answer too, among all messages that a store may send along
// with it. The store must be sent the statement unchanged except for the time that is left, and the client the value;
// both connections must remain usable.
func TestRequestFormsInPieces(t *testing.T) {
	const welcome = "R\x00\x00\x00\x08\x00\x00\x00\x00"
	notes := status("role", "primary") + status("applied_ms", "1767225600100") + status("load",
		"inflight=7,util=0.61")
	notice := "N" + string(pgwire.AppendError(nil, "NOTICE", "00000", "m", ""))[1:]
	hello := "\x00\x00\x00\x08\x04\xd2\x16\x2f" + string(pgwire.AppendStartup(nil, "web", "orders"))
	empty := string(pgwire.AppendSimpleQuery(nil, ""))
	for _, form := range forms {
		for _, size := range []int{1, 2, 7, 1 << 20} {
			s := newHarness(t, 20, true)
			s.restartWith(balance.Class{Name: "keyed", Need: balance.Write, Repeat: balance.Keyed, Window: 2 * second,
				ExpectedTime: 6000,
				Deadline:     12000, Credit: 1}, StoreEntry{ID: "s", Addr: "127.0.0.1:1", Member: balance.Member{Group: 3,
				Condition: balance.Ready,
				Primary:   true, Size: 1}})
			cl := &fakeLink{}
			s.step(Event{cl, Accepted})
			s.sendInPieces(cl, hello+string(pgwire.AppendSimpleQuery(nil, form.text)), size)
			if got := cl.takeOutput(); !strings.HasPrefix(got, "NR") || !strings.HasSuffix(got, ready) || len(s.dials) != 1 {
				t.Fatalf("%s in pieces of %d: %q and %d dials", form.name, size, got, len(s.dials))
			}
			st := s.dials[0]
			for n := range 2 { // the same connections serve another request
				if n == 0 {
					st.takeOutput()
					s.sendInPieces(st, welcome+status("server_version", "15.0")+ready, size)
				} else {
					s.sendInPieces(cl, empty+string(pgwire.AppendSimpleQuery(nil, form.text)), size)
				}
				sent, left := withoutTimeout(t, st.takeOutput())
				if want, _ := withoutTimeout(t, string(pgwire.AppendSimpleQuery(nil, form.text))); sent != want {
					t.Fatalf("%s in pieces of %d: the store is sent %.200q, want %.200q", form.name, size, sent, want)
				}
				if left > form.left || left < form.left-10 {
					t.Errorf("%s in pieces of %d: the store is sent %d ms, the client waits %d", form.name, size, left,
						form.left)
				}
				s.sendInPieces(st, notice+value+notes+notice+ready, size)
				want := value + ready
				if n > 0 {
					want = "I\x00\x00\x00\x04" + ready + want
				}
				if got := cl.takeOutput(); got != want {
					t.Fatalf("%s in pieces of %d: answered %q", form.name, size, got)
				}
			}
			s.sendInPieces(cl, "X\x00\x00\x00\x04", size)
			if !cl.finished || len(s.dials) != 1 || st.closed {
				t.Errorf("%s in pieces of %d: finished %v, %d dials, store's closed %v", form.name, size, cl.finished,
					len(s.dials), st.closed)
			}
			s.step(Event{cl, Closed})
			s.checkReleased(0)
		}
	}
}

var told = regexp.MustCompile(`([ ,*])d=(\d+)`)

// withoutTimeout returns the statement of one query message without its timeout, and that timeout.
func withoutTimeout(t *testing.T, message string) (text string, left int) {
	t.Helper()
	kind, body, n, err := pgwire.ParseMessage([]byte(message), pgwire.MaxQuerySize)
	if kind != 'Q' || n != len(message) || err != nil || body[len(body)-1] != 0 {
		t.Fatalf("%.200q is no query", message)
	}
	times := told.FindAllSubmatch(body, -1)
	if len(times) != 1 {
		t.Fatalf("%.200q has %d timeouts", body, len(times))
	}
	left, err = strconv.Atoi(string(times[0][2]))
	if err != nil || left < 1 {
		t.Errorf("%.200q has no timeout", body)
	}
	return string(told.ReplaceAll(body[:len(body)-1], []byte("${1}d=?"))), left
}

// TestTimeoutSentOnRetries forces a request to be sent up to four times, each attempt ended in another way and after
// another time, some after a late connection, with admission control and without. No attempt may give its store more
// time than the client has left at that moment.
func TestTimeoutSentOnRetries(t *testing.T) {
	const clientTimeout = 1000 // ms
	ways := map[string]func(s *harness, st *fakeLink){
		"broken":     func(s *harness, st *fakeLink) { s.step(Event{st, Closed}) },
		"turned":     func(s *harness, st *fakeLink) { s.send(st, failed("53300"), ready) },
		"behind":     func(s *harness, st *fakeLink) { s.send(st, failed("72000"), ready) },
		"failed":     func(s *harness, st *fakeLink) { s.send(st, failed("XX000"), ready) },
		"no sense":   func(s *harness, st *fakeLink) { s.send(st, "?\x00\x00\x00\x04") },
		"half value": func(s *harness, st *fakeLink) { s.send(st, value[:20]); s.step(Event{st, Closed}) },
	}
	for name, end := range ways {
		for _, with := range []bool{false, true} {
			for _, span := range []Time{1, 150 * millisecond, 400 * millisecond} {
				s := newHarness(t, 20, true)
				if with {
					s.core.limits.Admission = &admission.Bounds{MaxRequests: 100, MaxBytes: 1 << 20, DedicatedTenants: 10, SharedQueues: 10, SharedWeight: 10,
						RetriesPerRequest: 10}
				}
				s.restartWith(balance.Class{Name: "x", ExpectedTime: 3000, Deadline: 12000, Credit: 1, LateCredit: 0.5},
					StoreEntry{ID: "s", Addr: "127.0.0.1:1", Member: balance.Member{Group: 3, Condition: balance.Ready,
						Primary: true, Size: 1}},
					StoreEntry{ID: "r", Addr: "127.0.0.1:2", Member: balance.Member{Group: 3, Condition: balance.Ready, Size: 1}})
				cl := s.newClient()
				s.send(cl, string(pgwire.AppendSimpleQuery(nil, fmt.Sprintf("/* id=1,c=x,d=%d,cluster=3 */ SELECT 'k'",
					clientTimeout))))
				until, attempts, looked := s.now+clientTimeout*millisecond, 0, 0
				for s.now < until+second && len(cl.out) == 0 {
					for ; looked < len(s.dials); looked++ { // a new connection is late
						w := s.dials[looked]
						w.takeOutput()
						s.advance(span / 2)
						if w.closed {
							continue
						}
						s.send(w, "R\x00\x00\x00\x08\x00\x00\x00\x00", ready)
					}
					for _, w := range s.dials {
						if w.closed || len(w.out) == 0 {
							continue
						}
						_, left := withoutTimeout(t, w.takeOutput())
						written := s.now - millisecond // at the earliest: the connections are examined that often
						if attempts++; Time(left)*millisecond > until-written {
							t.Errorf("%s, admission %v, %d ms each: attempt %d is sent %d ms, %d are left", name, with, span/millisecond,
								attempts, left,
								(until-written)/millisecond)
						}
						s.advance(span)
						if !w.closed {
							end(s, w)
						}
					}
					s.advance(millisecond)
				}
				if least := map[bool]int{false: 2, true: 1}[span > 200*millisecond]; attempts < least {
					t.Errorf("%s, admission %v, %d ms each: %d attempts", name, with, span/millisecond, attempts)
				}
			}
		}
	}
}

// row returns a store's answer whose value is text.
func row(text string) string {
	return value[:11] + "D\x00\x00\x00" + string([]byte{byte(10 + len(text)), 0, 1, 0, 0, 0, byte(len(text))}) +
		text + value[24:]
}

// TestAllConnectionsUsedUp forces a front to have no connection left: the stores hang with one request on each
// connection that it may open, or accept connections and never complete their startup, and its clients have the rest.
// It must refuse all further requests; what hangs must end when its time runs out, and within 4 s of the stores' return
// attempts must start again by themselves.
func TestAllConnectionsUsedUp(t *testing.T) {
	const links, clients, hangs = 12, 8, 10 * second
	for _, welcomes := range []bool{true, false} {
		s := newHarness(t, links)
		s.core.limits.MaxClients = clients
		var open []*fakeLink
		for range clients {
			open = append(open, s.newClient())
		}
		answered, looked, asked, sent := 0, 0, 0, Time(0)
		turn := func(back bool) { // each client that waits for nothing sends a request, and the stores act as they do now
			for _, cl := range open {
				if got := cl.takeOutput(); got != "" || asked < clients {
					answered++
					asked++
					s.send(cl, ask("any", 1000+asked))
				}
			}
			for ; looked < len(s.dials); looked++ {
				if w := s.dials[looked]; !w.closed && (welcomes || back) {
					w.takeOutput()
					s.send(w, "R\x00\x00\x00\x08\x00\x00\x00\x00", ready)
				}
			}
			for _, w := range s.dials {
				out := string(w.out)
				if w.closed || out == "" {
					continue
				}
				if strings.Contains(out, "/* id=") {
					sent = s.now
				}
				if w.takeOutput(); back && strings.Contains(out, "SHOW load") {
					report := fmt.Sprintf("x0=%d.0000,x1=1", s.now/second)
					s.send(w, row(report), ready)
				} else if back {
					s.send(w, value, ready)
				}
			}
			s.advance(10 * millisecond)
		}
		for end := s.now + hangs; s.now < end; {
			turn(false)
		}
		if answered < 2*clients {
			t.Errorf("welcomes %v: only %d requests were answered", welcomes, answered)
		}
		if n := len(s.core.conns) + len(s.core.clients); n > links {
			t.Errorf("welcomes %v: %d connections where %d have room", welcomes, n, links)
		}
		returned := s.now
		for sent < returned && s.now < returned+20*second {
			turn(true)
		}
		if sent < returned || sent > returned+4*second {
			t.Errorf("welcomes %v: the next attempt %d ms after the stores' return", welcomes,
				(sent-returned)/millisecond)
		}
		for _, cl := range open {
			s.step(Event{cl, Closed})
		}
		s.advance(2 * second)
		s.checkReleased(0)
	}
}

// TestRefusedOnceWithoutProbes forces one refused connection where the settings allow no probes, and then has the store
// accept connections again: it must be used again within 4 s.
func TestRefusedOnceWithoutProbes(t *testing.T) {
	s := newHarness(t, 20, true)
	cl := s.newClient()
	s.send(cl, ask("once", 1))
	s.step(Event{s.dials[0], Closed}) // refused
	before := len(s.dials)
	for n := 2; n < 42 && len(s.dials) == before; n++ { // ten requests a second for 4 s
		s.send(cl, ask("any", n))
		s.advance(100 * millisecond)
	}
	if len(s.dials) == before {
		t.Error("no attempt within 4 s")
	}
}
