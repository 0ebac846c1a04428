// Package settings reads the settings that a front is given at its start, for every host of the module.
package settings

import (
	"encoding/json"
	"fmt"

	"micatrack/balance"
)

const microsPerTime = 100 // the settings' microseconds in one balance.Time

// Process is what the program round the module needs of the settings.
type Process struct {
	PositionEpoch            int64        // microseconds from which the simulator's positions count
	DialTimeout, IdleTimeout balance.Time // a connection comes up within Dial; a store closes one that stood idle for Idle
	LoadReports              string       // where load reports come: "inline", "on_probe" or "off"
	DrainGrace               balance.Time // nothing new goes to a store that long after a drain of it was told
}

// Read turns the settings into those of the module. Keys that it does not know are passed over.
func Read(text []byte) (balance.Settings, Process, error) {
	var w struct {
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
	if err := json.Unmarshal(text, &w); err != nil {
		return balance.Settings{}, Process{}, err
	}
	h := Process{PositionEpoch: w.Extra.PositionZero, DialTimeout: w.Ceilings.DialTimeout / microsPerTime,
		IdleTimeout: w.Ceilings.ConnIdle / microsPerTime, LoadReports: w.Report.Source, DrainGrace: w.Contract.DrainGrace / microsPerTime}
	c := balance.Settings{
		Fronts: w.ReplicasOfMe, Zone: w.Az, EventInterval: w.Round / microsPerTime,
		OverQuotaCredit:  w.OverShareWorth,
		StoresCheckReads: w.Extra.Behind == "refuse" || w.Extra.Behind == "wait",
		FencesCarried:    w.Extra.SessionMarks == "carried",
		ListPushed:       w.RegistryMode == "pushed", ListInterval: w.Contract.AskWithin / microsPerTime,
		OnlyDrainingBinds: w.Contract.OnlyDrainingBinds, AnswerSlack: w.Contract.AnswerSlack / microsPerTime,
		StartCapacity: w.Contract.StartCapacity, WarmupTime: w.Contract.Cold / microsPerTime,
		ColdOverloadFactor: w.Contract.FallMultiple, ColdOverloadSpan: w.Contract.TipAfter / microsPerTime,
		MaxAttempts: w.Ceilings.MaxAttempts, MayProbe: w.Ceilings.Probes, MayCancel: w.Ceilings.MayCancel,
		CrossZonePrice: w.Prices.CrossZone, ProbePrice: w.Prices.Probe,
	}
	if w.Ceilings.RetryAfter {
		c.MaxRetryAfter = w.Ceilings.MaxRetryAfter / microsPerTime
	}
	for _, k := range [...]struct {
		key   string
		value float64
	}{{"Ceilings.MaxAttempts", float64(w.Ceilings.MaxAttempts)}, {"Ceilings.MaxRetryAfter", float64(w.Ceilings.MaxRetryAfter)},
		{"Ceilings.ConnIdle", float64(w.Ceilings.ConnIdle)}, {"Ceilings.DialTimeout", float64(w.Ceilings.DialTimeout)},
		{"Contract.AnswerSlack", float64(w.Contract.AnswerSlack)}, {"Contract.AskWithin", float64(w.Contract.AskWithin)},
		{"Contract.Cold", float64(w.Contract.Cold)}, {"Contract.DrainGrace", float64(w.Contract.DrainGrace)},
		{"Contract.TipAfter", float64(w.Contract.TipAfter)},
		{"Contract.FallMultiple", w.Contract.FallMultiple}, {"Contract.StartCapacity", w.Contract.StartCapacity},
		{"OverShareWorth", w.OverShareWorth}, {"Prices.CrossZone", w.Prices.CrossZone}, {"Prices.Probe", w.Prices.Probe},
		{"ReplicasOfMe", float64(w.ReplicasOfMe)}, {"Round", float64(w.Round)}} {
		if k.value < 0 {
			return c, h, fmt.Errorf("%s is negative", k.key)
		}
	}
	if len(w.Profiles) == 0 {
		return c, h, fmt.Errorf("Profiles is missing or empty")
	}
	if len(w.Extra.Freshness) != len(w.Profiles) {
		return c, h, fmt.Errorf("Extra.Freshness has %d entries for %d Profiles",
			len(w.Extra.Freshness), len(w.Profiles))
	}
	if len(w.Extra.OldestData) != len(w.Profiles) {
		return c, h, fmt.Errorf("Extra.OldestData has %d entries for %d Profiles",
			len(w.Extra.OldestData), len(w.Profiles))
	}
	needs := map[string]balance.Need{"any": balance.Any, "bounded": balance.Bounded, "session": balance.Session,
		"fresh": balance.Fresh, "write": balance.Write}
	repeats := map[string]balance.Repeat{"repeatable": balance.Idempotent, "by_key": balance.Keyed,
		"once": balance.AtMostOnce}
	named := map[string]bool{}
	for i, p := range w.Profiles {
		if w.Extra.OldestData[i] < 0 {
			return c, h, fmt.Errorf("Extra.OldestData[%d] is negative", i)
		}
		if p.Aim <= 0 || p.HardLimit <= 0 || p.Window < 0 || p.AimStretch < 0 || p.Worth < 0 || p.LateWorth < 0 {
			return c, h, fmt.Errorf("Profiles[%d]: Aim, HardLimit, Window, AimStretch, Worth or LateWorth is out of range", i)
		}
		if p.Name == "" || named[p.Name] {
			// Danger: of two classes by one name, requests would be held to the rules of the last.
			return c, h, fmt.Errorf("Profiles[%d].Name is missing or used twice", i)
		}
		named[p.Name] = true
		need, ok := needs[w.Extra.Freshness[i]]
		if !ok {
			return c, h, fmt.Errorf("Extra.Freshness: %q is unknown", w.Extra.Freshness[i])
		}
		repeat, ok := repeats[p.Idempotency]
		if !ok {
			return c, h, fmt.Errorf("Profiles[%d].Idempotency: %q is unknown", i, p.Idempotency)
		}
		c.Classes = append(c.Classes, balance.Class{Name: p.Name, Need: need,
			Bound: w.Extra.OldestData[i] / microsPerTime, Repeat: repeat, Anywhere: p.Group == "all",
			Window: p.Window / microsPerTime, ExpectedTime: p.Aim / microsPerTime,
			Stretch: p.AimStretch, Deadline: p.HardLimit / microsPerTime, Credit: p.Worth, LateCredit: p.LateWorth})
	}
	for i, o := range w.Orgs {
		if o.QuotaPerS < 0 {
			return c, h, fmt.Errorf("Orgs[%d].QuotaPerS is negative", i)
		}
		c.Tenants = append(c.Tenants, balance.Tenant{Name: o.Name, Quota: o.QuotaPerS})
	}
	return c, h, nil
}
