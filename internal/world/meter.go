package world

// Part is a part of a front's program whose processor time is told apart.
type Part int

const (
	Outside     Part = iota // the world itself: links, stand-ins, clients
	Fleet                   // membership and zones, with reading and writing their messages
	Watch                   // watch of positions
	LeaseHolder             // the holder of leases
	Voter                   // a control machine's voter
	List                    // taking in discovery's list
	Core                    // the core's step: statements, the decision module, connections
	Parts                   // how many there are
)

func (p Part) String() string {
	return [...]string{"world", "fleet", "watch", "leases", "voter", "list", "core"}[p]
}

// Meter adds up the time that the world's goroutine spends in each part, by a clock that is handed in. Time
// in a part that another one calls counts for the inner one alone. The play does not depend on it.
type Meter struct {
	Clock    func() int64 // nanoseconds
	Overhead int64        // nanoseconds that one look at the clock takes, which count for no part
	Spent    [Parts]int64
	part     Part
	since    int64
}

// enter begins a part and gives the one to go back to. A nil meter measures nothing.
func (m *Meter) enter(part Part) (before Part) {
	if m == nil {
		return Outside
	}
	now := m.Clock()
	m.Spent[m.part] += max(now-m.since-m.Overhead, 0)
	before, m.part, m.since = m.part, part, now
	return before
}

// Read ends the current span, so that Spent holds all up to now.
func (m *Meter) Read() [Parts]int64 {
	m.enter(m.part)
	return m.Spent
}
