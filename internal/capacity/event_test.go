package capacity

import "testing"

// TestEventsEndWhole: behind each trouble every front runs and holds every other for alive, and no store
// holds more connections than the fronts open in calm and a few beside them.
func TestEventsEndWhole(t *testing.T) {
	size := small
	size.Fronts, size.Zones, size.Regions, size.Statements = 12, 4, 2, 1
	for _, event := range Events() {
		t.Run(event.Name, func(t *testing.T) {
			result := played(t, size, event.Name, Spans{Start: 10, Calm: 2, Event: 5, Recovery: 25})
			if alive := result.Find("members.alive.least"); alive != float64(size.Fronts) {
				t.Errorf("one front holds %v of %d for alive", alive, size.Fronts)
			}
			if running := result.Find("fronts.running"); running != float64(size.Fronts) {
				t.Errorf("%v of %d fronts run", running, size.Fronts)
			}
			for _, name := range []string{"event.stores.connections.most", "recovery.stores.connections.most"} {
				if most := result.Find(name); most > 2*float64(size.Fronts) {
					t.Errorf("%s is %v with %d fronts", name, most, size.Fronts)
				}
			}
			answered := result.Outcome.InTime + result.Outcome.Late
			if float64(answered) < 0.8*float64(result.Outcome.Requests) {
				t.Errorf("%+v", result.Outcome)
			}
		})
	}
	if _, err := EventByName("flood"); err == nil {
		t.Error("an unknown event is played")
	}
}
