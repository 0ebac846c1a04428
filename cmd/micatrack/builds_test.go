package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"micatrack/internal/configuration"
	"micatrack/internal/leases"
	"micatrack/internal/rig"
)

// membersWithin is by when every front holds the same members for alive or for dead, as in TestSickFront.
const membersWithin = 15 * time.Second

// buildsFollowed is by when another front acts after the holder is gone: three spans, as followed, of the lease's default
// span, since these tests are about what two builds make of each other's messages and files and not about short spans.
const buildsFollowed = 3 * controlSpan

// buildsPlan gives a plan of fronts with three voters, the configuration on, a lease of the default span with acts under
// it, and the stores' positions watched.
func buildsPlan(t *testing.T, fronts int) rig.Plan {
	p := council(t, fronts, 3)
	p.Configured = true
	p.Lease["span_ms"], p.Lease["summary_ms"], p.Lease["watch"] = controlSpan.Milliseconds(), 100, true
	return p
}

// awaitLeader waits until a voter leads, and gives what it tells of the leases.
func awaitLeader(r *rig.Rig) (v leases.Status) {
	r.T.Helper()
	if !r.Await(outer, "a voter leads", func() bool {
		for _, f := range r.Fronts {
			var err error
			if v, err = views(nil, f); err == nil && v.Leads {
				return true
			}
		}
		return false
	}) {
		said(r, time.Now().Add(-outer))
		r.T.FailNow()
	}
	return v
}

// olderBuild gives the path of the older build, and skips the test if none is named.
func olderBuild(t *testing.T) string {
	t.Helper()
	path := os.Getenv("MICATRACK_OLD")
	if path == "" {
		t.Skip("MICATRACK_OLD=path-of-an-older-build go test -race -run 'TestTwoBuilds|TestNewBuild|TestOldBuild' ./cmd/micatrack")
	}
	if _, err := os.Stat(path); err != nil {
		t.Fatal(err)
	}
	return path
}

// runBuild runs a command of one build and gives what it printed to standard output.
func runBuild(build, input string, args ...string) (out string, err error) {
	c := exec.Command(build, args...)
	c.Stdin = strings.NewReader(input)
	c.Env = append(os.Environ(), noSleep)
	var errs bytes.Buffer
	c.Stderr = &errs
	text, err := c.Output()
	if err != nil {
		err = fmt.Errorf("%s: %w: %s", args[0], err, strings.TrimSpace(errs.String()))
	}
	return string(text), err
}

// setThrough changes the settings with the command of a build through a front, and gives the version and a moment before
// it was acknowledged. It asks again while the command says, by its status, that nothing was changed.
func setThrough(r *rig.Rig, build string, f *rig.Front, text, why string) (version uint64, at time.Time) {
	r.T.Helper()
	var err error
	r.Await(outer, why+" is taken through "+f.Name, func() bool {
		at = time.Now()
		var out string
		out, err = runBuild(build, text, "config", "--control", f.Control, "set", "settings", "-", "--who", "test", "--why", why)
		if err == nil {
			_, err = fmt.Sscanf(out, "version %d", &version)
			return true
		}
		var ended *exec.ExitError
		return !errors.As(err, &ended) || ended.ExitCode() != statusNotDone
	})
	if err != nil {
		r.T.Fatalf("%s through %s: %v", why, f.Name, err)
	}
	return version, at
}

// historyText gives the versions as a build's command prints them, asked of a front.
func historyText(r *rig.Rig, build string, f *rig.Front) (text string) {
	r.T.Helper()
	r.Await(outer, "the history is told by "+f.Name, func() bool {
		var err error
		text, err = runBuild(build, "", "config", "--control", f.Control, "history")
		return err == nil
	})
	return text
}

// sameHistory checks that each build's command prints the same history through each of these fronts, and gives it.
func sameHistory(r *rig.Rig, builds []string, fronts ...*rig.Front) (text string) {
	r.T.Helper()
	text = historyText(r, builds[0], fronts[0])
	for _, f := range fronts {
		for k, build := range builds {
			if got := historyText(r, build, f); got != text {
				r.T.Errorf("the command of build %d through %s tells the history\n%s\nnot\n%s", k, f.Name, got, text)
			}
		}
	}
	return text
}

// inForceHere checks that a front has that version in force, with these settings.
func inForceHere(t *testing.T, f *rig.Front, version uint64, settings string) {
	t.Helper()
	v, err := here(f)
	if err != nil || v.Version != version || len(v.Texts) != 1 || v.Texts[0] != (configuration.ScopeText{Scope: "settings", Text: settings}) {
		t.Errorf("%s has version %d, texts %.60v, %v; version %d was in force", f.Name, v.Version, v.Texts, err, version)
	}
}

