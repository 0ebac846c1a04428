package membership

import (
	"slices"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"micatrack/internal/random"
)

// noMember is the index of no member. The front itself is selfIndex.
const (
	noMember  int32 = -1
	selfIndex int32 = 0
)

// isolatedPeriods is after how many periods without a message a front counts as isolated.
const isolatedPeriods = 4

// minMembers is the smallest bound on the table: the front itself and one other.
const minMembers = 2

// Host carries out the actions of this package, at once or later.
type Host interface {
	// Send sends a datagram, which may be lost. The message is valid only during the call.
	Send(addr string, message *Message)
	// Exchange starts a full exchange with an address; Members.Open gives the message to send.
	StartSync(addr string)
	// MemberChanged is told the new state of a member.
	MemberChanged(name, zone string, state State)
	// NoteReceived is told a note that is newer than what was known of its key, and its age. It returns
	// whether and how the note should be spread further.
	NoteReceived(key []byte, note Note, age Time) Spread
	// Log writes one line of the front's log.
	Log(text string)
}

// Config is the configuration of the front itself.
type Config struct {
	Name, Zone, Addr string
	Incarnation      uint64 // at least 1; larger than in the previous life, where a clock can be read
	RandomSeed       uint64 // of the random numbers
	Period           Time   // of the protocol; rounds of gossip are a tenth of it apart
	Seeds            []string
	MaxMembers       int  // bound on the table, this front included; from 2 to MostFacts
	NoteTTL          Time // notes older than this are dropped
}

// Members is the view of one front. It is not safe for concurrent use.
type Members struct {
	host   Host
	config Config
	now    Time // of the call in hand
	random random.Source

	// The table (table.go). The front itself is members[selfIndex].
	members     []member
	byName      map[string]int32
	freeMembers []int32
	zones       []zone // the front's own first
	zoneByName  map[string]int

	// Notes (notes.go).
	notes     []note
	noteByKey map[string]int32
	freeNotes []int32
	replayDue bool // after a stall: give the host all notes again once a full exchange has been answered

	// Probes (probe.go, verify.go, relay.go).
	sequence     uint64 // of the last ping
	nextZone     int    // index of the zone that was probed last
	probe        probe
	relays       [maxRelays]relay
	firstPings   [maxFirstPings]firstPing
	verifyCursor int32 // index of the member that verification looked at last
	health       int   // Lifeguard's local health multiplier, 0 (well) to maxHealth

	// Times at which something is due (tick.go).
	nextTickAt, nextProbeAt, nextRejoinAt, nextSyncAt Time
	lastHeardAt                                       Time // last message of any other member

	joined, leaving, replaced bool
	claimant                  claimant // another process said to use this front's name (self.go)

	// Scratch space, so that steady operation allocates nothing.
	message      Message
	messageFacts []Fact
	messageNotes []Note
	zoneNames    []string

	// What is still to be sent (gossip.go): what is urgent, notes that are spread soon or quietly, facts of other members.
	urgentQueue, soonQueue, quietQueue, factQueue     broadcastQueue
	urgentBudget, soonBudget, quietBudget, factBudget tokenBucket

	// Full exchanges (sync.go, digest.go).
	responseBudget      tokenBucket
	startupBudget       tokenBucket // of answers to fronts that have just started
	learned             int         // members of which the message in hand has told something new
	nextSeed            int         // position in Self.Seeds of the one that is asked next
	requesterDigest     digest      // of the Whole that Open(Answer) answers next
	requesterSentDigest bool        // a program before this one sends none, and everything instead
	contested           []int32     // members of which the last Answer told something older
	nextContestedSyncAt Time        // before which no exchange is begun for those alone
	digestBytes         []byte
	hash                xxhash.Digest
	hashed              [8]byte

	// Dropped counts messages, facts and notes that were refused: malformed, out of bounds, or without a free
	// place.
	Dropped uint64
}

