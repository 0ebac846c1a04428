package lease

import (
	"fmt"

	"micatrack/internal/random"
)

// Terms are the timing parameters that holders and voters share. They come from the operators' file and must be the
// same on all fronts.
type Terms struct {
	Span   Time    // duration of a lease, from its last renewal
	Drift  float64 // largest relative difference between the rates of two clocks, in either direction
	Margin Time    // additional time between the end of the holder's validity and the next grant
}

// holderValidity returns how long a holder may rely on a lease by its own clock, counted from before it sent the
// request.
func (t *Terms) holderValidity() Time { return Time(float64(t.Span) * (1 - t.Drift)) }

// leaderHold returns how long the leader keeps a lease for its holder by its own clock, counted from after the grant or
// renewal was confirmed.
func (t *Terms) leaderHold() Time { return Time(float64(t.Span)*(1+t.Drift)) + t.Margin }

// Op is the operation that a Request asks for.
type Op uint8

// The operations of a Request.
const (
	Acquire Op = iota + 1 // asks for a lease, or waits for it if another front holds it
	Renew                 // extends a lease that the sender holds
	Release               // ends a lease that the sender holds
)

// Request is a message from a front to the voters about one lease.
type Request struct {
	Op          Op
	Name        string   // name of the lease
	From        Instance // front that sends the request
	Token       uint64   // token of the held lease; set for Renew and Release
	Seq         uint64   // sequence number, increasing with each request of the sender
	AckedSeq    uint64   // newest Seq for which the sender has received a reply
	ForwardedBy uint64   // voter that forwarded the request; 0 if none did
	Addr        string   // address at which the sender receives the reply
}

// Reply is a voter's reply to a Request.
type Reply struct {
	Name          string   // name of the lease
	To            Instance // front that sent the request
	Seq           uint64   // sequence number of the request
	Token         uint64   // token of the lease; 0 if the sender does not hold it
	Holder        Instance // current holder, if it is another front
	QueuePosition int      // number of fronts that wait before the sender
}

// HolderHost is implemented by the caller of a Holder. It does the I/O.
type HolderHost interface {
	SendRequest(voter int, req Request)      // sends to the voter at that position in the list of voters
	LeaseAcquired(name string, token uint64) // is called when this front becomes the holder of a lease
	LeaseLost(name string, why string)       // is called when this front no longer holds a lease
	Clocks() (monotonic, boot Time)          // reads this machine's clocks; only boot advances while the machine sleeps
}

// leaseState is the state of one lease that a front wants or holds.
type leaseState struct {
	name            string
	token           uint64    // 0 if not held
	validUntil      Time      // last moment at which the front may rely on the lease
	sentAt          [4]Time   // when recent requests were sent, by Seq modulo 4
	sentSeqs        [4]uint64 // sequence numbers of those requests
	nextRequestAt   Time      // when to send the next request
	nextVoter       int       // position of the voter that receives it
	unanswered      int       // requests sent since the last reply
	releasingToken  uint64    // token that is being released; 0 if none is
	releaseDeadline Time      // when the lease expires by itself, so that the release need not be repeated
	reacquire       bool      // whether to acquire the lease again once it is released
}

// Holder keeps the leases of one front. It never relies on a lease for longer than its own clock allows, whatever
// replies it receives.
type Holder struct {
	host        HolderHost
	self        Instance
	addr        string // address at which this front receives replies
	terms       Terms
	voterCount  int
	rng         random.Source
	now         Time
	sleepOffset Time         // boot time minus monotonic time when last checked
	lastSeq     uint64       // sequence number of the newest request
	ackedSeq    uint64       // newest sequence number with a reply
	leases      []leaseState // leases that are wanted, held or being released
}

// NewHolder returns a holder without leases. voters is the number of voters; the seed determines its random draws.
func NewHolder(now Time, self Instance, addr string, voters int, t Terms, seed uint64, h HolderHost) *Holder {
	mono, boot := h.Clocks()
	return &Holder{host: h, self: self, addr: addr, terms: t, voterCount: voters, rng: random.New(seed), now: now, sleepOffset: boot - mono}
}