// holds waits until all of these fronts hold the named members for that state.
func holds(r *rig.Rig, state string, names []string, fronts ...*rig.Front) {
	r.T.Helper()
	for _, f := range fronts {
		var list []memberStatus
		if !r.Await(membersWithin, fmt.Sprintf("%s holds %v for %s", f.Name, names, state), func() bool {
			list = nil
			out, err := runBuild(program, "", "fleet", "--json", "--control", f.Control, "members")
			if err != nil || json.Unmarshal([]byte(out), &list) != nil {
				return false
			}
			found := 0
			for _, name := range names {
				for _, m := range list {
					if m.Name == name && m.State == state {
						found++
					}
				}
			}
			return found == len(names)
		}) {
			r.T.Logf("%s: %+v", f.Name, list)
		}
	}
}

// frontNames gives the names of fronts.
func frontNames(fronts []*rig.Front) (names []string) {
	for _, f := range fronts {
		names = append(names, f.Name)
	}
	return names
}

// withoutFronts gives the fronts but for these.
func withoutFronts(all []*rig.Front, but ...*rig.Front) (rest []*rig.Front) {
next:
	for _, f := range all {
		for _, b := range but {
			if f == b {
				continue next
			}
		}
		rest = append(rest, f)
	}
	return rest
}

// TestTwoBuildsInOneFleet: of six fronts in three zones every second one runs an older build, as two of the three voters
// do. They know each other, grant one lease, put changes made through either in force, leave a zone together, and bear
// that one front of each is killed, under load. It is no part of CI; olderBuild says how to run it.
func TestTwoBuildsInOneFleet(t *testing.T) {
	builds := []string{olderBuild(t), program}
	p := buildsPlan(t, 6)
	p.Groups = 4
	p.ProgramOf = func(front, _ int) string { return builds[front%2] }
	r := rig.New(t, p)
	r.Start(r.Fronts...)
	build := func(f *rig.Front) int { // 0: the old one
		for k := range r.Fronts {
			if r.Fronts[k] == f {
				return k % 2
			}
		}
		t.Fatalf("%s is no front", f.Name)
		return 0
	}
	holds(r, "alive", frontNames(r.Fronts), r.Fronts...)
	awaitLeader(r)
	next(r, 0, time.Now(), buildsFollowed, "the start")
	load := r.Load(20, kinds...)
	number := 0
	change := func(f *rig.Front, live ...*rig.Front) {
		t.Helper()
		number++
		text := settingsText(t, r, number)
		version, at := setThrough(r, builds[build(f)], f, text, fmt.Sprint("change ", number))
		if version != uint64(number) {
			t.Errorf("change %d is version %d", number, version)
		}
		t.Logf("version %d through %s in force on all after %v", version, f.Name, everywhere(r, version, at, live...))
		for _, o := range live {
			inForceHere(t, o, version, text)
		}
	}
	for _, f := range []*rig.Front{r.Fronts[4], r.Fronts[5], r.Fronts[0], r.Fronts[1]} { // two that vote, two that do not
		change(f, r.Fronts...)
	}
	sameHistory(r, builds, r.Fronts...)

	cut := time.Now()
	heal := r.Between(rig.Into(rig.Stores("c")), rig.Fault{Cut: true})
	lead(r, "c")
	ok := r.Await(6*time.Second, "all fronts leave zone c", func() bool { return len(left(r, "c", cut)) == len(r.Fronts) })
	first, last := span(left(r, "c", cut))
	t.Logf("first away %v after the cut, the last %v later", first.Sub(cut), last.Sub(first))
	if last.Sub(first) > time.Second {
		t.Errorf("the last front left %v after the first", last.Sub(first))
	}
	kept(t, r, cut, "a", "b")
	time.Sleep(time.Second)
	back := time.Now()
	r.Reborn(heal, rig.Into(rig.Stores("c")))
	if !r.Await(4*cold, "zone c is steady again for all", whole(r, "c", back, r.Fronts...)) || !ok {
		show(t, r, cut)
	}

	// The holder is killed, and of the other build a front that does not vote: two of three voters remain.
	a, holder := newest(r, time.Time{})
	other := r.Fronts[4]
	if build(holder) == 0 {
		other = r.Fronts[5]
	}
	at := time.Now()
	holder.Signal(syscall.SIGKILL)
	other.Signal(syscall.SIGKILL)
	next(r, a.Token, at, buildsFollowed, fmt.Sprintf("the holder %s and %s were killed", holder.Name, other.Name))
	rest := withoutFronts(r.Fronts, holder, other)
	holds(r, "dead", []string{holder.Name, other.Name}, rest...)
	holds(r, "alive", frontNames(rest), rest...)
	var through [2]bool
	for _, f := range rest { // one of each build
		if b := build(f); !through[b] {
			through[b] = true
			change(f, rest...)
		}
	}
	sameHistory(r, builds, rest...)
	next(r, a.Token, time.Now(), buildsFollowed, "the changes")
	r.Check(load.End())
	alone(r, false)
}

