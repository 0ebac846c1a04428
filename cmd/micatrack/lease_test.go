package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"micatrack/internal/leases"
	"micatrack/internal/rig"
	"micatrack/internal/standin"
)

// noSleep has a program with the race detector in it end at once, in place of a second later.
const noSleep = "GORACE=atexit_sleep_ms=0"

const (
	leaseSpan = 900 * time.Millisecond
	// followed is by when another front acts after a holder is gone, though the leader may be gone with it: the lease's
	// time with drift and margin, an election, the whole span that a new leader waits, and two rounds.
	followed = 3 * leaseSpan
)

// council gives a plan of fronts of which some grant leases, and one tells a summary every 20 ms that takes 40 ms to tell.
func council(t testing.TB, fronts, voters int) rig.Plan {
	p := bed(t, fronts, true)
	p.Groups, p.Voters, p.Act = 2, voters, 40*time.Millisecond
	p.Lease = map[string]any{"span_ms": leaseSpan.Milliseconds(), "margin_ms": 30, "drift": 0.01, "summary_ms": 20}
	return p
}

// newest gives the newest act that was taken, since then, and the front that did it.
func newest(r *rig.Rig, since time.Time) (a standin.Operation, by *rig.Front) {
	for _, x := range r.Acts.Operations() {
		if !x.Refused && !x.Began.Before(since) && x.Token >= a.Token {
			a = x
		}
	}
	for _, f := range r.Fronts {
		if f.Name == a.Holder {
			by = f
		}
	}
	return a, by
}

// said prints what fronts logged of their fleet.
func said(r *rig.Rig, since time.Time) {
	r.T.Helper()
	for _, f := range r.Fronts {
		for _, l := range f.Logged(since, "fleet=rig") {
			if !strings.Contains(l.Text, "msg=summary") {
				r.T.Logf("%s %6.3f %s", f.Name, l.At.Sub(since).Seconds(), l.Text[min(len(l.Text), 40):])
			}
		}
	}
}

// next waits for an act under a newer token than that, and tells how long that took.
func next(r *rig.Rig, after uint64, since time.Time, within time.Duration, what string) (a standin.Operation, by *rig.Front) {
	r.T.Helper()
	if !r.Await(within+time.Second, "an act after "+what, func() bool { a, by = newest(r, since); return a.Token > after }) {
		said(r, since)
		r.T.FailNow()
	}
	for _, x := range r.Acts.Operations() {
		if x.Token == a.Token && !x.Refused {
			a = x // its first
			break
		}
	}
	if gap := a.Began.Sub(since); gap > within {
		r.T.Errorf("after %s nobody acted for %v", what, gap)
	} else {
		r.T.Logf("after %s %s acts under token %d, %v later", what, a.Holder, a.Token, gap.Round(time.Millisecond))
	}
	return a, by
}

// alone checks that no two holders acted at once, and that acts were done. Where nothing was late on its way, none may have
// needed the token's guard.
func alone(r *rig.Rig, late bool) {
	r.T.Helper()
	acts := r.Acts.Operations()
	refused, tokens := 0, map[uint64]string{}
	for _, a := range acts {
		if a.Refused {
			refused++
		}
		if by, ok := tokens[a.Token]; ok && by != a.Holder {
			r.T.Errorf("token %d is %s's and %s's", a.Token, by, a.Holder)
		}
		tokens[a.Token] = a.Holder
	}
	for k, p := range standin.Overlaps(acts) {
		if k < 5 {
			r.T.Errorf("%s under token %d and %s under %d acted at once, %v apart", p[0].Holder, p[0].Token, p[1].Holder, p[1].Token, p[1].Began.Sub(p[0].Began))
		}
	}
	if refused > 0 && !late {
		r.T.Errorf("%d acts were refused: their holders relied on leases that had ended", refused)
	}
	r.T.Logf("%d acts under %d tokens, %d refused", len(acts), len(tokens), refused)
	if len(acts) == 0 {
		r.T.Error("nobody acted")
	}
}

func named(name string) func(n rig.Node) bool { return func(n rig.Node) bool { return n.Name == name } }

