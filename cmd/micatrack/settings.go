package main

import (
	"micatrack/admission"
	"micatrack/balance"
	"micatrack/fleet/config"
	"micatrack/internal/configuration"
	"micatrack/internal/front"
	"micatrack/internal/operators"
	"micatrack/internal/settings"
)

// parts are what the fleet's configuration may say in place of a front's files.
type parts struct {
	discovery string
	settings  balance.Settings
	host      settings.Process
	door      operators.Admission
}

// settle works out what the settings leave to the program round the module.
func (o *orders) settle() {
	if o.settings.ListPushed {
		o.settings.AgentGrace = o.host.DrainGrace
	}
}

// under returns the orders as they are under a version's texts. A scope without a text is as the front's files have it; a
// flag that names discovery comes before them.
func (o *orders) under(texts []config.ScopeText) (orders, error) {
	fresh := *o
	fresh.settings, fresh.host, fresh.operators.Door = o.own.settings, o.own.host, o.own.door
	fresh.discovery = o.own.discovery
	version := config.Document{Texts: texts}
	if text, has := version.Text(configuration.SettingsScope); has {
		settings, host, err := configuration.FleetSettings(text)
		if err != nil {
			return *o, err
		}
		settings.Zone, settings.Seed = o.own.settings.Zone, o.own.settings.Seed
		fresh.settings, fresh.host = settings, host
	}
	if text, has := version.Text(configuration.OperatorsScope); has {
		shared, err := configuration.FleetOperators(text)
		if err != nil {
			return *o, err
		}
		fresh.operators.Door = shared.Door
	}
	if text, has := version.Text(configuration.DiscoveryScope); has && !o.pinned {
		addr, err := configuration.FleetDiscovery(text)
		if err != nil {
			return *o, err
		}
		fresh.discovery = addr
	}
	fresh.settle()
	return fresh, nil
}

// doorBounds returns the bounds of the door, nil if it is off.
func doorBounds(d *operators.Admission) *admission.Bounds {
	if !d.On {
		return nil
	}
	return &admission.Bounds{MaxRequests: d.Jobs, MaxBytes: d.Kilobytes << 10, DedicatedTenants: d.Customers, SharedQueues: d.Places,
		SharedWeight: d.Strangers, RetriesPerRequest: d.Further}
}

// reconfigure has the running front go by other settings and another door, as a whole or not at all. Before its core is
// there nothing has to be done: it starts with them.
func (t *together) reconfigure(before, after *orders) error {
	if t.core == nil {
		return nil
	}
	next := front.Settings{Balancer: after.settings, Host: after.host, Admission: doorBounds(&after.operators.Door)}
	if err := t.core.Configure(t.now(), next); err != nil {
		return err
	}
	t.Zones.Configure(after.settings.StartCapacity, after.settings.WarmupTime, after.settings.ColdOverloadSpan)
	if t.look != nil {
		wait, storeWait := watchWaits(after)
		t.look.w.Configure(wait, storeWait)
	}
	return nil
}

// watchWaits returns how long the watch of positions waits for a watcher's answer, half of what a read waits for a
// position, and for a store's.
func watchWaits(o *orders) (wait, storeWait front.Time) {
	quickest := o.settings.Classes[0].ExpectedTime
	for _, class := range o.settings.Classes {
		quickest = min(quickest, class.ExpectedTime)
	}
	return max(quickest/20, 1), o.host.DialTimeout
}
