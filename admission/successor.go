package admission

import (
	"cmp"
	"slices"

	"micatrack/balance"
)

// SameSettings reports whether two settings give the same door.
func SameSettings(a, b *balance.Settings) bool {
	return a.MaxRetryAfter == b.MaxRetryAfter && a.EventInterval == b.EventInterval && a.Seed == b.Seed &&
		slices.Equal(a.Classes, b.Classes) && slices.Equal(a.Tenants, b.Tenants)
}

// Successor returns a door with other settings or bounds, which takes the place of this one. What was learned of
// classes of the same name is kept, and the counts are; places, promises and credit of tenants begin anew, and
// requests that were let in before are the module's alone. It returns an error for settings or bounds out of
// range. The requests that wait here have to arrive there.
func (c *Controller) Successor(now Time, settings balance.Settings, bounds Bounds) (*Controller, error) {
	next, err := New(now, settings, bounds, c.handler)
	if err != nil {
		return nil, err
	}
	next.totals = c.totals
	for k := range next.classes {
		class := &next.classes[k]
		before := slices.IndexFunc(c.classes, func(c requestClass) bool { return c.Name == class.Name })
		if before >= 0 {
			class.work = c.classes[before].work
			class.tries = c.classes[before].tries
		}
	}
	return next, nil
}

// WaitingRequests returns the requests that wait, the oldest first.
func (c *Controller) WaitingRequests() []int32 {
	var list []int32
	for k := range c.requests {
		if c.requests[k].state == waiting {
			list = append(list, int32(k))
		}
	}
	slices.SortStableFunc(list, func(a, b int32) int {
		return cmp.Compare(c.requests[a].arrivedAt, c.requests[b].arrivedAt)
	})
	return list
}
