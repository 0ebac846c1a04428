package capacity

import "testing"

// TestSlopesOverFronts: over a factor of eight in fronts, with all else as it was, what grows grows no faster
// than its mechanism promises, and small fleets keep within bounds that are counted on the virtual clock.
func TestSlopesOverFronts(t *testing.T) {
	axis, err := AxisByName("fronts")
	if err != nil {
		t.Fatal(err)
	}
	axis.Sizes = []float64{8, 16, 32, 64}
	none, err := EventByName("none")
	if err != nil {
		t.Fatal(err)
	}
	study, err := Vary(Play{Size: small, Event: none, Spans: shortly}, axis)
	if err != nil {
		t.Fatal(err)
	}
	for _, slope := range study.Slopes {
		if slope.Fit != nil {
			t.Logf("%s: %v, exponent %.2f, residual %.2f", slope.Quantity, slope.Values, slope.Fit.Exponent,
				slope.Fit.Residual)
		}
		if bound, ok := map[string]float64{"calm.sent.bytes": 0.35, "calm.received.bytes": 0.35,
			"calm.sent.messages":           0.2,
			"calm.stores.connections.most": 1.1, "calm.stores.handshakes": 1.2, "calm.stores.probes": 0.75,
			"calm.voter.received.messages": 1.1, "members.held.most": 1.01}[slope.Quantity]; ok {
			if slope.Fit == nil || slope.Fit.Exponent > bound {
				t.Errorf("%s: %v grows by %+v, at most %v is allowed", slope.Quantity, slope.Values, slope.Fit, bound)
			}
		}
	}
	for k, result := range study.Results {
		if held := result.Find("members.alive.least"); held != study.Sizes[k] {
			t.Errorf("%v fronts: one of them holds %v for alive", study.Sizes[k], held)
		}
		for name, bound := range map[string]float64{"calm.sent.bytes": 1000, "calm.received.bytes": 1000,
			"calm.sent.messages": 16, "calm.stores.probes.worst": 12} {
			if value := result.Find(name); value == 0 || value > bound {
				t.Errorf("%v fronts: %s is %v, at most %v is allowed", study.Sizes[k], name, value, bound)
			}
		}
	}
}

// TestPromises: the mechanism of a quantity is found by its name and axis, the closer one first.
func TestPromises(t *testing.T) {
	for _, c := range []struct {
		quantity, axis string
		exponent       float64
	}{{"calm.sent.bytes", "fronts", 0}, {"calm.voter.sent.bytes", "fronts", 1}, {"calm.processor.control",
		"statements", 1},
		{"calm.processor.control", "zones", 0}, {"calm.stores.connections.most", "fronts", 1}} {
		if p, ok := promised(c.quantity, c.axis); !ok || p.exponent != c.exponent || p.by == "" {
			t.Errorf("%s over %s: %+v, %v", c.quantity, c.axis, p, ok)
		}
	}
	steep := Slope{Fit: &Fit{Exponent: 0.5}, Promised: new(float64)}
	if !steep.Finding() {
		t.Error("an exponent of 0.5 where 0 is promised is no finding")
	}
	steep.Fit.Exponent = tolerance
	if steep.Finding() {
		t.Error("an exponent within the tolerance is a finding")
	}
}
