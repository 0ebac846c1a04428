package zones

// MaxOrderDuration is the longest duration of an operator's order: a day.
const MaxOrderDuration = Time(24*3600*1000) * timePerMillisecond

// incarnationShift is the position of the incarnation in evidence versions. The bits below it count the notes
// published within one incarnation.
const incarnationShift = 20

// Factors that determine the window of evidence.
const (
	windowTolerances    = 2
	windowPeriods       = 4
	windowWarmupDivisor = 2
)

// ownZone is the index of the front's own zone.
const ownZone = 0

// noZone is returned in place of an index when there is no zone.
const noZone = -1

// Host performs the actions of this package.
type Host interface {
	// SetShare sets the share of ordinary traffic that may go to a zone, from 0 to 1.
	SetShare(zone string, share float64)
	// Publish spreads a note to all fronts. The body is valid only during the call.
	Publish(key string, version uint64, body []byte, spread Spread)
	// StopSpreading stops spreading the note that is held under the key.
	StopSpreading(key string)
	// Log writes one line to the front's log.
	Log(text string)
}

// Config is the configuration of the front itself, with the settings from which the package's timeouts are
// derived.
type Config struct {
	Name, Zone        string
	Incarnation       uint64
	Period            Time    // protocol period of the membership protocol
	MaxObservers      int     // maximum number of other fronts whose evidence is kept
	ColdCapacity      float64 // fraction of its capacity that a store has right after its start, from 0 to 1
	WarmupTime        Time    // time after its start at which a store has its full capacity
	OverloadTolerance Time    // how long a store must be overloaded before it fails
	NoteTTL           Time    // age at which a note expires
}

// Zones is one front's view of all zones. It is not safe for concurrent use.
type Zones struct {
	host   Host
	config Config
	now    Time // time of the current call

	// Tables of stores, zones and observers (table.go, stores.go, observers.go).
	stores         []store
	storeByID      map[string]int
	freeStores     []int
	zones          []zone // the front's own zone comes first
	zoneByName     map[string]int
	observers      []observer
	observerByName map[string]int
	freeObservers  []int

	// Outcomes of this front's requests (outcomes.go).
	window              Time // age at which evidence expires
	ignoreFailuresUntil Time
	lastAnswerAt        Time    // last answer of any store
	failuresSinceAnswer int     // consecutive failures of all stores
	latencyRatio        float64 // average of the ratio of actual to expected latency
	bestLatencyRatio    float64 // lowest average ratio so far, which rises slowly

	// Evidence that this front publishes (evidence.go, publish.go).
	evidenceVersion uint64
	published       []zoneEvidence
	publishedAt     Time
	publishedLoad   uint8
	publishPause    Time // shortest time until the next evidence note; doubles with each

	nextTickAt Time

	// Buffers that are reused, so that steady operation does not allocate.
	evidenceRows []zoneEvidence
	noteBody     []byte
	hashInput    []byte

	// Dropped counts the notes that could not be decoded.
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

// Configure applies the settings for cold stores: the fraction of its capacity with which a store starts, the
// time after which it has all of it, and how long it must be overloaded before it fails. Orders and ramp
// steps that have already begun keep their times.
func (z *Zones) Configure(coldCapacity float64, warmupTime, overloadTolerance Time) {
	z.config.ColdCapacity, z.config.WarmupTime, z.config.OverloadTolerance = coldCapacity, warmupTime, overloadTolerance
	z.window = max(windowTolerances*overloadTolerance, windowPeriods*z.config.Period, warmupTime/windowWarmupDivisor)
}
