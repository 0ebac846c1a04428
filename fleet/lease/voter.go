// Package lease lets one front of a fleet act for all of them for a bounded time, and lets everybody rely on that through
// lost peers, partitions, slow links, stopped processes and restarts. It does no I/O, reads no clock but through its
// host and draws from its own seed: the same calls lead to the same actions.
//
// A few voters keep the record of grants in a replicated log (Ongaro and Ousterhout's Raft, by go.etcd.io/raft/v3, whose
// core has no I/O); what is promised has been written through by most of them. Grants and ends are entries; a renewal is
// none: the leader only has most voters confirm that it still leads (a read by quorum), after the question came.
//
// Why two holders never rely on one lease at once. A holder relies on it for Span from before it asked, by its own
// clock, less the drift. The leader keeps it for Span from after a quorum confirmed that question, more the drift and
// the margin. A new leader knows of all grants, since they stand in the log, and of no renewals: it keeps every lease
// for a whole span from when it has applied its own first entry. Whoever confirmed the last renewal had a quorum after the
// question came, so every later leader was elected after that, and its wait ends later. An entry counts only over the
// token that its proposer saw.
//
// Time alone is no proof for what is acted on, since a process can be stopped between its look at the clock and its act:
// tokens grow with each grant, and what is acted on refuses one that is older than the newest it has seen.
package lease

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"micatrack/internal/mwc"
)

const (
	election  = 10   // ticks without a leader after which one stands
	beatTicks = 1    // between a leader's signs of life
	keepLog   = 2000 // entries kept behind a snapshot for those that lag
	foldAt    = 4000 // entries after which a snapshot is made
	mostOpen  = 1024 // proposals and reads that a leader has open
	mostEntry = 4096 // bytes of one entry
	mostSize  = 800  // bytes of entries in one message, so that most go as datagrams
	ticksSpan = 60   // ticks in a lease's span
)

// Batch is what has to be on disk, written through, before anything that follows from it leaves this voter.
type Batch struct {
	Hard     *pb.HardState
	Entries  []*pb.Entry
	Snapshot *pb.Snapshot // made here, or taken over: what comes before it may go
	Keep     uint64       // entries below this one may go; 0: none
}

// VoterHost is what a voter does.
type VoterHost interface {
	Save(b Batch) error                     // an error: the voter steps aside
	Carry(to uint64, m *pb.Message)         // to another voter; it may be lost
	Pass(to uint64, a Ask)                  // to the leader
	Reply(via uint64, addr string, r Reply) // through another voter if via is not 0
	Log(text string)
}

// Kept is what a voter finds on its disk.
type Kept struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry
}

// term is a lease as the leader times it.
type term struct {
	until   Time
	open    bool   // an entry that would end it is proposed
	heard   uint64 // newest answer that its holder says it has heard,
	heardAt Time   // and since when it says so
	waiters []waiter
}

// waiter is who waits for one.
type waiter struct {
	ask  Ask
	seen Time // when it asked last
}

// read is a question that waits until a quorum confirms that this is the leader.
type read struct {
	id    uint64
	ask   Ask
	index uint64 // from then on it is answered; 0: not confirmed
}

// Voter is one that keeps the record.
type Voter struct {
	host     VoterHost
	id       uint64
	terms    Terms
	node     *raft.RawNode
	disk     *raft.MemoryStorage // what is on disk, as raft reads it
	conf     *pb.ConfState
	book     *Book
	now      Time
	tickAt   Time
	silent   int // ticks without a sign of a leader
	patience int
	mwc      mwc.Source
	leads    bool
	readyAt  uint64 // term that this voter leads in and has applied an entry of; 0: none
	timed    map[string]*term
	order    []string // of timed, so that nothing is decided by a map's order
	open     int
	reads    []read
	readID   uint64
	folded   uint64 // index of the last snapshot
	aside    error
	changing bool   // a change of the voters is proposed
	Refused  uint64 // messages that could not be another voter's
}

// Seat is a voter that was added after the fleet's first start, with where it is reached.
type Seat struct {
	ID         uint64
	Name, Addr string
}

// ErrAside: the voter takes no part any more.
var ErrAside = errors.New("this voter has stepped aside")

