package admission

import (
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"slices"
	"testing"

	"micatrack/internal/random"
)

// passThrough is a Handler in front of a decision module that sends each request at once, or never if it is
// stalled.
type passThrough struct {
	controller *Controller
	now        Time
	stalled    bool
}

func (g *passThrough) Admit(request int32) {
	if !g.stalled {
		g.controller.AttemptStarted(g.now, request)
	}
}
func (g *passThrough) Reject(int32, Time) {}
func (g *passThrough) Log(string)         {}

func newPassThrough(t testing.TB, stalled bool) *passThrough {
	g := &passThrough{now: 1e12, stalled: stalled}
	var err error
	if g.controller, err = New(g.now, testSettings(), testBounds(), g); err != nil {
		t.Fatal(err)
	}
	return g
}

func tenantNames(n int) [][]byte {
	names := make([][]byte, n)
	for i := range names {
		names[i] = fmt.Appendf(nil, "customer-%07d", i)
	}
	return names
}

// serveRequest takes one request through admission and an attempt while no request waits.
func (g *passThrough) serveRequest(name []byte, client uint64) {
	g.controller.Arrive(g.now, Arrival{Request: 0, Tenant: name, Client: client, Group: 1, TimeLeft: 1200 * ms, RetryKey: name, Bytes: 200})
	g.controller.AttemptEnded(g.now, 0, true)
	g.controller.RequestEnded(g.now, 0)
}

// TestUncontendedPathDoesNotAllocate checks that a request that does not wait causes no memory allocation.
func TestUncontendedPathDoesNotAllocate(t *testing.T) {
	g := newPassThrough(t, false)
	names := tenantNames(1000)
	i := 0
	pass := func() {
		g.serveRequest(names[i%len(names)], uint64(i))
		if i++; i%100 == 0 {
			g.now += 5 * ms
			g.controller.Tick(g.now)
		}
	}
	for range 10000 {
		pass()
	}
	if n := testing.AllocsPerRun(10000, pass); n > 0 {
		t.Errorf("%v allocations per request", n)
	}
}

// BenchmarkPass measures a request that does not wait, by the number of tenant names in use.
func BenchmarkPass(b *testing.B) {
	for _, n := range []int{10, 10_000, 1_000_000} {
		b.Run(fmt.Sprintf("names=%d", n), func(b *testing.B) {
			g, rng, name := newPassThrough(b, false), random.New(1), []byte("customer--------")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				binary.BigEndian.PutUint64(name[8:], uint64(rng.Below(int64(n)))) // reading prepared names from a list would measure CPU cache misses
				g.serveRequest(name, uint64(i))
			}
		})
	}
}

// BenchmarkContended measures a request that waits behind a hundred others, is admitted and ends.
func BenchmarkContended(b *testing.B) {
	for _, n := range []int{10, 10_000, 1_000_000} {
		b.Run(fmt.Sprintf("names=%d", n), func(b *testing.B) {
			g, rng, name := newPassThrough(b, true), random.New(1), []byte("customer--------")
			c := g.controller
			c.grow(256)
			arrive := func(i int) {
				binary.BigEndian.PutUint64(name[8:], uint64(rng.Below(int64(n))))
				c.Arrive(g.now, Arrival{Request: int32(i % 256), Class: 1, Tenant: name, Client: uint64(i), Group: 1,
					TimeLeft: 3 * second, Bytes: 200})
			}
			for i := range 116 { // fills the decision module, with a hundred more requests waiting
				arrive(i)
			}
			next := 116
			b.ReportAllocs()
			for b.Loop() {
				for c.requests[next%256].state != absent { // admitted earlier; its end lets the next one be admitted
					c.RequestEnded(g.now, int32(next%256))
				}
				arrive(next)
				next++
				c.AdmitWaiting(g.now)
			}
		})
	}
}

// TestMemoryBoundedForMillionTenantNames checks that the memory of a Controller does not grow with the number
// of tenant names that it has seen.
func TestMemoryBoundedForMillionTenantNames(t *testing.T) {
	g := newPassThrough(t, true)
	for i := range 116 { // requests wait from the start
		g.controller.Arrive(g.now, Arrival{Request: int32(i), Class: 1, Tenant: []byte("c"), Client: uint64(i), Group: 1, TimeLeft: 3 * second, Bytes: 200})
	}
	before := HeapBytes()
	name := make([]byte, 0, 32)
	for i := range 1_000_000 {
		name = fmt.Appendf(name[:0], "once-%d", i)
		g.controller.Arrive(g.now, Arrival{Request: int32(116 + i%2000), Class: 1, Tenant: name, Client: uint64(i), Group: 1, TimeLeft: 3 * second, Bytes: 200})
		g.controller.RequestEnded(g.now, int32(116+i%2000))
		if i%1000 == 0 {
			g.now += 5 * ms
			g.controller.Tick(g.now)
		}
	}
	grown := int64(HeapBytes()) - int64(before)
	t.Logf("heap grew by %d KiB", grown>>10)
	if grown > 8<<20 {
		t.Errorf("heap grew by %d bytes", grown)
	}
}

