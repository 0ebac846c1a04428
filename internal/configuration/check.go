// Package configuration carries what fleet/config decides for one machine: messages go by internal/peers,
// entries into the voters' log by internal/leases, the version in force to the front's disk. It checks texts
// by the code that checks files, and decides nothing else.
//
// Front is the loop's part on every front. Control is the voter's part on the control machines and lives in
// the voter's goroutine. Service answers the commands, in goroutines of its own.
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

// The scopes of the configuration.
const (
	SettingsScope  config.Scope = "settings"  // as "settings" in a front's file, but for the zone
	OperatorsScope config.Scope = "operators" // as the operators' file, but only parts that are alike on all fronts
	DiscoveryScope config.Scope = "discovery" // {"discovery": "HOST:PORT"}
)

// Program is this program's number, which a change may ask for.
const ProgramVersion = 1

// shared are the parts of the operators' file that all fronts may have from the fleet's configuration. The
// others name addresses and files of one machine.
var sharedKeys = []string{"$schema", "door"}

// Check tells what is wrong with a scope's text, by the code that checks files.
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
		err = fmt.Errorf("no such scope; there are %s, %s and %s", SettingsScope, OperatorsScope, DiscoveryScope)
	}
	return err
}

// ReadSettings reads the settings of a front's file, or of the fleet's configuration.
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

// FleetSettings reads the settings of the fleet's configuration. The zone is each front's own.
func FleetSettings(text []byte) (balance.Settings, settings.Process, error) {
	c, host, err := ReadSettings(text)
	if err == nil && c.Zone != "" {
		err = fmt.Errorf("the zone, Az, is each front's own and stays in its file")
	}
	return c, host, err
}

// FleetOperators reads the shared parts of the operators' file.
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
		return o, fmt.Errorf("/%s is each front's own and stays in its file", slices.Min(own))
	}
	return o, nil
}

// FleetDiscovery reads the address of discovery.
func FleetDiscovery(text []byte) (addr string, err error) {
	var w map[string]json.RawMessage
	if err := json.Unmarshal(text, &w); err != nil {
		return "", fmt.Errorf("no JSON object: %w", err)
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