// New returns a view that holds this front alone. Incarnation and Members are raised or lowered into their
// bounds.
func New(now Time, config Config, host Host) *Members {
	config.Incarnation = max(config.Incarnation, 1)
	config.MaxMembers = min(max(config.MaxMembers, minMembers), MaxFacts)
	m := &Members{
		host:        host,
		config:      config,
		now:         now,
		random:      random.New(config.RandomSeed),
		byName:      map[string]int32{},
		noteByKey:   map[string]int32{},
		zoneByName:  map[string]int{},
		probe:       probe{target: noMember},
		nextTickAt:  now,
		lastHeardAt: now,

		urgentBudget:   newTokenBucket(now, urgentRate, urgentBurst),
		factBudget:     newTokenBucket(now, factRate, factBurst),
		soonBudget:     newTokenBucket(now, soonRate, soonBurst),
		quietBudget:    newTokenBucket(now, quietRate, quietBurst),
		responseBudget: newTokenBucket(now, responseRate, responseBurst),
		startupBudget:  newTokenBucket(now, startupRate, startupBurst),
	}
	m.members = append(m.members, member{
		name:        config.Name,
		zone:        config.Zone,
		addr:        config.Addr,
		incarnation: config.Incarnation,
		stateSince:  now,
		used:        true,
	})
	m.byName[config.Name] = selfIndex
	m.zoneIndex(config.Zone)
	m.joined = !slices.ContainsFunc(config.Seeds, func(addr string) bool { return addr != config.Addr })
	m.nextProbeAt = now + m.random.Below(config.Period)
	m.nextRejoinAt = now
	m.nextSyncAt = now + m.jitter(syncPeriods)
	m.nextSeed = int(m.random.Below(int64(max(len(config.Seeds), 1))))
	m.spreadMember(selfIndex)
	return m
}

// jitter draws a span between one half and one and a half of the given number of periods.
func (m *Members) jitter(periods Time) Time {
	return periods*m.config.Period/2 + m.random.Below(periods*m.config.Period)
}

// fleetDigits is the number of decimal digits of the number of members, at least 1. Retransmissions and
// suspicion timeouts grow with it, as SWIM has them grow with the logarithm of the group's size.
func (m *Members) fleetDigits() int {
	digits := 1
	for count := len(m.byName); count >= 10; count /= 10 {
		digits++
	}
	return digits
}

// Joined reports whether a full exchange with another front has succeeded, or there is no seed to ask.
func (m *Members) Joined() bool { return m.joined }

// Replaced reports whether a newer process uses this front's name; this one then takes no further part.
func (m *Members) Replaced() bool { return m.replaced }

// Health returns Lifeguard's local health multiplier: 0 is well, 8 is the worst.
func (m *Members) Health() int { return m.health }

// Isolated reports whether no other member has been heard for four periods.
func (m *Members) Isolated() bool { return m.now-m.lastHeardAt > isolatedPeriods*m.config.Period }

// ZoneLastHeard returns when a member of a zone was last heard; 0 means never.
func (m *Members) ZoneLastHeard(name string) Time {
	index, known := m.zoneByName[name]
	if !known {
		return 0
	}
	return m.zones[index].lastHeardAt
}

// Zones returns the names of all zones that members are or were in, at most 64. The slice is valid until the
// next call.
func (m *Members) Zones() []string {
	m.zoneNames = m.zoneNames[:0]
	for index := range m.zones {
		m.zoneNames = append(m.zoneNames, m.zones[index].name)
	}
	return m.zoneNames
}

// Entry is one member of the table, as List returns it.
type Entry struct {
	Name, Zone, Addr string
	Incarnation      uint64
	State            State
	Since            Time // of the state
}

// List returns all members of the table, the front itself first.
func (m *Members) List() []Entry {
	var entries []Entry
	for index := range m.members {
		e := &m.members[index]
		if !e.used {
			continue
		}
		entries = append(entries, Entry{e.name, e.zone, e.addr, e.incarnation, e.state, e.stateSince})
	}
	return entries
}

// Next returns when Tick must be called again.
func (m *Members) Next() Time { return m.nextTickAt }

// bytesOf returns a string's bytes without a copy. They must not be written to, nor kept beyond the call.
func bytesOf(text string) []byte { return unsafe.Slice(unsafe.StringData(text), len(text)) }
