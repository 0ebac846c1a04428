package zones

// LongestOrder is how long an operator's order may last: a day.
const MaxOrderDuration = Time(24*3600*1000) * timePerMillisecond

// incarnationShift leaves room for the versions of this life's evidence, below the incarnation.
const incarnationShift = 20

// Factors of the window of evidence.
const (
	windowFallSpans   = 2
	windowPeriods     = 4
	windowColdDivisor = 2
)

// ownZone is the index of the front's own zone.
const ownZone = 0

// noZone is the index of no zone.
const noZone = -1

// Host carries out the actions of this package.
type Host interface {
	// SetShare is told the share of ordinary traffic that may go to a zone, from 0 to 1.
	SetShare(zone string, share float64)
	// Publish spreads a note to all fronts. The body is valid only during the call.
	Publish(key string, version uint64, body []byte, spread Spread)
	// StopSpreading says that the note held under this key need not be spread any more.
	StopSpreading(key string)
	// Log writes one line of the front's log.
	Log(text string)
}

// Config is the configuration of the front itself, with the settings that all figures here are ratios of.
type Config struct {
	Name, Zone        string
	Incarnation       uint64
	Period            Time    // of the membership protocol
	MaxObservers      int     // bound on the other fronts whose evidence is kept
	ColdCapacity      float64 // part of its capacity that a store has as it starts, from 0 to 1
	WarmupTime        Time    // after that time it has all of its capacity
	OverloadTolerance Time    // how long a store must be overloaded before it fails
	NoteTTL           Time    // a note older than that counts for nothing
}

// Zones is the view of one front. It is not safe for concurrent use.
type Zones struct {
	host   Host
	config Config
	now    Time // of the call in hand

	// The tables (table.go).
	stores         []store
	storeByID      map[string]int
	freeStores     []int
	zones          []zone // the front's own first
	zoneByName     map[string]int
	observers      []observer
	observerByName map[string]int
	freeObservers  []int

	// Outcomes of this front's requests (outcomes.go).
	window              Time // evidence older than that counts for nothing
	ignoreFailuresUntil Time
	lastAnswerAt        Time    // of any store
	failuresSinceAnswer int     // of all stores
	latencyRatio        float64 // answer times over the expected, averaged
	bestLatencyRatio    float64 // the lowest average, which rises slowly

	// Evidence that this front publishes (evidence.go).
	evidenceVersion uint64
	published       []zoneEvidence
	publishedAt     Time
	publishedLoad   uint8
	publishPause    Time // between two notes of evidence; it doubles with each

	nextTickAt Time

	// Scratch space, so that steady operation allocates nothing.
	evidenceRows []zoneEvidence
	noteBody     []byte
	hashInput    []byte

	// Dropped counts notes that could not be read.
	Dropped uint64
}

// New returns a view without stores.
func New(now Time, config Config, host Host) *Zones {
	z := &Zones{
		host:            host,
		config:          config,
		now:             now,
		storeByID:       map[string]int{},
		zoneByName:      map[string]int{},
		observerByName:  map[string]int{},
		evidenceVersion: config.Incarnation << incarnationShift,
		nextTickAt:      now,
	}
	z.Configure(config.ColdCapacity, config.WarmupTime, config.OverloadTolerance)
	z.zoneIndex(config.Zone, true)
	z.zones[ownZone].fronts = 1
	return z
}

// Configure takes over what the settings say of cold stores: the part of its capacity with which one starts, after which
// time it has all of it, and how long it must be overloaded to fail. Orders and steps that have begun keep their times.
func (z *Zones) Configure(startShare float64, cold, fallSpan Time) {
	z.config.ColdCapacity, z.config.WarmupTime, z.config.OverloadTolerance = startShare, cold, fallSpan
	z.window = max(windowFallSpans*fallSpan, windowPeriods*z.config.Period, cold/windowColdDivisor)
}
