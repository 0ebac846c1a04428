// Package pgwire reads and writes version 3 of the PostgreSQL wire protocol, as far as the simple query protocol needs it. Its
// message parsers are incremental: they are given all data received so far and return the size of the first complete message,
// or 0 if more data is needed. All lengths are bounded.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"micatrack/internal/metadata"
)

const (
	// MaxQuerySize bounds one message from a client, in bytes: a value of 64 KiB in hexadecimal digits with its statement. An
	// answer may be longer; its bound depends on the available memory.
	MaxQuerySize = 2*64<<10 + 16<<10
	// MaxStartupSize bounds a startup message, in bytes, as PostgreSQL does.
	MaxStartupSize = 10000
	// maxFields bounds the fields of a query's comment, of which the protocol knows eight.
	maxFields = 64

	// Version is protocol version 3.0, as a startup message gives it. The others are the request codes that may stand in its
	// place.
	Version       = 3 << 16
	CancelRequest = 1234<<16 | 5678
	SSLRequest    = 1234<<16 | 5679
	GSSENCRequest = 1234<<16 | 5680

	// SQLSTATEs of errors. The first two mean that the client can safely retry.
	TooManyConnections    = "53300"
	CannotConnectNow      = "57P03"
	ReadOnlyTransaction   = "25006"
	SnapshotTooOld        = "72000"
	FeatureNotSupported   = "0A000"
	ProtocolViolation     = "08P01"
	SyntaxError           = "42601"
	InvalidParameterValue = "22023"
	UnknownDatabase       = "3D000"
	DuplicateObject       = "42710"
	QueryCanceled         = "57014"
	OutcomeUnknown        = "08007" // transaction_resolution_unknown: the statement may or may not have taken effect
)

var errLength = errors.New("message length is out of bounds")

// ParseMessage parses the typed message at the start of buf. It returns the message type, the body, and the size of the whole
// message with its header, or size 0 if buf doesn't hold a whole message yet. It returns an error if the length field is
// invalid or greater than maxLength.
func ParseMessage(buf []byte, maxLength int) (kind byte, body []byte, size int, err error) {
	if len(buf) < 5 {
		return 0, nil, 0, nil
	}
	n := int64(binary.BigEndian.Uint32(buf[1:]))
	if n < 4 || n > int64(maxLength) {
		return 0, nil, 0, errLength
	}
	if size = int(n) + 1; len(buf) < size {
		return 0, nil, 0, nil
	}
	return buf[0], buf[5:size], size, nil
}

// ParseStartup parses a client's first message. It returns the protocol version or request code and the size of the message, or
// size 0 if buf doesn't hold a whole message yet.
func ParseStartup(buf []byte) (code uint32, size int, err error) {
	if len(buf) < 4 {
		return 0, 0, nil
	}
	n := int64(binary.BigEndian.Uint32(buf))
	if n < 8 || n > MaxStartupSize {
		return 0, 0, errLength
	}
	if len(buf) < int(n) {
		return 0, 0, nil
	}
	return binary.BigEndian.Uint32(buf[4:]), int(n), nil
}

// ParseString parses the zero-terminated string at the start of body. It returns the string without the zero and what follows.
func ParseString(body []byte) (text, rest []byte, ok bool) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return nil, nil, false
	}
	return body[:i], body[i+1:], true
}

// Types of the fields of an ErrorResponse.
const (
	fieldSeverity          = 'V'
	fieldLocalizedSeverity = 'S' // the only one that servers before PostgreSQL 9.6 send
	fieldSQLState          = 'C'
)

// SQLState returns the SQLSTATE in the body of an ErrorResponse, or "" if it has none.
func SQLState(body []byte) string { return string(errorField(body, fieldSQLState)) }

// Fatal reports whether the body of an ErrorResponse tells that the server ends the connection.
func Fatal(body []byte) bool {
	severity := errorField(body, fieldSeverity)
	if severity == nil {
		severity = errorField(body, fieldLocalizedSeverity)
	}
	return string(severity) == "FATAL" || string(severity) == "PANIC"
}

