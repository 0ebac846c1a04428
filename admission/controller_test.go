package admission

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"micatrack/balance"
	"micatrack/internal/random"
)

func init() { flag.Set("rapid.seed", "20261201") } // makes the generated cases the same in each run

const (
	ms     = 10
	second = 1000 * ms
)

func testSettings() balance.Settings {
	return balance.Settings{Seed: 7, EventInterval: 5 * ms, MaxRetryAfter: second, Classes: []balance.Class{
		{Name: "read", ExpectedTime: 300 * ms, Deadline: 1200 * ms, Credit: 1},
		{Name: "save", Need: balance.Write, ExpectedTime: 600 * ms, Deadline: 3 * second, Credit: 4, LateCredit: 0.3}}}
}

func testBounds() Bounds {
	return Bounds{MaxRequests: 4096, MaxBytes: 16 << 20, DedicatedTenants: 128, SharedQueues: 64, SharedWeight: 0.25, RetriesPerRequest: 0.5}
}

// TestBounds checks that the number and the bytes of waiting requests are bounded, and that the tenant with
// the most waiting work relative to its weight makes room when the queues are full.
func TestBounds(t *testing.T) {
	r := &rejections{t: t, now: 1e12, rejected: map[int32]bool{}}
	bounds := testBounds()
	bounds.MaxRequests, bounds.MaxBytes = 20, 10_000
	settings := testSettings()
	c, err := New(r.now, settings, bounds, r)
	if err != nil {
		t.Fatal(err)
	}
	request := int32(0)
	arrive := func(tenant string, n, bytes int) {
		for range n {
			c.Arrive(r.now, Arrival{Request: request, Class: 1, Tenant: []byte(tenant), Client: uint64(request), TimeLeft: 3 * second, Bytes: bytes})
			request++
		}
	}
	arrive("a", idleHandoffLimit, 10) // these fill the decision module
	arrive("a", 30, 10)
	if c.Waiting() != 20 || len(r.rejected) != 10 {
		t.Errorf("%d requests wait, %d are refused", c.Waiting(), len(r.rejected))
	}
	arrive("b", 5, 10)
	if c.Waiting() != 20 || r.rejected[idleHandoffLimit+30] || r.rejected[idleHandoffLimit+34] || !r.rejected[idleHandoffLimit+19] {
		t.Errorf("%d requests wait, refused ones: %v", c.Waiting(), r.rejected)
	}
	arrive("b", 1, 9_900)
	if c.Waiting() > 20 || c.bytes > bounds.MaxBytes || r.rejected[idleHandoffLimit+35] {
		t.Errorf("%d requests wait with %d bytes", c.Waiting(), c.bytes)
	}
	r.now += 2 * second
	c.Tick(r.now)
	if c.Waiting() != 0 || c.bytes != 0 || c.nextToExpire != -1 {
		t.Errorf("%d requests wait with %d bytes after all deadlines", c.Waiting(), c.bytes)
	}
	for _, bad := range []Bounds{{}, {MaxRequests: 1, MaxBytes: 1, DedicatedTenants: 1, SharedQueues: 1}, {MaxRequests: 1, MaxBytes: 1, DedicatedTenants: 1, SharedQueues: 1, SharedWeight: 1, RetriesPerRequest: -1}} {
		if _, err := New(0, settings, bad, r); err == nil {
			t.Errorf("New accepts bounds %+v", bad)
		}
	}
}

// rejections is a Handler in front of a decision module that never sends a request. It records which requests
// are refused.
type rejections struct {
	t        interface{ Fatalf(string, ...any) }
	now      Time
	rejected map[int32]bool
}

func (r *rejections) Admit(int32) {}
func (r *rejections) Log(string)  {}
func (r *rejections) Reject(request int32, _ Time) {
	if r.rejected[request] {
		r.t.Fatalf("request %d is refused twice", request)
	}
	r.rejected[request] = true
}

