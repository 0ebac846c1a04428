package admission

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"micatrack/internal/random"
)

const (
	ways    = 8  // entries of a shelf
	often   = 2  // jobs in an epoch, surely its own, from which on a customer counts as steady there
	lasting = 2  // epochs in a row that make it steady
	patient = 16 // epochs without a job after which a steady one gives its place up
	longest = 48 // bytes of a name that are kept for the log
)

// names tells which place a customer has: one of its own, or one that it shares with all that hash to it. The
// settings' customers have their own from the start; of the others those get one that come steadily, as long
// as there are any. What is kept does not grow with the names ever seen.
//
// Places are numbered: the settings' customers, then the steady ones, then the shared ones.
type names struct {
	chance  random.Source
	digest  xxhash.Digest
	secret  uint64 // of the hash: a name must not choose its place
	fixed   map[string]int32
	own     map[uint64]int32 // steady ones by hash, bounded as steady is
	steady  []steady
	idle    []int32 // places in steady that nobody has
	shelves [][ways]tally
	salt    uint64 // that spreads the others over the shared places in this epoch
	shared  int
	epoch   uint32
}

// steady is one customer with a place that it has earned.
type steady struct {
	hash uint64
	name string // empty until it is seen next
	seen uint32 // epoch of its last job
	held bool
}

// tally counts one customer's jobs, on a shelf of a few (space-saving, Metwally et al. 2005, on each shelf).
type tally struct {
	hash        uint64
	jobs, slack float32 // this epoch and half of what was before; how much of it may be another's
	streak      uint8   // epochs in a row in which it came often
}

func newNames(seed uint64, fixed []string, own, shared int) *names {
	n := &names{chance: random.New(seed), fixed: map[string]int32{}, own: make(map[uint64]int32, own),
		steady: make([]steady, own), shared: shared, shelves: make([][ways]tally, max(8*own/ways, 1))}
	for i, name := range fixed {
		n.fixed[name] = int32(i)
	}
	for i := range n.steady {
		n.idle = append(n.idle, int32(own-1-i))
	}
	n.secret, n.salt = n.draw(), n.draw()
	return n
}

func (n *names) draw() uint64 { return uint64(n.chance.Uint32())<<32 | uint64(n.chance.Uint32()) }

// places is how many there are.
func (n *names) places() int { return len(n.fixed) + len(n.steady) + n.shared }

// owned tells whether a place is one customer's alone.
func (n *names) owned(place int32) bool { return int(place) < len(n.fixed)+len(n.steady) }

// at counts a job of that customer and gives its place.
func (n *names) at(name []byte) int32 {
	if i, ok := n.fixed[string(name)]; ok {
		return i
	}
	n.digest.ResetWithSeed(n.secret)
	n.digest.Write(name)
	h := n.digest.Sum64()
	if i, ok := n.own[h]; ok {
		s := &n.steady[i]
		if s.seen = n.epoch; s.name == "" {
			s.name = string(name[:min(len(name), longest)])
		}
		return i + int32(len(n.fixed))
	}
	n.count(h)
	h = (h ^ n.salt) * hashFactor
	h ^= h >> 32
	return int32(len(n.fixed)+len(n.steady)) + int32(h%uint64(n.shared))
}

// token is what a customer's job is known by over its tries; 0: by nothing.
func (n *names) token(customer, mark []byte) uint64 {
	if len(mark) == 0 {
		return 0
	}
	n.digest.ResetWithSeed(n.secret + 1)
	n.digest.Write(customer)
	n.digest.Write(mark)
	return max(n.digest.Sum64(), 1)
}

// count finds the customer on its shelf, or gives it the entry with the fewest jobs there, whose count it
// takes over as slack: no count is ever too low.
func (n *names) count(h uint64) {
	shelf := &n.shelves[(h>>32)%uint64(len(n.shelves))]
	least := 0
	for i := range shelf {
		if shelf[i].hash == h {
			shelf[i].jobs++
			return
		}
		if shelf[i].jobs < shelf[least].jobs {
			least = i
		}
	}
	e := &shelf[least]
	*e = tally{hash: h, jobs: e.jobs + 1, slack: e.jobs}
}

// turn ends an epoch: customers that came often in one after the other get places of their own, all at once;
// steady ones that have long been away lose theirs if free says that nothing hangs on it; and the others are
// spread anew, so that whoever shares a place with a heavy one does so for one epoch.
func (n *names) turn(free func(place int32) bool) {
	n.epoch++
	for i := range n.steady {
		s := &n.steady[i]
		if s.held && n.epoch-s.seen > patient && free(int32(len(n.fixed)+i)) {
			delete(n.own, s.hash)
			*s = steady{}
			n.idle = append(n.idle, int32(i))
		}
	}
	for i := range n.shelves {
		for k := range n.shelves[i] {
			e := &n.shelves[i][k]
			if e.jobs-e.slack >= often {
				e.streak = min(e.streak+1, lasting)
			} else {
				e.streak = 0
			}
			if e.streak >= lasting && len(n.idle) > 0 {
				at := n.idle[len(n.idle)-1]
				n.idle = n.idle[:len(n.idle)-1]
				n.steady[at] = steady{hash: e.hash, seen: n.epoch, held: true}
				n.own[e.hash] = at
				*e = tally{}
				continue
			}
			e.jobs, e.slack = e.jobs/2, e.slack/2
		}
	}
	n.salt = n.draw()
}

// call names the customer at a place, for the log.
func (n *names) call(place int32) string {
	for name, i := range n.fixed { // in any order: one matches at most
		if i == place {
			return strconv.Quote(name[:min(len(name), longest)])
		}
	}
	if i := int(place) - len(n.fixed); i < len(n.steady) {
		return strconv.Quote(n.steady[i].name)
	}
	return "several customers"
}
