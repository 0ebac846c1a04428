package door

import (
	"cmp"
	"slices"

	"micatrack/balance"
)

// Alike reports whether two settings give the same door.
func Alike(a, b *balance.Settings) bool {
	return a.MostPause == b.MostPause && a.Round == b.Round && a.Seed == b.Seed &&
		slices.Equal(a.Classes, b.Classes) && slices.Equal(a.Tenants, b.Tenants)
}

// Successor returns a door with other settings or bounds, which takes the place of this one. What was learned of
// classes of the same name is kept, and the counts are; places, promises and credit of tenants begin anew, and
// requests that were let in before are the module's alone. It returns an error for settings or bounds out of
// range. The requests that wait here have to arrive there.
func (d *Door) Successor(now Time, settings balance.Settings, bounds Bounds) (*Door, error) {
	next, err := New(now, settings, bounds, d.gate)
	if err != nil {
		return nil, err
	}
	next.totals = d.totals
	for k := range next.classes {
		class := &next.classes[k]
		before := slices.IndexFunc(d.classes, func(c requestClass) bool { return c.Name == class.Name })
		if before >= 0 {
			class.work = d.classes[before].work
			class.tries = d.classes[before].tries
		}
	}
	return next, nil
}

// Requests returns the requests that wait, the oldest first.
func (d *Door) Requests() []int32 {
	var list []int32
	for k := range d.tickets {
		if d.tickets[k].state == waiting {
			list = append(list, int32(k))
		}
	}
	slices.SortStableFunc(list, func(a, b int32) int {
		return cmp.Compare(d.tickets[a].arrivedAt, d.tickets[b].arrivedAt)
	})
	return list
}