// plainHeap is a binary heap of items with keys, for container/heap.
type plainHeap struct {
	keys []float64
	list []int32
}

func (h *plainHeap) Len() int           { return len(h.list) }
func (h *plainHeap) Less(i, k int) bool { return h.keys[h.list[i]] < h.keys[h.list[k]] }
func (h *plainHeap) Swap(i, k int)      { h.list[i], h.list[k] = h.list[k], h.list[i] }
func (h *plainHeap) Push(x any)         { h.list = append(h.list, x.(int32)) }
func (h *plainHeap) Pop() any {
	last := h.list[len(h.list)-1]
	h.list = h.list[:len(h.list)-1]
	return last
}

// BenchmarkPairingHeaps compares pairing heaps with a binary heap and a sorted slice under the load of
// admission control: insert one item and remove one, alternately the top and any other.
func BenchmarkPairingHeaps(b *testing.B) {
	const n = 4096
	keys := make([]float64, n)
	for _, size := range []int{64, 2048} {
		setup := func() (rng random.Source) {
			rng = random.New(5)
			for i := range keys {
				keys[i] = float64(rng.Uint32())
			}
			return rng
		}
		b.Run(fmt.Sprintf("pairing/%d", size), func(b *testing.B) {
			rng := setup()
			heaps := pairingHeaps{before: func(a, b int32) bool { return keys[a] < keys[b] }}
			heaps.grow(n)
			top, in := int32(-1), make([]int32, 0, n) // in holds the queued items, so that each variant can pick one
			for i := range size {
				top, in = heaps.insert(top, int32(i)), append(in, int32(i))
			}
			spare := int32(size)
			for i := 0; b.Loop(); i++ {
				top = heaps.insert(top, spare)
				in = append(in, spare)
				k := int(rng.Below(int64(len(in))))
				if i%2 == 0 {
					k = slices.Index(in, top)
				}
				spare = in[k]
				in[k] = in[len(in)-1]
				in = in[:len(in)-1]
				top = heaps.remove(top, spare)
			}
		})
		b.Run(fmt.Sprintf("heap/%d", size), func(b *testing.B) {
			rng := setup()
			h := &plainHeap{keys: keys}
			for i := range size {
				heap.Push(h, int32(i))
			}
			spare := int32(size)
			for i := 0; b.Loop(); i++ {
				heap.Push(h, spare)
				k := 0
				if i%2 == 1 { // a binary heap has to search for the position of an item
					k = slices.Index(h.list, h.list[rng.Below(int64(len(h.list)))])
				}
				spare = heap.Remove(h, k).(int32)
			}
		})
		b.Run(fmt.Sprintf("slice/%d", size), func(b *testing.B) {
			rng := setup()
			var list []int32
			put := func(i int32) {
				at, _ := slices.BinarySearchFunc(list, keys[i], func(k int32, key float64) int { return cmp.Compare(keys[k], key) })
				list = slices.Insert(list, at, i)
			}
			for i := range size {
				put(int32(i))
			}
			spare := int32(size)
			for i := 0; b.Loop(); i++ {
				put(spare)
				k := 0
				if i%2 == 1 {
					k = int(rng.Below(int64(len(list))))
				}
				spare = list[k]
				list = slices.Delete(list, k, k+1)
			}
		})
	}
}

// BenchmarkTenantTable compares the table of bounded size with a map that keeps every name.
func BenchmarkTenantTable(b *testing.B) {
	names := tenantNames(1_000_000)
	b.Run("buckets", func(b *testing.B) {
		n, rng := newTenantTable(7, nil, 128, 64), random.New(1)
		b.ReportAllocs()
		for b.Loop() {
			n.flowIndex(names[rng.Below(int64(len(names)))])
		}
	})
	b.Run("map", func(b *testing.B) {
		m, rng := map[string]int{}, random.New(1)
		b.ReportAllocs()
		for b.Loop() {
			m[string(names[rng.Below(int64(len(names)))])]++
		}
	})
}
