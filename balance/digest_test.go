package balance

import (
	"fmt"
	"hash/fnv"
	"testing"
)

// playDigest is the FNV-1a hash of every event and every action of digestSeeds random runs. A change of the
// code that is not meant to change an action leaves it as it is; one that is meant to updates it, and its
// commit says so.
const playDigest = "b4fe2f95967916cc"

const digestSeeds = 96 // a dozen runs of each shape that runScenario knows

// TestPlayDigest checks that the same events lead to the same actions as when the digest was recorded.
func TestPlayDigest(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(digestSeeds) {
		for _, line := range runScenario(t, seed, uint8(seed)) {
			fmt.Fprintln(digest, line)
		}
	}
	if got := fmt.Sprintf("%016x", digest.Sum64()); got != playDigest {
		t.Errorf("digest %s, want %s", got, playDigest)
	}
}
