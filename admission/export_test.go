package admission

import "runtime"

// This file exports internals for the tests in package admission_test.

// IdleHandoffLimit is the handoff limit while no request waits.
const IdleHandoffLimit = idleHandoffLimit

// Epoch returns the duration for which the assignment of tenants to flows is fixed.
func Epoch(c *Controller) Time { return c.epoch }

// ShareFlow makes two tenants share a flow and leaves no dedicated flow free. The function changed reports
// whether the tenants have been distributed anew since.
func ShareFlow(c *Controller, first, second string) (changed func() bool) {
	tenants := c.tenants
	tenants.unassigned = nil
	for tenants.salt = 1; tenants.flowIndex([]byte(first)) != tenants.flowIndex([]byte(second)); tenants.salt++ {
	}
	salt := tenants.salt
	return func() bool { return tenants.salt != salt }
}

// ExpectedRetryWait returns how long a retry would wait behind the requests that now wait in the first
// scheduler, or otherwise if none has ever waited there.
func ExpectedRetryWait(c *Controller, tenant string, client uint64, otherwise Time) Time {
	s := &c.schedulers[0]
	if s.flows == nil {
		return otherwise
	}
	flowIndex := c.tenants.flowIndex([]byte(tenant))
	return Time(s.expectedWait(c, &s.flows[flowIndex], c.weight(s, flowIndex), retry, client))
}

// HeapBytes returns the number of heap bytes in use after a garbage collection.
func HeapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
