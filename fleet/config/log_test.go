package config

import (
	"bytes"
	"errors"
	"fmt"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// applyText commits a new text of a scope in a log and returns the version.
func applyText(t testing.TB, l *Log, scope Scope, text string, plan *Plan) Version {
	t.Helper()
	entry, err := l.Prepare(Change{l.Newest(), scope, []byte(text), "ana", "a test", 5, 0, plan}, nil)
	if err != nil {
		t.Fatal(err)
	}
	r := l.Apply(entry)
	if r.Err != nil {
		t.Fatal(r.Err)
	}
	return r.Version
}

// TestConcurrentWritersOneWins checks that of several changes made from the same version only the first one
// is applied.
func TestConcurrentWritersOneWins(t *testing.T) {
	l := NewLog()
	applyText(t, l, "settings", "one", nil)
	var entries [][]byte
	for k := range 3 {
		entry, err := l.Prepare(Change{Base: 1, Scope: "settings", Text: []byte(fmt.Sprint("text", k)), Author: "ana", Reason: "a test"}, nil)
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, entry)
	}
	for k, entry := range entries {
		r := l.Apply(entry)
		var conflict *ConflictError
		if k == 0 && r.Err != nil || k > 0 && (!errors.As(r.Err, &conflict) || conflict.Newest != 2) || r.Version != 2 {
			t.Errorf("writer %d: %+v", k, r)
		}
	}
	if text, _ := l.Document().Text("settings"); string(text) != "text0" {
		t.Errorf("%s", text)
	}
	if r := l.Apply(entries[0]); !errors.Is(r.Err, ErrVersionConflict) {
		t.Errorf("entry applied twice: %+v", r)
	}
}

func TestRollbackAndHistory(t *testing.T) {
	l := NewLog()
	for k := range 700 {
		applyText(t, l, "settings", settings(20, k%20, k), nil)
	}
	if h := l.History(); len(h) != MaxHistory || h[0].Version != 700-MaxHistory+1 || h[0].Author != "ana" || h[0].At != 5 {
		t.Errorf("history has %d records, the first is %+v", len(h), h[0])
	}
	if _, err := l.PrepareRollback(Rollback{700, 100, "ana", "too old", 1}, nil); !errors.Is(err, ErrUnknownVersion) {
		t.Errorf("%v", err)
	}
	entry, err := l.PrepareRollback(Rollback{700, 650, "ana", "a mistake", 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if r := l.Apply(entry); r.Version != 701 || r.Err != nil {
		t.Fatalf("%+v", r)
	}
	if text, _ := l.Document().Text("settings"); string(text) != settings(20, 649%20, 649) {
		t.Errorf("%s", text)
	}
	if len(l.Snapshot()) > MaxSnapshot {
		t.Errorf("snapshot has %d bytes", len(l.Snapshot()))
	}
	restored := NewLog()
	if err := restored.Restore(l.Snapshot()); err != nil || !bytes.Equal(restored.Snapshot(), l.Snapshot()) {
		t.Errorf("%v", err)
	}
	if !restored.chain.hasDeltaFrom(400) || restored.chain.hasDeltaFrom(100) {
		t.Error("a restored log has the wrong deltas")
	}
	text, err := restored.chain.deltaFrom(400).apply(l.mustEncode(t, 400))
	if err != nil || !bytes.Equal(text, l.chain.document) {
		t.Errorf("%v", err)
	}
}

// mustEncode returns the encoded document of a version.
func (l *Log) mustEncode(t *testing.T, v Version) []byte {
	d, err := l.DocumentAt(v)
	if err != nil {
		t.Fatal(err)
	}
	return d.Append(nil)
}

func TestOneRolloutAtATime(t *testing.T) {
	l := NewLog()
	applyText(t, l, "settings", "one", nil)
	v := applyText(t, l, "settings", "two", &Plan{Front: "a", Zone: "z"})
	if texts := l.Document().TextsFor("a", "y"); string(texts[0].Text) != "two" {
		t.Errorf("%s", texts[0].Text)
	}
	if texts := l.Document().TextsFor("b", "z"); string(texts[0].Text) != "one" {
		t.Errorf("%s", texts[0].Text)
	}
	if _, err := l.Prepare(Change{Base: v, Scope: "plans", Text: []byte("x"), Author: "ana", Reason: "y"}, nil); !errors.Is(err, ErrRolloutOpen) {
		t.Errorf("%v", err)
	}
	entry, err := l.PrepareAbort("ana", "no more", 1)
	if err != nil || l.Apply(entry).Err != nil || l.Document().Stage != nil || l.Newest() != v+1 {
		t.Errorf("%v, %+v", err, l.Document())
	}
	if _, err := l.PrepareAbort("ana", "no more", 1); !errors.Is(err, ErrNoRollout) {
		t.Errorf("%v", err)
	}
}

// TestDeltasCompose checks that a composed and encoded delta has the effect of its two parts, and that it
// does not apply to another text.
func TestDeltasCompose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.Map(rapid.SliceOfN(rapid.SampledFrom([]string{"0123456789abcdef", "class one\n", "x", "freshness 400\n"}), 0, 20),
			func(parts []string) []byte { return []byte(fmt.Sprint(parts)) })
		one, two, three := text.Draw(t, "one"), text.Draw(t, "two"), text.Draw(t, "three")
		joined := makeDelta(one, two).compose(makeDelta(two, three))
		read, err := readDelta(joined.encode())
		if err != nil {
			t.Fatal(err)
		}
		if got, err := read.apply(one); err != nil || !bytes.Equal(got, three) {
			t.Fatalf("%q, %v", got, err)
		}
		if got, err := read.apply(two); err == nil && !bytes.Equal(got, three) {
			t.Fatalf("applied to another text: %q", got)
		}
	})
}

