package ring

import (
	"bytes"
	"sync/atomic"
	"testing"
)

// play turns each byte into one call and holds the ring against a plain slice.
func play(t *testing.T, most int, calls []byte) {
	b := Buffer{Max: most}
	var plain []byte
	next := byte(0)
	fill := func(n int) []byte {
		p := make([]byte, n)
		for i := range p {
			next++
			p[i] = next
		}
		return p
	}
	for _, c := range calls {
		n := int(c>>2) * 97
		switch c & 3 {
		case 0:
			p := fill(n)
			if b.Append(p) {
				plain = append(plain, p...)
			} else if len(plain)+n <= most {
				t.Fatalf("no room for %d beside %d of %d", n, len(plain), most)
			}
		case 1:
			space := b.Space()
			if len(space) == 0 && len(plain) < most {
				t.Fatalf("no space at %d of %d", len(plain), most)
			}
			k := copy(space, fill(min(n, len(space))))
			plain = append(plain, space[:k]...)
			b.Commit(k)
		default:
			n = min(n, len(plain))
			b.Discard(n)
			plain = plain[n:]
		}
		if b.Len() != len(plain) || !bytes.Equal(b.Peek(), plain) || len(plain) > most {
			t.Fatalf("after %d: %d bytes held, %d expected", c, b.Len(), len(plain))
		}
	}
}

func FuzzRing(f *testing.F) {
	for seed := range byte(32) {
		calls := make([]byte, 300)
		for i := range calls {
			calls[i] = byte(i*i)*(2*seed+1) ^ byte(i)*seed
		}
		f.Add(uint16(seed)*997, calls)
	}
	f.Fuzz(func(t *testing.T, most uint16, calls []byte) { play(t, int(most), calls) })
}

func TestRingsShareABudget(t *testing.T) {
	var left atomic.Int64
	left.Store(3 * first)
	a, b := Buffer{Max: 8 * first, Budget: &left}, Buffer{Max: 8 * first, Budget: &left}
	if !a.Append(make([]byte, 3*first)) { // grows to four times the first size, of which one is free
		t.Fatal("no room within the budget")
	}
	if !b.Append(make([]byte, first)) {
		t.Fatal("the first size must always be had")
	}
	if b.Append(make([]byte, first)) || b.Space() != nil {
		t.Fatal("grew past the budget")
	}
	a.Discard(3 * first)
	if !b.Append(make([]byte, first)) {
		t.Fatal("what the drained ring gave back is not there")
	}
	b.Release()
	if left.Load() != 3*first || b.Len() != 0 {
		t.Fatalf("%d left after all was freed", left.Load())
	}
}
