package admission

import (
	"cmp"
	"slices"

	"micatrack/balance"
)

// SameSettings reports whether two settings lead to the same behaviour of a Controller.
func SameSettings(a, b *balance.Settings) bool {
	return a.MaxRetryAfter == b.MaxRetryAfter && a.EventInterval == b.EventInterval && a.Seed == b.Seed &&
		slices.Equal(a.Classes, b.Classes) && slices.Equal(a.Tenants, b.Tenants)
}

// Successor returns a Controller with other settings or bounds that replaces this one. It takes over the
// counts, and the estimates for classes of the same name. Flows, reservations and retry credit of tenants are
// reset. Requests that were admitted before are tracked by the decision module alone. The caller has to pass
// the requests that wait here to Arrive of the successor. Successor returns an error if settings or bounds
// are out of range.
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
