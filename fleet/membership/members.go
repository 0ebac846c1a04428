package membership

import (
	"slices"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"micatrack/internal/random"
)

// noMember is returned in place of an index when there is no member. The front itself has the index
// selfIndex.
const (
	noMember  int32 = -1
	selfIndex int32 = 0
)

// isolatedPeriods is the number of periods without any message after which a front counts as isolated.
const isolatedPeriods = 4

// minMembers is the smallest limit of the table: the front itself and one other.
const minMembers = 2

// Host performs the actions of this package, immediately or later.
type Host interface {
	// Send sends a datagram, which may be lost. The message is valid only during the call.
	Send(addr string, message *Message)
	// StartSync starts a full sync with the front at an address. Members.SyncMessage returns the message to
	// send.
	StartSync(addr string)
	// MemberChanged is called with the new state of a member.
	MemberChanged(name, zone string, state State)
	// NoteReceived is called with a note that is newer than the one known under its key, and with its age. It
	// returns whether and how the note is to be spread further.
	NoteReceived(key []byte, note Note, age Time) Spread
	// Log writes one line to the front's log.
	Log(text string)
}

// Config is the configuration of the front itself.
type Config struct {
	Name, Zone, Addr string
	Incarnation      uint64 // at least 1; larger than that of the process's previous run if a clock can be read
	RandomSeed       uint64 // seed of the random number generator
	Period           Time   // protocol period; rounds of gossip are sent ten times as often
	Seeds            []string
	MaxMembers       int  // limit of the table, this front included; from 2 to MaxFacts
	NoteTTL          Time // age at which notes expire
}

// Members is one front's view of its fleet. It is not safe for concurrent use.
type Members struct {
	host   Host
	config Config
	now    Time // time of the current call
	random random.Source

	// The table (table.go). The front itself is members[selfIndex].
	members     []member
	byName      map[string]int32
	freeMembers []int32
	zones       []zone // the front's own zone comes first
	zoneByName  map[string]int

	// Notes (notes.go).
	notes     []note
	noteByKey map[string]int32
	freeNotes []int32
	replayDue bool // after a stall: pass all notes to the host again once a full sync has been answered

	// Probes (probe.go, verify.go, relay.go).
	sequence     uint64 // sequence number of the last ping
	nextZone     int    // index of the zone that was probed last
	probe        probe
	relays       [maxRelays]relay
	firstPings   [maxFirstPings]firstPing
	verifyCursor int32 // index of the member that verifyMembers checked last
	health       int   // Lifeguard's local health multiplier, from 0 (healthy) to maxHealth

	// Times at which work is due (tick.go).
	nextTickAt   Time
	nextProbeAt  Time
	nextRejoinAt Time // next sync with a seed or a dead member
	nextSyncAt   Time // next sync with any member
	lastHeardAt  Time // time of the last message of any other member

	joined   bool     // a full sync has succeeded, or there is no seed to contact
	leaving  bool     // Leave has been called
	replaced bool     // a newer process uses this front's name
	claimant claimant // another process that reportedly uses this front's name (self.go)

	// Buffers that are reused, so that steady operation does not allocate.
	message      Message
	messageFacts []Fact
	messageNotes []Note
	zoneNames    []string

	// What remains to be sent (gossip.go): urgent facts and notes, notes to be spread soon or quietly, and
	// facts about other members.
	urgentQueue, soonQueue, quietQueue, factQueue     broadcastQueue
	urgentBudget, soonBudget, quietBudget, factBudget tokenBucket

	// Full syncs (sync.go, digest.go).
	responseBudget      tokenBucket
	startupBudget       tokenBucket // for responses to fronts that have just started
	learned             int         // members about which the current message contained something new
	nextSeed            int         // index in Config.Seeds of the seed that is contacted next
	requesterDigest     digest      // digest of the SyncRequest that is to be answered next
	requesterSentDigest bool        // older versions send no digest but all that they hold
	contested           []int32     // members about which the last SyncResponse contained older facts
	nextContestedSyncAt Time        // earliest time of a sync for contested members alone
	digestBytes         []byte
	hash                xxhash.Digest
	hashed              [8]byte

	// Dropped counts the messages, facts and notes that were rejected because they were malformed, exceeded a
	// limit or found no free entry.
	Dropped uint64
}

// New returns a view that holds this front alone. It raises or lowers Config.Incarnation and
// Config.MaxMembers to their limits.
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

// jitter returns a random duration between 0.5 and 1.5 times the given number of periods.
func (m *Members) jitter(periods Time) Time {
	return periods*m.config.Period/2 + m.random.Below(periods*m.config.Period)
}

// fleetDigits returns the number of decimal digits of the number of members, at least 1. Retransmissions and
// suspicion timeouts grow with it, just as in SWIM they grow with the logarithm of the group's size.
func (m *Members) fleetDigits() int {
	digits := 1
	for count := len(m.byName); count >= 10; count /= 10 {
		digits++
	}
	return digits
}

// Joined reports whether a full sync with another front has succeeded, or there is no seed to contact.
func (m *Members) Joined() bool { return m.joined }

// Replaced reports whether a newer process uses this front's name. This front then no longer takes part in
// the protocol.
func (m *Members) Replaced() bool { return m.replaced }

// Health returns Lifeguard's local health multiplier, from 0 (healthy) to 8 (worst).
func (m *Members) Health() int { return m.health }

// Isolated reports whether no other member has been heard for four periods.
func (m *Members) Isolated() bool { return m.now-m.lastHeardAt > isolatedPeriods*m.config.Period }

// ZoneLastHeard returns when a member of a zone was last heard, or 0 if never.
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
	Since            Time // when the state was entered
}

// List returns all members of the table, the front itself first.
func (m *Members) List() []Entry {
	var entries []Entry
	for index := range m.members {
		entry := &m.members[index]
		if !entry.used {
			continue
		}
		entries = append(entries, Entry{entry.name, entry.zone, entry.addr, entry.incarnation, entry.state, entry.stateSince})
	}
	return entries
}

// Next returns when Tick must be called again.
func (m *Members) Next() Time { return m.nextTickAt }

// bytesOf returns a string's bytes without copying. They must not be modified, nor kept beyond the call.
func bytesOf(text string) []byte { return unsafe.Slice(unsafe.StringData(text), len(text)) }
