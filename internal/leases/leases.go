// Package leases carries what fleet/lease decides for one front: the holder's questions and the voters' messages go by
// internal/peers, a voter's promises to its disk by internal/voterdisk. It decides nothing.
//
// The holder is the front's loop's. A voter has a goroutine of its own, since it waits for its disk and the loop never
// does: when the disk stands still the vote does, and jobs go on.
package leases

import (
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	pb "go.etcd.io/raft/v3/raftpb"

	"micatrack/fleet/lease"
	"micatrack/internal/peers"
	"micatrack/internal/voterstate"
)

const (
	waiting = 1024                   // messages that wait for the voter, and answers for the loop;
	large   = 16                     // past so many none over a datagram's length does
	patient = 200 * time.Millisecond // for a disk that stands still, at the end
	tick    = 100 * time.Microsecond
)

// Time is a moment or a span in whole tenths of a millisecond.
type Time = lease.Time

// Config is what the operators want.
type Config struct {
	Fleet     string
	Self      lease.Instance
	Addr      string            // where other fronts reach this one
	Voters    []lease.VoterInfo // the voters of the first start, by name and address; numbers are filled in
	StatePath string            // this front's vote on disk; empty: it has none
	Terms     lease.Terms
	Seed      uint64
	// Companion runs beside the voter; nil: none does.
	HostedMachine HostedMachine
}

// HostedMachine is a second state machine in the voters' log, with what serves it. The voter's goroutine calls it.
type HostedMachine interface {
	lease.StateMachine
	Started(now Time, v *lease.Voter)
	Tick(now Time, leader string) // after each step; leader: where the voter that leads is reached, if that is known
	Next() Time                   // when Beat has to be called again
}

// Host is what the front does for its leases.
type Host interface {
	LeaseAcquired(name string, token uint64)
	LeaseLost(name, why string)
}

// Leases is one front's part. All but what is said to be a voter's is the loop's.
type Leases struct {
	Holder          *lease.Holder
	DroppedMessages atomic.Int64 // messages that could not be read, or that nobody had room for

	host    Host
	order   Config
	now     func() Time
	peers   *peers.Transport
	wake    func()
	log     *slog.Logger
	replies chan reply
	seats   []lease.VoterInfo // who is asked
	vote    *vote             // nil: none
}

// reply is an answer, with who votes where the voter told that too.
type reply struct {
	lease.Reply
	seats []lease.VoterInfo
}

// Open starts a front's part. A vote that its disk does not bear out is left aside, with one line in the log.
func Open(o Config, now func() Time, p *peers.Transport, h Host, wake func(), log *slog.Logger) *Leases {
	l := &Leases{host: h, order: o, now: now, peers: p, wake: wake, log: log, replies: make(chan reply, waiting)}
	for k := range l.order.Voters {
		l.order.Voters[k].ID = voterstate.InitialVoterID(o.Fleet, l.order.Voters[k].Name)
	}
	l.seats = l.order.Voters
	l.Holder = lease.NewHolder(now(), o.Self, o.Addr, len(o.Voters), o.Terms, o.Seed, holder{l})
	if o.StatePath != "" {
		v, err := l.voter()
		if err != nil {
			log.Error("no vote: this front takes no part in granting leases", "state", o.StatePath, "error", err.Error())
		} else {
			l.vote = v
			go v.run()
		}
	}
	p.OnLease(l.take)
	return l
}

// Poll is the leases' part of a turn of the loop.
func (l *Leases) Poll(now Time) {
	for range waiting {
		select {
		case r := <-l.replies:
			if l.Holder.HandleReply(now, r.Reply) && len(r.seats) > 0 {
				// Danger: once all that the operators' file names are replaced, nobody would be left to ask.
				l.seats = r.seats
				l.Holder.SetVoterCount(len(l.seats))
			}
			continue
		default:
		}
		break
	}
	if now >= l.Holder.Next() {
		l.Holder.Tick(now)
	}
}

// TransferLeadership hands the lead over, before a planned end.
func (l *Leases) TransferLeadership() {
	if l.vote != nil {
		l.vote.put(func(v *lease.Voter) { v.TransferLeadership(l.now()) })
	}
}

// Close ends the voter and gives its disk back.
func (l *Leases) Close() {
	if l.vote != nil {
		close(l.vote.stop)
		select { // Danger: a disk that stands still would keep a front from its planned end.
		case <-l.vote.done:
		case <-time.After(patient):
			l.log.Warn("the vote's disk does not answer; it is left as it is")
		}
	}
}

// holder is what the holder asks for.
type holder struct{ l *Leases }

func (h holder) LeaseAcquired(name string, token uint64) { h.l.host.LeaseAcquired(name, token) }
func (h holder) LeaseLost(name, why string)              { h.l.host.LeaseLost(name, why) }

// Clocks gives this machine's two clocks. Danger: the monotonic one stands still while the machine sleeps.
func (h holder) Clocks() (mono, boot Time) {
	var m, b unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &m)
	unix.ClockGettime(unix.CLOCK_BOOTTIME, &b)
	mono = h.l.now()
	return mono, mono + (b.Nano()-m.Nano())/int64(tick)
}

