package admission

import "runtime"

// What tests outside the package look at.

const IdleHandoffLimit = idleHandoffLimit

// Epoch is how long places are spread alike.
func Epoch(c *Controller) Time { return c.epoch }

// ShareFlow has two customers share a place, with no place of their own to be had; changed tells whether they were spread
// anew since.
func ShareFlow(c *Controller, first, second string) (changed func() bool) {
	tenants := c.tenants
	tenants.unassigned = nil
	for tenants.salt = 1; tenants.flowIndex([]byte(first)) != tenants.flowIndex([]byte(second)); tenants.salt++ {
	}
	salt := tenants.salt
	return func() bool { return tenants.salt != salt }
}

// ExpectedRetryWait is how long a further try would wait by what waits in the first lane now; otherwise where none ever did.
func ExpectedRetryWait(c *Controller, tenant string, client uint64, otherwise Time) Time {
	s := &c.schedulers[0]
	if s.flows == nil {
		return otherwise
	}
	flowIndex := c.tenants.flowIndex([]byte(tenant))
	return Time(s.expectedWait(c, &s.flows[flowIndex], c.weight(s, flowIndex), retry, client))
}

// HeapBytes is how many bytes are in use after a collection.
func HeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
