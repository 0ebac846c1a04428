// Package random implements the pseudo-random number generator behind every decision of a front: George Marsaglia's
// multiply-with-carry generator with both 32-bit words of state in one 64-bit value. It is not cryptographically secure: a
// peer that sees enough of its output can predict the rest.
package random

// Source is the state of a generator. Sources with the same seed return the same sequence. A Source must not start from 0;
// New never returns that state.
type Source uint64

// New returns a Source for the seed, which may be any value.
func New(seed uint64) Source {
	if s := Source(seed ^ 0x9e3779b97f4a7c15); s != 0 {
		return s
	}
	return 1
}

// Uint32 returns a uniformly distributed 32-bit value.
func (s *Source) Uint32() uint32 {
	*s = (*s&0xffffffff)*4294957665 + *s>>32
	return uint32(*s)
}

// Below returns a value in [0, n), or 0 if n is less than 2.
func (s *Source) Below(n int64) int64 {
	return int64(uint64(s.Uint32()) * uint64(max(n, 1)) >> 32)
}
