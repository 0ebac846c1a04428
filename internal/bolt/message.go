package bolt

import (
	"errors"
	"fmt"
	"strconv"
)

// MessageType is the tag of a message.
type MessageType byte

const (
	Hello     MessageType = 0x01
	Goodbye   MessageType = 0x02
	Reset     MessageType = 0x0f
	Run       MessageType = 0x10
	BeginTx   MessageType = 0x11
	Commit    MessageType = 0x12
	Rollback  MessageType = 0x13
	Discard   MessageType = 0x2f
	Pull      MessageType = 0x3f
	Telemetry MessageType = 0x54
	Route     MessageType = 0x66
	Logon     MessageType = 0x6a
	Logoff    MessageType = 0x6b

	Success MessageType = 0x70
	Record  MessageType = 0x71
	Ignored MessageType = 0x7e
	Failure MessageType = 0x7f
)

func (w MessageType) String() string {
	for _, n := range [...]struct {
		what MessageType
		name string
	}{{Hello, "HELLO"}, {Goodbye, "GOODBYE"}, {Reset, "RESET"}, {Run, "RUN"}, {BeginTx, "BEGIN"}, {Commit, "COMMIT"},
		{Rollback, "ROLLBACK"}, {Discard, "DISCARD"}, {Pull, "PULL"}, {Telemetry, "TELEMETRY"}, {Route, "ROUTE"}, {Logon, "LOGON"},
		{Logoff, "LOGOFF"}, {Success, "SUCCESS"}, {Record, "RECORD"}, {Ignored, "IGNORED"}, {Failure, "FAILURE"}} {
		if n.what == w {
			return n.name
		}
	}
	return "message 0x" + strconv.FormatUint(uint64(w), 16)
}

// Request is a client's message. Its slices point into the message's body.
type Request struct {
	Type       MessageType
	Query      []byte // of RUN
	Parameters []byte // of RUN, packed as they came
	Extra      Extra  // of RUN and BEGIN
	Limit      int64  // of PULL and DISCARD: how many records, below 0: all
	QueryID    int64  // of PULL and DISCARD: which of the transaction's results, below 0: the last
	Routing    []byte // of ROUTE: the context, packed
	UserAgent  []byte // of HELLO: what the client calls itself
}

// Extra is what RUN and BEGIN say beside a statement.
type Extra struct {
	Bookmarks []byte // packed list; nil: none
	Timeout   int64  // milliseconds; 0: not said
	ReadOnly  bool   // access mode "r"
	Database  []byte
	Metadata  []byte // packed map; nil: none
	raw       []byte // all of it
}

var errFieldCount = errors.New("a message with another number of fields")

// fieldCount is how many each request has.
func (w MessageType) fieldCount() int {
	switch w {
	case Hello, BeginTx, Discard, Pull, Telemetry, Logon:
		return 1
	case Goodbye, Reset, Commit, Rollback, Logoff:
		return 0
	case Run, Route:
		return 3
	}
	return -1
}

// ReadRequest reads a client's message.
func ReadRequest(body []byte) (r Request, err error) {
	v := NewDecoder(body)
	tag, n := v.Struct()
	r = Request{Type: MessageType(tag), QueryID: -1, Limit: -1}
	if v.Err() != nil {
		return r, v.Err()
	}
	switch want := r.Type.fieldCount(); {
	case want < 0:
		return r, fmt.Errorf("%v is no request", r.Type)
	case n != want:
		return r, fmt.Errorf("%v: %w", r.Type, errFieldCount)
	}
	switch r.Type {
	case Hello:
		r.readHello(&v)
	case Run:
		r.Query = v.String()
		if v.Kind() != Map {
			v.fail(errKind)
		}
		r.Parameters = v.Skip()
		r.Extra.read(&v)
	case BeginTx:
		r.Extra.read(&v)
	case Pull, Discard:
		r.readPull(&v)
	case Route:
		r.Routing = v.Skip()
		r.Extra.Bookmarks = v.Skip()
		r.Extra.read(&v)
	case Logon:
		readMap(&v, func([]byte) { v.Skip() })
	case Telemetry:
		v.Int()
	}
	if v.Err() == nil && len(v.Remaining()) > 0 {
		return r, fmt.Errorf("%v: bytes behind its end", r.Type)
	}
	if v.Err() != nil {
		return r, fmt.Errorf("%v: %w", r.Type, v.Err())
	}
	return r, nil
}

