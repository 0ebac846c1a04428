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

// overridable are what the fleet's configuration may say in place of a front's files.
type overridable struct {
	discovery string
	settings  balance.Settings
	process   settings.Process
	admission operators.Admission
}

// deriveSettings works out what the settings leave to the program round the module.
func (cfg *frontConfig) deriveSettings() {
	if cfg.settings.ListPushed {
		cfg.settings.AgentGrace = cfg.process.DrainGrace
	}
}

// withVersion returns the orders as they are under a version's texts. A scope without a text is as the front's files have it; a
// flag that names discovery comes before them.
func (cfg *frontConfig) withVersion(texts []config.ScopeText) (frontConfig, error) {
	fresh := *cfg
	fresh.settings, fresh.process, fresh.operators.Door = cfg.fromFiles.settings, cfg.fromFiles.process, cfg.fromFiles.admission
	fresh.discovery = cfg.fromFiles.discovery
	version := config.Document{Texts: texts}
	if text, has := version.Text(configuration.SettingsScope); has {
		settings, process, err := configuration.FleetSettings(text)
		if err != nil {
			return *cfg, err
		}
		settings.Zone, settings.Seed = cfg.fromFiles.settings.Zone, cfg.fromFiles.settings.Seed
		fresh.settings, fresh.process = settings, process
	}
	if text, has := version.Text(configuration.OperatorsScope); has {
		shared, err := configuration.FleetOperators(text)
		if err != nil {
			return *cfg, err
		}
		fresh.operators.Door = shared.Door
	}
	if text, has := version.Text(configuration.DiscoveryScope); has && !cfg.discoveryPinned {
		addr, err := configuration.FleetDiscovery(text)
		if err != nil {
			return *cfg, err
		}
		fresh.discovery = addr
	}
	fresh.deriveSettings()
	return fresh, nil
}

// admissionBounds returns the bounds of the door, nil if it is off.
func admissionBounds(d *operators.Admission) *admission.Bounds {
	if !d.On {
		return nil
	}
	return &admission.Bounds{MaxRequests: d.Jobs, MaxBytes: d.Kilobytes << 10, DedicatedTenants: d.Customers, SharedQueues: d.Places,
		SharedWeight: d.Strangers, RetriesPerRequest: d.Further}
}

// reconfigure has the running front go by other settings and another door, as a whole or not at all. Before its core is
// there nothing has to be done: it starts with them.
func (node *fleetNode) reconfigure(before, after *frontConfig) error {
	if node.core == nil {
		return nil
	}
	next := front.Settings{Balancer: after.settings, Host: after.process, Admission: admissionBounds(&after.operators.Door)}
	if err := node.core.Configure(node.now(), next); err != nil {
		return err
	}
	node.Zones.Configure(after.settings.StartCapacity, after.settings.WarmupTime, after.settings.ColdOverloadSpan)
	if node.positionWatch != nil {
		watcherTimeout, storeTimeout := watchTimeouts(after)
		node.positionWatch.watch.Configure(watcherTimeout, storeTimeout)
	}
	return nil
}

// watchTimeouts returns how long the watch of positions waits for a watcher's answer, half of what a read waits for a
// position, and for a store's.
func watchTimeouts(cfg *frontConfig) (watcherTimeout, storeTimeout front.Time) {
	shortest := cfg.settings.Classes[0].ExpectedTime
	for _, class := range cfg.settings.Classes {
		shortest = min(shortest, class.ExpectedTime)
	}
	return max(shortest/20, 1), cfg.process.DialTimeout
}
