package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"micatrack/internal/capacity"
	"micatrack/internal/rig"
)

const (
	hollowPeriod   = 500                  // milliseconds, the period of the hollow play's talk
	hollowDelay    = 2 * time.Millisecond // one way between hollow fronts, from half to one and a half
	groupMembers   = 3                    // stores of a group, one in each zone
	mostApart      = 2.0                  // factor between hollow and real figures
	kibibyte       = 1024                 // bytes, the unit of /proc/PID/status
	secondsOfStart = 20                   // of the full form
	secondsOfCalm  = 60                   // of the full form
)

// rates are the messages and bytes a second that a front sends to other fronts, in the mean over all fronts.
type rates struct{ messages, bytes float64 }

func (r rates) plus(o rates) rates { return rates{r.messages + o.messages, r.bytes + o.bytes} }

// control is what a front sends in calm, datagrams and whole exchanges apart.
type control struct{ datagrams, exchanges rates }

func (c control) all() rates { return c.datagrams.plus(c.exchanges) }

// hollowControl plays hollow fronts and gives their figures of the calm time.
func hollowControl(t *testing.T, size capacity.Size, spans capacity.Spans) (control, *capacity.Result) {
	t.Helper()
	event, err := capacity.EventByName("none")
	if err != nil {
		t.Fatal(err)
	}
	result, err := capacity.Play{Size: size, Event: event, Spans: spans, Measure: true}.Run()
	if err != nil {
		t.Fatal(err)
	}
	var c control
	for _, row := range result.BySubject {
		if row.Phase != "calm" {
			continue
		}
		switch sent := (rates{row.Messages, row.Bytes}); row.Subject {
		case "probes", "rumors":
			c.datagrams = c.datagrams.plus(sent)
		case "exchanges":
			c.exchanges = c.exchanges.plus(sent)
		}
	}
	return c, result
}

// processPlan is the rig's plan of the same fleet: zones a, b and c, a store of each group in each of them.
func processPlan(t *testing.T, size capacity.Size) rig.Plan {
	p := bed(t, size.Fronts, true)
	p.Groups = size.Stores / groupMembers
	p.Fleet["period_ms"] = hollowPeriod
	return p
}

// processControl starts real processes and gives their figures of the same span after the start.
func processControl(t *testing.T, r *rig.Rig, spans capacity.Spans) control {
	t.Helper()
	front := func(n rig.Node) bool { return n.Front }
	r.Between(rig.Across(front, front), rig.Fault{Delay: hollowDelay})
	began := time.Now()
	r.Start(r.Fronts...)
	t.Logf("all processes serve after %v", time.Since(began).Round(time.Millisecond))
	time.Sleep(time.Until(began.Add(time.Duration(spans.Start) * time.Second)))
	from, before := time.Now(), sentByAll(r)
	time.Sleep(time.Duration(spans.Calm) * time.Second)
	after, seconds := sentByAll(r), time.Since(from).Seconds()
	each := func(now, then rig.Flow) rates {
		span := seconds * float64(len(r.Fronts))
		return rates{float64(now.Messages-then.Messages) / span, float64(now.Bytes-then.Bytes) / span}
	}
	return control{each(after.Datagrams, before.Datagrams), each(after.Streams, before.Streams)}
}

// sentByAll adds up what all fronts have sent to each other.
func sentByAll(r *rig.Rig) (all rig.Sent) {
	for _, f := range r.Fronts {
		sent := r.Sent(f.Node)
		all.Datagrams.Messages += sent.Datagrams.Messages
		all.Datagrams.Bytes += sent.Datagrams.Bytes
		all.Streams.Messages += sent.Streams.Messages
		all.Streams.Bytes += sent.Streams.Bytes
	}
	return all
}

// residentBytes gives the mean over all processes of a line of /proc/PID/status.
func residentBytes(t *testing.T, r *rig.Rig, line string) float64 {
	t.Helper()
	total := 0
	for _, f := range r.Fronts {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.PID()))
		if err != nil {
			t.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(text), "\n"+line+":")
		fields := strings.Fields(rest)
		if len(fields) == 0 {
			t.Fatalf("%s: no %s", f.Name, line)
		}
		kibibytes, err := strconv.Atoi(fields[0])
		if err != nil {
			t.Fatalf("%s: %s: %v", f.Name, line, err)
		}
		total += kibibytes * kibibyte
	}
	return float64(total) / float64(len(r.Fronts))
}

// withinFactor wants a hollow and a real figure to be no further apart than mostApart.
func withinFactor(t *testing.T, what string, hollow, process float64) {
	t.Helper()
	if !(hollow > 0 && process > 0 && hollow <= mostApart*process && process <= mostApart*hollow) {
		t.Errorf("%s: hollow %.3f, processes %.3f: further apart than a factor of %v", what, hollow, process,
			mostApart)
	}
}

// plainProgram builds the program without the race detector, whose memory is many times the program's.
func plainProgram(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "micatrack")
	if out, err := exec.Command("go", "build", "-p", "2", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return path
}

// TestHollowFrontsTalkAsProcessesDo: what fronts send each other in calm is the same within a factor of two,
// hollow on the virtual clock and counted between processes. With MICATRACK_LONG it is 24 fronts for 80 s,
// bytes are held too, and resident memory is told beside the hollow heap.
func TestHollowFrontsTalkAsProcessesDo(t *testing.T) {
	t.Parallel()
	size := capacity.Size{Fronts: 6, Stores: 6, Zones: 3, Regions: 1, Lossless: true, Seed: 1}
	spans := capacity.Spans{Start: 4, Calm: 8}
	full := os.Getenv("MICATRACK_LONG") != ""
	if full {
		size.Fronts, size.Stores = 24, 24
		spans = capacity.Spans{Start: secondsOfStart, Calm: secondsOfCalm}
	}
	hollow, result := hollowControl(t, size, spans)
	p := processPlan(t, size)
	if full {
		p.Program = plainProgram(t)
	}
	r := rig.New(t, p)
	processes := processControl(t, r, spans)
	told := func(what string, hollow, process rates) {
		const form = "%s sent, a second a front: hollow %.3f messages, %.1f bytes; " +
			"processes %.3f messages, %.1f bytes"
		t.Logf(form, what, hollow.messages, hollow.bytes, process.messages, process.bytes)
	}
	told("datagrams", hollow.datagrams, processes.datagrams)
	told("whole exchanges", hollow.exchanges, processes.exchanges)
	told("all", hollow.all(), processes.all())
	withinFactor(t, "messages a second a front", hollow.all().messages, processes.all().messages)
	if full {
		withinFactor(t, "bytes a second a front", hollow.all().bytes, processes.all().bytes)
		t.Logf("memory a front, hollow: heap of all %.0f bytes before the start, %.0f at the end",
			result.Find("memory.start"), result.Find("memory.all"))
		t.Logf("memory a process: resident %.0f bytes, of it anonymous %.0f",
			residentBytes(t, r, "VmRSS"), residentBytes(t, r, "RssAnon"))
	}
}
