// Package mwc is the generator that all decisions draw from: multiply with carry (G. Marsaglia), two words of
// state in one. It is no secret from a peer that sees enough of its draws.
package random

// Source is a generator; the same seed draws the same numbers. It must not start from 0.
type Source uint64

// New starts a generator from any seed.
func New(seed uint64) Source {
	if s := Source(seed ^ 0x9e3779b97f4a7c15); s != 0 {
		return s
	}
	return 1
}

// Uint32 draws 32 bits.
func (s *Source) Uint32() uint32 {
	*s = (*s&0xffffffff)*4294957665 + *s>>32
	return uint32(*s)
}

// Below draws from 0 to n-1, and 0 where n is less than 2.
func (s *Source) Below(n int64) int64 {
	return int64(uint64(s.Uint32()) * uint64(max(n, 1)) >> 32)
}
