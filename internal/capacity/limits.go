package capacity

import "strings"

// The size that the design has to carry, and what it may cost.
const (
	TableFronts     = 800
	TableStores     = 800
	TableZones      = 6
	TableRegions    = 2
	TableStatements = 800 // a second, of a front

	LimitBytes       = 3_000.0     // of control, a second, of a front, one way, without headers
	LimitProcessor   = 33.0        // milliseconds of control in a second of a front: 3.3 % of a core
	LimitMemory      = 256_000_000 // bytes of control, of a front
	LimitConnections = 500.0       // at one store: a PostgreSQL server holds some hundreds
	LimitMembers     = 1024.0      // places in a front's table of members
)

// Unit of a quantity.
type Unit string

const (
	BytesSecond       Unit = "bytes/s"
	MessagesSecond    Unit = "messages/s"
	MillisecondsOfOne Unit = "ms/s"
	Bytes             Unit = "bytes"
	PerSecond         Unit = "1/s"
	Count             Unit = "count"
)

// Source tells how a figure came about.
type Source string

const (
	Simulated Source = "simulated" // counted on the virtual clock: the same each time
	Measured  Source = "measured"  // read from this machine's clock or memory: never part of a test's verdict
)

// Quantity is one figure of a play.
type Quantity struct {
	Name   string  `json:"name"`
	Unit   Unit    `json:"unit"`
	Source Source  `json:"source"`
	Value  float64 `json:"value"`
	Limit  float64 `json:"limit,omitempty"` // 0: there is none
}

// Over tells whether a figure is beyond its limit.
func (q Quantity) Over() bool { return q.Limit > 0 && q.Value > q.Limit }

// limitOf gives the limit of a quantity, by its name without the phase; 0: there is none. A start's first
// snapshot is told apart, so what goes out and comes in while fronts find each other has no limit.
func limitOf(name string) float64 {
	phase, rest, _ := strings.Cut(name, ".")
	switch {
	case name == "memory.all":
		return LimitMemory
	case name == "members.held.most":
		return LimitMembers
	case rest == "stores.connections.most":
		return LimitConnections
	case rest == "processor.control" && phase != "start":
		return LimitProcessor
	case phase == "start" || strings.HasPrefix(rest, "voter."):
		return 0
	case strings.HasSuffix(rest, "sent.bytes"), strings.HasSuffix(rest, "received.bytes"):
		return LimitBytes
	}
	return 0
}
