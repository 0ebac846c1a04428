package admission

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"micatrack/internal/random"
)

const (
	// bucketSize is the number of entries in a bucket of a hash table.
	bucketSize = 8
	// minEpochRequests is the number of requests, not counting the possible error, that make an epoch a busy one
	// for a tenant.
	minEpochRequests = 2
	// minBusyEpochs is the number of successive busy epochs after which a tenant gets a dedicated flow.
	minBusyEpochs = 2
	// maxIdleEpochs is the number of epochs without a request after which a tenant loses its dedicated flow.
	maxIdleEpochs = 16
	// maxLabelBytes is the length to which tenant names are truncated for the log.
	maxLabelBytes = 48
)

// tenantTable maps tenants to flow indexes. Each tenant has either a dedicated flow or one that it shares
// with all tenants of the same hash. The tenants that the settings name have dedicated flows from the start.
// Of the others, those that send requests steadily get one, as long as any is free. The size of the table
// does not depend on how many names it has seen.
//
// Flow indexes are assigned first to the tenants that the settings name, then to the other dedicated flows,
// then to the shared ones.
type tenantTable struct {
	rng             random.Source
	digest          xxhash.Digest
	hashSeed        uint64                     // secret, so that a name cannot be made to hash to a certain flow
	configured      map[string]int32           // flow indexes of the tenants that the settings name
	dedicatedByHash map[uint64]int32           // indexes into dedicated, by the hash of the name
	dedicated       []dedicatedTenant          // the other dedicated flows, of fixed number
	unassigned      []int32                    // indexes of the entries of dedicated without a tenant
	buckets         [][bucketSize]requestCount // request counts of tenants that share flows
	salt            uint64                     // distributes tenants over the shared flows; drawn anew each epoch
	shared          int                        // number of shared flows
	epoch           uint32                     // number of the current epoch
}

// dedicatedTenant is a dedicated flow of a tenant that the settings do not name.
type dedicatedTenant struct {
	hash     uint64 // hash of the name
	name     string // name for the log; empty until the next request of the tenant
	lastSeen uint32 // epoch of the last request
	assigned bool   // whether the flow is assigned to a tenant
}

// requestCount counts the requests of one tenant. Each bucket implements the space-saving algorithm (Metwally
// et al., 2005).
type requestCount struct {
	hash       uint64  // hash of the name
	requests   float32 // requests in this epoch, plus half of the count before it
	maxError   float32 // how much of requests may be those of other tenants
	busyEpochs uint8   // number of successive busy epochs
}

// newTenantTable returns a table with the given configured tenants and numbers of other dedicated and of
// shared flows.
func newTenantTable(seed uint64, configured []string, dedicated, shared int) *tenantTable {
	t := &tenantTable{rng: random.New(seed), configured: map[string]int32{},
		dedicatedByHash: make(map[uint64]int32, dedicated), dedicated: make([]dedicatedTenant, dedicated),
		shared: shared, buckets: make([][bucketSize]requestCount, max(8*dedicated/bucketSize, 1))}
	for i, name := range configured {
		t.configured[name] = int32(i)
	}
	for i := range t.dedicated {
		t.unassigned = append(t.unassigned, int32(dedicated-1-i))
	}
	t.hashSeed, t.salt = t.drawUint64(), t.drawUint64()
	return t
}

// drawUint64 returns a pseudo-random number.
func (t *tenantTable) drawUint64() uint64 { return uint64(t.rng.Uint32())<<32 | uint64(t.rng.Uint32()) }

// flowCount returns the number of flow indexes.
func (t *tenantTable) flowCount() int { return len(t.configured) + len(t.dedicated) + t.shared }

// isDedicated reports whether a flow belongs to one tenant alone.
func (t *tenantTable) isDedicated(flowIndex int32) bool {
	return int(flowIndex) < len(t.configured)+len(t.dedicated)
}

// flowIndex counts a request of a tenant and returns the index of its flow.
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

// retryHash returns the hash that identifies a request of a tenant across its tries, or 0 if there is no
// retry key.
func (t *tenantTable) retryHash(tenant, retryKey []byte) uint64 {
	if len(retryKey) == 0 {
		return 0
	}
	t.digest.ResetWithSeed(t.hashSeed + 1)
	t.digest.Write(tenant)
	t.digest.Write(retryKey)
	return max(t.digest.Sum64(), 1)
}

// countRequest counts a request of the tenant with that hash. If the tenant has no entry in its bucket, it
// takes over the one with the fewest requests, whose count it keeps as its possible error; so no count is
// ever too low.
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

// endEpoch ends an epoch. All tenants with enough successive busy epochs get dedicated flows. Tenants that
// have been idle for long lose theirs if release returns true for the flow. The other tenants are distributed
// over the shared flows anew, so that a tenant shares a flow with a heavy one for one epoch only.
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

// label returns the name of the tenant of a flow, for the log.
func (t *tenantTable) label(flowIndex int32) string {
	for name, i := range t.configured { // the order is irrelevant, because at most one matches
		if i == flowIndex {
			return strconv.Quote(name[:min(len(name), maxLabelBytes)])
		}
	}
	if i := int(flowIndex) - len(t.configured); i < len(t.dedicated) {
		return strconv.Quote(t.dedicated[i].name)
	}
	return "several customers"
}