// TestCorruptDiskStartsWithoutVersion flips a bit in each byte of the persisted state.
func TestCorruptDiskStartsWithoutVersion(t *testing.T) {
	w := newWorld(t, 1, 1, 1, 1)
	w.change("settings", settings(5, 0, 1), nil)
	w.run(5 * Second)
	m := w.fronts[0]
	kept := m.persisted
	for k := range kept {
		corrupt := bytes.Clone(kept)
		corrupt[k] ^= 1
		if a := NewAgent(w.now, AgentOptions{Fleet: "blue", Name: "x", Persisted: corrupt}, m); a.InForce() != 0 {
			t.Fatalf("byte %d corrupt: version %d", k, a.InForce())
		}
	}
	if a := NewAgent(w.now, AgentOptions{Fleet: "green", Name: "x", Persisted: kept}, m); a.InForce() != 0 {
		t.Error("the persisted state of another fleet is used")
	}
}

// FuzzBytes checks that no input causes a panic, and that decoded input encodes to the same bytes again.
func FuzzBytes(f *testing.F) {
	l := NewLog()
	applyText(f, l, "settings", settings(5, 0, 1), nil)
	entry, _ := l.Prepare(Change{Base: 1, Scope: "settings", Text: []byte("x"), Author: "a", Reason: "b", Plan: &Plan{Zone: "z"}}, nil)
	body := func(m *message) []byte { encoded := m.encode(nil, "blue"); return encoded[:len(encoded)-checksumSize] }
	p := newPayload(0, 1, l.chain.deltaFrom(0).encode())
	for _, seed := range [][]byte{entry, l.Snapshot(), l.chain.document, l.chain.deltaFrom(0).encode(), body(p.message(0)),
		body(&message{kind: heartbeat, seq: 1, reportUpstream: true, reports: []report{{id: 1, incarnation: 2, seq: 3, inForce: 1, state: StateInForce, reason: "r"}}}),
		body(&message{kind: acknowledge, seq: 1, version: 9, proven: true, age: 5, receiving: 10}), body(&message{kind: offer, version: 9}),
		body(&message{kind: pull, version: 1, bases: []Version{1}, payload: p.payloadID, wanted: []byte{1}})} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, given []byte) {
		w := newWorld(t, 1, 1, 1, 1)
		w.committed = map[Version]*Document{1: l.Document()}
		w.run(2 * Second)
		log := NewLog()
		log.Apply(given)
		if log.Restore(given) == nil && len(log.Snapshot()) > MaxSnapshot {
			t.Error("snapshot exceeds its limit")
		}
		if d, err := ReadDocument(given); err == nil {
			if again, err := ReadDocument(d.Append(nil)); err != nil || !bytes.Equal(again.Append(nil), d.Append(nil)) {
				t.Errorf("%v", err)
			}
		}
		if d, err := readDelta(given); err == nil {
			d.apply(l.chain.document)
		}
		message := given
		for k := range 3 {
			sum := checksum("blue", given)
			message = append(bytes.Clone(given), byte(sum), byte(sum>>8), byte(sum>>16), byte(sum>>24))
			w.fronts[0].agent.Receive(w.now, "control0", message)
			w.controls[0].control.Receive(w.now, fmt.Sprint("x", k), message)
			w.now += 3 * Second
			w.fronts[0].agent.Tick(w.now)
			w.controls[0].control.Tick(w.now)
			w.controls[0].control.Status(w.now)
		}
		if m, err := readMessage(message, "blue"); err == nil {
			if again, err := readMessage(m.encode(nil, "blue"), "blue"); err != nil || !bytes.Equal(again.encode(nil, "blue"), m.encode(nil, "blue")) {
				t.Errorf("%v", err)
			}
		}
	})
}

// BenchmarkFrontSecond measures the processor time of one front for one second in an idle fleet of 800,
// including the simulated network.
func BenchmarkFrontSecond(b *testing.B) {
	w := newWorld(b, 1, 5, 800, 6)
	w.change("settings", settings(40, 0, 1), nil)
	w.run(20 * Second)
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N/800 + 1 {
		w.run(Second)
	}
	b.ReportMetric(float64(memory.HeapAlloc)/800, "heap-B/front")
}