// readMap reads a map; each is told a key and has to take its value.
func readMap(v *Decoder, each func(key []byte)) {
	for n := v.Map(); n > 0 && v.Err() == nil; n-- {
		if key := v.String(); v.Err() == nil {
			each(key)
		}
	}
}

func (r *Request) readHello(v *Decoder) {
	readMap(v, func(key []byte) {
		if string(key) == "user_agent" {
			r.UserAgent = v.String()
		} else {
			v.Skip()
		}
	})
}

func (r *Request) readPull(v *Decoder) {
	readMap(v, func(key []byte) {
		switch string(key) {
		case "n":
			r.Limit = v.Int()
		case "qid":
			r.QueryID = v.Int()
		default:
			v.Skip()
		}
	})
	if r.Limit == 0 || r.Limit < -1 || r.QueryID < -1 {
		v.fail(errors.New("n or qid is out of range"))
	}
}

func (e *Extra) read(v *Decoder) {
	start := v.Remaining()
	defer func() { e.raw = start[:len(start)-len(v.Remaining())] }()
	readMap(v, func(key []byte) {
		if v.Kind() == Null { // as if it were not there
			v.Skip()
			return
		}
		switch string(key) {
		case "bookmarks":
			if v.Kind() != List {
				v.fail(errKind)
			}
			e.Bookmarks = v.Skip()
		case "tx_timeout":
			if e.Timeout = v.Int(); e.Timeout < 0 {
				v.fail(errors.New("tx_timeout is negative"))
			}
		case "tx_metadata":
			if v.Kind() != Map {
				v.fail(errKind)
			}
			e.Metadata = v.Skip()
		case "mode":
			switch mode := v.String(); string(mode) {
			case "r":
				e.ReadOnly = true
			case "w":
			default:
				v.fail(errors.New("mode is neither r nor w"))
			}
		case "db":
			e.Database = v.String()
		default:
			v.Skip()
		}
	})
}

// Address is where the client of a ROUTE has reached this front, as it says itself; empty: it does not.
func (r *Request) Address() (address []byte) {
	v := NewDecoder(r.Routing)
	readMap(&v, func(key []byte) {
		if string(key) == "address" && v.Kind() == String {
			address = v.String()
		} else {
			v.Skip()
		}
	})
	return address
}

// AppendWithTimeout writes RUN or BEGIN anew, with another tx_timeout in whole milliseconds; all else stays as it is.
func (r *Request) AppendWithTimeout(dst []byte, timeLeft int64) []byte {
	dst, at := BeginMessage(dst)
	if r.Type == Run {
		dst = AppendString(AppendStruct(dst, byte(Run), 3), r.Query)
		dst = append(dst, r.Parameters...)
	} else {
		dst = AppendStruct(dst, byte(BeginTx), 1)
	}
	v, entries := NewDecoder(r.Extra.raw), 1
	readMap(&v, func(key []byte) {
		if v.Skip(); string(key) != "tx_timeout" {
			entries++
		}
	})
	dst = AppendMap(dst, entries)
	v = NewDecoder(r.Extra.raw)
	readMap(&v, func(key []byte) {
		if value := v.Skip(); string(key) != "tx_timeout" {
			dst = append(AppendString(dst, key), value...)
		}
	})
	return EndMessage(AppendInt(AppendString(dst, "tx_timeout"), timeLeft), at)
}