func (h *Holder) find(name string) *leaseState {
	for i := range h.leases {
		if h.leases[i].name == name {
			return &h.leases[i]
		}
	}
	return nil
}

// Acquire starts to request a lease, and to renew it once it is held. It returns an error if the name is empty or longer
// than MaxNameBytes, or if there are 256 leases already.
func (h *Holder) Acquire(now Time, name string) error {
	h.now = now
	if name == "" || len(name) > MaxNameBytes || len(h.leases) >= 256 {
		return fmt.Errorf("lease %q: name is empty or too long, or there are too many leases", name)
	}
	if l := h.find(name); l != nil {
		l.reacquire = l.releasingToken != 0
		return nil
	}
	h.leases = append(h.leases, leaseState{name: name, nextRequestAt: now, nextVoter: int(h.rng.Below(int64(h.voterCount)))})
	return nil
}

// Release releases a lease and stops requesting it. The caller must have finished everything that it does under the
// lease, as another front may become the holder at once.
func (h *Holder) Release(now Time, name string) {
	h.now = now
	l := h.find(name)
	if l == nil {
		return
	}
	if l.reacquire = false; l.releasingToken != 0 {
		return
	}
	if l.token == 0 {
		h.remove(name)
		return
	}
	l.releasingToken, l.releaseDeadline, l.nextRequestAt = l.token, l.validUntil, now
	h.markLost(l, "released")
	h.sendRelease(l)
}

// sendRelease sends a release to two voters, in case one of them is down; Tick repeats it until a reply comes. The
// leader can change at this very moment, and a release that reaches no leader would keep the lease from all fronts
// until it expires.
func (h *Holder) sendRelease(l *leaseState) {
	h.lastSeq++
	l.sentSeqs[h.lastSeq%uint64(len(l.sentSeqs))], l.sentAt[h.lastSeq%uint64(len(l.sentSeqs))] = h.lastSeq, h.now
	l.nextRequestAt = h.now + h.terms.Span/24
	for range min(2, h.voterCount) {
		l.nextVoter = (l.nextVoter + 1) % h.voterCount
		h.host.SendRequest(l.nextVoter, Request{Op: Release, Name: l.name, From: h.self, Token: l.releasingToken, Seq: h.lastSeq, AckedSeq: h.ackedSeq, Addr: h.addr})
	}
}

// finishRelease ends the release of a lease, and requests the lease again if that is wanted.
func (h *Holder) finishRelease(l *leaseState) {
	if l.reacquire {
		*l = leaseState{name: l.name, nextRequestAt: h.now, nextVoter: l.nextVoter}
	} else {
		h.remove(l.name)
	}
}

// Empty reports whether no lease is held, wanted or being released.
func (h *Holder) Empty() bool { return len(h.leases) == 0 }

// SetVoterCount sets the number of voters that receive requests from now on.
func (h *Holder) SetVoterCount(voters int) {
	h.voterCount = max(voters, 1)
	for i := range h.leases {
		h.leases[i].nextVoter %= h.voterCount
	}
}

// ReleaseAll releases all leases. It is called on a planned shutdown.
func (h *Holder) ReleaseAll(now Time) {
	for i := len(h.leases) - 1; i >= 0; i-- {
		h.Release(now, h.leases[i].name)
	}
}

func (h *Holder) remove(name string) {
	for i := range h.leases {
		if h.leases[i].name == name {
			h.leases = append(h.leases[:i], h.leases[i+1:]...)
			return
		}
	}
}

// markLost records that a lease is no longer held, and tells the host if it was.
func (h *Holder) markLost(l *leaseState, reason string) {
	if l.token != 0 {
		l.token, l.validUntil = 0, 0
		l.sentSeqs = [4]uint64{} // a reply to a request for the old grant must not extend a new one
		h.host.LeaseLost(l.name, reason)
	}
}

// UsableToken returns the token under which an operation of at most the given duration may start now; ok is false if
// none may. It reads the clock itself and takes no time from the caller, because the process may have been stopped since
// the event loop last read it. The process can also be stopped between this call and the operation, so whatever the
// operation changes must refuse a token older than the newest it has seen.
func (h *Holder) UsableToken(name string, duration Time) (token uint64, ok bool) {
	mono, boot := h.host.Clocks()
	l := h.find(name)
	if l == nil || l.token == 0 || duration < 0 || mono+duration > l.validUntil || boot-mono-h.sleepOffset > h.terms.Margin {
		return 0, false
	}
	return l.token, true
}