// TestCallsInAnyOrder checks that after calls in any order that a front could make, nothing is left queued or
// counted and no request is refused twice.
func TestCallsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &rejections{t: t, now: 1e12, rejected: map[int32]bool{}}
		bounds := testBounds()
		bounds.MaxRequests = 8
		c, err := New(r.now, testSettings(), bounds, r)
		if err != nil {
			t.Fatal(err)
		}
		held := map[int32]bool{}
		request := int32(0)
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 1<<16), 1, 300).Draw(t, "ops") {
			target := int32(op/8) % max(request, 1)
			switch op % 8 {
			case 0, 1, 2:
				held[request] = true
				c.Arrive(r.now, Arrival{Request: request, Class: op / 8 % 2, Tenant: []byte{byte(op / 16 % 4)}, Client: uint64(op), Group: uint64(op / 64 % 3),
					TimeLeft: Time(1+op%4) * second, MarkedRetry: op&512 != 0, RetryKey: []byte{byte(op / 32)}, Bytes: 10})
				request++
			case 3:
				if !r.rejected[target] {
					c.AttemptStarted(r.now, target)
				}
			case 4:
				c.AttemptEnded(r.now, target, op&512 != 0)
			case 5:
				c.RequestEnded(r.now, target)
				delete(held, target)
			case 6:
				r.now += Time(op)
				c.Tick(r.now)
			case 7:
				c.AdmitWaiting(r.now)
				c.RetryAfter(r.now, target, Time(op))
			}
		}
		for i := range held {
			c.RequestEnded(r.now, i)
		}
		if c.waiting != 0 || c.bytes != 0 || c.nextToExpire != -1 {
			t.Fatalf("%d requests wait with %d bytes", c.waiting, c.bytes)
		}
		for i := range c.schedulers {
			if s := &c.schedulers[i]; s.admitted != 0 || s.attempting != 0 || s.waiting != 0 || s.next != -1 || s.dedicatedWeight != 0 || s.sharedFlowsWaiting != 0 {
				t.Fatalf("scheduler %d: %+v", i, *s)
			}
		}
	})
}

// TestPairingHeaps compares the heap with the minimum of an unordered slice.
func TestPairingHeaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfN(rapid.IntRange(0, 20), 1, 60).Draw(t, "keys")
		before := func(a, b int32) bool { return keys[a] < keys[b] || keys[a] == keys[b] && a < b }
		heaps := pairingHeaps{before: before}
		heaps.grow(len(keys))
		top := int32(-1)
		var plain []int32
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 1<<20), 1, 200).Draw(t, "ops") {
			i := int32(op % len(keys))
			if k := slices.Index(plain, i); k < 0 {
				top = heaps.insert(top, i)
				plain = append(plain, i)
			} else {
				if op&1024 != 0 {
					i = top // removes the top, else any item
					k = slices.Index(plain, i)
				}
				top = heaps.remove(top, i)
				plain = slices.Delete(plain, k, k+1)
			}
			want := int32(-1)
			if len(plain) > 0 {
				want = slices.MinFunc(plain, func(a, b int32) int { return cmp.Or(cmp.Compare(keys[a], keys[b]), cmp.Compare(a, b)) })
			}
			if top != want {
				t.Fatalf("top is %d, want %d of %v", top, want, plain)
			}
		}
		for range plain {
			top = heaps.remove(top, top)
		}
		if top != -1 || slices.ContainsFunc(heaps.nodes, func(k node) bool { return k != detached }) {
			t.Fatalf("items are left after all were removed: top %d, %v", top, heaps.nodes)
		}
	})
}

// TestFrequentTenantsGetDedicatedFlows checks that no tenant's requests are counted too low: every tenant
// that sends requests often gets a dedicated flow, even among about 60,000 names that are seen only once.
func TestFrequentTenantsGetDedicatedFlows(t *testing.T) {
	tenants := newTenantTable(7, nil, 64, 16)
	rng := random.New(3)
	exact, serial := map[string]int{}, 0
	for range 4 { // epochs
		for range 20000 {
			name := fmt.Sprintf("heavy %d", rng.Below(40))
			if rng.Below(4) > 0 {
				serial++
				name = fmt.Sprintf("stranger %d", serial)
			}
			exact[name]++
			tenants.flowIndex([]byte(name))
		}
		tenants.endEpoch(func(int32) bool { return true })
	}
	for i := range 40 {
		if flowIndex := tenants.flowIndex([]byte(fmt.Sprintf("heavy %d", i))); !tenants.isDedicated(flowIndex) {
			t.Errorf("heavy %d, with %d requests, has no dedicated flow", i, exact[fmt.Sprintf("heavy %d", i)])
		}
	}
	if got := len(tenants.dedicatedByHash); got != 40 {
		t.Errorf("%d tenants have dedicated flows, want 40", got)
	}
	bytes := len(tenants.buckets)*bucketSize*24 + len(tenants.dedicated)*40
	t.Logf("%d names seen; %d bytes kept, a map of all would keep about %d", len(exact), bytes, len(exact)*48)
}