func (h holder) SendRequest(voter int, a lease.Request) {
	l := h.l
	s := &l.seats[voter]
	if l.vote != nil && l.vote.id == s.ID {
		l.vote.put(func(v *lease.Voter) { v.HandleRequest(l.now(), a) })
		return
	}
	l.peers.SendLease(s.Addr, peers.AppendLease(nil, &peers.LeaseMessage{To: s.ID, Request: &a}))
}

// take is called by the goroutines that read: it sorts what comes and waits for nobody.
func (l *Leases) take(b []byte) {
	m, err := peers.ReadLease(b)
	switch {
	case err != nil:
		l.DroppedMessages.Add(1)
	case m.Reply != nil && m.To == 0:
		l.reply(reply{*m.Reply, m.Voters})
	case l.vote == nil:
		l.DroppedMessages.Add(1)
	case m.Reply != nil: // the leader's, for an asker that reached this voter alone
		m.To = 0
		l.peers.SendLease(m.Addr, peers.AppendLease(nil, &m))
	case m.Request != nil:
		a := *m.Request
		l.vote.put(func(v *lease.Voter) { v.HandleRequest(l.now(), a) })
	case m.InitialVotersHash != l.vote.disk.Identity.InitialVotersHash():
		l.DroppedMessages.Add(1)
		l.vote.strange.Do(func() {
			l.log.Error("a voter of this fleet began from another list of first voters; its messages are dropped", "voter", m.From)
		})
	default:
		var in pb.Message
		// Danger: while its disk stands still, what waits for a voter may be snapshots of megabytes.
		if len(m.Log) > 1200 && len(l.vote.in) > large || proto.Unmarshal(m.Log, &in) != nil {
			l.DroppedMessages.Add(1)
			return
		}
		l.vote.put(func(v *lease.Voter) { v.HandleMessage(l.now(), &in) })
	}
}

func (l *Leases) reply(r reply) {
	select {
	case l.replies <- r:
		l.wake()
	default:
		l.DroppedMessages.Add(1)
	}
}

// machine gives what the voter hosts beside its leases.
func (l *Leases) machine() lease.StateMachine {
	if l.order.HostedMachine == nil {
		return nil
	}
	return l.order.HostedMachine
}

// Voters gives the voters, as far as this front knows. It is the loop's to call.
func (l *Leases) Voters() []lease.VoterInfo { return l.seats }

// HasVoter tells whether this front has a voter.
func (l *Leases) HasVoter() bool { return l.vote != nil }

// RunOnVoter has the voter's goroutine do something for the companion; what it has no room for is lost, as on any link.
func (l *Leases) RunOnVoter(do func(now Time, leader string)) bool {
	if l.vote == nil {
		return false
	}
	return l.vote.put(func(*lease.Voter) { do(l.now(), l.vote.leader()) })
}

// vote is this front's voter, with its goroutine.
type vote struct {
	l          *Leases
	id         uint64
	v          *lease.Voter
	disk       *voterstate.File
	saver      interface{ Save(lease.Batch) error } // the disk, but where a test has another
	in         chan func(v *lease.Voter)
	stop, done chan struct{}
	strange    sync.Once
}

func (l *Leases) voter() (*vote, error) {
	disk, kept, err := voterstate.Open(l.order.StatePath, l.order.Fleet, l.order.Self.Name)
	if err != nil {
		return nil, err
	}
	v := &vote{l: l, id: disk.Identity.ID, disk: disk, saver: disk, in: make(chan func(v *lease.Voter), waiting), stop: make(chan struct{}), done: make(chan struct{})}
	if v.v, err = lease.NewVoter(l.now(), v.id, disk.Identity.InitialVoterIDs(), kept, l.order.Terms, l.order.Seed^v.id, v, l.machine()); err != nil {
		disk.Close()
		return nil, err
	}
	return v, nil
}

// put hands something to the voter; what it has no room for is lost, as on any link.
func (v *vote) put(do func(v *lease.Voter)) bool {
	select {
	case v.in <- do:
		return true
	default:
		v.l.DroppedMessages.Add(1)
		return false
	}
}

func (v *vote) run() {
	defer close(v.done)
	defer v.disk.Close()
	debug.SetPanicOnFault(true) // a page of the disk that is gone ends this vote and not the process
	timer := time.NewTimer(0)
	defer timer.Stop()
	companion := v.l.order.HostedMachine
	if companion != nil {
		companion.Started(v.l.now(), v.v)
	}
	for {
		next := v.v.Next()
		if companion != nil {
			next = min(next, companion.Next())
		}
		timer.Reset(max(time.Duration(next-v.l.now())*tick, 0))
		select {
		case <-v.stop:
			return
		case do := <-v.in:
			do(v.v)
		case <-timer.C:
		}
		if v.v.Err() != nil {
			v.idle()
			return
		}
		v.v.Tick(v.l.now())
		if companion != nil {
			companion.Tick(v.l.now(), v.leader())
		}
	}
}