// NewVoter starts a voter from what its disk holds. voters are those of the fleet's first start; later ones stand in
// what is kept.
func NewVoter(now Time, id uint64, voters []uint64, k Kept, t Terms, seed uint64, h VoterHost) (*Voter, error) {
	v := &Voter{host: h, id: id, terms: t, disk: raft.NewMemoryStorage(), book: newBook(), now: now, mwc: mwc.New(seed),
		timed: map[string]*term{}, conf: &pb.ConfState{Voters: voters}}
	first := &pb.Snapshot{Metadata: &pb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: v.conf}, Data: v.book.snapshot()}
	if raft.IsEmptySnap(k.Snapshot) {
		k.Snapshot = first
	}
	if err := v.disk.ApplySnapshot(k.Snapshot); err != nil {
		return nil, err
	}
	if err := v.disk.Append(k.Entries); err != nil {
		return nil, err
	}
	if !raft.IsEmptyHardState(k.Hard) {
		v.disk.SetHardState(k.Hard)
	} else {
		v.disk.SetHardState(&pb.HardState{Term: new(uint64(1)), Commit: new(uint64(1))})
	}
	var err error
	if v.book, err = readBook(k.Snapshot.Data); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	v.conf, v.folded = k.Snapshot.GetMetadata().GetConfState(), k.Snapshot.GetMetadata().GetIndex()
	v.book.Applied = v.folded
	v.node, err = raft.NewRawNode(&raft.Config{ID: id, ElectionTick: election, HeartbeatTick: beatTicks, Storage: v.disk, Applied: v.folded,
		MaxSizePerMsg: mostSize, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
		DisableProposalForwarding: true, Logger: quiet{}})
	if err != nil {
		return nil, err
	}
	v.tickAt, v.patience = now+v.tick(), v.draw()
	return v, nil
}

func (v *Voter) tick() Time { return max(v.terms.Span/ticksSpan, 1) }

// draw gives the ticks after which this voter stands. The library's own draw is not from a seed.
func (v *Voter) draw() int { return election + int(v.mwc.Below(election)) }

// Leads tells whether this voter leads, as far as it knows.
func (v *Voter) Leads() bool { return v.leads }

// Leader gives who leads, 0 if that is not known.
func (v *Voter) Leader() uint64 { return v.node.BasicStatus().Lead }

// Aside tells why the voter has stepped aside, nil if it has not.
func (v *Voter) Aside() error { return v.aside }

// Next is when Beat must be called again.
func (v *Voter) Next() Time { return v.tickAt }

// guard has the voter step aside where the log's core finds what cannot be.
// Danger: a voter that lost its disk, or a peer that says anything, would end the process and the serving of jobs.
func (v *Voter) guard() {
	if p := recover(); p != nil {
		v.stepAside(fmt.Errorf("%v", p))
	}
}

// Beat lets time pass.
func (v *Voter) Beat(now Time) {
	defer v.guard()
	if v.now = now; v.aside != nil {
		return
	}
	for n := 0; now >= v.tickAt && n < 2*election; n++ {
		v.tickAt += v.tick()
		v.oneTick()
	}
	if now >= v.tickAt { // it stood still: what it missed is not made up for
		v.tickAt = now + v.tick()
	}
	if v.leads && v.readyAt != 0 {
		v.expire()
	}
	v.turn()
}

func (v *Voter) oneTick() {
	if v.node.BasicStatus().RaftState == raft.StateLeader {
		v.node.Tick()
		return
	}
	v.node.TickQuiesced()
	if v.silent++; v.silent >= v.patience {
		v.silent, v.patience = 0, v.draw()
		v.node.Campaign()
	}
}

// Take takes another voter's message in.
func (v *Voter) Take(now Time, m *pb.Message) {
	defer v.guard()
	if v.now = now; v.aside != nil {
		return
	}
	if why := v.unsound(m); why != "" {
		v.Refused++
		return
	}
	switch m.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if m.GetTerm() >= v.node.BasicStatus().GetTerm() {
			v.silent = 0
		}
	}
	// Danger: a vote given, and then a leader waited for no longer than one that has long been silent.
	if t := m.GetType(); t == pb.MsgVote {
		v.silent = 0
	}
	v.node.Step(m) // an error is of a message that says nothing here
	v.turn()
}

