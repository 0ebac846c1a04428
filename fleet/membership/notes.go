package membership

// Spread says whether and with which priority a received note is forwarded to other fronts.
type Spread uint8

// The ways to spread a note.
const (
	DoNotSpread    Spread = iota
	SpreadQuietly         // half as often as an urgent note, as far as the budget for quiet notes allows
	SpreadSoon            // the same, from a separate budget
	SpreadUrgently        // before everything else, from the urgent budget
)

// notesPerMember is the number of notes that a view may hold per member that the table may hold.
const notesPerMember = 2

// note is one entry for a note.
type note struct {
	key       string
	version   uint64
	madeAt    Time
	body      []byte
	timesSent int
	maxSends  int // 0 if the note is not spread
	queued    bool
	used      bool
}

// noteMessage returns a note as it is put into a message.
func (m *Members) noteMessage(n *note) Note {
	return Note{Key: bytesOf(n.key), Version: n.version, Age: m.now - n.madeAt, Body: n.body}
}

func (m *Members) noteExpired(n *note) bool { return m.now-n.madeAt > m.config.NoteTTL }

// Publish spreads a note of this front. Its version must be larger than any known for its key. If there is no
// free entry, the note is counted in Dropped instead.
func (m *Members) Publish(now Time, key string, version uint64, body []byte, spread Spread) {
	m.now = now
	index, known := m.noteByKey[key]
	if !known {
		index = m.allocateNote(key)
	}
	if index < 0 {
		m.Dropped++
		return
	}
	n := &m.notes[index]
	n.version = version
	n.madeAt = now
	n.body = append(n.body[:0], body...)
	m.spreadNote(index, spread)
}

// StopSpreading stops sending a note, except that full syncs still carry it.
func (m *Members) StopSpreading(key string) {
	index, known := m.noteByKey[key]
	if !known {
		return
	}
	m.notes[index].timesSent = 0
	m.notes[index].maxSends = 0
}

// allocateNote returns the index of an entry for a note with a new key, or -1 if there is none.
func (m *Members) allocateNote(key string) int32 {
	if len(m.freeNotes) == 0 {
		if len(m.notes) >= notesPerMember*m.config.MaxMembers {
			return -1
		}
		m.notes = append(m.notes, note{})
		m.freeNotes = append(m.freeNotes, int32(len(m.notes)-1))
	}
	index := m.freeNotes[len(m.freeNotes)-1]
	m.freeNotes = m.freeNotes[:len(m.freeNotes)-1]
	n := &m.notes[index]
	*n = note{key: key, used: true, queued: n.queued, body: n.body[:0]}
	m.noteByKey[key] = index
	return index
}

// applyNote stores a received note if it is newer than the one known under its key.
func (m *Members) applyNote(in *Note) {
	if !in.valid() || in.Age > m.config.NoteTTL {
		m.Dropped++
		return
	}
	index, known := m.noteByKey[string(in.Key)]
	if known && in.Version <= m.notes[index].version {
		return
	}
	if !known {
		index = m.allocateNote(string(in.Key))
	}
	if index < 0 {
		m.Dropped++
		return
	}
	n := &m.notes[index]
	n.version = in.Version
	n.madeAt = m.now - in.Age
	n.body = append(n.body[:0], in.Body...)
	received := Note{Key: in.Key, Version: in.Version, Age: in.Age, Body: n.body}
	if spread := m.host.NoteReceived(in.Key, received, in.Age); spread != DoNotSpread {
		m.spreadNote(index, spread)
	} else {
		// Not through n: the host may have published notes, which can reallocate m.notes.
		m.StopSpreading(m.notes[index].key)
	}
}

// replayNotes passes all notes to the host again. After a stall the host has discarded the decisions based on
// them.
func (m *Members) replayNotes() {
	for index := 0; index < len(m.notes); index++ { // the host may publish, which adds notes
		n := &m.notes[index]
		if !n.used || m.noteExpired(n) {
			continue
		}
		message := m.noteMessage(n)
		m.host.NoteReceived(message.Key, message, message.Age)
	}
}

// expireNotes frees the entries of expired notes.
func (m *Members) expireNotes() {
	for index := range m.notes {
		n := &m.notes[index]
		if !n.used || !m.noteExpired(n) {
			continue
		}
		delete(m.noteByKey, n.key)
		n.used = false
		m.freeNotes = append(m.freeNotes, int32(index))
	}
}
