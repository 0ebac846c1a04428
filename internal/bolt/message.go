package bolt

import (
	"errors"
	"fmt"
	"strconv"
)

// MessageType is the tag byte of a message.
type MessageType byte

// Messages that clients send, then those that servers send.
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

// String returns the name of the message in the specification.
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

// Request is a message from a client. Its slices point into the message's body.
type Request struct {
	Type       MessageType
	Query      []byte // Of RUN: the statement.
	Parameters []byte // Of RUN: the packed parameters.
	Extra      Extra  // Of RUN and BEGIN.
	Limit      int64  // Of PULL and DISCARD: the number of records; negative for all.
	QueryID    int64  // Of PULL and DISCARD: the result in the transaction; negative for the last.
	Routing    []byte // Of ROUTE: the packed routing context.
	UserAgent  []byte // Of HELLO: the client's user agent.
}

// Extra holds the additional settings of RUN and BEGIN.
type Extra struct {
	Bookmarks []byte // Packed list; nil if absent.
	Timeout   int64  // tx_timeout in milliseconds; 0 if absent.
	ReadOnly  bool   // The access mode is "r".
	Database  []byte // Name of the database; empty if absent.
	Metadata  []byte // Packed map; nil if absent.
	raw       []byte // The whole packed map.
}

// errFieldCount is the error of a message with a wrong number of fields.
var errFieldCount = errors.New("a message with another number of fields")

// fieldCount returns the number of fields of a request, or -1 if w is not one.
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

// ReadRequest parses a message from a client. It returns an error if the message is malformed.
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

// readMap reads a map. It calls each with every key; each has to consume the value.
func readMap(v *Decoder, each func(key []byte)) {
	for n := v.Map(); n > 0 && v.Err() == nil; n-- {
		if key := v.String(); v.Err() == nil {
			each(key)
		}
	}
}

// readHello reads the map of HELLO.
func (r *Request) readHello(v *Decoder) {
	readMap(v, func(key []byte) {
		if string(key) == "user_agent" {
			r.UserAgent = v.String()
		} else {
			v.Skip()
		}
	})
}

// readPull reads the map of PULL or DISCARD.
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

// read reads the map of extra settings.
func (e *Extra) read(v *Decoder) {
	start := v.Remaining()
	defer func() { e.raw = start[:len(start)-len(v.Remaining())] }()
	readMap(v, func(key []byte) {
		if v.Kind() == Null { // Null counts as absent.
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

// Address returns the address at which the client of a ROUTE says it has reached this front, or an empty slice if it says
// none.
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

// AppendWithTimeout appends RUN or BEGIN with another tx_timeout, in whole milliseconds, and all else unchanged.
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

// Response is a message from a server. Its slices point into the message's body.
type Response struct {
	Type    MessageType
	Fields  []byte // Of SUCCESS: the packed metadata. Of RECORD: the packed list.
	Code    []byte // Of FAILURE: the status code.
	Message []byte // Of FAILURE: the text.
	More    bool   // Of SUCCESS to PULL or DISCARD: the result has more records.
	Columns bool   // Of SUCCESS: it names the columns of a result, as the answer to RUN alone does.
	QueryID int64  // Of SUCCESS to RUN in a transaction: the number of the result; negative if absent.
}

// Answers reports whether the message can be an answer to a request of this type.
func (a *Response) Answers(w MessageType) bool {
	switch a.Type {
	case Record:
		return w == Pull
	case Success:
		return a.Columns == (w == Run)
	}
	return true
}

// ReadResponse parses a message from a server. It returns an error if the message is malformed.
func ReadResponse(body []byte) (a Response, err error) {
	v := NewDecoder(body)
	tag, n := v.Struct()
	a.Type, a.QueryID = MessageType(tag), -1
	want := 1
	if a.Type == Ignored {
		want = 0
	}
	switch {
	case v.Err() != nil:
		return a, v.Err()
	case a.Type < Success || a.Type != Success && a.Type != Record && a.Type != Ignored && a.Type != Failure:
		return a, fmt.Errorf("%v is no answer", a.Type)
	case n != want && !(a.Type == Ignored && n == 1): // Some servers add a reason to IGNORED.
		return a, fmt.Errorf("%v: %w", a.Type, errFieldCount)
	}
	rest := v.Remaining()
	switch a.Type {
	case Success:
		readMap(&v, func(key []byte) {
			switch string(key) {
			case "has_more":
				a.More = v.Bool()
			case "qid":
				a.QueryID = v.Int()
			case "fields":
				a.Columns = true
				v.Skip()
			default:
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
	case Failure: // From version 5.7 on, the code has another key.
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

// AppendFailure appends a FAILURE in the form of version v, with the GQL status in the versions that have one.
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

// AppendSuccess appends a SUCCESS whose metadata has n pairs, which the function pairs appends.
func AppendSuccess(dst []byte, n int, pairs func(dst []byte) []byte) []byte {
	dst, at := BeginMessage(dst)
	dst = AppendMap(AppendStruct(dst, byte(Success), 1), n)
	if pairs != nil {
		dst = pairs(dst)
	}
	return EndMessage(dst, at)
}

// AppendEmpty appends a message without fields.
func AppendEmpty(dst []byte, w MessageType) []byte {
	dst, at := BeginMessage(dst)
	return EndMessage(AppendStruct(dst, byte(w), 0), at)
}