// unsound tells what is wrong with another voter's message, "" if nothing is that can be seen from here.
// Danger: the log's core takes what it is told for what another core says; what cannot be ends it, and this voter with it.
func (v *Voter) unsound(m *pb.Message) string {
	switch m.GetType() {
	case pb.MsgApp, pb.MsgAppResp, pb.MsgVote, pb.MsgVoteResp, pb.MsgSnap, pb.MsgHeartbeat, pb.MsgHeartbeatResp, pb.MsgTimeoutNow,
		pb.MsgPreVote, pb.MsgPreVoteResp: // reads are asked of the leader alone, as questions
	default:
		return "a kind that voters do not send each other"
	}
	if m.GetTo() != v.id || m.GetFrom() == 0 || m.GetFrom() == v.id || m.GetTerm() == 0 {
		return "of nobody, or for another"
	}
	last, err := v.disk.LastIndex()
	if err != nil {
		return err.Error()
	}
	index, term := m.GetIndex(), m.GetLogTerm()
	for _, e := range m.GetEntries() {
		if index++; e.GetIndex() != index || e.GetTerm() < term || e.GetTerm() > m.GetTerm() || len(e.Data) > mostEntry {
			return "entries that do not follow each other"
		}
		term = e.GetTerm()
	}
	switch m.GetType() {
	case pb.MsgHeartbeat:
		if m.GetCommit() > last {
			return "more is committed than was ever sent here"
		}
	case pb.MsgAppResp, pb.MsgHeartbeatResp:
		if m.GetIndex() > last && !m.GetReject() {
			return "it has more than was ever sent"
		}
	case pb.MsgSnap:
		s := m.GetSnapshot().GetMetadata()
		if s.GetIndex() == 0 || s.GetTerm() > m.GetTerm() || len(s.GetConfState().GetVoters()) == 0 {
			return "a snapshot of nothing"
		}
		if b, err := readBook(m.GetSnapshot().GetData()); err != nil || b.Applied != s.GetIndex() {
			return "a snapshot that is none"
		}
	}
	return ""
}

// Hear takes a question in, of an asker or passed on by another voter.
func (v *Voter) Hear(now Time, a Ask) {
	defer v.guard()
	if v.now = now; v.aside != nil || a.Name == "" || len(a.Name) > MostName || a.From.Name == "" || len(a.From.Name) > MostName {
		return
	}
	if !v.leads {
		if lead := v.Leader(); lead != 0 && lead != v.id && a.Via == 0 {
			a.Via = v.id
			v.host.Pass(lead, a)
		}
		return // the asker tries another
	}
	if v.readyAt == 0 || v.open+len(v.reads) > mostOpen {
		return
	}
	g := v.book.find(a.Name)
	switch {
	case a.Op == Release:
		if g == nil || g.token != a.Token || g.holder != a.From {
			v.answer(a, Reply{}) // that is done
		} else {
			v.hand(a.Name, g.token)
		}
	case a.Op != Want && a.Op != Renew:
	case g == nil && a.Op == Renew, a.Op == Renew && (g.token != a.Token || g.holder != a.From):
		v.answer(a, Reply{})
	case g == nil:
		if t := v.time(a.Name); t == nil {
			v.answer(a, Reply{}) // there are too many leases
		} else {
			v.queue(t, a)
			v.hand(a.Name, 0)
		}
	case g.holder == a.From && v.deaf(a):
		// Danger: a holder that asks and hears no answer would keep the lease for ever, and never act.
		if t := v.time(a.Name); t != nil {
			v.queue(t, a)
		}
	case g.holder == a.From:
		v.confirm(a) // also for one whose grant was told in an answer that was lost
	default:
		t := v.time(a.Name)
		if t == nil {
			return
		}
		v.answer(a, Reply{Held: g.holder, Before: v.queue(t, a)})
	}
	v.turn()
}

