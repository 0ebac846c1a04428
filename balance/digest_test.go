package balance

import (
	"fmt"
	"hash/fnv"
	"testing"
)

// playDigest is the FNV-1a hash of every event and every action of digestSeeds random plays. A change of the text that
// is not meant to change an action leaves it as it is; one that is meant to records it anew and says so.
const playDigest = "081a809996a712a0"

const digestSeeds = 96 // a dozen plays of each shape that drive knows

// TestPlayDigest: the same events give the actions that they gave when the digest was recorded.
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
