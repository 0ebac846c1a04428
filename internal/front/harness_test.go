package front

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"micatrack/balance"
	"micatrack/internal/pgwire"
	"micatrack/internal/settings"
)

// fakeLink is a link whose peer is the test.
type fakeLink struct {
	addr             string // the address that was dialled; "" for a client
	in, out          []byte
	input            []byte // memory that benchmarks reuse for in
	takenBytes       int    // bytes read by the test
	discardedBytes   int    // bytes of input that the core has discarded
	heldBytes        []byte // input that the system holds; PeerOpen receives it
	unsentBytes      int    // queued bytes that the system has not accepted
	queries          int    // queries among the bytes read
	lateSentBytes    int    // of the unsent bytes, those accepted just before the close
	owner            any
	closed, finished bool
	inputWaits       bool          // more input waits than there is room for
	peerGone         bool          // its peer has disconnected, and the core has not been told
	writeLimit       int           // bytes that Write has room for; 0: any
	inputAge         time.Duration // time since the system received the last input; 0: it does not tell
	// ownMarkers is set if the test itself answers the empty queries ahead of a request. Otherwise a store's link does,
	// and the test sees neither them nor their answers.
	ownMarkers  bool
	markerBytes int // bytes of the empty queries that the test does not see
}

func (w *fakeLink) Peek() []byte { return w.in }
func (w *fakeLink) Discard(n int) {
	w.in = w.in[n:]
	w.discardedBytes += n
	if len(w.in) == 0 {
		w.in = w.input[:0]
	}
}
func (w *fakeLink) ReceivedBytes() int64    { return int64(w.discardedBytes + len(w.in)) }
func (w *fakeLink) ReadOn() bool            { return true }
func (w *fakeLink) InputWaits() bool        { return w.inputWaits }
func (w *fakeLink) InputAge() time.Duration { return w.inputAge }
func (w *fakeLink) Write(p []byte) bool {
	if w.writeLimit > 0 && len(w.out)+len(p) > w.writeLimit {
		return false
	}
	if w.addr != "" && !w.ownMarkers {
		p = w.answerMarkers(p)
	}
	w.out = append(w.out, p...)
	return true
}

// answerMarkers answers the empty queries at the start of p, as a store does, and returns what follows them.
func (w *fakeLink) answerMarkers(p []byte) []byte {
	for bytes.HasPrefix(p, []byte(emptyQuery)) {
		p = p[len(emptyQuery):]
		w.markerBytes += len(emptyQuery)
		w.in = append(w.in, emptyAnswer...)
	}
	return p
}

func (w *fakeLink) Flush() {}
func (w *fakeLink) SentBytes() int64 {
	return int64(w.markerBytes + w.takenBytes + len(w.out) - w.unsentBytes)
}
func (w *fakeLink) Flushed() bool { return w.unsentBytes == 0 }
func (w *fakeLink) Abort()        { w.Close() }
func (w *fakeLink) Close()        { w.closed, w.unsentBytes = true, w.unsentBytes-w.lateSentBytes }
func (w *fakeLink) CloseWrite()   { w.finished = true }
func (w *fakeLink) PeerState() PeerState {
	w.in = append(w.in, w.heldBytes...)
	w.heldBytes = nil
	switch {
	case w.peerGone:
		return PeerGone
	case w.inputWaits:
		return PeerUnknown
	}
	return PeerConnected
}
func (w *fakeLink) CloseWriteIfIdle() bool {
	if w.PeerState(); len(w.in) > 0 || w.unsentBytes > 0 {
		return false
	}
	w.CloseWrite()
	return true
}
func (w *fakeLink) CloseIfIdle(last []byte) bool {
	if w.PeerState(); len(w.in) > 0 {
		return false
	}
	w.out = append(w.out, last...)
	w.Close()
	return true
}
func (w *fakeLink) Owner() any     { return w.owner }
func (w *fakeLink) SetOwner(o any) { w.owner = o }

func (w *fakeLink) takeOutput() string {
	s := string(w.out)
	w.takenBytes += len(s)
	w.queries += strings.Count(s, "/* id=1")
	w.out = w.out[:0]
	return s
}

// harness is a core with one group of one store, its primary, unless a test lists more.
type harness struct {
	t         testing.TB
	core      *Core
	now       Time
	dials     []*fakeLink
	dialError error

	settings balance.Settings
}

var errLost = errors.New("refused")

func (s *harness) Dial(addr string) (Link, error) {
	if s.dialError != nil {
		return nil, s.dialError
	}
	w := &fakeLink{addr: addr}
	s.dials = append(s.dials, w)
	return w, nil
}

const second = 1000 * millisecond

