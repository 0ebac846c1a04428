// Package operators reads the operators' own file: which subsystems are on, and their bounds. It is checked
// against the JSON Schema in deploy before anything is taken from it.
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

// Options is what the operators have switched on. The zero value has everything off.
type Options struct {
	Door  Admission
	Bolt  Bolt
	Fleet Fleet
}

// Fleet is the talk with other fronts.
type Fleet struct {
	On                               bool
	Name, Listen, Advertise, Control string
	Seeds                            []string
	PeriodMS                         int64 `json:"period_ms"`
	JoinMS                           int64 `json:"join_ms"` // for which a start waits to hear of plans, at most
	Members                          int   // known at once, at most
	Lease                            Lease
	Config                           Config
}

// Config is the fleet's configuration, kept by the voters of its leases and carried to every front.
type Config struct {
	On    bool
	State string // file of the version in force on this front; none: it has no disk
}

// Lease is what one front does for the whole fleet, and who grants it. Off without voters.
type Lease struct {
	Voters    []Voter
	State     string // this front's vote on disk
	SpanMS    int64  `json:"span_ms"`
	Drift     float64
	MarginMS  int64 `json:"margin_ms"`
	SummaryMS int64 `json:"summary_ms"`
	Collector string
	Watch     bool // positions are asked of watchers
}

// Voter is a front that grants leases.
type Voter struct{ Name, Addr string }

// Bolt is the listener for clients that speak Bolt.
type Bolt struct {
	On                bool
	Listen, Advertise string
	DrainMS           int64 `json:"drain_ms"` // for which an open transaction may go on at a store that drains
}

// Admission bounds the fair queues at the point of entry.
type Admission struct {
	On        bool
	Jobs      int     // that wait at once, at most
	Kilobytes int     // of their statements, at most
	Customers int     // with a place of their own, beside those that the settings name
	Places    int     // hashed, shared by all others
	Strangers float64 // weight of all others, as a part of what those with a place weigh together
	Further   float64 // further tries admitted for each first try
}

// Read reads the file at path; without a path everything is off. An error names the file, the path of the key
// and what was expected there.
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

// Parse reads the file's text.
func Parse(text []byte) (Options, error) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return Options{}, fmt.Errorf("/: no JSON: %w", err)
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

// compileSchema gives the schema and the values that it names as defaults, which stand nowhere else.
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

// describeErrors gives one line for the faults of a file: where each is and what was expected.
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