// deaf tells whether a holder has asked for a whole span and heard nothing.
func (v *Voter) deaf(a Ask) bool {
	t := v.time(a.Name)
	if t == nil {
		return false
	}
	if a.Heard != t.heard || t.heardAt == 0 {
		t.heard, t.heardAt = a.Heard, v.now
	}
	return v.now-t.heardAt > v.terms.Span
}

// queue puts who asks among those that wait, or notes that it still does, and tells how many are before it.
func (v *Voter) queue(t *term, a Ask) int {
	for k := range t.waiters {
		if t.waiters[k].ask.From == a.From {
			t.waiters[k] = waiter{a, v.now}
			return k
		}
	}
	if len(t.waiters) < mostWait {
		t.waiters = append(t.waiters, waiter{a, v.now})
	}
	return len(t.waiters) - 1
}

func (v *Voter) time(name string) *term {
	t := v.timed[name]
	if t == nil {
		if len(v.order) >= MostLeases {
			return nil
		}
		t = &term{}
		v.timed[name] = t
		v.order = append(v.order, name)
	}
	return t
}

// hand proposes that a lease goes to who has waited longest, or to nobody.
func (v *Voter) hand(name string, over uint64) {
	t := v.time(name)
	if t == nil || t.open {
		return
	}
	e := entry{name: name, over: over}
	for len(t.waiters) > 0 && v.now-t.waiters[0].seen > v.terms.Span/2 { // it has stopped asking
		t.waiters = t.waiters[1:]
	}
	if g := v.book.find(name); g != nil && len(t.waiters) > 1 && t.waiters[0].ask.From == g.holder { // it is deaf
		t.waiters = append(t.waiters[1:], t.waiters[0])
	}
	if len(t.waiters) > 0 {
		e.holder = t.waiters[0].ask.From
	} else if over == 0 {
		return
	}
	if v.node.Propose(e.append(nil)) == nil {
		t.open = true
		v.open++
	}
}

// confirm answers a holder once most voters have said, after now, that this is still the leader.
func (v *Voter) confirm(a Ask) {
	v.readID++
	v.reads = append(v.reads, read{id: v.readID, ask: a})
	v.node.ReadIndex(binary.BigEndian.AppendUint64(nil, v.readID))
}

func (v *Voter) answer(a Ask, r Reply) {
	r.Name, r.To, r.Seq = a.Name, a.From, a.Seq
	v.host.Reply(a.Via, a.Addr, r)
}

// expire ends leases whose holders can rely on them no longer.
func (v *Voter) expire() {
	for k := 0; k < len(v.order) && v.open < mostOpen; k++ {
		name := v.order[k]
		t, g := v.timed[name], v.book.find(name)
		switch {
		case t.open:
		case g != nil && v.now >= t.until:
			v.hand(name, g.token)
		case g == nil && len(t.waiters) > 0:
			v.hand(name, 0)
		case g == nil: // nobody has it or waits for it
			delete(v.timed, name)
			v.order[k] = v.order[len(v.order)-1]
			v.order = v.order[:len(v.order)-1]
			k--
		}
	}
}

// lead begins to time leases. Danger: the leader before may have renewed any of them just now, so each is kept for a whole
// span from the moment at which this one knows all that was granted.
func (v *Voter) lead() {
	v.timed, v.order, v.reads, v.open = map[string]*term{}, nil, nil, 0
	for _, g := range v.book.grants {
		if g.name != "" {
			v.time(g.name).until = v.now + v.terms.waits()
		}
	}
}

