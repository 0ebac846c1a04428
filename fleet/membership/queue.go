package membership

// minQueueLength is the initial capacity of a queue.
const minQueueLength = 64

// subject identifies what a queued broadcast is about: a member by its index, from 0 up, or a note, from -1
// down.
type subject = int32

// subjectOfNote converts a note's index to a subject, and back: it is its own inverse.
func subjectOfNote(index int32) subject { return -1 - index }

// broadcastQueue holds the subjects that remain to be sent, each once, in a double-ended ring buffer.
type broadcastQueue struct {
	ring   []subject
	first  int
	length int
}

func (q *broadcastQueue) grow() {
	if q.length < len(q.ring) {
		return
	}
	ring := make([]subject, max(minQueueLength, 2*len(q.ring)))
	for k := range q.length {
		ring[k] = q.ring[(q.first+k)%len(q.ring)]
	}
	q.ring = ring
	q.first = 0
}

func (q *broadcastQueue) pushBack(s subject) {
	q.grow()
	q.ring[(q.first+q.length)%len(q.ring)] = s
	q.length++
}

func (q *broadcastQueue) pushFront(s subject) {
	q.grow()
	q.first = (q.first + len(q.ring) - 1) % len(q.ring)
	q.ring[q.first] = s
	q.length++
}

// pop removes and returns the first subject. The queue must not be empty.
func (q *broadcastQueue) pop() subject {
	s := q.ring[q.first]
	q.first = (q.first + 1) % len(q.ring)
	q.length--
	return s
}
