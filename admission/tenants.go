package admission

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"micatrack/internal/random"
)

const (
	bucketSize       = 8  // entries of a shelf
	minEpochRequests = 2  // jobs in an epoch, surely its own, from which on a customer counts as steady there
	minBusyEpochs    = 2  // epochs in a row that make it steady
	maxIdleEpochs    = 16 // epochs without a job after which a steady one gives its place up
	maxLabelBytes    = 48 // bytes of a name that are kept for the log
)

// tenantTable tells which place a customer has: one of its own, or one that it shares with all that hash to it. The
// settings' customers have their own from the start; of the others those get one that come steadily, as long
// as there are any. What is kept does not grow with the names ever seen.
//
// Places are numbered: the settings' customers, then the steady ones, then the shared ones.
type tenantTable struct {
	rng             random.Source
	digest          xxhash.Digest
	hashSeed        uint64 // of the hash: a name must not choose its place
	configured      map[string]int32
	dedicatedByHash map[uint64]int32 // steady ones by hash, bounded as steady is
	dedicated       []dedicatedTenant
	unassigned      []int32 // places in steady that nobody has
	buckets         [][bucketSize]requestCount
	salt            uint64 // that spreads the others over the shared places in this epoch
	shared          int
	epoch           uint32
}

// dedicatedTenant is one customer with a place that it has earned.
type dedicatedTenant struct {
	hash     uint64
	name     string // empty until it is seen next
	lastSeen uint32 // epoch of its last job
	assigned bool
}

// requestCount counts one customer's jobs, on a shelf of a few (space-saving, Metwally et al. 2005, on each shelf).
type requestCount struct {
	hash               uint64
	requests, maxError float32 // this epoch and half of what was before; how much of it may be another's
	busyEpochs         uint8   // epochs in a row in which it came often
}

func newTenantTable(seed uint64, configured []string, dedicated, shared int) *tenantTable {
	t := &tenantTable{rng: random.New(seed), configured: map[string]int32{}, dedicatedByHash: make(map[uint64]int32, dedicated),
		dedicated: make([]dedicatedTenant, dedicated), shared: shared, buckets: make([][bucketSize]requestCount, max(8*dedicated/bucketSize, 1))}
	for i, name := range configured {
		t.configured[name] = int32(i)
	}
	for i := range t.dedicated {
		t.unassigned = append(t.unassigned, int32(dedicated-1-i))
	}
	t.hashSeed, t.salt = t.drawUint64(), t.drawUint64()
	return t
}

func (t *tenantTable) drawUint64() uint64 { return uint64(t.rng.Uint32())<<32 | uint64(t.rng.Uint32()) }

// flowCount is how many there are.
func (t *tenantTable) flowCount() int { return len(t.configured) + len(t.dedicated) + t.shared }

// isDedicated tells whether a place is one customer's alone.
func (t *tenantTable) isDedicated(flowIndex int32) bool {
	return int(flowIndex) < len(t.configured)+len(t.dedicated)
}

// flowIndex counts a job of that customer and gives its place.
func (t *tenantTable) flowIndex(name []byte) int32 {
	if index, ok := t.configured[string(name)]; ok {
		return index
	}
	t.digest.ResetWithSeed(t.hashSeed)
	t.digest.Write(name)
	hash := t.digest.Sum64()
	if index, ok := t.dedicatedByHash[hash]; ok {
		tenant := &t.dedicated[index]
		if tenant.lastSeen = t.epoch; tenant.name == "" {
			tenant.name = string(name[:min(len(name), maxLabelBytes)])
		}
		return index + int32(len(t.configured))
	}
	t.countRequest(hash)
	hash = (hash ^ t.salt) * hashFactor
	hash ^= hash >> 32
	return int32(len(t.configured)+len(t.dedicated)) + int32(hash%uint64(t.shared))
}

// retryHash is what a customer's job is known by over its tries; 0: by nothing.
func (t *tenantTable) retryHash(tenant, retryKey []byte) uint64 {
	if len(retryKey) == 0 {
		return 0
	}
	t.digest.ResetWithSeed(t.hashSeed + 1)
	t.digest.Write(tenant)
	t.digest.Write(retryKey)
	return max(t.digest.Sum64(), 1)
}

// countRequest finds the customer on its shelf, or gives it the entry with the fewest jobs there, whose count it
// takes over as slack: no count is ever too low.
func (t *tenantTable) countRequest(hash uint64) {
	bucket := &t.buckets[(hash>>32)%uint64(len(t.buckets))]
	least := 0
	for i := range bucket {
		if bucket[i].hash == hash {
			bucket[i].requests++
			return
		}
		if bucket[i].requests < bucket[least].requests {
			least = i
		}
	}
	entry := &bucket[least]
	*entry = requestCount{hash: hash, requests: entry.requests + 1, maxError: entry.requests}
}

// endEpoch ends an epoch: customers that came often in one after the other get places of their own, all at once;
// steady ones that have long been away lose theirs if free says that nothing hangs on it; and the others are
// spread anew, so that whoever shares a place with a heavy one does so for one epoch.
func (t *tenantTable) endEpoch(release func(flowIndex int32) bool) {
	t.epoch++
	for i := range t.dedicated {
		tenant := &t.dedicated[i]
		if tenant.assigned && t.epoch-tenant.lastSeen > maxIdleEpochs && release(int32(len(t.configured)+i)) {
			delete(t.dedicatedByHash, tenant.hash)
			*tenant = dedicatedTenant{}
			t.unassigned = append(t.unassigned, int32(i))
		}
	}
	for i := range t.buckets {
		for k := range t.buckets[i] {
			entry := &t.buckets[i][k]
			if entry.requests-entry.maxError >= minEpochRequests {
				entry.busyEpochs = min(entry.busyEpochs+1, minBusyEpochs)
			} else {
				entry.busyEpochs = 0
			}
			if entry.busyEpochs >= minBusyEpochs && len(t.unassigned) > 0 {
				index := t.unassigned[len(t.unassigned)-1]
				t.unassigned = t.unassigned[:len(t.unassigned)-1]
				t.dedicated[index] = dedicatedTenant{hash: entry.hash, lastSeen: t.epoch, assigned: true}
				t.dedicatedByHash[entry.hash] = index
				*entry = requestCount{}
				continue
			}
			entry.requests, entry.maxError = entry.requests/2, entry.maxError/2
		}
	}
	t.salt = t.drawUint64()
}

// label names the customer at a place, for the log.
func (t *tenantTable) label(flowIndex int32) string {
	for name, i := range t.configured { // in any order: one matches at most
		if i == flowIndex {
			return strconv.Quote(name[:min(len(name), maxLabelBytes)])
		}
	}
	if i := int(flowIndex) - len(t.configured); i < len(t.dedicated) {
		return strconv.Quote(t.dedicated[i].name)
	}
	return "several customers"
}