// HandleReply handles a reply and reports whether it belongs to one of the recent requests, of which
// up to four are kept for each lease.
func (h *Holder) HandleReply(now Time, r Reply) bool {
	h.now = now
	l := h.find(r.Name)
	if l == nil || r.To != h.self {
		return false
	}
	sentAt := Time(-1)
	for k := range l.sentSeqs {
		if l.sentSeqs[k] == r.Seq && r.Seq != 0 {
			sentAt = l.sentAt[k]
		}
	}
	if sentAt < 0 {
		return false // reply to an older request, or to none
	}
	l.unanswered, h.ackedSeq = 0, max(h.ackedSeq, r.Seq)
	switch {
	case l.releasingToken != 0:
		if r.Token == 0 { // otherwise it replies to a request sent before the release
			h.finishRelease(l)
		}
	case r.Token == 0 && l.token != 0:
		h.markLost(l, "the voters have no such grant")
		l.nextRequestAt = now
	case r.Token == 0:
		l.nextRequestAt = now + h.terms.Span/8 + h.rng.Below(h.terms.Span/8)
	case r.Token < l.token: // an older grant
	case sentAt+h.terms.holderValidity() <= now:
		// the reply came after the validity that it would give had ended
	default:
		newToken := l.token != r.Token
		if newToken && l.token != 0 {
			h.markLost(l, "granted anew under another token")
		}
		l.token, l.validUntil = r.Token, max(l.validUntil, sentAt+h.terms.holderValidity())
		l.nextRequestAt = min(sentAt+h.terms.Span/3, l.validUntil)
		if newToken {
			h.host.LeaseAcquired(l.name, l.token)
		}
	}
	return true
}

// Tick sends the requests that are due, and gives up leases whose validity has ended.
func (h *Holder) Tick(now Time) {
	h.now = now
	mono, boot := h.host.Clocks()
	if sleepOffset := boot - mono; sleepOffset-h.sleepOffset > h.terms.Margin {
		// The monotonic clock stops while the machine sleeps, so the leases look valid here although other fronts may
		// have held them for long.
		for i := range h.leases {
			h.markLost(&h.leases[i], "this machine was suspended")
			h.leases[i].nextRequestAt = now
		}
		h.sleepOffset = sleepOffset
	}
	for i := len(h.leases) - 1; i >= 0; i-- {
		l := &h.leases[i]
		if l.releasingToken != 0 {
			if now >= l.releaseDeadline {
				h.finishRelease(l)
			} else if now >= l.nextRequestAt {
				h.sendRelease(l)
			}
			continue
		}
		if l.token != 0 && now >= l.validUntil {
			h.markLost(l, "not renewed in time")
			l.nextRequestAt = now
		}
		if now < l.nextRequestAt {
			continue
		}
		h.lastSeq++
		request := Request{Op: Acquire, Name: l.name, From: h.self, Seq: h.lastSeq, AckedSeq: h.ackedSeq, Addr: h.addr}
		if l.token != 0 {
			request.Op, request.Token = Renew, l.token
		}
		if l.unanswered++; l.unanswered > 1 { // no reply from the voter asked last
			l.nextVoter = (l.nextVoter + 1) % h.voterCount
		}
		k := h.lastSeq % uint64(len(l.sentSeqs))
		l.sentSeqs[k], l.sentAt[k] = h.lastSeq, now // recorded before the request is sent
		l.nextRequestAt = now + h.terms.Span/12 + h.rng.Below(h.terms.Span/24)
		h.host.SendRequest(l.nextVoter, request)
	}
}

// Next returns when Tick must be called again.
func (h *Holder) Next() Time {
	next := h.now + h.terms.Span
	for i := range h.leases {
		l := &h.leases[i]
		if next = min(next, l.nextRequestAt); l.token != 0 {
			next = min(next, l.validUntil)
		}
	}
	return next
}
