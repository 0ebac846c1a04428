package zones

import (
	"fmt"
	"strings"
	"testing"
)

// testHost records the calls of a view.
type testHost struct {
	log      []string
	shares   map[string]float64
	versions []uint64 // versions of the published rows
}

func (h *testHost) SetShare(zone string, share float64) { h.shares[zone] = share }
func (h *testHost) Publish(key string, version uint64, _ []byte, _ Spread) {
	if key[0] == keyPlan {
		h.versions = append(h.versions, version)
	}
}
func (h *testHost) StopSpreading(string) {}
func (h *testHost) Log(text string)      { h.log = append(h.log, text) }
func (h *testHost) countLogs(parts ...string) (n int) {
next:
	for _, l := range h.log {
		for _, p := range parts {
			if !strings.Contains(l, p) {
				continue next
			}
		}
		n++
	}
	return n
}

// newTestZones returns the view of a front in zone a, with two more fronts in its zone, three in each of the
// zones b and c, and four stores in each zone.
func newTestZones() (*Zones, *testHost) {
	h := &testHost{shares: map[string]float64{}}
	z := New(1000, Config{Name: "a0", Zone: "a", Incarnation: 1, Period: 5000, MaxObservers: 64, ColdCapacity: 0.15, WarmupTime: 80_000, OverloadTolerance: 15_000,
		NoteTTL: 100_000}, h)
	var list []Store
	for _, zone := range []string{"a", "b", "c"} {
		for k := range 4 {
			list = append(list, Store{ID: fmt.Sprint("s", zone, k), Zone: zone, Size: 1, Open: true})
		}
		for k := range 3 {
			z.UpdateMember(1000, fmt.Sprint(zone, k), zone, true)
		}
		z.SetZoneLastHeard(zone, 1000)
	}
	z.UpdateStores(1000, true, list)
	return z, h
}

func (z *Zones) receivePlanOf(now Time, zone string, p plan, refresh uint16) {
	r := row{plan: p, refreshes: refresh}
	z.ReceiveNote(now, []byte("pa\x00"+zone), r.version(), 0, p.append(nil))
}

// TestConcurrentRowsOfOneEpoch lets two fronts of a zone set a row in the same epoch, one to an earlier ramp
// step and one to drained. The row that drains more wins, the log shows it, and earlier evidence no longer
// counts.
func TestConcurrentRowsOfOneEpoch(t *testing.T) {
	z, h := newTestZones()
	z.receivePlanOf(2000, "c", plan{epoch: 3, baseEpoch: 2, state: Recovering, permille: 256, step: 1, setBy: "a1"}, 0)
	z.RecordOutcome(2100, "sc0", TimedOut, 0, 0)
	z.receivePlanOf(2200, "c", plan{epoch: 4, baseEpoch: 2, state: Recovering, permille: 150, setBy: "a1"}, 0)
	z.receivePlanOf(2300, "c", plan{epoch: 4, baseEpoch: 4, state: Drained, dwell: 90_000, setBy: "a2"}, 0)
	z.receivePlanOf(2400, "c", plan{epoch: 4, baseEpoch: 2, state: Recovering, permille: 150, setBy: "a1"}, 9)
	if h.shares["c"] != 0 || h.countLogs("zone c", "to away") != 1 {
		t.Errorf("share %v, log %q", h.shares["c"], h.log)
	}
	if z.updateEvidence(); z.zones[z.zoneByName["c"]].seen != 0 {
		t.Error("evidence from before the new base epoch still counts")
	}
}

// TestRecoveryIgnoresEarlierFailures checks that failures seen while a zone was drained do not end its
// recovery as it starts.
func TestRecoveryIgnoresEarlierFailures(t *testing.T) {
	z, h := newTestZones()
	z.receivePlanOf(2000, "c", plan{epoch: 1, baseEpoch: 1, state: Drained, dwell: 90_000, setBy: "a1"}, 0)
	z.RecordOutcome(2050, "sa0", Answered, 0, 0)
	for k := range 4 {
		z.RecordOutcome(2100, fmt.Sprint("sc", k), TimedOut, 0, 0)
	}
	rows := []zoneEvidence{{"c", 1, z.zones[z.zoneByName["c"]].storeSlots, z.zones[z.zoneByName["c"]].storeSlots}}
	for _, o := range []string{"a1", "a2"} {
		z.ReceiveNote(2200, []byte("e"+o), 1, 0, appendEvidence(nil, "a", 0, rows))
	}
	z.Tick(2300)
	z.setRow(z.zoneByName["c"], Recovering, 150, 0, "trials came back")
	z.Tick(z.Next())
	z.Tick(z.Next())
	if h.countLogs("failed on the way back") > 0 || h.shares["c"] != 0.15 {
		t.Errorf("share %v, log %q", h.shares["c"], h.log)
	}
}

// TestMalformedNotes checks that truncated, overlong and otherwise malformed notes are counted and change
// nothing, and that made-up zones leave room for zones with stores.
func TestMalformedNotes(t *testing.T) {
	z, h := newTestZones()
	good := (&plan{epoch: 1, baseEpoch: 1, state: Drained, setBy: "a1"}).append(nil)
	for n := range good {
		z.ReceiveNote(2000, []byte("pa\x00c"), 1<<40, 0, good[:n])
	}
	for _, bad := range []plan{{epoch: 1, baseEpoch: 2, state: Drained}, {epoch: 1, state: Suspected}, {epoch: 1, state: Recovering, step: rampSteps + 1}, {epoch: 1, state: 9}} {
		z.ReceiveNote(2000, []byte("pa\x00c"), 1<<40, 0, bad.append(nil))
	}
	z.ReceiveNote(2000, []byte("p"), 1, 0, good)
	z.ReceiveNote(2000, []byte("oc"), 1, 0, []byte{9})
	z.ReceiveNote(2000, []byte("ea1"), 1, 0, []byte{noteFormat, 1, 'a', 0, 200})
	if z.Dropped == 0 || len(h.shares) > 0 || len(h.log) > 0 {
		t.Errorf("%d dropped, shares %v, log %q", z.Dropped, h.shares, h.log)
	}
	for n := range 1000 {
		z.UpdateMember(2000, fmt.Sprint("x", n), fmt.Sprint("y", n), true)
	}
	if len(z.zones) > maxZones/2 || len(z.observers) > 64 {
		t.Errorf("%d zones and %d observers exceed the limits", len(z.zones), len(z.observers))
	}
	z.UpdateStores(3000, true, []Store{{ID: "n", Zone: "new", Size: 1, Open: true}})
	if _, ok := z.zoneByName["new"]; !ok {
		t.Error("a zone with stores was not added")
	}
}

// TestRefreshedRowIsNewer checks that a row that others have refreshed is republished with a newer version,
// also when the refresh counter overflows.
func TestRefreshedRowIsNewer(t *testing.T) {
	for _, refresh := range []uint16{5, 65535} {
		z, h := newTestZones()
		p := plan{epoch: 3, baseEpoch: 3, state: Drained, dwell: 900_000, setBy: "a1"}
		z.receivePlanOf(2000, "c", p, refresh)
		heard := (&row{plan: p, refreshes: refresh}).version()
		for z.now < 200_000 && len(h.versions) == 0 {
			z.Tick(z.Next())
		}
		if len(h.versions) == 0 || h.versions[0] <= heard {
			t.Errorf("refresh %d: published versions %v after %d", refresh, h.versions, heard)
		}
	}
}
