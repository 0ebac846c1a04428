package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"micatrack/fleet/config"
	"micatrack/internal/configuration"
	"micatrack/internal/pgwire"
	"micatrack/internal/rig"
)

// editedSettings gives the fleet's settings with a change.
func editedSettings(t testing.TB, r *rig.Rig, edit func(settings map[string]any)) string {
	t.Helper()
	var settings map[string]any
	err := json.Unmarshal([]byte(settingsText(t, r, 1)), &settings)
	if err != nil {
		t.Fatal(err)
	}
	edit(settings)
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// addClass adds a class of reads to settings.
func addClass(settings map[string]any, name string) {
	settings["Profiles"] = append(settings["Profiles"].([]any), map[string]any{"Name": name, "Idempotency": "repeatable",
		"Aim": 750000, "HardLimit": 3000000, "Worth": 1})
	extra := settings["Extra"].(map[string]any)
	extra["Freshness"] = append(extra["Freshness"].([]any), "any")
	extra["OldestData"] = append(extra["OldestData"].([]any), 0)
}

// asked gives what a front answers to a request of a class: "value" or an SQLSTATE.
func asked(t *testing.T, f *rig.Front, class string) string {
	t.Helper()
	c, err := net.Dial("tcp", f.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(outer))
	r := bufio.NewReader(c)
	c.Write(pgwire.AppendStartup(nil, "web", "orders"))
	code := ""
	for replies := 0; replies < 2; {
		kind, body, err := message(r)
		switch {
		case err != nil:
			t.Fatalf("%s: %v", f.Name, err)
		case kind == 'D':
			code = "value"
		case kind == 'E':
			code = pgwire.SQLState(body)
		case kind == 'Z':
			if replies++; replies == 1 {
				c.Write(pgwire.AppendSimpleQuery(nil, fmt.Sprintf("/* id=live%d,c=%s,d=2500,cluster=1 */ SELECT payload FROM entries "+
					"WHERE ref = 'k'", serial.Add(1), class)))
			}
		}
	}
	return code
}

// TestConfigSettingsWhileServing: settings and the door change a dozen times under load. Each change acts on every front without
// a start: a class that is new is served, one that was taken out is unknown, and the rules hold for all that was asked.
func TestConfigSettingsWhileServing(t *testing.T) {
	t.Parallel()
	r := rig.New(t, configuredFleet(t, 5, 3))
	r.Start(r.Fronts...)
	leader(r)
	load := r.Load(25, kinds...)
	change := func(scope, text string) (at time.Time, version uint64) {
		t.Helper()
		at = time.Now()
		out, errs, status := command(r.Fronts[3], text, "set", scope, "-", "--who", "test", "--why", "live")
		if fmt.Sscanf(out, "version %d", &version); status != 0 {
			t.Fatalf("%d: %s", status, errs)
		}
		return at, version
	}
	last := time.Duration(0)
	for n := range 6 {
		class := fmt.Sprint("added", n)
		at, version := change("settings", editedSettings(t, r, func(settings map[string]any) {
			addClass(settings, class)
			settings["Profiles"].([]any)[0].(map[string]any)["Aim"] = 200000 + 100000*n
			settings["Ceilings"].(map[string]any)["MaxAttempts"] = 2 + n
		}))
		last = max(last, everywhere(r, version, at, r.Fronts...))
		for _, f := range r.Fronts {
			if got := asked(t, f, class); got != "value" {
				t.Errorf("%s: a class that is in force since version %d: %s", f.Name, version, got)
			}
			if n > 0 {
				if got := asked(t, f, fmt.Sprint("added", n-1)); got != "22023" {
					t.Errorf("%s: a class that is out since version %d: %s", f.Name, version, got)
				}
			}
		}
		at, version = change("operators", fmt.Sprintf(`{"door": {"on": %v, "jobs": %d}}`, n%2 == 0, 100+n))
		last = max(last, everywhere(r, version, at, r.Fronts...))
	}
	done := load.End()
	r.Check(done)
	served := 0
	for _, d := range done {
		if d.Delivered {
			served++
		}
		if d.Lost {
			t.Errorf("%s at %s was lost", d.Job, d.Front)
		}
	}
	if t.Logf("12 changes, each on the last of 5 fronts within %v; %d of %d requests served", last, served, len(done)); served < len(done)*95/100 {
		t.Errorf("%d of %d requests were served", served, len(done))
	}
}

// TestOrdersUnderAVersion: what each scope's text takes the place of, what a scope without one leaves to the front's files,
// and that of a version with one faulty text nothing is taken.
func TestOrdersUnderAVersion(t *testing.T) {
	cfg, err := readConfiguration("../../example/config.json", "", "", "")
	if err != nil {
		t.Fatal(err)
	}
	cfg.settings.Zone, cfg.fromFiles.settings.Zone = "b", "b"
	var file struct{ Settings map[string]any }
	text, err := json.Marshal(map[string]any{"discovery": "127.0.0.2:99"})
	if err != nil {
		t.Fatal(err)
	}
	discovery := config.ScopeText{Scope: configuration.DiscoveryScope, Text: text}
	read(t, "../../example/config.json", &file)
	delete(file.Settings, "Az")
	file.Settings["RegistryMode"] = "pushed"
	file.Settings["Contract"].(map[string]any)["DrainGrace"] = 2_000_000
	settings := config.ScopeText{Scope: configuration.SettingsScope}
	if settings.Text, err = json.Marshal(file.Settings); err != nil {
		t.Fatal(err)
	}
	door := config.ScopeText{Scope: configuration.OperatorsScope, Text: []byte(`{"door": {"on": true, "jobs": 77}}`)}

	// A version has its scopes in this order.
	whole, err := cfg.withVersion([]config.ScopeText{discovery, door, settings})
	if err != nil {
		t.Fatal(err)
	}
	if whole.discovery != "127.0.0.2:99" || admissionBounds(&whole.operators.Door).MaxRequests != 77 || admissionBounds(&cfg.operators.Door) != nil {
		t.Errorf("discovery %s, door %+v", whole.discovery, whole.operators.Door)
	}
	if c := whole.settings; c.Zone != "b" || c.Seed != cfg.settings.Seed || c.AgentGrace != 20000 {
		t.Errorf("zone %q, seed %x, grace of an agent %d", c.Zone, c.Seed, c.AgentGrace)
	}
	pinned := whole
	pinned.discoveryPinned = true
	if p, err := pinned.withVersion([]config.ScopeText{discovery}); err != nil || p.discovery != cfg.discovery {
		t.Errorf("a flag names discovery, and %s is followed; %v", p.discovery, err)
	}
	back, err := whole.withVersion(nil)
	if err != nil || back.discovery != cfg.discovery || back.settings.AgentGrace != cfg.settings.AgentGrace || back.operators.Door.On {
		t.Errorf("without a text: %+v, %v", back.fromFiles, err)
	}
	for _, faulty := range []config.ScopeText{
		{Scope: configuration.SettingsScope, Text: []byte(`{"Profiles": []}`)},
		{Scope: configuration.OperatorsScope, Text: []byte(`{"door": {"jobs": "many"}}`)},
		{Scope: configuration.DiscoveryScope, Text: []byte(`{"discovery": "nowhere"}`)},
	} {
		got, err := cfg.withVersion([]config.ScopeText{faulty})
		if err == nil || got.discovery != cfg.discovery || got.operators.Door != cfg.operators.Door {
			t.Errorf("%s: taken, %v", faulty.Scope, err)
		}
	}
}

// read decodes a JSON file.
func read(t *testing.T, path string, into any) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, into)
	}
	if err != nil {
		t.Fatal(err)
	}
}