// TestOneActsForAll is the main job: five fronts, one lease, its holder killed, cut off, stopped and continued in turn under
// load. No two act at once, and the next holder is there in time.
func TestOneActsForAll(t *testing.T) {
	t.Parallel()
	r := rig.New(t, council(t, 5, 5))
	r.Start(r.Fronts...)
	load := r.Load(20, kinds...)
	a, by := next(r, 0, time.Now(), followed, "the start")
	for round := range 6 {
		at := time.Now()
		a, _ = newest(r, time.Time{})
		switch round % 3 {
		case 0:
			by.Signal(syscall.SIGKILL)
			old := by
			a, by = next(r, a.Token, at, followed, "the holder was killed")
			r.Start(old)
		case 1:
			heal := r.Between(rig.Into(named(by.Name)), rig.Fault{Cut: true})
			a, by = next(r, a.Token, at, followed, "the holder was cut off")
			heal()
		case 2:
			old := by
			old.Signal(syscall.SIGSTOP)
			a, by = next(r, a.Token, at, followed, "the holder was stopped")
			old.Signal(syscall.SIGCONT)
		}
		time.Sleep(leaseSpan)
	}
	done := load.End()
	r.Check(done)
	alone(r, true)
}

func views(t *testing.T, f *rig.Front) (v leases.Status, err error) {
	c := exec.Command(program, "fleet", "leases", "--control", f.Control, "--json")
	c.Env = append(os.Environ(), noSleep) // else it is told a second late who leads
	out, err := c.Output()
	if err == nil {
		err = json.Unmarshal(out, &v)
	}
	return v, err
}

// leader gives the front whose voter leads.
func leader(r *rig.Rig) *rig.Front {
	var lead *rig.Front
	r.Await(5*time.Second, "a voter leads", func() bool {
		for _, f := range r.Fronts { // one that was added may lead
			if v, err := views(nil, f); err == nil && v.Leads {
				lead = f
				return true
			}
		}
		return false
	})
	if lead == nil {
		said(r, time.Now().Add(-10*time.Second))
		r.T.FailNow()
	}
	return lead
}

// acting waits until a front acts that is not that one's leader, if there is a choice.
func acting(r *rig.Rig) (standin.Operation, *rig.Front) {
	return next(r, 0, time.Now(), followed, "the start")
}

// TestLateActRefused: the holder is stopped in the middle of an act, for longer than its lease, and goes on: its act comes
// late and is refused by its token.
func TestLateActRefused(t *testing.T) {
	t.Parallel()
	r := rig.New(t, council(t, 5, 3))
	r.Start(r.Fronts...)
	a, by := acting(r)
	at := time.Now()
	heal := r.Between(func(from, to rig.Node) bool { return from.Name == by.Name && to.Name == "collector" }, rig.Fault{Cut: true}) // it is on its way
	time.Sleep(100 * time.Millisecond)
	by.Signal(syscall.SIGSTOP)
	b, _ := next(r, a.Token, at, followed, "the holder was stopped")
	by.Signal(syscall.SIGCONT)
	heal()
	r.Await(2*time.Second, "the late act is refused", func() bool {
		for _, x := range r.Acts.Operations() {
			if x.Token == a.Token && x.Refused && x.Began.After(b.Began) {
				return true
			}
		}
		return false
	})
	time.Sleep(leaseSpan)
	alone(r, true)
}

// goesOn waits for an act after that moment under any token.
func goesOn(r *rig.Rig, since time.Time, what string) {
	r.T.Helper()
	if !r.Await(followed, "acts go on after "+what, func() bool { a, _ := newest(r, since); return a.Token > 0 }) {
		said(r, since.Add(-3*followed))
	}
}

// TestHolderAndLeaderCutApart: the leader without the other voters but with the holder; the reverse; the holder on the
// smaller side; cuts of one way.
func TestHolderAndLeaderCutApart(t *testing.T) {
	t.Parallel()
	r := rig.New(t, council(t, 6, 3))
	r.Start(r.Fronts...)
	load := r.Load(10, kinds...)
	acting(r)
	voter := func(n rig.Node) bool { return n.Name == "f0" || n.Name == "f1" || n.Name == "f2" }
	only := func(name string) func(n rig.Node) bool { return named(name) }
	without := func(is func(n rig.Node) bool, name string) func(n rig.Node) bool {
		return func(n rig.Node) bool { return is(n) && n.Name != name }
	}
	for round, cut := range []func(lead, by string) func(from, to rig.Node) bool{
		func(lead, by string) func(from, to rig.Node) bool {
			return rig.Across(only(lead), without(voter, lead))
		},
		func(lead, by string) func(from, to rig.Node) bool { return rig.Across(only(lead), only(by)) },
		func(lead, by string) func(from, to rig.Node) bool { // one voter stays with it
			with := "f0"
			if lead == "f0" {
				with = "f1"
			}
			side := func(n rig.Node) bool { return n.Name == by || n.Name == with }
			return func(from, to rig.Node) bool { return from.Front && to.Front && side(from) != side(to) }
		},
		func(_, by string) func(from, to rig.Node) bool { // what it says is lost
			return func(from, to rig.Node) bool { return from.Name == by && to.Front }
		},
		func(_, by string) func(from, to rig.Node) bool { // what it is told is lost
			return func(from, to rig.Node) bool { return to.Name == by && from.Front }
		},
	} {
		lead := leader(r)
		a, by := newest(r, time.Time{})
		at := time.Now()
		heal := r.Between(cut(lead.Name, by.Name), rig.Fault{Cut: true})
		time.Sleep(2 * leaseSpan)
		goesOn(r, time.Now(), fmt.Sprint("cut ", round))
		if b, _ := newest(r, at); round == 1 && lead != by && b.Token != a.Token {
			t.Errorf("a holder that reaches a voter, but not the leader, lost its lease: %d, then %d", a.Token, b.Token)
		}
		heal()
		time.Sleep(leaseSpan)
	}
	r.Check(load.End())
	alone(r, false)
}

