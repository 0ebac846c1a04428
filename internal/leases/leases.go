// Package leases does the I/O for fleet/lease on one front: requests and voters' messages travel over internal/peers,
// and a voter's state is persisted by internal/voterstate. It makes no decisions.
//
// The holder runs on the front's event loop. A voter has a goroutine of its own, because it waits for its disk and the
// loop never may: if the disk stalls, the voter stalls, and requests are still served.
package leases

import (
	"errors"
	"log/slog"
	"runtime/debug"
	"slices"
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
	queueSize      = 1024                   // calls that wait for the voter, and replies that wait for the loop
	maxQueuedLarge = 16                     // queue length above which messages larger than a datagram are dropped
	maxSenders     = 16                     // voters of unknown address that are kept from their messages
	closeTimeout   = 200 * time.Millisecond // how long Close waits for a stalled disk
	clockUnit      = 100 * time.Microsecond // unit of Time
)

// Time is a moment or a duration in whole tenths of a millisecond.
type Time = lease.Time

// Config is the configuration of a front's part in leases.
type Config struct {
	Fleet     string
	Self      lease.Instance
	Addr      string            // address at which other fronts reach this one
	Voters    []lease.VoterInfo // voters of the fleet's first start, by name and address; Open fills in the IDs
	StatePath string            // path of this front's voter state; empty if it runs no voter
	Terms     lease.Terms
	Seed      uint64
	// HostedMachine runs beside the grants in the voter; nil if there is none.
	HostedMachine HostedMachine
}

// HostedMachine is a second state machine in the voters' log, together with the component that serves it. Only the
// voter's goroutine calls it.
type HostedMachine interface {
	lease.StateMachine
	Started(now Time, v *lease.Voter) // is called once, before the voter's first step
	Tick(now Time, leader string)     // is called after each step; leader is the address of the leading voter, if known
	Next() Time                       // returns when Tick must be called again
}

// Host is implemented by the front. Its methods are called on the event loop.
type Host interface {
	LeaseAcquired(name string, token uint64) // is called when this front becomes the holder of a lease
	LeaseLost(name, why string)              // is called when this front no longer holds a lease
}

// Leases is one front's part in leases: its holder and, if it has one, its voter. Only the event loop may call its
// methods, unless they say otherwise.
type Leases struct {
	Holder *lease.Holder
	// DroppedMessages counts messages dropped because they were malformed, a queue was full, or the address of the voter
	// that they are for is not known.
	DroppedMessages atomic.Int64

	host       Host
	config     Config
	now        func() Time
	peers      *peers.Transport
	wake       func() // wakes the event loop
	log        *slog.Logger
	replies    chan voterReply
	voters     []lease.VoterInfo // voters that requests are sent to
	localVoter *localVoter       // nil if this front runs no voter
}

// voterReply is a voter's reply, with the current voters if the voter sent them too.
type voterReply struct {
	lease.Reply
	voters []lease.VoterInfo
}

// Open starts a front's part in leases. If the voter's state cannot be read, Open logs one line and goes on without a
// voter. wake is called, from any goroutine, when Poll has something to do.
func Open(config Config, now func() Time, p *peers.Transport, h Host, wake func(), log *slog.Logger) *Leases {
	l := &Leases{host: h, config: config, now: now, peers: p, wake: wake, log: log, replies: make(chan voterReply, queueSize)}
	for k := range l.config.Voters {
		l.config.Voters[k].ID = voterstate.InitialVoterID(config.Fleet, l.config.Voters[k].Name)
	}
	l.voters = l.config.Voters
	l.Holder = lease.NewHolder(now(), config.Self, config.Addr, len(config.Voters), config.Terms, config.Seed, holderHost{l})
	if config.StatePath != "" {
		v, err := l.openVoter()
		if err != nil {
			log.Error("no vote: this front takes no part in granting leases", "state", config.StatePath, "error", err.Error())
		} else {
			l.localVoter = v
			go v.run()
		}
	}
	p.OnLease(l.receive)
	return l
}

