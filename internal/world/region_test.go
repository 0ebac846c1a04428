package world

import "testing"

// TestExchangesGivenUpInACut: what a front has given up while the way was cut does not arrive once the cut is
// over, neither whole exchanges nor connections.
func TestExchangesGivenUpInACut(t *testing.T) {
	p := plan(t, 6, 2, 1, 5)
	p.Fleet, p.Regions = true, []string{"r0", "r1", "r0"}
	w := New(p)
	w.Load()
	w.Run(10 * Second)
	heal := w.Cut(func(from, to Node) bool {
		return from.Region != "" && to.Region != "" &&
			from.Region != to.Region
	})
	w.Run(120 * Second)
	exchanges := func() (received int) {
		for _, f := range w.Fronts {
			received += f.Traffic.Received[Exchanges].Messages
		}
		return received
	}
	connects := func() (all int) {
		for _, s := range w.Stores {
			all += s.Connects
		}
		return all
	}
	exchanged, connected := exchanges(), connects()
	heal()
	w.Run(10 * Millisecond)
	// Within two seconds each front sets out twice at most, and each of these may be answered.
	if late := exchanges() - exchanged; late > 4*len(w.Fronts) {
		t.Errorf("%d exchanges of two minutes' cut arrive behind it", late)
	}
	if late := connects() - connected; late > 3*len(w.Stores) {
		t.Errorf("%d connections of two minutes' cut are taken behind it", late)
	}
}

// TestRegionsAreApart: between regions the distance is added to every way, within one it is not.
func TestRegionsAreApart(t *testing.T) {
	p := plan(t, 3, 1, 1, 1)
	p.Regions, p.Distance = []string{"r0", "r1", "r0"}, 40*Millisecond
	w := New(p)
	a, b, c := w.Fronts[0].Node, w.Fronts[1].Node, w.Fronts[2].Node
	if w.distance(a, b) != p.Distance || w.distance(b, c) != p.Distance || w.distance(a, c) != 0 {
		t.Errorf("%d, %d, %d", w.distance(a, b), w.distance(b, c), w.distance(a, c))
	}
	if w.distance(a, Node{Name: "clients"}) != 0 {
		t.Error("a front's clients are in another region")
	}
}

// TestVotersGrant: with control machines each lease has one holder, and it is held again once they are back.
func TestVotersGrant(t *testing.T) {
	p := watched(t, 6, 3, true)
	p.Voters = 3
	p.Terms.Span, p.Terms.Drift, p.Terms.Margin = 3*Second, 0.05, 10*Millisecond
	w := New(p)
	w.Load()
	w.Run(15 * Second)
	want := p.Groups + 1 // each group's watch, and the summary
	held := func() (most int) {
		for _, v := range w.Voters {
			if v.Leads() {
				most = v.Grants()
			}
		}
		return most
	}
	if got := held(); got != want {
		t.Errorf("%d leases are held, of %d", got, want)
	}
	for _, v := range w.Voters { // one by one, a majority always there
		v.Kill()
		w.Run(4 * Second)
		v.Start()
		w.Run(4 * Second)
	}
	if got := held(); got != want {
		t.Errorf("%d leases are held once each voter was away, of %d", got, want)
	}
	for _, v := range w.Voters {
		v.Kill()
	}
	w.Run(10 * Second)
	for _, f := range w.Fronts {
		if _, holds := f.holder.UsableToken("summary", 0); holds {
			t.Errorf("%s holds a lease without voters", f.Name)
		}
	}
	for _, v := range w.Voters {
		v.Start()
	}
	w.Run(20 * Second)
	if got := held(); got != want {
		t.Errorf("%d leases are held once voters are back, of %d", got, want)
	}
}