// TestVotersDie: the leader is killed at drawn moments while leases change hands; all voters are killed and started again;
// then each in turn, for long with MICATRACK_LONG set.
func TestVotersDie(t *testing.T) {
	t.Parallel()
	r := rig.New(t, council(t, 5, 3))
	r.Start(r.Fronts...)
	acting(r)
	for n := range 3 {
		lead := leader(r)
		a, by := newest(r, time.Time{})
		at := time.Now()
		if by != lead {
			by.Signal(syscall.SIGKILL) // a grant follows about a span later
			time.Sleep(leaseSpan/2 - time.Duration(n*40)*time.Millisecond)
			r.Start(by) // it may be a voter, and two of three have to live
			time.Sleep(max(time.Until(at.Add(leaseSpan-time.Duration(n*40)*time.Millisecond)), 0))
		}
		lead.Signal(syscall.SIGKILL)
		next(r, a.Token, at, 2*followed, "leader and holder were killed")
		r.Start(lead)
	}
	for _, f := range r.Fronts[:3] {
		f.Signal(syscall.SIGKILL)
	}
	time.Sleep(2 * leaseSpan)
	if b, _ := newest(r, time.Now().Add(-leaseSpan/2)); b.Token != 0 {
		t.Errorf("token %d is used while there is no voter", b.Token)
	}
	r.Start(r.Fronts[:3]...)
	goesOn(r, time.Now(), "all voters were started again") // the holder may be one that lived on, and has its lease again
	turns := 10
	if os.Getenv("MICATRACK_LONG") != "" {
		turns = 200
	}
	for n := range turns { // the time that a start takes is in it
		f := r.Fronts[n%3]
		f.Signal(syscall.SIGKILL)
		r.Start(f)
		time.Sleep(300 * time.Millisecond)
	}
	goesOn(r, time.Now(), "each was killed in turn")
	for _, f := range r.Fronts {
		if lines := f.Logged(time.Time{}, "no vote"); len(lines) > 0 {
			t.Errorf("%s: %s", f.Name, lines[0].Text)
		}
	}
	alone(r, false)
}

// TestLeasesOverSlowLinks: 30 ms and 10 % loss everywhere, then one voter behind 2 s.
func TestLeasesOverSlowLinks(t *testing.T) {
	t.Parallel()
	r := rig.New(t, council(t, 5, 3))
	r.Start(r.Fronts...)
	acting(r)
	front := func(n rig.Node) bool { return n.Front }
	heal := r.Between(rig.Across(front, front), rig.Fault{Delay: 30 * time.Millisecond, Loss: 100})
	defer heal()
	time.Sleep(2 * leaseSpan)
	a, by := newest(r, time.Time{})
	at := time.Now()
	by.Signal(syscall.SIGKILL)
	old := by
	a, by = next(r, a.Token, at, 2*followed, "the holder was killed, over slow links")
	r.Start(old) // it may be a voter, and two of three have to be near
	slow := "f0"
	if by.Name == slow {
		slow = "f1"
	}
	r.Between(rig.Into(func(n rig.Node) bool { return n.Name == slow }), rig.Fault{Delay: 2 * time.Second})
	time.Sleep(3 * leaseSpan)
	goesOn(r, time.Now(), "a voter came to lie behind 2 s")
	alone(r, true)
}