// errorField returns a field in the body of an ErrorResponse, or nil if it is missing.
func errorField(body []byte, wanted byte) []byte {
	for len(body) > 1 {
		field := body[0]
		text, rest, ok := ParseString(body[1:])
		if !ok {
			return nil
		}
		if field == wanted {
			return text
		}
		body = rest
	}
	return nil
}

// ColumnValue returns the value of the only column in the body of a DataRow. It returns false if the body is malformed, has
// another number of columns or holds a NULL.
func ColumnValue(body []byte) ([]byte, bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, false
	}
	n := int64(int32(binary.BigEndian.Uint32(body[2:])))
	if n < 0 || n != int64(len(body)-6) {
		return nil, false
	}
	return body[6:], true
}

// Statement is the metadata in the leading comment of a client's query. Its slices point into the query.
type Statement struct {
	metadata.Request
	TimeoutSpan
}

// TimeoutSpan is the position in a query of the value that gives the remaining time.
type TimeoutSpan struct{ start, end int }

var fieldNames = [...]string{"id", "c", "t", "k", "r", "d", "cluster", "after"}

// ParseQuery parses the leading comment of a query and its first quoted string, which becomes the Session. text is the query
// without the terminating zero.
func ParseQuery(text []byte) (s Statement, err error) {
	if !bytes.HasPrefix(text, []byte("/*")) {
		return s, errors.New("the statement has no leading comment")
	}
	end := bytes.Index(text, []byte("*/"))
	if end < 0 {
		return s, errors.New("the comment does not end")
	}
	pos, hasGroup, seen := 2, false, 0
	for fields := 0; pos < end; fields++ {
		if fields == maxFields {
			return s, fmt.Errorf("the comment holds more than %d fields", maxFields)
		}
		pairEnd := end
		if i := bytes.IndexByte(text[pos:end], ','); i >= 0 {
			pairEnd = pos + i
		}
		pair := bytes.TrimSpace(text[pos:pairEnd])
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || len(value) == 0 {
			return s, fmt.Errorf("the comment holds %.40q, which is no name=value", pair)
		}
		if i := slices.Index(fieldNames[:], string(name)); i >= 0 {
			if seen&(1<<i) != 0 {
				return s, fmt.Errorf("the comment holds %s twice", name)
			}
			seen |= 1 << i
		}
		switch string(name) {
		case "id":
			s.ID = value
		case "c":
			s.Class = value
		case "t":
			s.Tenant = value
		case "k":
			s.Key = value
		case "r":
			s.Retry = string(value) == "1"
		case "d":
			if s.TimeLeft, err = parseTenths(value); err != nil || s.TimeLeft <= 0 {
				return s, fmt.Errorf("d is no time in milliseconds: %.20q", value)
			}
			s.TimeoutSpan.start = pos + bytes.Index(text[pos:pairEnd], value)
			s.TimeoutSpan.end = s.TimeoutSpan.start + len(value)
		case "cluster":
			if s.Group, err = strconv.ParseUint(string(value), 10, 63); err != nil {
				return s, fmt.Errorf("cluster is no number: %.20q", value)
			}
			hasGroup = true
		case "after":
			if s.ReadAfter, err = parseTenths(value); err != nil {
				return s, fmt.Errorf("after is no time in milliseconds: %.20q", value)
			}
			s.HasReadAfter = true
		}
		pos = pairEnd + 1
	}
	switch {
	case s.ID == nil:
		return s, errors.New("the comment has no id")
	case s.Class == nil:
		return s, errors.New("the comment has no c")
	case s.TimeoutSpan.end == 0:
		return s, errors.New("the comment has no d")
	case !hasGroup:
		return s, errors.New("the comment has no cluster")
	}
	rest := text[end+2:]
	if i := bytes.IndexByte(rest, '\''); i >= 0 {
		rest = rest[i+1:]
		if i = bytes.IndexByte(rest, '\''); i >= 0 {
			s.Session = rest[:i]
		}
	}
	return s, nil
}

