// Package settings reads the settings that a front is given when it starts, into those of package balance and
// of the process around it.
package settings

import (
	"encoding/json"
	"fmt"

	"micatrack/balance"
)

const microsPerTime = 100 // microseconds, the unit of times in the settings, in one balance.Time

// Process holds the settings that the process around package balance needs.
type Process struct {
	PositionEpoch int64        // microseconds at which the simulator's log positions start
	DialTimeout   balance.Time // time within which a connection has to be open
	IdleTimeout   balance.Time // time after which a store closes an idle connection
	LoadReports   string       // where load reports come: "inline", "on_probe" or "off"
	DrainGrace    balance.Time // time after the report of a drain by which no new work may go to the store
}

// Read parses the JSON of the settings into those of package balance and of the process. It returns an error
// that names the key if a value is missing, out of range or of the wrong type. It ignores unknown keys.
func Read(text []byte) (balance.Settings, Process, error) {
	var raw struct {
		Az       string
		Ceilings struct {
			MaxAttempts                   int
			MaxRetryAfter                 int64
			ConnIdle, DialTimeout         int64
			MayCancel, Probes, RetryAfter bool
		}
		Contract struct {
			AnswerSlack, AskWithin, Cold, DrainGrace, TipAfter int64
			FallMultiple, StartCapacity                        float64
			OnlyDrainingBinds                                  bool
		}
		Extra struct {
			Behind, SessionMarks string
			Freshness            []string
			OldestData           []int64
			PositionZero         int64
		}
		Orgs []struct {
			Name      string
			QuotaPerS float64
		}
		OverShareWorth float64
		Prices         struct{ CrossZone, Probe float64 }
		Profiles       []struct {
			Aim, HardLimit, Window   int64
			AimStretch               float64
			Group, Idempotency, Name string
			LateWorth, Worth         float64
		}
		RegistryMode string
		Report       struct{ Source string }
		ReplicasOfMe int
		Round        int64
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return balance.Settings{}, Process{}, err
	}
	process := Process{PositionEpoch: raw.Extra.PositionZero, DialTimeout: raw.Ceilings.DialTimeout / microsPerTime,
		IdleTimeout: raw.Ceilings.ConnIdle / microsPerTime, LoadReports: raw.Report.Source,
		DrainGrace: raw.Contract.DrainGrace / microsPerTime}
	settings := balance.Settings{
		Fronts: raw.ReplicasOfMe, Zone: raw.Az, EventInterval: raw.Round / microsPerTime,
		OverQuotaCredit:  raw.OverShareWorth,
		StoresCheckReads: raw.Extra.Behind == "refuse" || raw.Extra.Behind == "wait",
		FencesCarried:    raw.Extra.SessionMarks == "carried",
		ListPushed:       raw.RegistryMode == "pushed", ListInterval: raw.Contract.AskWithin / microsPerTime,
		OnlyDrainingBinds: raw.Contract.OnlyDrainingBinds, AnswerSlack: raw.Contract.AnswerSlack / microsPerTime,
		StartCapacity: raw.Contract.StartCapacity, WarmupTime: raw.Contract.Cold / microsPerTime,
		ColdOverloadFactor: raw.Contract.FallMultiple, ColdOverloadSpan: raw.Contract.TipAfter / microsPerTime,
		MaxAttempts: raw.Ceilings.MaxAttempts, MayProbe: raw.Ceilings.Probes, MayCancel: raw.Ceilings.MayCancel,
		CrossZonePrice: raw.Prices.CrossZone, ProbePrice: raw.Prices.Probe,
	}
	if raw.Ceilings.RetryAfter {
		settings.MaxRetryAfter = raw.Ceilings.MaxRetryAfter / microsPerTime
	}
	for _, check := range [...]struct {
		key   string
		value float64
	}{{"Ceilings.MaxAttempts", float64(raw.Ceilings.MaxAttempts)}, {"Ceilings.MaxRetryAfter", float64(raw.Ceilings.MaxRetryAfter)},
		{"Ceilings.ConnIdle", float64(raw.Ceilings.ConnIdle)}, {"Ceilings.DialTimeout", float64(raw.Ceilings.DialTimeout)},
		{"Contract.AnswerSlack", float64(raw.Contract.AnswerSlack)}, {"Contract.AskWithin", float64(raw.Contract.AskWithin)},
		{"Contract.Cold", float64(raw.Contract.Cold)}, {"Contract.DrainGrace", float64(raw.Contract.DrainGrace)},
		{"Contract.TipAfter", float64(raw.Contract.TipAfter)},
		{"Contract.FallMultiple", raw.Contract.FallMultiple}, {"Contract.StartCapacity", raw.Contract.StartCapacity},
		{"OverShareWorth", raw.OverShareWorth}, {"Prices.CrossZone", raw.Prices.CrossZone}, {"Prices.Probe", raw.Prices.Probe},
		{"ReplicasOfMe", float64(raw.ReplicasOfMe)}, {"Round", float64(raw.Round)}} {
		if check.value < 0 {
			return settings, process, fmt.Errorf("%s is negative", check.key)
		}
	}
	if len(raw.Profiles) == 0 {
		return settings, process, fmt.Errorf("Profiles is missing or empty")
	}
	if len(raw.Extra.Freshness) != len(raw.Profiles) {
		return settings, process, fmt.Errorf("Extra.Freshness has %d entries for %d Profiles",
			len(raw.Extra.Freshness), len(raw.Profiles))
	}
	if len(raw.Extra.OldestData) != len(raw.Profiles) {
		return settings, process, fmt.Errorf("Extra.OldestData has %d entries for %d Profiles",
			len(raw.Extra.OldestData), len(raw.Profiles))
	}
	needs := map[string]balance.Need{"any": balance.Any, "bounded": balance.Bounded, "session": balance.Session,
		"fresh": balance.Fresh, "write": balance.Write}
	repeats := map[string]balance.Repeat{"repeatable": balance.Idempotent, "by_key": balance.Keyed,
		"once": balance.AtMostOnce}
	seen := map[string]bool{}
	for i, profile := range raw.Profiles {
		if raw.Extra.OldestData[i] < 0 {
			return settings, process, fmt.Errorf("Extra.OldestData[%d] is negative", i)
		}
		if profile.Aim <= 0 || profile.HardLimit <= 0 || profile.Window < 0 || profile.AimStretch < 0 || profile.Worth < 0 || profile.LateWorth < 0 {
			return settings, process, fmt.Errorf("Profiles[%d]: Aim, HardLimit, Window, AimStretch, Worth or LateWorth is out of range", i)
		}
		if profile.Name == "" || seen[profile.Name] {
			// If two classes had one name, requests would be handled by the rules of the last one.
			return settings, process, fmt.Errorf("Profiles[%d].Name is missing or used twice", i)
		}
		seen[profile.Name] = true
		need, ok := needs[raw.Extra.Freshness[i]]
		if !ok {
			return settings, process, fmt.Errorf("Extra.Freshness: %q is unknown", raw.Extra.Freshness[i])
		}
		repeat, ok := repeats[profile.Idempotency]
		if !ok {
			return settings, process, fmt.Errorf("Profiles[%d].Idempotency: %q is unknown", i, profile.Idempotency)
		}
		settings.Classes = append(settings.Classes, balance.Class{Name: profile.Name, Need: need,
			Bound: raw.Extra.OldestData[i] / microsPerTime, Repeat: repeat, Anywhere: profile.Group == "all",
			Window: profile.Window / microsPerTime, ExpectedTime: profile.Aim / microsPerTime,
			Stretch: profile.AimStretch, Deadline: profile.HardLimit / microsPerTime, Credit: profile.Worth, LateCredit: profile.LateWorth})
	}
	for i, org := range raw.Orgs {
		if org.QuotaPerS < 0 {
			return settings, process, fmt.Errorf("Orgs[%d].QuotaPerS is negative", i)
		}
		settings.Tenants = append(settings.Tenants, balance.Tenant{Name: org.Name, Quota: org.QuotaPerS})
	}
	return settings, process, nil
}