// turn carries out what the log's core asks for: first the disk, then what may be told.
func (v *Voter) turn() {
	for v.aside == nil && v.node.HasReady() {
		rd := v.node.Ready()
		b := Batch{Hard: rd.HardState, Entries: rd.Entries}
		if !raft.IsEmptySnap(rd.Snapshot) {
			b.Snapshot = rd.Snapshot
		}
		if !raft.IsEmptyHardState(b.Hard) || len(b.Entries) > 0 || b.Snapshot != nil {
			if err := v.host.Save(b); err != nil {
				v.stepAside(err)
				return
			}
		}
		if b.Snapshot != nil {
			book, err := readBook(b.Snapshot.Data)
			if err == nil {
				err = v.disk.ApplySnapshot(b.Snapshot)
			}
			if err != nil {
				v.stepAside(err)
				return
			}
			v.book, v.conf, v.folded = book, b.Snapshot.GetMetadata().GetConfState(), b.Snapshot.GetMetadata().GetIndex()
			v.book.Applied = v.folded
		}
		if !raft.IsEmptyHardState(rd.HardState) {
			v.disk.SetHardState(rd.HardState)
		}
		if err := v.disk.Append(rd.Entries); err != nil {
			v.stepAside(err)
			return
		}
		if rd.SoftState != nil {
			v.lost(rd.SoftState.RaftState == raft.StateLeader)
		}
		for _, m := range rd.Messages {
			v.host.Carry(m.GetTo(), m)
		}
		for _, r := range rd.ReadStates {
			for k := range v.reads {
				if len(r.RequestCtx) == 8 && v.reads[k].id == binary.BigEndian.Uint64(r.RequestCtx) {
					v.reads[k].index = max(r.Index, 1)
				}
			}
		}
		for _, e := range rd.CommittedEntries {
			v.applied(e)
		}
		v.node.Advance(rd)
		v.answerReads()
	}
	v.fold()
}

// lost notes whether this voter leads now.
func (v *Voter) lost(leads bool) {
	if v.leads == leads {
		return
	}
	if v.leads, v.readyAt, v.changing = leads, 0, false; !leads {
		v.timed, v.order, v.reads, v.open = map[string]*term{}, nil, nil, 0
		v.silent, v.patience = 0, v.draw()
	}
}

// applied takes an entry that most voters have.
func (v *Voter) applied(e *pb.Entry) {
	v.book.Applied = e.GetIndex()
	switch e.GetType() {
	case pb.EntryConfChange, pb.EntryConfChangeV2:
		v.changed(e)
	case pb.EntryNormal:
		if len(e.Data) > 0 {
			v.entered(e)
		}
	}
	if v.leads && v.readyAt == 0 && e.GetTerm() == v.node.BasicStatus().GetTerm() {
		v.readyAt = e.GetTerm() // its own first entry: all that was granted before is known
		v.lead()
		v.host.Log(fmt.Sprintf("voter %d leads in term %d, %d leases", v.id, v.readyAt, len(v.book.byName)))
	}
}

func (v *Voter) changed(e *pb.Entry) {
	v.changing = false
	var c pb.ConfChange
	if e.GetType() != pb.EntryConfChange || proto.Unmarshal(e.Data, &c) != nil {
		return // no voter proposes another kind
	}
	v.conf = v.node.ApplyConfChange(&c)
	if seat, err := readSeat(c.GetNodeId(), c.Context); err == nil {
		v.book.seat(seat, c.GetType() == pb.ConfChangeAddNode)
	}
}

func (v *Voter) entered(e *pb.Entry) {
	x, err := readEntry(e.Data)
	if err != nil {
		return // of a later version: it says nothing here
	}
	g, _, done := v.book.apply(e.GetIndex(), x)
	if !v.leads || v.readyAt == 0 {
		return
	}
	t := v.time(x.name)
	if t == nil {
		return
	}
	if t.open {
		t.open = false
		v.open--
	}
	if !done || g == nil {
		return
	}
	t.until, t.heardAt = v.now+v.terms.waits(), 0
	for k := range t.waiters {
		if w := t.waiters[k].ask; w.From == g.holder {
			v.answer(w, Reply{Token: g.token})
			t.waiters = append(t.waiters[:k], t.waiters[k+1:]...)
			break
		}
	}
}

// answerReads renews what a quorum has confirmed.
func (v *Voter) answerReads() {
	for len(v.reads) > 0 && v.reads[0].index != 0 && v.book.Applied >= v.reads[0].index {
		r := v.reads[0]
		v.reads = v.reads[1:]
		if !v.leads || v.readyAt == 0 {
			continue
		}
		g, t := v.book.find(r.ask.Name), v.timed[r.ask.Name]
		switch {
		case g == nil || g.holder != r.ask.From:
			v.answer(r.ask, Reply{})
		case t == nil || t.open: // Danger: an entry that ends it is on its way, and would count after this renewal.
		default:
			t.until = max(t.until, v.now+v.terms.waits())
			v.answer(r.ask, Reply{Token: g.token})
		}
	}
}

