package tenantsim

import "math"

// negligible is the amount of queued work that counts as none.
const negligible = 1e-9

// FluidModel divides the capacity of the stores as if work were infinitely divisible: all tenants with queued
// work are served in proportion to their weights. It is the slow but simple model that admission control is
// compared with. Each slice has one element for each tenant.
type FluidModel struct {
	Weights []float64 // weights of the tenants
	Queued  []float64 // work that still has to be served
	Served  []float64 // work that was served
}

// Serve serves that much work.
func (m *FluidModel) Serve(work float64) {
	for work > negligible {
		weight, least := m.backlog()
		if weight == 0 {
			return
		}
		part := min(least, work/weight)
		for k := range m.Queued {
			if m.Queued[k] > negligible {
				m.Queued[k] -= part * m.Weights[k]
				m.Served[k] += part * m.Weights[k]
			}
		}
		work -= part * weight
	}
}

// backlog returns the total weight of the tenants with queued work, and how much work per unit of weight can
// be served until the first of them has none left.
func (m *FluidModel) backlog() (weight, least float64) {
	least = math.Inf(1)
	for k, queued := range m.Queued {
		if queued > negligible {
			weight += m.Weights[k]
			least = min(least, queued/m.Weights[k])
		}
	}
	return weight, least
}