// Poll handles the replies that have come and runs the holder if it is due. The event loop calls it in each iteration.
func (l *Leases) Poll(now Time) {
	for range queueSize {
		select {
		case r := <-l.replies:
			if l.Holder.HandleReply(now, r.Reply) && len(r.voters) > 0 {
				// Without this, requests would reach nobody once all voters named in the operators' file are replaced.
				l.voters = r.voters
				l.Holder.SetVoterCount(len(l.voters))
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

// TransferLeadership makes this front's voter transfer its leadership, if it leads. It is called before a planned
// shutdown.
func (l *Leases) TransferLeadership() {
	if l.localVoter != nil {
		l.localVoter.enqueue(func(v *lease.Voter) { v.TransferLeadership(l.now()) })
	}
}

// Close stops the voter and closes its state file.
func (l *Leases) Close() {
	if l.localVoter != nil {
		close(l.localVoter.stop)
		select { // the wait is bounded, because a stalled disk must not block a planned shutdown
		case <-l.localVoter.done:
		case <-time.After(closeTimeout):
			l.log.Warn("the voter's disk does not respond; its state file is not closed")
		}
	}
}

// holderHost implements lease.HolderHost.
type holderHost struct{ leases *Leases }

func (h holderHost) LeaseAcquired(name string, token uint64) {
	h.leases.host.LeaseAcquired(name, token)
}
func (h holderHost) LeaseLost(name, why string) { h.leases.host.LeaseLost(name, why) }

// Clocks reads this machine's two clocks. The monotonic one stops while the machine sleeps; the boot clock does not.
func (h holderHost) Clocks() (mono, boot Time) {
	var m, b unix.Timespec
	unix.ClockGettime(unix.CLOCK_MONOTONIC, &m)
	unix.ClockGettime(unix.CLOCK_BOOTTIME, &b)
	mono = h.leases.now()
	return mono, mono + (b.Nano()-m.Nano())/int64(clockUnit)
}

func (h holderHost) SendRequest(voter int, a lease.Request) {
	l := h.leases
	s := &l.voters[voter]
	if l.localVoter != nil && l.localVoter.id == s.ID {
		l.localVoter.enqueue(func(v *lease.Voter) { v.HandleRequest(l.now(), a) })
		return
	}
	l.peers.SendLease(s.Addr, peers.AppendLease(nil, &peers.LeaseMessage{To: s.ID, Request: &a}))
}

// receive dispatches a lease message from another front. The transport's reading goroutines call it, so it never blocks.
func (l *Leases) receive(b []byte) {
	m, err := peers.ReadLease(b)
	switch {
	case err != nil:
		l.DroppedMessages.Add(1)
	case m.Reply != nil && m.To == 0:
		l.enqueueReply(voterReply{*m.Reply, m.Voters})
	case l.localVoter == nil:
		l.DroppedMessages.Add(1)
	case m.Reply != nil: // the leader's reply, for a front whose request this voter forwarded
		m.To = 0
		l.peers.SendLease(m.Addr, peers.AppendLease(nil, &m))
	case m.Request != nil:
		a := *m.Request
		l.localVoter.enqueue(func(v *lease.Voter) { v.HandleRequest(l.now(), a) })
	case m.InitialVotersHash != l.localVoter.file.Identity.InitialVotersHash():
		l.DroppedMessages.Add(1)
		l.localVoter.mismatchLogged.Do(func() {
			l.log.Error("a voter of this fleet began from another list of first voters; its messages are dropped", "voter", m.From)
		})
	default:
		var in pb.Message
		// While a voter's disk is stalled, its queue could fill with snapshots of megabytes each.
		if len(m.Log) > 1200 && len(l.localVoter.calls) > maxQueuedLarge || proto.Unmarshal(m.Log, &in) != nil {
			l.DroppedMessages.Add(1)
			return
		}
		l.localVoter.enqueue(func(v *lease.Voter) {
			l.localVoter.noteSender(m.From, m.Voters)
			v.HandleMessage(l.now(), &in)
		})
	}
}

// enqueueReply queues a reply for the event loop, and drops it if the queue is full.
func (l *Leases) enqueueReply(r voterReply) {
	select {
	case l.replies <- r:
		l.wake()
	default:
		l.DroppedMessages.Add(1)
	}
}

// hostedMachine returns the second state machine of the voter, or an untyped nil.
func (l *Leases) hostedMachine() lease.StateMachine {
	if l.config.HostedMachine == nil {
		return nil
	}
	return l.config.HostedMachine
}

// Voters returns the current voters, as far as this front knows.
func (l *Leases) Voters() []lease.VoterInfo { return l.voters }

// HasVoter reports whether this front runs a voter. Any goroutine may call it.
func (l *Leases) HasVoter() bool { return l.localVoter != nil }

// RunOnVoter queues do to be called on the voter's goroutine, for the hosted machine. It reports false, and do is dropped,
// if the queue is full or this front runs no voter. Any goroutine may call it.
func (l *Leases) RunOnVoter(do func(now Time, leader string)) bool {
	if l.localVoter == nil {
		return false
	}
	return l.localVoter.enqueue(func(*lease.Voter) { do(l.now(), l.localVoter.leaderAddr()) })
}

// localVoter is this front's voter, with its goroutine. It implements lease.VoterHost.
type localVoter struct {
	leases         *Leases
	id             uint64
	voter          *lease.Voter // only the voter's goroutine may use it
	file           *voterstate.File
	saver          interface{ Save(lease.Batch) error } // file, unless a test replaces it
	calls          chan func(v *lease.Voter)            // calls to run on the voter's goroutine
	stop           chan struct{}                        // closed to stop the goroutine
	done           chan struct{}                        // closed when the goroutine has ended
	mismatchLogged sync.Once                            // logs a mismatch of the initial voters only once
	// senders holds voters, the newest last, that messages have come from and that neither the replicated record nor the
	// operators' file has. Only the voter's goroutine may use it.
	senders []lease.VoterInfo
}

// openVoter opens this front's state file and starts a voter from it.
func (l *Leases) openVoter() (*localVoter, error) {
	disk, kept, err := voterstate.Open(l.config.StatePath, l.config.Fleet, l.config.Self.Name)
	if err != nil {
		return nil, err
	}
	v := &localVoter{leases: l, id: disk.Identity.ID, file: disk, saver: disk, calls: make(chan func(v *lease.Voter), queueSize), stop: make(chan struct{}), done: make(chan struct{})}
	if v.voter, err = lease.NewVoter(l.now(), v.id, disk.Identity.InitialVoterIDs(), kept, l.config.Terms, l.config.Seed^v.id, v, l.hostedMachine()); err != nil {
		disk.Close()
		return nil, err
	}
	return v, nil
}

// enqueue queues a call for the voter's goroutine. It reports false, and the call is dropped, if the queue is full; callers
// treat that like a message lost by the network.
func (v *localVoter) enqueue(do func(v *lease.Voter)) bool {
	select {
	case v.calls <- do:
		return true
	default:
		v.leases.DroppedMessages.Add(1)
		return false
	}
}

// run is the voter's goroutine.
func (v *localVoter) run() {
	defer close(v.done)
	defer v.file.Close()
	debug.SetPanicOnFault(true) // an unreadable page of the mapped state file then ends this voter, not the process
	timer := time.NewTimer(0)
	defer timer.Stop()
	machine := v.leases.config.HostedMachine
	if machine != nil {
		machine.Started(v.leases.now(), v.voter)
	}
	for {
		next := v.voter.Next()
		if machine != nil {
			next = min(next, machine.Next())
		}
		timer.Reset(max(time.Duration(next-v.leases.now())*clockUnit, 0))
		select {
		case <-v.stop:
			return
		case do := <-v.calls:
			do(v.voter)
		case <-timer.C:
		}
		if v.voter.Err() != nil {
			v.idle()
			return
		}
		v.voter.Tick(v.leases.now())
		if machine != nil {
			machine.Tick(v.leases.now(), v.leaderAddr())
		}
	}
}

// leaderAddr returns the leading voter's address, or an empty string if it is not known.
func (v *localVoter) leaderAddr() string {
	if s := v.voterInfo(v.voter.Leader()); s != nil {
		return s.Addr
	}
	return ""
}

// idle serves calls after the voter has stepped aside, so that Status can still report it.
func (v *localVoter) idle() {
	for {
		select {
		case <-v.stop:
			return
		case do := <-v.calls:
			do(v.voter)
		}
	}
}

// Save persists a batch.
func (v *localVoter) Save(b lease.Batch) error { return v.saver.Save(b) }

// Send sends a raft message to another voter. That of an added voter names it and its address: a voter that is added
// after it could not answer otherwise, and would never get the record from which it learns the address.
func (v *localVoter) Send(to uint64, m *pb.Message) {
	text, err := proto.Marshal(m)
	if err != nil {
		return
	}
	message := peers.LeaseMessage{From: v.id, To: to, Log: text, InitialVotersHash: v.file.Identity.InitialVotersHash()}
	if k := indexOfVoter(v.voter.AddedVoters(), v.id); k >= 0 {
		message.Voters = v.voter.AddedVoters()[k : k+1]
	}
	v.send(to, &message)
}

// noteSender keeps the address of a voter whose message names it, if it is not known otherwise.
func (v *localVoter) noteSender(from uint64, named []lease.VoterInfo) {
	k := indexOfVoter(named, from)
	if k < 0 {
		return
	}
	if known := indexOfVoter(v.senders, from); known >= 0 {
		v.senders = slices.Delete(v.senders, known, known+1)
	}
	if v.voterInfo(from) != nil {
		return
	}
	if len(v.senders) == maxSenders {
		v.senders = slices.Delete(v.senders, 0, 1)
	}
	v.senders = append(v.senders, named[k])
}

// indexOfVoter returns the index of the voter with that ID, or -1.
func indexOfVoter(voters []lease.VoterInfo, id uint64) int {
	return slices.IndexFunc(voters, func(s lease.VoterInfo) bool { return s.ID == id })
}

// Forward forwards a request to the leader.
func (v *localVoter) Forward(to uint64, a lease.Request) {
	v.send(to, &peers.LeaseMessage{From: v.id, To: to, Request: &a})
}

// Reply sends a reply to the front at addr, through another voter if via is another voter's ID. Once voters have been
// added, it also sends the current voters.
func (v *localVoter) Reply(via uint64, addr string, r lease.Reply) {
	var voters []lease.VoterInfo
	if len(v.voter.AddedVoters()) > 0 {
		for _, id := range v.voter.Voters() {
			if s := v.voterInfo(id); s != nil {
				voters = append(voters, *s)
			}
		}
	}
	switch {
	case r.To == v.leases.config.Self:
		v.leases.enqueueReply(voterReply{r, voters})
	case via != 0 && via != v.id:
		v.send(via, &peers.LeaseMessage{From: v.id, To: via, Reply: &r, Addr: addr, Voters: voters})
	default:
		v.leases.peers.SendLease(addr, peers.AppendLease(nil, &peers.LeaseMessage{From: v.id, Reply: &r, Voters: voters}))
	}
}

// Log writes a line to the log.
func (v *localVoter) Log(text string) { v.leases.log.Info(text) }

// voterInfo returns a voter from the replicated record, or else from the operators' file or from its own messages, or nil
// if none has it.
func (v *localVoter) voterInfo(id uint64) *lease.VoterInfo {
	for _, voters := range [...][]lease.VoterInfo{v.voter.AddedVoters(), v.leases.config.Voters, v.senders} {
		if k := indexOfVoter(voters, id); k >= 0 {
			return &voters[k]
		}
	}
	return nil
}

// send sends a lease message to another voter, if its address is known.
func (v *localVoter) send(to uint64, m *peers.LeaseMessage) {
	s := v.voterInfo(to)
	if s == nil {
		v.leases.DroppedMessages.Add(1)
		return
	}
	v.leases.peers.SendLease(s.Addr, peers.AppendLease(nil, m))
}

// VoterStatus is the status of one voter, as shown to operators.
type VoterStatus struct {
	ID    uint64 `json:"id"`
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	Leads bool   `json:"leads"`
	Here  bool   `json:"here"` // whether this front runs the voter
}

// Status is what this front's voter knows of the voters and grants.
type Status struct {
	Voters []VoterStatus `json:"voters"`
	Leases []lease.Grant `json:"leases"`
	Leads  bool          `json:"leads"`           // whether this front's voter leads
	Aside  string        `json:"aside,omitempty"` // why this front's voter has stepped aside, if it has
	// Refused counts messages dropped because they cannot come from a voter, Dropped those of Leases.DroppedMessages.
	Refused uint64 `json:"refused"`
	Dropped int64  `json:"dropped"`
}

var errNoVoter = errors.New("this front has no vote: ask one that has")

// Status returns the status of this front's voter. It waits for the voter for at most a second, so the event loop must
// not call it. After a timeout the voter's goroutine still produces the status later, so it must not write to memory
// that this call reads.
func (l *Leases) Status() (Status, error) {
	made := make(chan Status, 1)
	if err := l.callVoter(func(*lease.Voter) error { made <- l.localVoter.status(); return nil }); err != nil {
		return Status{}, err
	}
	return <-made, nil
}

// status returns the voter's status. Only the voter's goroutine may call it.
func (v *localVoter) status() (w Status) {
	lead := v.voter.Leader()
	for _, id := range v.voter.Voters() {
		c := VoterStatus{ID: id, Leads: id == lead, Here: id == v.id}
		if s := v.voterInfo(id); s != nil {
			c.Name, c.Addr = s.Name, s.Addr
		}
		w.Voters = append(w.Voters, c)
	}
	w.Leases, w.Leads, w.Refused, w.Dropped = v.voter.Grants(), v.voter.IsLeader(), v.voter.RejectedMessages, v.leases.DroppedMessages.Load()
	if err := v.voter.Err(); err != nil {
		w.Aside = err.Error()
	}
	return w
}

// ChangeVoters adds or removes a voter through this front's voter, which must be the leader. It waits for at most a
// second, so the event loop must not call it.
func (l *Leases) ChangeVoters(s lease.VoterInfo, add bool) error {
	return l.callVoter(func(v *lease.Voter) error { return v.ChangeVoters(l.now(), s, add) })
}

// callVoter runs do on the voter's goroutine and waits for its result for at most a second. The event loop must not
// call it.
func (l *Leases) callVoter(do func(v *lease.Voter) error) error {
	if l.localVoter == nil {
		return errNoVoter
	}
	done := make(chan error, 1)
	if !l.localVoter.enqueue(func(v *lease.Voter) { done <- do(v) }) {
		return errors.New("the voter is too busy")
	}
	select {
	case err := <-done:
		return err
	case <-time.After(time.Second):
		return errors.New("the voter does not answer: its disk may stand still")
	}
}