func newHarness(t testing.TB, links int, silent ...bool) *harness {
	s := &harness{t: t, now: 17672256000000}
	c := balance.Settings{Seed: 7, Fronts: 1, EventInterval: 50, FencesCarried: true, ListPushed: true, ListInterval: 100000,
		AnswerSlack: 200, StartCapacity: 0.2, WarmupTime: 100000, ColdOverloadFactor: 3, ColdOverloadSpan: 15000, MaxAttempts: 4,
		MayProbe: len(silent) == 0, MayCancel: true, ProbePrice: 0.01, MaxRetryAfter: 10000, Classes: []balance.Class{
			{Name: "any", ExpectedTime: 3000, Deadline: 12000, Credit: 1},
			{Name: "session", Need: balance.Session, ExpectedTime: 3000, Deadline: 12000, Credit: 1},
			{Name: "once", Need: balance.Write, Repeat: balance.AtMostOnce, ExpectedTime: 6000, Deadline: 30000,
				Credit: 4, LateCredit: 0.5}}}
	s.settings = c
	h := settings.Process{DialTimeout: 2500, IdleTimeout: 300000, LoadReports: "on_probe"}
	var err error
	s.core, err = New(s.now, c, h, Limits{MaxConnections: links, MaxClients: links - 2, MaxStoreMessage: 1 << 20, ClientIdle: 2 * second, ShutdownGrace: second / 2}, s, func() {},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	s.core.UpdateStores(StoreList{Kind: balance.ListFull, Entries: []StoreEntry{{ID: "s", Addr: "127.0.0.1:1", Member: balance.Member{
		Group: 3, Condition: balance.Ready, Primary: true, Size: 1}}}})
	s.core.Step(s.now, nil)
	return s
}

func (s *harness) step(events ...Event) {
	s.now++
	s.core.Step(s.now, events)
}

// advance advances the time in the steps that the core asks for.
func (s *harness) advance(span Time) {
	for end := s.now + span; s.now < end; {
		s.now = min(max(s.core.NextStep(), s.now+1), end)
		s.core.Step(s.now, nil)
	}
}

func (s *harness) send(w *fakeLink, text ...string) {
	w.in = append(w.in, strings.Join(text, "")...)
	s.step(Event{w, Readable})
}

func (s *harness) newClient() *fakeLink {
	w := &fakeLink{in: pgwire.AppendStartup(nil, "web", "orders")}
	s.step(Event{w, Accepted | Readable})
	if got := w.takeOutput(); !strings.HasPrefix(got, "R") || !strings.HasSuffix(got, ready) {
		s.t.Fatalf("welcome %q", got)
	}
	return w
}

// welcomeNewest answers the startup of the newest store connection.
func (s *harness) welcomeNewest() *fakeLink {
	if len(s.dials) == 0 {
		s.t.Fatal("no store was dialled")
	}
	w := s.dials[len(s.dials)-1]
	w.takeOutput()
	s.send(w, "R\x00\x00\x00\x08\x00\x00\x00\x00", ready)
	return w
}

func (s *harness) checkReleased(clients int) {
	s.t.Helper()
	c := s.core
	if c.pending != 0 || len(c.clients) != clients || len(c.results)+len(c.tasks)+len(c.arrived) != 0 {
		s.t.Errorf("not everything is released: %v", c)
	}
	for i := range c.requests {
		if req := &c.requests[i]; req.inUse || req.queued != 0 {
			s.t.Errorf("request %d is still in use", i)
		}
	}
	for i := range c.stores {
		for _, e := range c.stores[i].waiting {
			if e.request >= 0 {
				s.t.Errorf("store %d: an attempt waits", i)
			}
		}
	}
}

const (
	ready       = "Z\x00\x00\x00\x05I"
	emptyQuery  = "Q\x00\x00\x00\x05\x00"
	emptyAnswer = "I\x00\x00\x00\x04" + ready // to an empty query
)

func ask(class string, n int) string {
	return string(pgwire.AppendSimpleQuery(nil, fmt.Sprintf("/* id=%d,c=%s,d=1000,cluster=3 */ SELECT 'k'", n, class)))
}

func failed(code string) string { return string(pgwire.AppendError(nil, "ERROR", code, "m", "")) }

func status(name, value string) string { return string(pgwire.AppendParameter(nil, name, value)) }

var value = "T\x00\x00\x00\x0a\x00\x01p\x00\x00\x00" + "D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x02ab" +
	"C\x00\x00\x00\x0dSELECT 1\x00"

// code returns the SQLSTATE of an answer that is one error and ready, or "value" for the store's value.
func code(t *testing.T, answer string) string {
	t.Helper()
	if answer == value+ready {
		return "value"
	}
	kind, body, n, err := pgwire.ParseMessage([]byte(answer), pgwire.MaxQuerySize)
	if kind != 'E' || err != nil || answer[n:] != ready && answer[n:] != "" {
		t.Errorf("answer %q", answer)
		return ""
	}
	return pgwire.SQLState(body)
}
