package bolt

// Dialogue follows what one client asks, message by message, while a front stands between it and a store. Clients
// write ahead: a whole transaction may have come before its first answer. The dialogue says what is answered here,
// what begins a job, what may be passed on to the store already and what has to wait, and it keeps the answers in
// the order of the questions. It does no I/O.
type Dialogue struct {
	version    Version
	state      State // that the client knows of
	stateAhead State // once all that was passed on is answered well

	queue        []queuedMessage // messages of the job in hand, the oldest first
	sent         int             // of them, passed on to the store that has the job now
	responded    int             // of them, answered by the store
	delivered    int             // of those, answered to the client
	openResults  int             // results of the transaction that would be open then
	undetermined bool            // the state behind what was passed on hangs on its answer
	active       bool
	inTx         bool
	noOpSize     int // bytes that meant nothing, in front of the next message
}

// queuedMessage is one message of the job in hand.
type queuedMessage struct {
	messageType MessageType
	all         bool // PULL or DISCARD of all that there is
	size        int  // of it in the stream, with what stood before it
}

// MostAhead bounds the messages of a job that are kept before they are answered. What comes past it waits where it is.
const MaxPipelined = 64

// Action is what is to be done with a message.
type Action uint8

const (
	Reply        Action = iota // answer it here: it was carried out
	Ignore                     // answer it with IGNORED
	Reject                     // answer it with FAILURE and end the connection
	StartRequest               // it begins a job, and is kept
	Enqueue                    // it belongs to the job in hand, and is kept
	Abort                      // RESET while a job is in hand: give it up, and answer as Aborted tells
	Disconnect                 // the client says goodbye
	Wait                       // no room for it: ask again when something was answered
)

// NewDialogue begins where the handshake has ended.
func NewDialogue(v Version) *Dialogue { return &Dialogue{version: v, state: InitialState(v)} }

// State is what the client knows of.
func (d *Dialogue) State() State { return d.state }

// Busy tells that a job is in hand.
func (d *Dialogue) Busy() bool { return d.active }

// InTransaction tells whether the job in hand is one.
func (d *Dialogue) InTransaction() bool { return d.active && d.inTx }

// Request takes the next message, which took size bytes of the stream.
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

// Replied takes in that a message that is answered here was carried out, or failed.
func (d *Dialogue) Replied(w MessageType, ok bool) { d.state = d.state.After(w, ok, false, 0) }

// NoOp counts bytes of the stream that mean nothing to what is asked next.
func (d *Dialogue) NoOp(size int) { d.noOpSize += size }

// Span is where message i of the job stands, from the job's first byte on.
func (d *Dialogue) Span(i int) (from, to int) {
	for _, m := range d.queue[:i] {
		from += m.size
	}
	return from, from + d.queue[i].size
}

// Next gives which message of the job may be passed on to the store now: those that the protocol allows if all before
// it end well. Danger: what is sense only after one answer must not be passed on before it; a store would end the
// connection, and count as broken for it.
func (d *Dialogue) Next() (i int, w MessageType, ok bool) {
	if !d.active || d.sent == len(d.queue) || d.undetermined {
		return 0, 0, false
	}
	w = d.queue[d.sent].messageType
	if d.sent > 0 && d.stateAhead == Ready { // the job ends before it
		return 0, 0, false
	}
	carried, _ := d.stateAhead.Accepts(d.version, w)
	return d.sent, w, carried
}

// MarkSent takes in that the message that Next gave was passed on.
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

// Invalid tells that the next message makes no sense where all before it are answered: the client has broken the
// protocol.
func (d *Dialogue) Invalid() bool {
	if !d.active || d.responded < d.sent || d.sent == len(d.queue) || d.undetermined {
		return false
	}
	_, _, ok := d.Next()
	return !ok
}

// Awaiting is the message that the store's next answer is to; false: it owes none.
func (d *Dialogue) Awaiting() (w MessageType, ok bool) {
	if d.responded == d.sent {
		return 0, false
	}
	return d.queue[d.responded].messageType, true
}

// Responded takes in that the store has answered Asked, and not with a record. It returns hold if the answer should be
// kept back: as long as the client has seen nothing of a request another store may still have it, and the client waits
// for more anyway, since it has asked already; and over if the request is complete.
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

// Restart takes in that an attempt ended before the client saw anything of it, and that another store is to have the
// request from its beginning.
func (d *Dialogue) Restart() {
	d.state, d.stateAhead = Ready, Ready
	d.sent, d.responded, d.delivered, d.openResults, d.undetermined = 0, 0, 0, 0, false
}

// Fail ends the job with a failure that the front words itself, in answer to the oldest message without one.
func (d *Dialogue) Fail() {
	d.responded = min(d.delivered+1, len(d.queue))
	d.state = Failed
}

// Delivered takes in that the client has been sent all that the store has answered, and returns the size of that in the
// stream, in bytes. No other store can have the request from now on, so what was answered need not be kept. Danger: a
// long result is pulled in more pieces than are kept.
func (d *Dialogue) Delivered() (size int) {
	for _, m := range d.queue[:d.responded] {
		size += m.size
	}
	d.queue = d.queue[:copy(d.queue, d.queue[d.responded:])]
	d.sent -= d.responded
	d.responded, d.delivered = 0, 0
	return size
}

// ClientWaiting tells that the client has asked something that it was not answered.
func (d *Dialogue) ClientWaiting() bool { return d.active && d.delivered < len(d.queue) }

// Aborted ends the job by RESET and gives how many of its messages are answered with IGNORED before RESET is with
// SUCCESS.
func (d *Dialogue) Aborted() (ignored int) {
	ignored = len(d.queue) - d.delivered
	d.responded, d.state = len(d.queue), Ready
	return ignored
}

// Release ends the job in hand and gives how many bytes of the stream are done with. What came behind them is asked
// anew.
func (d *Dialogue) Release() (size int) {
	for _, m := range d.queue[:d.responded] {
		size += m.size
	}
	d.queue, d.active, d.noOpSize = d.queue[:0], false, 0
	return size
}

// AppendSummary writes a store's SUCCESS on to a client: its metadata without what the store says of itself to the
// front, and with the bookmark given, if one is.
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

// isInternalKey tells what a client is not shown, or shown in another form.
func isInternalKey(key []byte) bool {
	switch string(key) {
	case "role", "applied_ms", "load":
		return true
	}
	return string(key) == "bookmark" // one of a store's own would be none that a front can read
}

// Report is what a store says of itself in a summary.
type Report struct {
	Primary, Replica bool
	Position         int64 // Unix tenths of a millisecond; 0: not said
	Load             []byte
}

// ReadReport reads a summary's metadata. What cannot be read says nothing.
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
