package tenantsim

import "math"

// negligible is the work below which nothing is left to serve.
const negligible = 1e-9

// FluidModel shares the stores' time as if work could be divided without limit: whoever has work gets time by
// weight. It is the slow, plain model that admission control is compared with. The slices have one element
// for each tenant.
type FluidModel struct {
	Weights, Queued, Served []float64
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

// backlog returns the weight of the tenants that have work, and how much for a weight of 1 may be served
// until the first of them has none.
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
