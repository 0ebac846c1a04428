package main

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"micatrack/internal/leases"
	"micatrack/internal/rig"
	"micatrack/internal/standin"
)

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
func newest(r *rig.Rig, since time.Time) (a standin.Acted, by *rig.Front) {
	for _, x := range r.Acts.Acts() {
		if !x.Refused && !x.Began.Before(since) && x.Token >= a.Token {
			a = x
		}
	}
	for _, f := range r.Fronts {
		if f.Name == a.By {
			by = f
		}
	}
	return a, by
}

// next waits for an act under a newer token than that, and tells how long that took.
func next(r *rig.Rig, after uint64, since time.Time, within time.Duration, what string) (a standin.Acted, by *rig.Front) {
	r.T.Helper()
	if !r.Await(within+time.Second, "an act after "+what, func() bool { a, by = newest(r, since); return a.Token > after }) {
		for _, f := range r.Fronts {
			for _, l := range f.Logged(since, "fleet=rig") {
				if !strings.Contains(l.Text, "msg=summary") {
					r.T.Logf("%s %6.3f %s", f.Name, l.At.Sub(since).Seconds(), l.Text[min(len(l.Text), 40):])
				}
			}
		}
		r.T.FailNow()
	}
	for _, x := range r.Acts.Acts() {
		if x.Token == a.Token && !x.Refused {
			a = x // its first
			break
		}
	}
	if gap := a.Began.Sub(since); gap > within {
		r.T.Errorf("after %s nobody acted for %v", what, gap)
	} else {
		r.T.Logf("after %s %s acts under token %d, %v later", what, a.By, a.Token, gap.Round(time.Millisecond))
	}
	return a, by
}

// alone checks that no two holders acted at once, and that acts were done.
func alone(r *rig.Rig) {
	r.T.Helper()
	acts := r.Acts.Acts()
	refused, tokens := 0, map[uint64]string{}
	for _, a := range acts {
		if a.Refused {
			refused++
		}
		if by, ok := tokens[a.Token]; ok && by != a.By {
			r.T.Errorf("token %d is %s's and %s's", a.Token, by, a.By)
		}
		tokens[a.Token] = a.By
	}
	for k, p := range standin.Overlaps(acts) {
		if k < 5 {
			r.T.Errorf("%s under token %d and %s under %d acted at once, %v apart", p[0].By, p[0].Token, p[1].By, p[1].Token, p[1].Began.Sub(p[0].Began))
		}
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
	alone(r)
}

func views(t *testing.T, f *rig.Front) (v leases.View, err error) {
	out, err := exec.Command(program, "fleet", "leases", "--control", f.Control, "--json").Output()
	if err == nil {
		err = json.Unmarshal(out, &v)
	}
	return v, err
}

// leader gives the front whose voter leads.
func leader(r *rig.Rig) *rig.Front {
	var lead *rig.Front
	r.Await(5*time.Second, "a voter leads", func() bool {
		for _, f := range r.Fronts[:r.Plan.Voters] {
			if v, err := views(nil, f); err == nil && v.Leads {
				lead = f
				return true
			}
		}
		return false
	})
	if lead == nil {
		r.T.FailNow()
	}
	return lead
}

var _ = fmt.Sprint
