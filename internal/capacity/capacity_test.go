package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"math"
	"testing"
)

// small is a fleet that plays in a second or two; what the tests hold is counted on the virtual clock alone.
var small = Size{Fronts: 16, Stores: 24, Zones: 3, Regions: 1, Statements: 2, Watch: true, Leases: true,
	Seed: 1}

var shortly = Spans{Start: 15, Calm: 30, Event: 5, Recovery: 15}

func played(t *testing.T, size Size, name string, spans Spans) *Result {
	t.Helper()
	event, err := EventByName(name)
	if err != nil {
		t.Fatal(err)
	}
	result, err := Play{Size: size, Event: event, Spans: spans}.Run()
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestFitFindsExponents: a power law gives its exponent, noise a residual, and what cannot be fitted an
// error.
func TestFitFindsExponents(t *testing.T) {
	sizes := []float64{100, 200, 400, 800}
	for _, exponent := range []float64{0, 0.5, 1, 2} {
		var values []float64
		for _, size := range sizes {
			values = append(values, 3*math.Pow(size, exponent))
		}
		fit, err := FitPower(sizes, values)
		if err != nil || math.Abs(fit.Exponent-exponent) > 1e-9 || math.Abs(fit.Factor-3) > 1e-6 ||
			fit.Residual > 1e-9 {
			t.Errorf("exponent %v: %+v, %v", exponent, fit, err)
		}
	}
	if fit, err := FitPower(sizes, []float64{1, 3, 1, 3}); err != nil || fit.Residual < 0.1 {
		t.Errorf("noise: %+v, %v", fit, err)
	}
	for _, values := range [][]float64{{1, 2, 3}, {1, 0, 1, 1}} {
		if _, err := FitPower(sizes, values); !errors.Is(err, ErrNoFit) {
			t.Errorf("%v: %v", values, err)
		}
	}
}

// TestSamePlay: a size and a seed lead to the same figures, another seed to others.
func TestSamePlay(t *testing.T) {
	text := func(seed uint64) string {
		size := small
		size.Seed = seed
		result := played(t, size, "zone-stores", Spans{Start: 5, Calm: 5, Event: 5, Recovery: 5})
		result.Seconds = 0
		b, err := json.Marshal(result)
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	first, again, other := text(1), text(1), text(2)
	if first != again {
		t.Error("one seed led to two results")
	}
	if first == other {
		t.Error("two seeds led to one result")
	}
}

// TestLimitsAreHeld: a figure over its limit is told, in the table and by Over; a start's first contact has
// no limit.
func TestLimitsAreHeld(t *testing.T) {
	result := &Result{}
	result.add("start.worst.sent.bytes", BytesSecond, Simulated, 100*LimitBytes)
	result.add("calm.sent.bytes", BytesSecond, Simulated, LimitBytes)
	if result.Over() {
		t.Error("over although nothing is")
	}
	result.add("event.worst10s.sent.bytes", BytesSecond, Simulated, LimitBytes+1)
	result.add("calm.processor.control", MillisecondsOfOne, Measured, LimitProcessor+1)
	var table bytes.Buffer
	if err := result.Print(&table); err != nil {
		t.Fatal(err)
	}
	if got := bytes.Count(table.Bytes(), []byte("OVER")); !result.Over() || got != 2 {
		t.Errorf("%d figures are told as over:\n%s", got, table.String())
	}
}

// TestSizesAreChecked: what cannot be played is refused by the name of its flag.
func TestSizesAreChecked(t *testing.T) {
	for name, change := range map[string]func(s *Size){
		"fronts": func(s *Size) { s.Fronts = 0 }, "stores": func(s *Size) { s.Stores = 2 },
		"zones": func(s *Size) { s.Zones = 0 }, "regions": func(s *Size) { s.Regions = 4 },
		"statements": func(s *Size) { s.Statements = -1 }, "leases": func(s *Size) { s.Watch = false },
	} {
		size := small
		change(&size)
		if err := size.Check(); err == nil || !bytes.HasPrefix([]byte(err.Error()), []byte(name+":")) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
