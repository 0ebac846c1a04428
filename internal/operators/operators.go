// Package operators reads the operators' file, which turns subsystems on and sets their bounds. The file is validated
// against the JSON Schema in deploy before any value of it is used.
package operators

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"micatrack/deploy"
)

// Options is the content of the operators' file. In the zero value everything is off.
type Options struct {
	Door  Admission `json:"door"`
	Bolt  Bolt
	Fleet Fleet
}

// Fleet configures the communication with other fronts.
type Fleet struct {
	On        bool
	Name      string // messages of fleets of another name are dropped
	Listen    string
	Advertise string
	Control   string // address for the fleet commands; empty: they cannot reach this front
	Seeds     []string
	PeriodMS  int64 `json:"period_ms"`
	JoinMS    int64 `json:"join_ms"` // maximum time for which a starting front waits for the fleet's plans
	Members   int   // maximum number of fronts known at once
	Lease     Lease
	Config    Config
}

// Config configures the common configuration of the fleet, which the voters of its leases store and all fronts receive.
type Config struct {
	On    bool
	State string // file of the version in force on this front; empty: no version is stored
}

// Lease configures the leases of the fleet: tasks that one front does for all fronts, and the voters that grant them. Without
// voters there are none.
type Lease struct {
	Voters    []Voter
	State     string  // file of this front's vote
	SpanMS    int64   `json:"span_ms"` // duration of a lease from its last renewal
	Drift     float64 // maximum relative drift between two clocks
	MarginMS  int64   `json:"margin_ms"`  // between the end of a lease and the next grant, in addition to the drift
	SummaryMS int64   `json:"summary_ms"` // interval of summaries of the fleet; 0: none
	Collector string  // URL to which summaries are posted; empty: they are only logged
	Watch     bool    // fronts query watchers for the positions of stores
}

// Voter is a front that grants leases.
type Voter struct{ Name, Addr string }

// Bolt configures the listener for clients that speak Bolt.
type Bolt struct {
	On        bool
	Listen    string
	Advertise string // address given in the routing table
	DrainMS   int64  `json:"drain_ms"` // how long an open transaction may continue on a draining store
}

// Admission bounds the fair queues of admission control.
type Admission struct {
	On        bool
	Jobs      int     `json:"jobs"` // maximum number of queued requests
	Kilobytes int     // maximum size of their statements, in KiB
	Customers int     `json:"customers"` // number of tenants with their own queue, beside those named in the settings
	Places    int     `json:"places"`    // number of hashed queues that all other tenants share
	Strangers float64 `json:"strangers"` // total weight of all other tenants, as a part of that of tenants with their own queue
	Further   float64 `json:"further"`   // retries admitted for each first attempt
}

// Read reads the file at path. If path is empty, everything is off. An error contains the name of the file, the path of the
// key and what was expected there.
func Read(path string) (Options, error) {
	if path == "" {
		return Options{}, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Options{}, fmt.Errorf("operators' file: %w", err)
	}
	options, err := Parse(text)
	if err != nil {
		return Options{}, fmt.Errorf("operators' file %s: %w", path, err)
	}
	return options, nil
}

// Parse validates and decodes the text of an operators' file.
func Parse(text []byte) (Options, error) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return Options{}, fmt.Errorf("/: invalid JSON: %w", err)
	}
	schema, defaults, err := compileSchema()
	if err != nil {
		return Options{}, err
	}
	if err := schema.Validate(value); err != nil {
		return Options{}, describeErrors(err)
	}
	options := defaults
	if err := json.Unmarshal(text, &options); err != nil {
		return Options{}, err
	}
	return options, nil
}

// compileSchema returns the schema and its default values, which are not defined anywhere else.
func compileSchema() (*jsonschema.Schema, Options, error) {
	var options Options
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(deploy.Schema))
	if err != nil {
		return nil, options, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("micatrack:operators", document); err != nil {
		return nil, options, err
	}
	schema, err := compiler.Compile("micatrack:operators")
	if err != nil {
		return nil, options, err
	}
	var collectDefaults func(schema *jsonschema.Schema) map[string]any
	collectDefaults = func(schema *jsonschema.Schema) map[string]any {
		defaults := map[string]any{}
		for key, property := range schema.Properties {
			if property.Default != nil {
				defaults[key] = *property.Default
			} else if nested := collectDefaults(property); len(nested) > 0 {
				defaults[key] = nested
			}
		}
		return defaults
	}
	text, err := json.Marshal(collectDefaults(schema))
	if err != nil {
		return nil, options, err
	}
	return schema, options, json.Unmarshal(text, &options)
}

// describeErrors returns an error whose text lists all validation errors in one line: the path of each and what was
// expected.
func describeErrors(err error) error {
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return err
	}
	printer := message.NewPrinter(language.English)
	var lines []string
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		for _, c := range e.Causes {
			walk(c)
		}
		if len(e.Causes) > 0 {
			return
		}
		location := "/" + strings.Join(e.InstanceLocation, "/")
		if unknown, ok := e.ErrorKind.(*kind.AdditionalProperties); ok {
			for _, name := range unknown.Properties {
				lines = append(lines, fmt.Sprintf("%s: unknown key", strings.TrimSuffix(location, "/")+"/"+name))
			}
			return
		}
		lines = append(lines, fmt.Sprintf("%s: %s", location, e.ErrorKind.LocalizedString(printer)))
	}
	walk(invalid)
	return errors.New(strings.Join(lines, "; "))
}
