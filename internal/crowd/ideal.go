package crowd

import "math"

// Ideal shares the stores' time as if work could be cut as fine as one likes: whoever has work gets by weight. It
// is the slow, plain model that the door is held against.
type Ideal struct {
	Weights, Queued, Served []float64
}

// Pass serves that much work.
func (m *Ideal) Pass(work float64) {
	for work > 1e-9 {
		weight, least := 0.0, math.Inf(1)
		for i, q := range m.Queued {
			if q > 1e-9 {
				weight += m.Weights[i]
				least = min(least, q/m.Weights[i])
			}
		}
		if weight == 0 {
			return
		}
		part := min(least, work/weight)
		for i := range m.Queued {
			if m.Queued[i] > 1e-9 {
				m.Queued[i] -= part * m.Weights[i]
				m.Served[i] += part * m.Weights[i]
			}
		}
		work -= part * weight
	}
}
