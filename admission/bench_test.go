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

// through is a gate to a module that sends at once, or never.
type through struct {
	door *Controller
	now  Time
	jams bool
}

func (g *through) Admit(job int32) {
	if !g.jams {
		g.door.AttemptStarted(g.now, job)
	}
}
func (g *through) Reject(int32, Time) {}
func (g *through) Log(string)         {}

func open(t testing.TB, jams bool) *through {
	g := &through{now: 1e12, jams: jams}
	var err error
	if g.door, err = New(g.now, testSettings(), testBounds(), g); err != nil {
		t.Fatal(err)
	}
	return g
}

func customers(n int) [][]byte {
	names := make([][]byte, n)
	for i := range names {
		names[i] = fmt.Appendf(nil, "customer-%07d", i)
	}
	return names
}

// job takes one job through the door while nothing waits.
func (g *through) job(name []byte, client uint64) {
	g.door.Arrive(g.now, Arrival{Request: 0, Tenant: name, Client: client, Group: 1, TimeLeft: 1200 * ms, RetryKey: name, Bytes: 200})
	g.door.AttemptEnded(g.now, 0, true)
	g.door.RequestEnded(g.now, 0)
}

func TestPassingAllocatesNothing(t *testing.T) {
	g := open(t, false)
	names := customers(1000)
	i := 0
	pass := func() {
		g.job(names[i%len(names)], uint64(i))
		if i++; i%100 == 0 {
			g.now += 5 * ms
			g.door.Tick(g.now)
		}
	}
	for range 10000 {
		pass()
	}
	if n := testing.AllocsPerRun(10000, pass); n > 0 {
		t.Errorf("%v allocations a job", n)
	}
}

func BenchmarkPass(b *testing.B) {
	for _, n := range []int{10, 10_000, 1_000_000} {
		b.Run(fmt.Sprintf("names=%d", n), func(b *testing.B) {
			g, chance, name := open(b, false), random.New(1), []byte("customer--------")
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				binary.BigEndian.PutUint64(name[8:], uint64(chance.Below(int64(n)))) // a list of them would measure the cache
				g.job(name, uint64(i))
			}
		})
	}
}

// BenchmarkContended is a job that waits behind a hundred others, is let in and ends.
func BenchmarkContended(b *testing.B) {
	for _, n := range []int{10, 10_000, 1_000_000} {
		b.Run(fmt.Sprintf("names=%d", n), func(b *testing.B) {
			g, chance, name := open(b, true), random.New(1), []byte("customer--------")
			d := g.door
			d.grow(256)
			come := func(i int) {
				binary.BigEndian.PutUint64(name[8:], uint64(chance.Below(int64(n))))
				d.Arrive(g.now, Arrival{Request: int32(i % 256), Class: 1, Tenant: name, Client: uint64(i), Group: 1,
					TimeLeft: 3 * second, Bytes: 200})
			}
			for i := range 116 { // the module is full, and a hundred wait
				come(i)
			}
			next := 116
			b.ReportAllocs()
			for b.Loop() {
				for d.tickets[next%256].state != absent { // let in long ago: it ends, and the next is let in
					d.RequestEnded(g.now, int32(next%256))
				}
				come(next)
				next++
				d.AdmitWaiting(g.now)
			}
		})
	}
}

// TestMemoryOfAMillionNames: what the door keeps does not grow with the names that it has seen.
func TestMemoryOfAMillionNames(t *testing.T) {
	g := open(t, true)
	for i := range 116 { // it is contended from the start
		g.door.Arrive(g.now, Arrival{Request: int32(i), Class: 1, Tenant: []byte("c"), Client: uint64(i), Group: 1, TimeLeft: 3 * second, Bytes: 200})
	}
	before := HeapNow()
	name := make([]byte, 0, 32)
	for i := range 1_000_000 {
		name = fmt.Appendf(name[:0], "once-%d", i)
		g.door.Arrive(g.now, Arrival{Request: int32(116 + i%2000), Class: 1, Tenant: name, Client: uint64(i), Group: 1, TimeLeft: 3 * second, Bytes: 200})
		g.door.RequestEnded(g.now, int32(116+i%2000))
		if i%1000 == 0 {
			g.now += 5 * ms
			g.door.Tick(g.now)
		}
	}
	grown := int64(HeapNow()) - int64(before)
	t.Logf("grown by %d KiB", grown>>10)
	if grown > 8<<20 {
		t.Errorf("grown by %d bytes", grown)
	}
}

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

// BenchmarkOrder compares the pile with plain structures at what the door does: put one in, and take one out, every
// second time from the top and else from anywhere.
func BenchmarkOrder(b *testing.B) {
	const n = 4096
	keys := make([]float64, n)
	for _, size := range []int{64, 2048} {
		setup := func() (chance random.Source) {
			chance = random.New(5)
			for i := range keys {
				keys[i] = float64(chance.Uint32())
			}
			return chance
		}
		b.Run(fmt.Sprintf("pile/%d", size), func(b *testing.B) {
			chance := setup()
			p := piles{before: func(a, b int32) bool { return keys[a] < keys[b] }}
			p.grow(n)
			top, in := int32(-1), make([]int32, 0, n) // in: to find one that is there, for all alike
			for i := range size {
				top, in = p.put(top, int32(i)), append(in, int32(i))
			}
			spare := int32(size)
			for i := 0; b.Loop(); i++ {
				top = p.put(top, spare)
				in = append(in, spare)
				k := int(chance.Below(int64(len(in))))
				if i%2 == 0 {
					k = slices.Index(in, top)
				}
				spare = in[k]
				in[k] = in[len(in)-1]
				in = in[:len(in)-1]
				top = p.cut(top, spare)
			}
		})
		b.Run(fmt.Sprintf("heap/%d", size), func(b *testing.B) {
			chance := setup()
			h := &plainHeap{keys: keys}
			for i := range size {
				heap.Push(h, int32(i))
			}
			spare := int32(size)
			for i := 0; b.Loop(); i++ {
				heap.Push(h, spare)
				k := 0
				if i%2 == 1 { // one known by its number has to be looked for
					k = slices.Index(h.list, h.list[chance.Below(int64(len(h.list)))])
				}
				spare = heap.Remove(h, k).(int32)
			}
		})
		b.Run(fmt.Sprintf("slice/%d", size), func(b *testing.B) {
			chance := setup()
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
					k = int(chance.Below(int64(len(list))))
				}
				spare = list[k]
				list = slices.Delete(list, k, k+1)
			}
		})
	}
}

// BenchmarkNames compares the shelves with a map that keeps every name ever seen.
func BenchmarkNames(b *testing.B) {
	names := customers(1_000_000)
	b.Run("shelves", func(b *testing.B) {
		n, chance := newNames(7, nil, 128, 64), random.New(1)
		b.ReportAllocs()
		for b.Loop() {
			n.at(names[chance.Below(int64(len(names)))])
		}
	})
	b.Run("map", func(b *testing.B) {
		m, chance := map[string]int{}, random.New(1)
		b.ReportAllocs()
		for b.Loop() {
			m[string(names[chance.Below(int64(len(names)))])]++
		}
	})
}