// parseTenths parses decimal milliseconds into tenths of a millisecond. It rounds up, because a fence that is rounded down would
// allow reads that are too old.
func parseTenths(v []byte) (int64, error) {
	whole, part, dot := bytes.Cut(v, []byte("."))
	n, err := strconv.ParseUint(string(whole), 10, 50)
	if err != nil || dot && len(part) == 0 {
		return 0, errors.New("no decimal number")
	}
	t := int64(n) * 10
	for i, c := range part {
		switch {
		case c < '0' || c > '9':
			return 0, errors.New("no decimal number")
		case i == 0:
			t += int64(c - '0')
		case c > '0':
			return t + 1, nil
		}
	}
	return t, nil
}

// AppendQuery appends a Query message with the query text, in which the remaining time is replaced by left, in milliseconds.
func (c TimeoutSpan) AppendQuery(dst, text []byte, left int64) []byte {
	start := len(dst)
	dst = append(dst, 'Q', 0, 0, 0, 0)
	dst = append(dst, text[:c.start]...)
	dst = strconv.AppendInt(dst, left, 10)
	dst = append(dst, text[c.end:]...)
	return setLength(append(dst, 0), start)
}

// setLength sets the length field of the typed message that begins at start and ends with dst.
func setLength(dst []byte, start int) []byte {
	binary.BigEndian.PutUint32(dst[start+1:], uint32(len(dst)-start-1))
	return dst
}

// AppendSimpleQuery appends a Query message.
func AppendSimpleQuery(dst []byte, text string) []byte {
	start := len(dst)
	dst = append(dst, 'Q', 0, 0, 0, 0)
	dst = append(dst, text...)
	return setLength(append(dst, 0), start)
}

// AppendStartup appends a StartupMessage, the first message that a front sends to a store.
func AppendStartup(dst []byte, user, database string) []byte {
	start := len(dst)
	dst = append(dst, 0, 0, 0, 0)
	dst = binary.BigEndian.AppendUint32(dst, Version)
	for _, v := range [...]string{"user", user, "database", database} {
		dst = append(append(dst, v...), 0)
	}
	dst = append(dst, 0)
	binary.BigEndian.PutUint32(dst[start:], uint32(len(dst)-start))
	return dst
}

// AppendStartupReply appends the answer to a startup message: AuthenticationOk, the parameters that clients look for,
// BackendKeyData with the key for cancel requests, and ReadyForQuery. If the client asked for a minor version above 0, a
// NegotiateProtocolVersion message comes first.
func AppendStartupReply(dst []byte, minor uint32, key []byte) []byte {
	if minor > 0 { // tells the client that the server uses version 3.0
		dst = append(dst, 'v', 0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 0)
	}
	dst = append(dst, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, p := range [...][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"}} {
		dst = AppendParameter(dst, p[0], p[1])
	}
	dst = append(dst, 'K', 0, 0, 0, byte(4+len(key)))
	return AppendReady(append(dst, key...))
}

// AppendParameter appends a ParameterStatus message.
func AppendParameter(dst []byte, name, value string) []byte {
	start := len(dst)
	dst = append(dst, 'S', 0, 0, 0, 0)
	dst = append(append(dst, name...), 0)
	dst = append(append(dst, value...), 0)
	return setLength(dst, start)
}

// AppendReady appends a ReadyForQuery message with the status idle, outside a transaction.
func AppendReady(dst []byte) []byte { return append(dst, 'Z', 0, 0, 0, 5, 'I') }

// AppendEmptyQueryResponse appends an EmptyQueryResponse message.
func AppendEmptyQueryResponse(dst []byte) []byte { return append(dst, 'I', 0, 0, 0, 4) }

// AppendError appends an ErrorResponse message. Empty fields are left out.
func AppendError(dst []byte, severity, code, text, detail string) []byte {
	start := len(dst)
	dst = append(dst, 'E', 0, 0, 0, 0)
	for _, f := range [...]struct {
		field byte
		text  string
	}{{'S', severity}, {'V', severity}, {'C', code}, {'M', text}, {'D', detail}} {
		if f.text != "" {
			dst = append(dst, f.field)
			dst = append(append(dst, f.text...), 0)
		}
	}
	return setLength(append(dst, 0), start)
}