// voterNames gives the voters as the leader tells them, by number, name and address.
func voterNames(r *rig.Rig) map[string]bool {
	r.T.Helper()
	v := awaitLeader(r)
	names := map[string]bool{}
	for _, c := range v.Voters {
		names[fmt.Sprintf("%d %s %s", c.ID, c.Name, c.Addr)] = true
	}
	return names
}

// handOver lets a fleet of one build write its files, and starts every front again on them with the other build: the
// version in force, the history and the voters are as they were, tokens only grow, and a further change is taken.
func handOver(t *testing.T, from, to string) {
	t.Helper()
	p := buildsPlan(t, 4)
	p.ProgramOf = func(_, life int) string {
		if life == 1 {
			return from
		}
		return to
	}
	r := rig.New(t, p)
	r.Start(r.Fronts...)
	awaitLeader(r)
	next(r, 0, time.Now(), buildsFollowed, "the start")
	var version uint64
	var text string
	for n := range 3 {
		var at time.Time
		text = settingsText(t, r, n+1)
		version, at = setThrough(r, from, r.Fronts[n+1], text, fmt.Sprint("change ", n))
		everywhere(r, version, at, r.Fronts...)
	}
	versions := sameHistory(r, []string{from}, r.Fronts...)
	voters := voterNames(r)
	for _, f := range r.Fronts {
		f.Signal(syscall.SIGTERM)
	}
	for _, f := range r.Fronts[:p.Voters] {
		for _, args := range [][]string{{"show"}, {"show", "--json"}, {"verify"}} {
			args = append(append([]string{"state"}, args...), f.State())
			one, err := runBuild(from, "", args...)
			if err != nil {
				t.Errorf("%s, by the build that wrote it: %v", f.Name, err)
			}
			if other, err := runBuild(to, "", args...); err != nil || other != one {
				t.Errorf("%s: %v gives %q, %v; the build that wrote it gives %q", f.Name, args[:len(args)-1], other, err, one)
			}
		}
	}
	a, _ := newest(r, time.Time{})
	again := time.Now()
	r.Start(r.Fronts...)
	for _, f := range r.Fronts {
		inForceHere(t, f, version, text)
	}
	if got := sameHistory(r, []string{to}, r.Fronts...); got != versions {
		t.Errorf("the history is\n%s\nand was\n%s", got, versions)
	}
	if got := voterNames(r); fmt.Sprint(got) != fmt.Sprint(voters) {
		t.Errorf("the voters are %v, and were %v", got, voters)
	}
	for _, f := range r.Fronts {
		if lines := f.Logged(again, "no vote"); len(lines) > 0 {
			t.Errorf("%s: %s", f.Name, lines[0].Text)
		}
	}
	text = settingsText(t, r, 9)
	v, at := setThrough(r, to, r.Fronts[3], text, "a further change")
	if v != version+1 {
		t.Errorf("the change after version %d is version %d", version, v)
	}
	everywhere(r, version+1, at, r.Fronts...)
	for _, f := range r.Fronts {
		inForceHere(t, f, version+1, text)
	}
	next(r, a.Token, time.Now(), buildsFollowed, "the change that followed the second start")
	for _, x := range r.Acts.Operations() {
		if !x.Refused && x.Began.After(again) && x.Token <= a.Token {
			t.Errorf("%s acts under token %d after token %d was used", x.Holder, x.Token, a.Token)
		}
	}
	alone(r, false)
}

// TestNewBuildReadsWhatTheOldWrote: a fleet of an older build is stopped and goes on with this build on the same files.
// It is no part of CI; olderBuild says how to run it.
func TestNewBuildReadsWhatTheOldWrote(t *testing.T) { handOver(t, olderBuild(t), program) }

// TestOldBuildReadsWhatTheNewWrote is the way back: a fleet of this build is stopped and goes on with an older one on the
// same files. It is no part of CI; olderBuild says how to run it.
func TestOldBuildReadsWhatTheNewWrote(t *testing.T) { handOver(t, program, olderBuild(t)) }
