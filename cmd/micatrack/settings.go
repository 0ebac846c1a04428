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

// overridable holds the parts of a front's configuration that the fleet's configuration can override.
type overridable struct {
	discovery string              // address of discovery
	settings  balance.Settings    // settings of the balancer
	process   settings.Process    // settings of the process around the balancer
	admission operators.Admission // admission control
}

// deriveSettings sets those settings of the balancer that follow from settings of the process.
func (cfg *frontConfig) deriveSettings() {
	if cfg.settings.ListPushed {
		cfg.settings.AgentGrace = cfg.process.DrainGrace
	}
}

// withVersion returns the configuration with a version's texts applied. A scope without a text is as in the front's files.
// A flag that sets the address of discovery overrides the version. On an error it returns the configuration unchanged.
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

// admissionBounds returns the bounds of admission control, nil if it is off.
func admissionBounds(d *operators.Admission) *admission.Bounds {
	if !d.On {
		return nil
	}
	return &admission.Bounds{MaxRequests: d.Jobs, MaxBytes: d.Kilobytes << 10, DedicatedTenants: d.Customers, SharedQueues: d.Places,
		SharedWeight: d.Strangers, RetriesPerRequest: d.Further}
}

// reconfigure applies new settings and bounds of admission control to the running front, all of them or, on an error,
// none. Before attachCore it does nothing, because the core will start with them.
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

// watchTimeouts returns how long the watch of positions waits for an answer of another front that watches a store, which
// is half as long as a read waits for a position, and how long it waits for an answer of the store itself.
func watchTimeouts(cfg *frontConfig) (watcherTimeout, storeTimeout front.Time) {
	shortest := cfg.settings.Classes[0].ExpectedTime
	for _, class := range cfg.settings.Classes {
		shortest = min(shortest, class.ExpectedTime)
	}
	return max(shortest/20, 1), cfg.process.DialTimeout
}
