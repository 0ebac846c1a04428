package lease

import (
	"fmt"

	"micatrack/internal/random"
)

// Terms are what holders and grantors agree on, from the operators' file.
type Terms struct {
	Span   Time    // that a lease lasts from its last renewal
	Drift  float64 // part by which two clocks may run apart, either way
	Margin Time    // beside that, between the holder's last safe moment and the next grant
}

// safe is how long a holder may rely on a lease, by its own clock, from before it asked.
func (t *Terms) safe() Time { return Time(float64(t.Span) * (1 - t.Drift)) }

// waits is how long a grantor keeps a lease for its holder, by its own clock, from after it recorded.
func (t *Terms) waits() Time { return Time(float64(t.Span)*(1+t.Drift)) + t.Margin }

// Op is what is asked for.
type Op uint8

const (
	Acquire Op = iota + 1
	Renew
	Release
)

// Request is a question to the voters.
type Request struct {
	Op          Op
	Name        string
	From        Instance
	Token       uint64 // Renew, Release
	Seq         uint64 // the asker's, larger each time
	AckedSeq    uint64 // the newest of them that it has heard an answer to
	ForwardedBy uint64 // voter that passed it on; 0: none
	Addr        string // where the asker is reached
}

// Reply is what a voter says to one.
type Reply struct {
	Name          string
	To            Instance
	Seq           uint64
	Token         uint64   // 0: not granted
	Holder        Instance // who has it then, if anybody
	QueuePosition int      // who wait before the asker
}

// HolderHost is what a holder does.
type HolderHost interface {
	SendRequest(voter int, a Request)        // of the voters in their order
	LeaseAcquired(name string, token uint64) // it is this front's from now on
	LeaseLost(name string, why string)       // it no longer is
	Clocks() (monotonic, boot Time)          // of this machine, read now: a sleep moves only the second
}

// holding is one lease that a front wants or has.
type holding struct {
	name   string
	token  uint64 // 0: not held
	safe   Time   // last moment at which it may be relied on
	asked  [4]Time
	seqs   [4]uint64 // of those asks
	askAt  Time
	voter  int // that is asked next
	misses int
	giving uint64 // token that is being given back; 0: none is
	until  Time   // by then it has ended by itself
	again  bool   // it is wanted once more
}

// Holder keeps the leases of one front. It holds one for no longer than its own clock says, whatever anybody tells it.
type Holder struct {
	host     HolderHost
	self     Instance
	addr     string
	terms    Terms
	voters   int
	mwc      random.Source
	now      Time
	slept    Time // boot time less monotonic, as last seen
	seq      uint64
	heard    uint64
	holdings []holding
}

// NewHolder starts with no leases.
func NewHolder(now Time, self Instance, addr string, voters int, t Terms, seed uint64, h HolderHost) *Holder {
	mono, boot := h.Clocks()
	return &Holder{host: h, self: self, addr: addr, terms: t, voters: voters, mwc: random.New(seed), now: now, slept: boot - mono}
}

func (h *Holder) find(name string) *holding {
	for i := range h.holdings {
		if h.holdings[i].name == name {
			return &h.holdings[i]
		}
	}
	return nil
}

// Acquire asks for a lease from now on. An error says why that cannot be.
func (h *Holder) Acquire(now Time, name string) error {
	h.now = now
	if name == "" || len(name) > MaxNameBytes || len(h.holdings) >= 256 {
		return fmt.Errorf("lease %q: no name, a long one, or too many", name)
	}
	if l := h.find(name); l != nil {
		l.again = l.giving != 0
		return nil
	}
	h.holdings = append(h.holdings, holding{name: name, askAt: now, voter: int(h.mwc.Below(int64(h.voters)))})
	return nil
}

// Release gives a lease back, and asks for it no more. No act may be under way.
func (h *Holder) Release(now Time, name string) {
	h.now = now
	l := h.find(name)
	if l == nil {
		return
	}
	if l.again = false; l.giving != 0 {
		return
	}
	if l.token == 0 {
		h.forget(name)
		return
	}
	l.giving, l.until, l.askAt = l.token, l.safe, now
	h.lose(l, "given back")
	h.give(l)
}

// give tells two voters, in case that the first is gone, and again until one has answered.
// Danger: who leads may change at this very moment, and what was told to neither would keep the lease from all for its time.
func (h *Holder) give(l *holding) {
	h.seq++
	l.seqs[h.seq%uint64(len(l.seqs))], l.asked[h.seq%uint64(len(l.seqs))] = h.seq, h.now
	l.askAt = h.now + h.terms.Span/24
	for range min(2, h.voters) {
		l.voter = (l.voter + 1) % h.voters
		h.host.SendRequest(l.voter, Request{Op: Release, Name: l.name, From: h.self, Token: l.giving, Seq: h.seq, AckedSeq: h.heard, Addr: h.addr})
	}
}

// given ends it.
func (h *Holder) given(l *holding) {
	if l.again {
		*l = holding{name: l.name, askAt: h.now, voter: l.voter}
	} else {
		h.forget(l.name)
	}
}

