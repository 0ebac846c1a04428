package world

import (
	"fmt"
	"time"

	"micatrack/internal/front"
	"micatrack/internal/pgwire"
	"micatrack/internal/standin"
)

const sessions = 97 // of each group

// Kind is one kind of request that clients send.
type Kind struct {
	Class string
	Write bool
	Keyed,
	Fenced bool // it carries the position of its session's last write
	Bound Time // of the data's age when it is sent; 0: none
	Share int  // of all requests, beside those of the others
}

// Done is one request as its client saw it end.
type Done struct {
	standin.Outcome
	Front    string
	Kind     int
	Group    int
	At, Took Time
	Lost     bool // no answer within the client's time, or its connection broke
}

// asked is the request that a client's connection waits for.
type asked struct {
	Done
	text    []byte
	written bool
	code    string
	session int
}

// Load has clients send requests to every front from now on, each at a steady rate and whether or not others came back.
func (w *World) Load() {
	w.load = true
	for _, f := range w.Fronts {
		if !f.loading {
			f.loading = true
			w.At(1+f.chance.Below(Time(float64(Second)/w.Rate)), f.arrive)
		}
	}
}

// Rest stops new requests and waits for what is out.
func (w *World) Rest() {
	w.load = false
	w.Run(3 * w.Patience)
}

func (f *Front) arrive() {
	w := f.w
	if !w.load {
		f.loading = false
		return
	}
	w.At(Time((0.5+float64(f.chance.Below(1000))/1000)/w.Rate*float64(Second)), f.arrive)
	if f.core == nil || f.frozen || f.core.Stopping() {
		return // its clients are elsewhere
	}
	shares := 0
	for _, k := range w.Kinds {
		shares += max(k.Share, 1)
	}
	pick, kind := int(f.chance.Below(int64(shares))), 0
	for k := range w.Kinds {
		if kind = k; pick < max(w.Kinds[k].Share, 1) {
			break
		}
		pick -= max(w.Kinds[k].Share, 1)
	}
	k, g := &w.Kinds[kind], int(f.chance.Below(int64(len(w.Groups))))
	w.requests++
	a := &asked{session: int(f.chance.Below(sessions)), Done: Done{Front: f.Name, Kind: kind, Group: g, At: w.Now,
		Outcome: standin.Outcome{RequestID: fmt.Sprint("j", w.requests), Write: k.Write}}}
	text := fmt.Sprintf("/* id=%s,c=%s,t=t%d,d=%d,cluster=%d", a.RequestID, k.Class, w.requests%5, w.Patience/Millisecond, g+1)
	if k.Keyed {
		a.IdempotencyKey = "m" + a.RequestID
		text += ",k=" + a.IdempotencyKey
	}
	if k.Fenced {
		if a.After = w.after[g][a.session]; a.After > 0 {
			text += fmt.Sprintf(",after=%d", (a.After+9)/10)
		}
	}
	verb := " */ SELECT payload FROM entries WHERE ref = 's%d'"
	if k.Write {
		verb = " */ INSERT INTO entries (ref) VALUES ('s%d') RETURNING payload"
	}
	a.text = pgwire.AppendSimpleQuery(nil, text+fmt.Sprintf(verb, a.session))
	var l *link
	if n := len(f.idle); n > 0 {
		l, f.idle = f.idle[n-1], f.idle[:n-1]
		l.ask = a
		a.written = true
		l.push(a.text)
	} else {
		l = &link{f: f, other: Node{Name: "clients of " + f.Name}, side: client{f}, ask: a}
		f.own(l)
		l.in = pgwire.AppendStartup(nil, "web", "orders")
		l.news(front.Accepted | front.Readable)
	}
	w.At(2*w.Patience, func() {
		if l.ask == a { // nobody has answered
			l.ask = nil
			l.hang()
			a.end(w, true)
		}
	})
}

// client is the other end of a client's link.
type client struct{ f *Front }

func (c client) ended(l *link) {
	if a := l.ask; a != nil {
		l.ask = nil
		a.end(c.f.w, true)
	}
	for k, o := range c.f.idle {
		if o == l {
			c.f.idle = append(c.f.idle[:k], c.f.idle[k+1:]...)
			break
		}
	}
}

func (c client) took(l *link, b []byte) {
	l.buf = append(l.buf, b...)
	for {
		kind, body, n, err := pgwire.ParseMessage(l.buf, 1<<20)
		if err != nil {
			l.hang()
			c.ended(l)
			return
		}
		if n == 0 {
			return
		}
		l.buf = l.buf[n:]
		a := l.ask
		switch {
		case kind == 'E' && a != nil:
			a.code = pgwire.SQLState(body)
		case kind != 'Z':
		case a != nil && !a.written:
			a.written = true
			l.push(a.text)
		case a != nil:
			l.ask = nil
			a.end(c.f.w, false)
			c.f.idle = append(c.f.idle, l)
		}
	}
}

func (a *asked) end(w *World, lost bool) {
	a.Took, a.Lost = w.Now-a.At, lost
	if !lost {
		a.Delivered, a.Rejected = a.code == "", a.code == pgwire.TooManyConnections
	}
	if a.Delivered && a.Write {
		p := w.Groups[a.Group].WritePosition(a.RequestID)
		w.after[a.Group][a.session] = max(w.after[a.Group][a.session], p)
	}
	w.Done = append(w.Done, a.Done)
}

// Check holds all requests against the ledgers, over all fronts together, and gives the rules that were broken.
func (w *World) Check(grace Time) (broken []string) {
	told := make([][]standin.Outcome, len(w.Groups))
	for _, d := range w.Done {
		if !d.Lost {
			told[d.Group] = append(told[d.Group], d.Outcome)
		}
	}
	for g, group := range w.Groups {
		broken = append(broken, group.Check(told[g], time.Duration(grace)*100*time.Microsecond)...)
		seen := map[string]int64{}
		for _, e := range group.Ledger() {
			if !e.Write {
				seen[e.RequestID] = e.Position
			}
		}
		for _, d := range w.Done {
			bound := w.Kinds[d.Kind].Bound
			if d.Group == g && d.Delivered && bound > 0 && seen[d.RequestID] < w.sent[d.RequestID]-bound {
				broken = append(broken, fmt.Sprintf("%s was answered from %d ms before it was sent", d.RequestID, (w.sent[d.RequestID]-seen[d.RequestID])/10))
			}
		}
	}
	for _, f := range w.Fronts {
		if f.core != nil && f.core.PendingRequests() > 0 && !w.load {
			broken = append(broken, fmt.Sprintf("%s has %d jobs in hand that nobody waits for", f.Name, f.core.PendingRequests()))
		}
	}
	for _, s := range w.Stores {
		if s.Fell > 0 {
			broken = append(broken, fmt.Sprintf("%s was pushed over while cold, %d times", s.Name, s.Fell))
		}
	}
	return broken
}

// Tally is what became of requests that set out in a span.
type Tally struct {
	Requests, InTime, Late, Back, Off, Lost int
}

// Tally counts the requests that set out from one moment to another; in time is an answer within so long.
func (w *World) Tally(from, to, within Time) (t Tally) {
	for _, d := range w.Done {
		if d.At < from || d.At >= to {
			continue
		}
		t.Requests++
		switch {
		case d.Lost:
			t.Lost++
		case d.Delivered && d.Took <= within:
			t.InTime++
		case d.Delivered:
			t.Late++
		case d.Rejected:
			t.Back++
		default:
			t.Off++
		}
	}
	return t
}
