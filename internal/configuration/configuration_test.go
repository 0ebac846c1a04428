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

func sampleVersion() *StoredVersion {
	discovery := config.ScopeText{Scope: DiscoveryScope, Text: []byte(`{"discovery":"127.0.0.1:8500"}`)}
	settings := config.ScopeText{Scope: SettingsScope, Text: []byte(`{}`)}
	return &StoredVersion{
		ProvenAt: 1_700_000_000_000, InForceAt: 1_600_000_000_000, Version: 7,
		Texts: []config.ScopeText{discovery, settings}, AgentState: []byte("what the agent keeps"),
	}
}

func sameVersion(a, b *StoredVersion) bool {
	x, _ := a.Text(SettingsScope)
	y, _ := b.Text(SettingsScope)
	moments := a.ProvenAt == b.ProvenAt && a.InForceAt == b.InForceAt
	return moments && a.Version == b.Version && bytes.Equal(a.AgentState, b.AgentState) && bytes.Equal(x, y)
}

// TestDiskWholeOrNot: a file is read as it was written, or not at all: cut at each byte, with any bit
// flipped, missing.
func TestLoadRejectsCorruptFiles(t *testing.T) {
	path := filepath.Join(t.TempDir(), "configuration")
	if s, err := Load(path); err != nil || s.Version != 0 {
		t.Errorf("no file: %+v, %v", s, err)
	}
	want := sampleVersion()
	for range 2 { // the second takes the place of the first
		if err := Save(path, want); err != nil {
			t.Fatal(err)
		}
		if got, err := Load(path); err != nil || !sameVersion(&got, want) {
			t.Fatalf("%+v, %v", got, err)
		}
	}
	if left, _ := os.ReadDir(filepath.Dir(path)); len(left) != 1 {
		t.Errorf("%v are left", left)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	chance := rand.New(rand.NewPCG(1, 1))
	for n := range len(whole) + 2000 {
		spoilt := bytes.Clone(whole[:min(n, len(whole))])
		if n >= len(whole) {
			spoilt[chance.IntN(len(spoilt))] ^= 1 << chance.IntN(8)
		}
		if bytes.Equal(spoilt, whole) {
			continue
		}
		if s, err := decode(spoilt); err == nil {
			t.Fatalf("a spoilt file is read: %+v", s)
		}
	}
	// A crash between the writing and the renaming leaves a part, which counts for nothing.
	if err := os.WriteFile(path+".part", whole[:len(whole)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := Load(path); err != nil || !sameVersion(&got, want) {
		t.Errorf("beside a part: %+v, %v", got, err)
	}
}

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
	sound := map[config.Scope]string{DiscoveryScope: `{"discovery":"127.0.0.1:1"}`, OperatorsScope: `{"door":{"on":true}}`}
	for scope, text := range sound {
		if err := Check(scope, []byte(text)); err != nil {
			t.Error(err)
		}
	}
}

// TestServiceOutcomes: what control machines say in a row, and what the command may say then. After a try whose
// answer was lost, nothing may be called refused but what can no more be committed.
func TestServiceOutcomes(t *testing.T) {
	down, lost := peers.ErrUnreachable, peers.ErrNoAnswer
	done, elsewhere := Answer{Outcome: Done, Version: 3}, Answer{Outcome: NotHandled}
	faulty, conflict := Answer{Outcome: Refused, Error: "faulty"}, Answer{Outcome: Refused, Conflict: true}
	for name, c := range map[string]struct {
		told []any // by one machine after the other, the last again and again
		op   Op
		want Outcome
	}{
		"all gone":                      {[]any{down}, OpSet, NotHandled},
		"done":                          {[]any{down, elsewhere, done}, OpSet, Done},
		"faulty at once":                {[]any{faulty}, OpSet, Refused},
		"lost, then done":               {[]any{lost, done}, OpSet, Done},
		"lost, then all gone":           {[]any{lost, down}, OpSet, Unknown},
		"lost, then faulty":             {[]any{lost, faulty}, OpSet, Unknown},
		"lost, then another was first":  {[]any{lost, conflict}, OpSet, Refused},
		"not known, then all gone":      {[]any{Answer{Outcome: Unknown}, down}, OpSet, Unknown},
		"a question's answer was lost":  {[]any{lost, down}, OpGet, NotHandled},
		"an answer that cannot be read": {[]any{"?", down}, OpRollback, Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := -1
			s := Service{Ask: func(string, []byte) ([]byte, error) {
				n = min(n+1, len(c.told)-1)
				if err, is := c.told[n].(error); is {
					return nil, err
				}
				return json.Marshal(c.told[n])
			}}
			r := Request{Op: c.op, Scope: "discovery", Text: `{"discovery":"127.0.0.1:1"}`}
			got := s.Do([]string{"a", "b", "c"}, r)
			if got.Outcome != c.want {
				t.Errorf("%+v", got)
			}
		})
	}
	none := Service{Ask: func(string, []byte) ([]byte, error) {
		t.Error("a faulty change is asked for")
		return nil, errors.New("")
	}}
	if a := none.Do([]string{"a"}, Request{Op: OpSet, Scope: "plans", Text: "{}"}); a.Outcome != Refused {
		t.Errorf("%+v", a)
	}
}