// Response is a server's message. Its slices point into the message's body.
type Response struct {
	Type    MessageType
	Fields  []byte // of SUCCESS: the metadata, packed; of RECORD: the list, packed
	Code    []byte // of FAILURE
	Message []byte
	More    bool // SUCCESS of PULL or DISCARD: there is more
}

// ReadResponse reads a server's message.
func ReadResponse(body []byte) (a Response, err error) {
	v := NewDecoder(body)
	tag, n := v.Struct()
	a.Type = MessageType(tag)
	want := 1
	if a.Type == Ignored {
		want = 0
	}
	switch {
	case v.Err() != nil:
		return a, v.Err()
	case a.Type < Success || a.Type != Success && a.Type != Record && a.Type != Ignored && a.Type != Failure:
		return a, fmt.Errorf("%v is no answer", a.Type)
	case n != want && !(a.Type == Ignored && n == 1): // some servers say why
		return a, fmt.Errorf("%v: %w", a.Type, errFieldCount)
	}
	rest := v.Remaining()
	switch a.Type {
	case Success:
		readMap(&v, func(key []byte) {
			if string(key) == "has_more" {
				a.More = v.Bool()
			} else {
				v.Skip()
			}
		})
		a.Fields = rest
	case Record:
		if v.Kind() != List {
			v.fail(errKind)
		}
		a.Fields = v.Skip()
	case Ignored:
		if n == 1 {
			v.Skip()
		}
	case Failure: // from 5.7 on the code has another key
		readMap(&v, func(key []byte) {
			switch string(key) {
			case "code", "neo4j_code":
				a.Code = v.String()
			case "message":
				a.Message = v.String()
			default:
				v.Skip()
			}
		})
		if v.Err() == nil && len(a.Code) == 0 {
			v.fail(errors.New("it has no code"))
		}
	}
	if v.Err() == nil && len(v.Remaining()) > 0 {
		return a, fmt.Errorf("%v: bytes behind its end", a.Type)
	}
	if v.Err() != nil {
		return a, fmt.Errorf("%v: %w", a.Type, v.Err())
	}
	return a, nil
}

// AppendFailure writes a FAILURE in the form of that version, with the class of its status where the version has one.
func AppendFailure(dst []byte, v Version, code, text string) []byte {
	dst, at := BeginMessage(dst)
	dst = AppendStruct(dst, byte(Failure), 1)
	if v.Major() < 5 || v.Major() == 5 && v.Minor() < 7 {
		dst = AppendMap(dst, 2)
		return EndMessage(AppendPair(AppendPair(dst, "code", code), "message", text), at)
	}
	dst = AppendMap(dst, 5)
	dst = AppendPair(dst, "neo4j_code", code)
	dst = AppendPair(dst, "message", text)
	dst = AppendPair(dst, "gql_status", "50N42") // general processing exception
	dst = AppendPair(dst, "description", "error: general processing exception - unexpected error. "+text)
	dst = AppendMap(AppendString(dst, "diagnostic_record"), 3)
	dst = AppendPair(dst, "OPERATION", "")
	dst = AppendPair(dst, "OPERATION_CODE", "0")
	return EndMessage(AppendPair(dst, "CURRENT_SCHEMA", "/"), at)
}

// AppendSuccess writes a SUCCESS whose metadata holds n pairs, which pairs appends.
func AppendSuccess(dst []byte, n int, pairs func(dst []byte) []byte) []byte {
	dst, at := BeginMessage(dst)
	dst = AppendMap(AppendStruct(dst, byte(Success), 1), n)
	if pairs != nil {
		dst = pairs(dst)
	}
	return EndMessage(dst, at)
}

// AppendEmpty writes a message without fields.
func AppendEmpty(dst []byte, w MessageType) []byte {
	dst, at := BeginMessage(dst)
	return EndMessage(AppendStruct(dst, byte(w), 0), at)
}