// leader gives where the voter that leads is reached, as far as known.
func (v *vote) leader() string {
	if s := v.seat(v.v.Leader()); s != nil {
		return s.Addr
	}
	return ""
}

// idle is a voter that has stepped aside: it still says so to those who ask this machine.
func (v *vote) idle() {
	for {
		select {
		case <-v.stop:
			return
		case do := <-v.in:
			do(v.v)
		}
	}
}

// Save, Carry, Pass, Reply and Log are what the voter asks for.
func (v *vote) Save(b lease.Batch) error { return v.saver.Save(b) }

func (v *vote) Send(to uint64, m *pb.Message) {
	text, err := proto.Marshal(m)
	if err == nil {
		v.send(to, &peers.LeaseMessage{From: v.id, To: to, Log: text, InitialVotersHash: v.disk.Identity.InitialVotersHash()})
	}
}

func (v *vote) Forward(to uint64, a lease.Request) {
	v.send(to, &peers.LeaseMessage{From: v.id, To: to, Request: &a})
}

func (v *vote) Reply(via uint64, addr string, r lease.Reply) {
	var seats []lease.VoterInfo
	if len(v.v.AddedVoters()) > 0 {
		for _, id := range v.v.Voters() {
			if s := v.seat(id); s != nil {
				seats = append(seats, *s)
			}
		}
	}
	switch {
	case r.To == v.l.order.Self:
		v.l.reply(reply{r, seats})
	case via != 0 && via != v.id:
		v.send(via, &peers.LeaseMessage{From: v.id, To: via, Reply: &r, Addr: addr, Voters: seats})
	default:
		v.l.peers.SendLease(addr, peers.AppendLease(nil, &peers.LeaseMessage{From: v.id, Reply: &r, Voters: seats}))
	}
}

func (v *vote) Log(text string) { v.l.log.Info(text) }

// seat gives a voter as the record has it, or the operators' file; nil: neither has.
func (v *vote) seat(id uint64) *lease.VoterInfo {
	for _, seats := range [...][]lease.VoterInfo{v.v.AddedVoters(), v.l.order.Voters} {
		for k := range seats {
			if seats[k].ID == id {
				return &seats[k]
			}
		}
	}
	return nil
}

func (v *vote) send(to uint64, m *peers.LeaseMessage) {
	if s := v.seat(to); s != nil {
		v.l.peers.SendLease(s.Addr, peers.AppendLease(nil, m))
	}
}

// VoterStatus is one voter, as it is shown.
type VoterStatus struct {
	ID    uint64 `json:"id"`
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	Leads bool   `json:"leads"`
	Here  bool   `json:"here"`
}

// Status is what this front's voter has of the record.
type Status struct {
	Voters []VoterStatus `json:"voters"`
	Leases []lease.Grant `json:"leases"`
	Leads  bool          `json:"leads"`
	Aside  string        `json:"aside,omitempty"`
	// Refused are messages that could be no voter's, Dropped those that could not be read or had no room.
	Refused uint64 `json:"refused"`
	Dropped int64  `json:"dropped"`
}

var errNoVote = errors.New("this front has no vote: ask one that has")

// Status asks this front's voter, within a second.
// Danger: one that was given up is made all the same, so it must not be written where this one reads.
func (l *Leases) Status() (Status, error) {
	made := make(chan Status, 1)
	if err := l.ask(func(*lease.Voter) error { made <- l.vote.view(); return nil }); err != nil {
		return Status{}, err
	}
	return <-made, nil
}

// view is the voter's goroutine's to call.
func (v *vote) view() (w Status) {
	lead := v.v.Leader()
	for _, id := range v.v.Voters() {
		c := VoterStatus{ID: id, Leads: id == lead, Here: id == v.id}
		if s := v.seat(id); s != nil {
			c.Name, c.Addr = s.Name, s.Addr
		}
		w.Voters = append(w.Voters, c)
	}
	w.Leases, w.Leads, w.Refused, w.Dropped = v.v.Grants(), v.v.IsLeader(), v.v.RejectedMessages, v.l.DroppedMessages.Load()
	if err := v.v.Err(); err != nil {
		w.Aside = err.Error()
	}
	return w
}

// ChangeVoters adds a voter or removes one, by way of this front's, which has to lead.
func (l *Leases) ChangeVoters(s lease.VoterInfo, add bool) error {
	return l.ask(func(v *lease.Voter) error { return v.ChangeVoters(l.now(), s, add) })
}

// ask has the voter do something and waits for it. It is not the loop's to call.
func (l *Leases) ask(do func(v *lease.Voter) error) error {
	if l.vote == nil {
		return errNoVote
	}
	done := make(chan error, 1)
	if !l.vote.put(func(v *lease.Voter) { done <- do(v) }) {
		return errors.New("the voter is too busy")
	}
	select {
	case err := <-done:
		return err
	case <-time.After(time.Second):
		return errors.New("the voter does not answer: its disk may stand still")
	}
}
