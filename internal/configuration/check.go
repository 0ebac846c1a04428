// Package configuration connects fleet/config to one process: it sends messages through internal/peers,
// proposes entries to the voters' log of internal/leases, and stores the version in force on the front's
// disk. It validates texts with the code that validates files, and makes no other decisions.
//
// Front is the part that runs on every front, in its event loop. Control is the part that runs on control
// machines, in the voter's goroutine. Service answers the configuration commands, in goroutines of its own.
package configuration

import (
	"encoding/json"
	"fmt"
	"net"
	"slices"

	"micatrack/balance"
	"micatrack/fleet/config"
	"micatrack/internal/operators"
	"micatrack/internal/settings"
)

// Scopes of the configuration.
const (
	SettingsScope  config.Scope = "settings"  // like "settings" in a front's file, without the zone
	OperatorsScope config.Scope = "operators" // like the operators' file, only the parts that all fronts share
	DiscoveryScope config.Scope = "discovery" // {"discovery": "HOST:PORT"}
)

// ProgramVersion is the program number of this build, which a change can require as a minimum.
const ProgramVersion = 1

// sharedKeys are the keys of the operators' file that the fleet's configuration may contain. The other keys
// name addresses and files of a single machine.
var sharedKeys = []string{"$schema", "door"}

// Check validates the text of a scope with the code that validates files.
func Check(scope config.Scope, text []byte) error {
	var err error
	switch scope {
	case SettingsScope:
		_, _, err = FleetSettings(text)
	case OperatorsScope:
		_, err = FleetOperators(text)
	case DiscoveryScope:
		_, err = FleetDiscovery(text)
	default:
		err = fmt.Errorf("no such scope; the scopes are %s, %s and %s", SettingsScope, OperatorsScope, DiscoveryScope)
	}
	return err
}

// ReadSettings parses the settings of a front's file or of the fleet's configuration.
func ReadSettings(text []byte) (balance.Settings, settings.Process, error) {
	if len(text) == 0 {
		return balance.Settings{}, settings.Process{}, fmt.Errorf("missing")
	}
	c, host, err := settings.Read(text)
	if err == nil && (host.DialTimeout <= 0 || host.IdleTimeout <= 0) {
		err = fmt.Errorf("Ceilings.DialTimeout or Ceilings.ConnIdle is missing")
	}
	return c, host, err
}

// FleetSettings parses the settings of the fleet's configuration, which must not contain a zone: each front
// has its own.
func FleetSettings(text []byte) (balance.Settings, settings.Process, error) {
	c, host, err := ReadSettings(text)
	if err == nil && c.Zone != "" {
		err = fmt.Errorf("the zone, Az, is specific to each front and must stay in its file")
	}
	return c, host, err
}

// FleetOperators parses the shared keys of the operators' file. Other keys are an error.
func FleetOperators(text []byte) (operators.Options, error) {
	o, err := operators.Parse(text)
	if err != nil {
		return o, err
	}
	var parts map[string]json.RawMessage
	if err := json.Unmarshal(text, &parts); err != nil {
		return o, err
	}
	var own []string
	for key := range parts {
		if !slices.Contains(sharedKeys, key) {
			own = append(own, key)
		}
	}
	if len(own) > 0 {
		return o, fmt.Errorf("/%s is specific to each front and must stay in its file", slices.Min(own))
	}
	return o, nil
}

// FleetDiscovery parses the address of the discovery service.
func FleetDiscovery(text []byte) (addr string, err error) {
	var w map[string]json.RawMessage
	if err := json.Unmarshal(text, &w); err != nil {
		return "", fmt.Errorf("not a JSON object: %w", err)
	}
	for key := range w {
		if key != "discovery" {
			return "", fmt.Errorf("/%s: unknown key", key)
		}
	}
	if err := json.Unmarshal(w["discovery"], &addr); err != nil || addr == "" {
		return "", fmt.Errorf("/discovery: want HOST:PORT")
	}
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return "", fmt.Errorf("/discovery: %w", err)
	}
	return addr, nil
}
