package bolt

// Dialogue tracks the state of one client's connection, message by message, while a front stands between the client and a
// store. Clients pipeline: a whole transaction can arrive before the first response is sent. A Dialogue decides which
// messages the front answers itself, which message starts a request, which messages may be forwarded to the store
// already and which have to wait, and it keeps the responses in the order of the messages. It does no I/O.
type Dialogue struct {
	version    Version
	state      State // State that the client knows of.
	stateAhead State // State once all forwarded messages have succeeded.

	queue        []queuedMessage // Messages of the current request, the oldest first.
	sent         int             // Number of them forwarded to the current store.
	responded    int             // Number of them answered by the store.
	delivered    int             // Number of those whose responses the client was sent.
	openResults  int             // Open results of the transaction in stateAhead.
	undetermined bool            // stateAhead depends on a response that is still due.
	active       bool
	inTx         bool
	noOpSize     int // Bytes of empty chunks in front of the next message.
}

// queuedMessage is a message of the current request.
type queuedMessage struct {
	messageType MessageType
	all         bool // A PULL or DISCARD without a limit.
	size        int  // Bytes in the stream, with the empty chunks before it.
}

// MaxPipelined is the largest number of a request's messages that are queued before they are answered. Messages beyond it
// stay in the input buffer.
const MaxPipelined = 64

// Action is what the front does with a message.
type Action uint8

// The actions that Dialogue.Request returns.
const (
	Reply        Action = iota // The front answers it, with SUCCESS if it succeeds.
	Ignore                     // Answer it with IGNORED.
	Reject                     // Answer it with FAILURE and close the connection.
	StartRequest               // It starts a request, and is queued.
	Enqueue                    // It belongs to the current request, and is queued.
	Abort                      // RESET during a request: cancel it, and answer as Aborted says.
	Disconnect                 // GOODBYE: the client closes the connection.
	Wait                       // The queue is full: pass it again after the next response.
)

// NewDialogue returns a Dialogue for a connection of version v whose handshake is complete.
func NewDialogue(v Version) *Dialogue { return &Dialogue{version: v, state: InitialState(v)} }

// State returns the state of the connection as the client knows it.
func (d *Dialogue) State() State { return d.state }

// Busy reports whether a request is in progress.
func (d *Dialogue) Busy() bool { return d.active }

// InTransaction reports whether the current request is an explicit transaction.
func (d *Dialogue) InTransaction() bool { return d.active && d.inTx }

// Request handles the client's next message, which took size bytes of the stream.
func (d *Dialogue) Request(r Request, size int) Action {
	if r.Type == Goodbye {
		return Disconnect
	}
	if d.active {
		switch {
		case r.Type == Reset:
			return Abort
		case len(d.queue) == MaxPipelined:
			return Wait
		}
		d.queue = append(d.queue, queuedMessage{r.Type, r.Limit < 0, size + d.noOpSize})
		d.noOpSize = 0
		return Enqueue
	}
	carried, ignored := d.state.Accepts(d.version, r.Type)
	switch {
	case ignored:
		return Ignore
	case !carried:
		return Reject
	case r.Type == Run || r.Type == BeginTx:
		d.active, d.stateAhead, d.sent, d.responded, d.delivered, d.openResults, d.undetermined = true, d.state, 0, 0, 0, 0, false
		d.inTx = r.Type == BeginTx
		d.queue = append(d.queue[:0], queuedMessage{r.Type, false, size})
		return StartRequest
	}
	return Reply
}

// Replied records that the front answered a message itself; ok is false if the message failed.
func (d *Dialogue) Replied(w MessageType, ok bool) { d.state = d.state.After(w, ok, false, 0) }

// NoOp counts size bytes of empty chunks in front of the next message.
func (d *Dialogue) NoOp(size int) { d.noOpSize += size }

// Span returns where message i of the request begins and ends, in bytes from the start of the request.
func (d *Dialogue) Span(i int) (from, to int) {
	for _, m := range d.queue[:i] {
		from += m.size
	}
	return from, from + d.queue[i].size
}

// Next returns the message of the request that may be forwarded to the store now: one that the protocol allows if all
// messages before it succeed. A message that is valid only after a certain response must not be forwarded before that
// response; otherwise the store would close the connection and be counted as broken.
func (d *Dialogue) Next() (i int, w MessageType, ok bool) {
	if !d.active || d.sent == len(d.queue) || d.undetermined {
		return 0, 0, false
	}
	w = d.queue[d.sent].messageType
	if d.sent > 0 && d.stateAhead == Ready { // The request ends before it.
		return 0, 0, false
	}
	carried, _ := d.stateAhead.Accepts(d.version, w)
	return d.sent, w, carried
}

// MarkSent records that the message that Next returned was forwarded.
func (d *Dialogue) MarkSent() {
	m := d.queue[d.sent]
	d.sent++
	switch m.messageType {
	case Run:
		d.openResults++
	case Pull, Discard:
		if d.undetermined = !m.all; !d.undetermined {
			d.openResults = max(d.openResults-1, 0)
		}
	}
	d.stateAhead = d.stateAhead.After(m.messageType, true, d.undetermined, d.openResults)
}

// Invalid reports whether all messages before the next one are answered and the next one is not allowed then: the client
// has violated the protocol.
func (d *Dialogue) Invalid() bool {
	if !d.active || d.responded < d.sent || d.sent == len(d.queue) || d.undetermined {
		return false
	}
	_, _, ok := d.Next()
	return !ok
}