// Empty tells that nothing is held, wanted or being given back.
func (h *Holder) Empty() bool { return len(h.holdings) == 0 }

// SetVoterCount has so many voters be asked from now on.
func (h *Holder) SetVoterCount(voters int) {
	h.voters = max(voters, 1)
	for i := range h.holdings {
		h.holdings[i].voter %= h.voters
	}
}

// ReleaseAll gives all back, at a planned stop.
func (h *Holder) ReleaseAll(now Time) {
	for i := len(h.holdings) - 1; i >= 0; i-- {
		h.Release(now, h.holdings[i].name)
	}
}

func (h *Holder) forget(name string) {
	for i := range h.holdings {
		if h.holdings[i].name == name {
			h.holdings = append(h.holdings[:i], h.holdings[i+1:]...)
			return
		}
	}
}

func (h *Holder) lose(l *holding, why string) {
	if l.token != 0 {
		l.token, l.safe = 0, 0
		l.seqs = [4]uint64{} // what was asked for the old one grants nothing of a new one's time
		h.host.LeaseLost(l.name, why)
	}
}

// UsableToken tells whether an act of at most so long may begin now, and under which token. The clock is read here, not
// handed in: between two turns the process may have been stopped. It may still be stopped between this and the act, so
// what is acted on has to refuse a token older than one that it has seen.
func (h *Holder) UsableToken(name string, longest Time) (token uint64, ok bool) {
	mono, boot := h.host.Clocks()
	l := h.find(name)
	if l == nil || l.token == 0 || longest < 0 || mono+longest > l.safe || boot-mono-h.slept > h.terms.Margin {
		return 0, false
	}
	return l.token, true
}

// HandleReply takes a reply in, and tells whether it answers something that was asked of late.
func (h *Holder) HandleReply(now Time, r Reply) bool {
	h.now = now
	l := h.find(r.Name)
	if l == nil || r.To != h.self {
		return false
	}
	at := Time(-1)
	for k := range l.seqs {
		if l.seqs[k] == r.Seq && r.Seq != 0 {
			at = l.asked[k]
		}
	}
	if at < 0 {
		return false // of something asked long ago, or by nobody
	}
	l.misses, h.heard = 0, max(h.heard, r.Seq)
	switch {
	case l.giving != 0:
		if r.Token == 0 { // else it answers a question from before
			h.given(l)
		}
	case r.Token == 0 && l.token != 0:
		h.lose(l, "the voters have it otherwise")
		l.askAt = now
	case r.Token == 0:
		l.askAt = now + h.terms.Span/8 + h.mwc.Below(h.terms.Span/8)
	case r.Token < l.token: // of before
	case at+h.terms.safe() <= now:
		// it came too late to be of use
	default:
		fresh := l.token != r.Token
		if fresh && l.token != 0 {
			h.lose(l, "another token")
		}
		l.token, l.safe = r.Token, max(l.safe, at+h.terms.safe())
		l.askAt = min(at+h.terms.Span/3, l.safe)
		if fresh {
			h.host.LeaseAcquired(l.name, l.token)
		}
	}
	return true
}

// Tick asks, renews and gives up what is over.
func (h *Holder) Tick(now Time) {
	h.now = now
	mono, boot := h.host.Clocks()
	if s := boot - mono; s-h.slept > h.terms.Margin {
		// Danger: a machine that slept has a monotonic clock that did not, and others have long taken over.
		for i := range h.holdings {
			h.lose(&h.holdings[i], "this machine slept")
			h.holdings[i].askAt = now
		}
		h.slept = s
	}
	for i := len(h.holdings) - 1; i >= 0; i-- {
		l := &h.holdings[i]
		if l.giving != 0 {
			if now >= l.until {
				h.given(l)
			} else if now >= l.askAt {
				h.give(l)
			}
			continue
		}
		if l.token != 0 && now >= l.safe {
			h.lose(l, "not renewed in time")
			l.askAt = now
		}
		if now < l.askAt {
			continue
		}
		h.seq++
		a := Request{Op: Acquire, Name: l.name, From: h.self, Seq: h.seq, AckedSeq: h.heard, Addr: h.addr}
		if l.token != 0 {
			a.Op, a.Token = Renew, l.token
		}
		if l.misses++; l.misses > 1 { // the last one asked has not answered
			l.voter = (l.voter + 1) % h.voters
		}
		k := h.seq % uint64(len(l.seqs))
		l.seqs[k], l.asked[k] = h.seq, now // before it goes out
		l.askAt = now + h.terms.Span/12 + h.mwc.Below(h.terms.Span/24)
		h.host.SendRequest(l.voter, a)
	}
}

// Next is when Beat must be called again.
func (h *Holder) Next() Time {
	next := h.now + h.terms.Span
	for i := range h.holdings {
		l := &h.holdings[i]
		if next = min(next, l.askAt); l.token != 0 {
			next = min(next, l.safe)
		}
	}
	return next
}