// TestVotersChangeWhileHeld: three voters are replaced one by one while a lease is held. The holder goes on, one that is
// removed and goes on harms nobody, and the new ones grant by themselves.
func TestVotersChangeWhileHeld(t *testing.T) {
	t.Parallel()
	r := rig.New(t, council(t, 6, 3))
	r.Start(r.Fronts...)
	a, by := acting(r)
	for n := range 2 { // f3 for f0, f4 for f1
		in, out := r.Fronts[3+n], r.Fronts[n]
		if in == by { // the holder is not to be restarted
			in = r.Fronts[5]
		}
		number := in.Vote(false, "f0", "f1", "f2")
		in.Signal(syscall.SIGTERM)
		r.Start(in)
		change := func(args ...string) {
			t.Helper()
			var text []byte
			r.Await(5*time.Second, fmt.Sprint("voters change: ", args), func() bool {
				c := exec.Command(program, append([]string{"fleet", "voter", "--control", leader(r).Control}, args...)...)
				var err error
				text, err = c.CombinedOutput()
				return err == nil
			})
			t.Logf("%s", text)
		}
		change("add", number, "--name", in.Name, "--addr", in.Relayed())
		if v, err := views(t, leader(r)); err != nil || len(v.Voters) != 4 {
			t.Errorf("%+v, %v", v, err)
		}
		for _, c := range func() []leases.VoterStatus { v, _ := views(t, leader(r)); return v.Voters }() {
			if c.Name == out.Name {
				change("remove", fmt.Sprint(c.ID))
			}
		}
	}
	b, _ := newest(r, time.Now().Add(-time.Second))
	if b.Token != a.Token {
		t.Errorf("the lease changed hands: token %d, then %d", a.Token, b.Token)
	}
	if by != r.Fronts[2] {
		r.Fronts[2].Signal(syscall.SIGKILL) // of the first three the last one that still votes
		time.Sleep(2 * leaseSpan)
		goesOn(r, time.Now(), "the last of the old voters was killed")
	}
	alone(r, false)
}

// TestPlannedStop: the holder is asked to end. Another acts at once, and no act is done twice or at the same time.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	r := rig.New(t, council(t, 5, 3))
	r.Start(r.Fronts...)
	acting(r)
	for range 3 {
		a, by := newest(r, time.Time{})
		at := time.Now()
		by.Signal(syscall.SIGTERM)
		acts := r.Acts.Operations()
		last := a
		for _, x := range acts {
			if x.Token == a.Token {
				last = x
			}
		}
		b, _ := next(r, a.Token, at, followed, "the holder was asked to end")
		if gap := b.Began.Sub(last.Ended); gap > leaseSpan/4 || gap < 0 {
			t.Errorf("the next one acts %v after the last act of the one before", gap)
		} else {
			t.Logf("no holder for %v", gap.Round(time.Millisecond))
		}
		r.Start(by)
		time.Sleep(leaseSpan)
	}
	alone(r, false)
}

// TestWatchOfPositions: nine processes ask their groups' watchers in place of the stores. Then watchers are killed, stopped and
// cut off from the others: no rule is broken, and reads go on.
func TestWatchOfPositions(t *testing.T) {
	t.Parallel()
	probes := func(r *rig.Rig) (n int64) {
		for _, s := range r.Stores {
			n += s.Stand.Probes()
		}
		return n
	}
	play := func(on bool) (*rig.Rig, *rig.Load, int64) {
		p := council(t, 9, 3)
		p.Lease["watch"] = on
		r := rig.New(t, p)
		r.Start(r.Fronts...)
		acting(r)
		load := r.Load(20, kinds...)
		time.Sleep(leaseSpan)
		before := probes(r)
		time.Sleep(3 * time.Second)
		return r, load, probes(r) - before
	}
	r, load, without := play(false)
	r.Check(load.End())
	for _, f := range r.Fronts {
		f.Signal(syscall.SIGKILL)
	}
	r, load, with := play(true)
	t.Logf("%d probes in 3 s without watchers, %d with", without, with)
	if with*2 > without {
		t.Error("the stores are asked as often as before")
	}
	r.Fronts[4].Signal(syscall.SIGKILL)
	r.Fronts[5].Signal(syscall.SIGSTOP)
	front := func(n rig.Node) bool { return n.Front }
	heal := r.Between(func(from, to rig.Node) bool {
		return front(from) && front(to) && (from.Name == "f6") != (to.Name == "f6")
	}, rig.Fault{Cut: true})
	at := time.Now()
	time.Sleep(2 * time.Second)
	heal()
	r.Fronts[5].Signal(syscall.SIGCONT)
	r.Start(r.Fronts[4])
	time.Sleep(time.Second)
	done := load.End()
	r.Check(done)
	var others []rig.Done
	for _, d := range done {
		if d.Front != "f4" && d.Front != "f5" {
			others = append(others, d)
		}
	}
	if part := rig.InTime(others, at, at.Add(2*time.Second), 300*time.Millisecond); part < 0.95 {
		t.Errorf("%.3f come in time while watchers are gone", part)
	} else {
		t.Logf("%.3f come in time while watchers are gone", part)
	}
}