// Awaiting returns the message that the store's next response belongs to; ok is false if no response is due.
func (d *Dialogue) Awaiting() (w MessageType, ok bool) {
	if d.responded == d.sent {
		return 0, false
	}
	return d.queue[d.responded].messageType, true
}

// Responded records the store's response to the message that Awaiting returns, unless it is a record. hold reports
// whether the response should be held back: until the client has seen a response, another store can still take the
// request, and the client has already sent further messages and waits for their responses anyway. over reports whether
// the request is complete.
func (d *Dialogue) Responded(ok, more bool) (hold, over bool) {
	m := d.queue[d.responded]
	d.responded++
	if m.messageType == Pull || m.messageType == Discard {
		if d.undetermined && d.responded == d.sent {
			if d.undetermined = false; !more {
				d.openResults = max(d.openResults-1, 0)
				d.stateAhead = d.state.After(m.messageType, true, false, d.openResults)
			}
		}
	}
	d.state = d.state.After(m.messageType, ok, more, d.openResults)
	if !ok {
		return false, true
	}
	return (m.messageType == Run || m.messageType == BeginTx) && d.responded < len(d.queue), d.state == Ready
}

// Restart records that an attempt ended before the client saw any of it, and that another store gets the request from its
// beginning.
func (d *Dialogue) Restart() {
	d.state, d.stateAhead = Ready, Ready
	d.sent, d.responded, d.delivered, d.openResults, d.undetermined = 0, 0, 0, 0, false
}

// Fail ends the request with a failure from the front, as the response to the oldest message without one.
func (d *Dialogue) Fail() {
	d.responded = min(d.delivered+1, len(d.queue))
	d.state = Failed
}

// Delivered records that the client was sent all that the store has responded, and returns the size in the stream of the
// messages answered that way, in bytes. No other store can take the request from now on, so the answered messages are
// dropped. Without this, a long result would fail: it is pulled with more messages than MaxPipelined.
func (d *Dialogue) Delivered() (size int) {
	for _, m := range d.queue[:d.responded] {
		size += m.size
	}
	d.queue = d.queue[:copy(d.queue, d.queue[d.responded:])]
	d.sent -= d.responded
	d.responded, d.delivered = 0, 0
	return size
}

// ClientWaiting reports whether the client has sent a message that was not answered.
func (d *Dialogue) ClientWaiting() bool { return d.active && d.delivered < len(d.queue) }

// Aborted ends the request because of a RESET and returns how many of its messages have to be answered with IGNORED before
// the RESET is answered with SUCCESS.
func (d *Dialogue) Aborted() (ignored int) {
	ignored = len(d.queue) - d.delivered
	d.responded, d.state = len(d.queue), Ready
	return ignored
}

// Release ends the current request and returns how many bytes of the stream are consumed. The messages behind them have
// to be passed to Request again.
func (d *Dialogue) Release() (size int) {
	for _, m := range d.queue[:d.responded] {
		size += m.size
	}
	d.queue, d.active, d.noOpSize = d.queue[:0], false, 0
	return size
}

// AppendSummary appends a store's SUCCESS as the client gets it: its metadata without the keys that only the front reads,
// and with the given bookmark unless it is nil.
func AppendSummary(dst, fields []byte, bookmark []byte) ([]byte, error) {
	v := NewDecoder(fields)
	n := 0
	count := v
	readMap(&count, func(key []byte) {
		if count.Skip(); !isInternalKey(key) {
			n++
		}
	})
	if count.Err() != nil {
		return dst, count.Err()
	}
	if bookmark != nil {
		n++
	}
	dst, at := BeginMessage(dst)
	dst = AppendMap(AppendStruct(dst, byte(Success), 1), n)
	readMap(&v, func(key []byte) {
		value := v.Skip()
		if !isInternalKey(key) {
			dst = append(AppendString(dst, key), value...)
		}
	})
	if bookmark != nil {
		dst = AppendString(AppendString(dst, "bookmark"), bookmark)
	}
	return EndMessage(dst, at), nil
}

// isInternalKey reports whether a metadata key is withheld from clients or replaced.
func isInternalKey(key []byte) bool {
	switch string(key) {
	case "role", "applied_ms", "load":
		return true
	}
	return string(key) == "bookmark" // A store's own bookmark is not one that a front can read.
}

// Report is the state that a store reports in the metadata of a summary.
type Report struct {
	Primary  bool  // The store reports the role of primary.
	Replica  bool  // The store reports the role of replica.
	Position int64 // Log position in Unix tenths of a millisecond; 0 if unknown.
	Load     []byte
}

// ReadReport reads the metadata of a summary. It returns the zero Report if the metadata is malformed.
func ReadReport(fields []byte) (r Report) {
	v := NewDecoder(fields)
	readMap(&v, func(key []byte) {
		switch {
		case string(key) == "role" && v.Kind() == String:
			role := v.String()
			r.Primary, r.Replica = string(role) == "primary", string(role) == "replica"
		case string(key) == "applied_ms" && v.Kind() == Int:
			if n := v.Int(); n > 0 && n < 1<<58 {
				r.Position = n * 10
			}
		case string(key) == "load" && v.Kind() == String:
			r.Load = v.String()
		default:
			v.Skip()
		}
	})
	if v.Err() != nil {
		return Report{}
	}
	return r
}
