package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"micatrack/fleet/config"
	"micatrack/internal/peers"
)

// sampleVersion returns a stored version for tests.
func sampleVersion() *StoredVersion {
	discovery := config.ScopeText{Scope: DiscoveryScope, Text: []byte(`{"discovery":"127.0.0.1:8500"}`)}
	settings := config.ScopeText{Scope: SettingsScope, Text: []byte(`{}`)}
	return &StoredVersion{
		ProvenAt: 1_700_000_000_000, InForceAt: 1_600_000_000_000, Version: 7,
		Texts: []config.ScopeText{discovery, settings}, AgentState: []byte("what the agent keeps"),
	}
}

// sameVersion reports whether two stored versions are equal, as far as the tests need.
func sameVersion(a, b *StoredVersion) bool {
	x, _ := a.Text(SettingsScope)
	y, _ := b.Text(SettingsScope)
	moments := a.ProvenAt == b.ProvenAt && a.InForceAt == b.InForceAt
	return moments && a.Version == b.Version && bytes.Equal(a.AgentState, b.AgentState) && bytes.Equal(x, y)
}

// TestLoadRejectsCorruptFiles checks that a file is either read as it was written or rejected: truncated at
// each byte, with random bits flipped, and missing.
func TestLoadRejectsCorruptFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "configuration")
	if s, err := Load(path); err != nil || s.Version != 0 {
		t.Errorf("no file: %+v, %v", s, err)
	}
	want := sampleVersion()
	for range 2 { // the second file replaces the first
		if err := Save(path, want); err != nil {
			t.Fatal(err)
		}
		if got, err := Load(path); err != nil || !sameVersion(&got, want) {
			t.Fatalf("%+v, %v", got, err)
		}
	}
	if left, _ := os.ReadDir(filepath.Dir(path)); len(left) != 1 {
		t.Errorf("files after saving: %v", left)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range len(whole) + 2000 {
		corrupt := bytes.Clone(whole[:min(n, len(whole))])
		if n >= len(whole) {
			corrupt[rng.IntN(len(corrupt))] ^= 1 << rng.IntN(8)
		}
		if bytes.Equal(corrupt, whole) {
			continue
		}
		if s, err := decode(corrupt); err == nil {
			t.Fatalf("corrupt file was read: %+v", s)
		}
	}
	// A crash before the rename leaves a temporary file, which must be ignored.
	if err := os.WriteFile(path+".part", whole[:len(whole)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := Load(path); err != nil || !sameVersion(&got, want) {
		t.Errorf("with a temporary file present: %+v, %v", got, err)
	}
}

// TestCheckNamesTheKey checks that errors name the offending key in one line.
func TestCheckNamesTheKey(t *testing.T) {
	for _, c := range []struct {
		scope config.Scope
		text  string
		key   string
	}{
		{DiscoveryScope, `{"discovery":"127.0.0.1"}`, "/discovery"},
		{DiscoveryScope, `{"discovery":7}`, "/discovery"},
		{DiscoveryScope, `{}`, "/discovery"},
		{DiscoveryScope, `{"discovery":"127.0.0.1:1","other":1}`, "/other"},
		{OperatorsScope, `{"door":{"on":true,"jobs":"many"}}`, "/door/jobs"},
		{OperatorsScope, `{"bolt":{"on":true,"listen":"127.0.0.1:1"}}`, "/bolt"},
		{OperatorsScope, `[]`, "/"},
		{SettingsScope, `{"Round":"soon"}`, "Round"},
		{SettingsScope, `{"Profiles":[]}`, "Profiles"},
		{"plans", `{}`, "scope"},
	} {
		err := Check(c.scope, []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), c.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s %s: %v", c.scope, c.text, err)
		}
	}
	valid := map[config.Scope]string{DiscoveryScope: `{"discovery":"127.0.0.1:1"}`, OperatorsScope: `{"door":{"on":true}}`}
	for scope, text := range valid {
		if err := Check(scope, []byte(text)); err != nil {
			t.Error(err)
		}
	}
}

// TestServiceOutcomes checks the outcome of a command for sequences of answers from control machines. After
// an attempt whose answer was lost, a change may be reported as refused only if that attempt cannot be
// committed any more.
func TestServiceOutcomes(t *testing.T) {
	unreachable, lost := peers.ErrUnreachable, peers.ErrNoAnswer
	done, notHandled := Answer{Outcome: Done, Version: 3}, Answer{Outcome: NotHandled}
	invalid, conflict := Answer{Outcome: Refused, Error: "faulty"}, Answer{Outcome: Refused, Conflict: true}
	for name, c := range map[string]struct {
		answers []any // in order of the requests; the last one repeats
		op      Op
		want    Outcome
	}{
		"all unreachable":                   {[]any{unreachable}, OpSet, NotHandled},
		"done":                              {[]any{unreachable, notHandled, done}, OpSet, Done},
		"invalid at once":                   {[]any{invalid}, OpSet, Refused},
		"answer lost, then done":            {[]any{lost, done}, OpSet, Done},
		"answer lost, then all unreachable": {[]any{lost, unreachable}, OpSet, Unknown},
		"answer lost, then invalid":         {[]any{lost, invalid}, OpSet, Unknown},
		"answer lost, then conflict":        {[]any{lost, conflict}, OpSet, Refused},
		"unknown, then all unreachable":     {[]any{Answer{Outcome: Unknown}, unreachable}, OpSet, Unknown},
		"answer to a query lost":            {[]any{lost, unreachable}, OpGet, NotHandled},
		"unreadable answer":                 {[]any{"?", unreachable}, OpRollback, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := -1
			s := Service{Ask: func(string, []byte) ([]byte, error) {
				n = min(n+1, len(c.answers)-1)
				if err, is := c.answers[n].(error); is {
					return nil, err
				}
				return json.Marshal(c.answers[n])
			}}
			r := Request{Op: c.op, Scope: "discovery", Text: `{"discovery":"127.0.0.1:1"}`}
			got := s.Do([]string{"a", "b", "c"}, r)
			if got.Outcome != c.want {
				t.Errorf("%+v", got)
			}
		})
	}
	none := Service{Ask: func(string, []byte) ([]byte, error) {
		t.Error("an invalid change was sent")
		return nil, errors.New("")
	}}
	if a := none.Do([]string{"a"}, Request{Op: OpSet, Scope: "plans", Text: "{}"}); a.Outcome != Refused {
		t.Errorf("%+v", a)
	}
}