// fold makes a snapshot, so that the log stays bounded.
func (v *Voter) fold() {
	if v.aside != nil || v.book.Applied < v.folded+foldAt {
		return
	}
	s, err := v.disk.CreateSnapshot(v.book.Applied, v.conf, v.book.snapshot())
	if err != nil {
		return
	}
	keep := v.book.Applied - min(keepLog, v.book.Applied-1)
	if err := v.host.Save(Batch{Snapshot: s, Keep: keep}); err != nil {
		v.stepAside(err)
		return
	}
	v.folded = v.book.Applied
	if first, err := v.disk.FirstIndex(); err == nil && keep > first {
		v.disk.Compact(keep)
	}
}

func (v *Voter) stepAside(err error) {
	v.aside = fmt.Errorf("%w: %w", ErrAside, err)
	v.leads, v.readyAt = false, 0
	v.host.Log(fmt.Sprintf("voter %d steps aside: %v", v.id, err))
}

// Change adds a voter, or removes one. One change at a time; the next only once this is done.
func (v *Voter) Change(now Time, s Seat, add bool) error {
	defer v.guard()
	v.now = now
	if v.aside != nil {
		return v.aside
	}
	if !v.leads || v.readyAt == 0 {
		return fmt.Errorf("voter %d does not lead; voter %d does, as far as it knows", v.id, v.Leader())
	}
	if v.changing {
		return fmt.Errorf("another change is not done yet")
	}
	if len(s.Name) > MostName || len(s.Addr) > MostName || s.ID == 0 {
		return fmt.Errorf("no number, or a name or address over %d bytes", MostName)
	}
	votes := slices.Contains(v.conf.Voters, s.ID)
	kind := pb.ConfChangeAddNode
	if !add {
		kind = pb.ConfChangeRemoveNode
		if len(v.conf.Voters) <= 1 {
			return fmt.Errorf("the last voter cannot be removed")
		}
	}
	if votes == add {
		return fmt.Errorf("voter %d has a vote: %v", s.ID, votes)
	}
	err := v.node.ProposeConfChange(&pb.ConfChange{Type: kind.Enum(), NodeId: &s.ID, Context: s.append(nil)})
	v.changing = err == nil
	v.turn()
	return err
}

// Yield hands the lead to the voter that has most of the log, before a planned stop.
func (v *Voter) Yield(now Time) {
	defer v.guard()
	if v.now = now; v.aside != nil || !v.leads {
		return
	}
	best, match := uint64(0), uint64(0)
	for _, id := range v.conf.Voters { // in their order
		if p, ok := v.node.Status().Progress[id]; ok && id != v.id && p.RecentActive && p.Match > match {
			best, match = id, p.Match
		}
	}
	if best != 0 {
		v.node.TransferLeader(best)
		v.turn()
	}
}

// Seats gives the voters that were added after the first start.
func (v *Voter) Seats() []Seat { return v.book.seats }

// Grants gives all leases, by name, with how long the leader keeps each (0 where this voter does not lead).
func (v *Voter) Grants() (list []Grant) {
	for _, g := range v.book.grants {
		if g.name == "" {
			continue
		}
		x := Grant{Name: g.name, Holder: g.holder, Token: g.token}
		if t := v.timed[g.name]; t != nil && v.readyAt != 0 {
			x.Left, x.Waiters = max(t.until-v.now, 0), len(t.waiters)
		}
		list = append(list, x)
	}
	return list
}

// Grant is one lease, as it is shown.
type Grant struct {
	Name    string
	Holder  Party
	Token   uint64
	Left    Time
	Waiters int
}

// Voters gives who votes.
func (v *Voter) Voters() []uint64 { return v.conf.Voters }

// quiet is the library's logger: what it has to say is told by this package, in a line an event.
type quiet struct{}

func (quiet) Debug(...any)              {}
func (quiet) Debugf(string, ...any)     {}
func (quiet) Error(...any)              {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Info(...any)               {}
func (quiet) Infof(string, ...any)      {}
func (quiet) Warning(...any)            {}
func (quiet) Warningf(string, ...any)   {}
func (quiet) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (quiet) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
