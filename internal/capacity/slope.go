package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// tolerance is by how much a fitted exponent may lie above the promised one before it counts as a finding.
const tolerance = 0.2

// Axis is what is varied while all else stays.
type Axis struct {
	Name  string
	Sizes []float64
	set   func(size *Size, value float64)
}

// Axes gives all that can be varied, with the sizes that are played unless others are asked for.
func Axes() []Axis {
	return []Axis{
		{"fronts", []float64{100, 200, 400, 800}, func(s *Size, v float64) { s.Fronts = int(v) }},
		{"stores", []float64{99, 198, 399, 798}, func(s *Size, v float64) { s.Stores = int(v) }},
		{"statements", []float64{10, 50, 200, 800}, func(s *Size, v float64) { s.Statements = v }},
		{"zones", []float64{1, 2, 3, 6}, func(s *Size, v float64) {
			s.Zones, s.Regions = int(v), min(s.Regions, int(v))
		}},
		{"regions", []float64{1, 2}, func(s *Size, v float64) { s.Regions = int(v) }},
	}
}

// AxisByName finds one.
func AxisByName(name string) (Axis, error) {
	var names []string
	for _, axis := range Axes() {
		if axis.Name == name {
			return axis, nil
		}
		names = append(names, axis.Name)
	}
	return Axis{}, fmt.Errorf("slopes: %q is none of %s", name, strings.Join(names, ", "))
}

// promise is the exponent that the mechanism behind a quantity promises.
type promise struct {
	quantity string
	axis     string
	exponent float64
	by       string // the mechanism
}

// promises, the first that fits holds; what none names is printed without one.
var promises = []promise{
	{"voter.sent.bytes", "", 1, "each front asks for leases, and each group has one"},
	{"voter.received.bytes", "", 1, "each front asks for leases, and each group has one"},
	{"voter.sent.messages", "", 1, "each front asks for leases, and each group has one"},
	{"voter.received.messages", "", 1, "each front asks for leases, and each group has one"},
	{"sent.bytes", "", 0, "gossip: each front talks to a fixed number of others in a period"},
	{"received.bytes", "", 0, "gossip: each front talks to a fixed number of others in a period"},
	{"sent.messages", "", 0, "gossip: each front talks to a fixed number of others in a period"},
	{"received.messages", "", 0, "gossip: each front talks to a fixed number of others in a period"},
	{"processor.control", "fronts", 0, "gossip: a fixed number of messages in a period"},
	{"processor.control", "stores", 0, "one bit for each store, in words of 64"},
	{"processor.control", "statements", 1, "each end of a statement is noted"},
	{"processor.control", "", 0, "gossip: a fixed number of messages in a period"},
	{"processor.core", "statements", 1, "each statement is decided and carried"},
	{"processor.core", "fronts", 0, "fronts share nothing in the core"},
	{"processor.core", "stores", 1, "the module looks at each store now and then"},
	{"memory.all", "fronts", 1, "a table of members; the figure is for each front"},
	{"memory.all", "stores", 1, "a table of stores, connections to them"},
	{"stores.connections.most", "fronts", 1, "none: each front opens its own"},
	{"stores.handshakes", "fronts", 1, "none: each front opens its own"},
	{"stores.probes", "fronts", 0, "one watcher asks a group's stores for all fronts"},
	{"stores.connections.most", "stores", 0, "one front's connections to one store"},
	{"stores.handshakes", "stores", 0, "one front's connections to one store"},
	{"stores.probes", "stores", 0, "a store is asked for itself"},
}

func promised(quantity, axis string) (promise, bool) {
	for _, p := range promises {
		if strings.HasSuffix(quantity, p.quantity) && (p.axis == "" || p.axis == axis) {
			return p, true
		}
	}
	return promise{}, false
}

// Slope is how a quantity grows along an axis.
type Slope struct {
	Quantity string    `json:"quantity"`
	Unit     Unit      `json:"unit"`
	Source   Source    `json:"source"`
	Values   []float64 `json:"values"`
	Fit      *Fit      `json:"fit,omitempty"`      // nil: it has none
	Promised *float64  `json:"promised,omitempty"` // nil: no mechanism promises one
	By       string    `json:"by,omitempty"`
}

// Finding tells that a quantity grows faster than its mechanism promises.
func (s Slope) Finding() bool {
	return s.Fit != nil && s.Promised != nil && s.Fit.Exponent > *s.Promised+tolerance
}

// Study is one axis played at several sizes.
type Study struct {
	Axis    string    `json:"axis"`
	Sizes   []float64 `json:"sizes"`
	Results []*Result `json:"results"`
	Slopes  []Slope   `json:"slopes"`
}

// Over tells whether a figure of any play is beyond its limit.
func (s *Study) Over() bool {
	return slices.ContainsFunc(s.Results, func(result *Result) bool { return result.Over() })
}

// Vary plays one size after the other.
func Vary(play Play, axis Axis) (*Study, error) {
	study := &Study{Axis: axis.Name, Sizes: axis.Sizes}
	for _, value := range axis.Sizes {
		one := play
		axis.set(&one.Size, value)
		result, err := one.Run()
		if err != nil {
			return nil, err
		}
		study.Results = append(study.Results, result)
	}
	study.fit()
	return study, nil
}

// fit fits every quantity of the last play that the others have too.
func (s *Study) fit() {
	if len(s.Results) == 0 {
		return
	}
	for _, quantity := range s.Results[len(s.Results)-1].Quantities {
		slope := Slope{Quantity: quantity.Name, Unit: quantity.Unit, Source: quantity.Source}
		for _, result := range s.Results {
			slope.Values = append(slope.Values, result.Find(quantity.Name))
		}
		if fit, err := FitPower(s.Sizes, slope.Values); err == nil {
			slope.Fit = &fit
		}
		if p, ok := promised(quantity.Name, s.Axis); ok {
			slope.Promised, slope.By = &p.exponent, p.by
		}
		s.Slopes = append(s.Slopes, slope)
	}
}
