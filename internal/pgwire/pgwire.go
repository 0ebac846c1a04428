// Package pgwire reads and writes version 3 of PostgreSQL's wire protocol, as far as simple queries need it.
// Its parsers are incremental: they are given all that has come in so far and tell how much of it is a whole
// message, or 0 if more is needed. All lengths are bounded.
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
	// MostQuery bounds one message of a client: a value of 64 KiB in hex digits with its statement. An answer
	// may be longer; how long it may be depends on the memory that there is.
	MaxQuerySize = 2*64<<10 + 16<<10
	// MostStartup bounds a startup message, as PostgreSQL does.
	MaxStartupSize = 10000

	Version       = 3 << 16
	CancelRequest = 1234<<16 | 5678
	SSLRequest    = 1234<<16 | 5679
	GSSENCRequest = 1234<<16 | 5680

	TooManyConnections    = "53300" // the two that say that trying again is harmless
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
	OutcomeUnknown        = "08007" // whether it took effect is not known
)

var errLength = errors.New("message length is out of bounds")

// ParseMessage takes one typed message off the front of buf: its kind, its body and the size of both with the header.
// most bounds the length that it says it has.
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

// ParseStartup takes a client's first message: the protocol version, or the code of a request.
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

// ParseString takes the zero-terminated string at the front of body.
func ParseString(body []byte) (text, rest []byte, ok bool) {
	i := bytes.IndexByte(body, 0)
	if i < 0 {
		return nil, nil, false
	}
	return body[:i], body[i+1:], true
}

// SQLState gives the SQLSTATE of an ErrorResponse, or nothing if it has none.
func SQLState(body []byte) string {
	for len(body) > 1 {
		field := body[0]
		text, rest, ok := ParseString(body[1:])
		if !ok {
			return ""
		}
		if field == 'C' {
			return string(text)
		}
		body = rest
	}
	return ""
}

// ColumnValue gives the one column of a DataRow.
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

// Statement is a client's query with what its comment says. Its slices point into the query.
type Statement struct {
	metadata.Request
	TimeoutSpan
}

// TimeoutSpan is where in a query the time left stands.
type TimeoutSpan struct{ start, end int }

var fieldNames = [...]string{"id", "c", "t", "k", "r", "d", "cluster", "after"}

// ParseQuery reads the comment and the quoted key of a query, which is all up to its terminating zero.
func ParseQuery(text []byte) (s Statement, err error) {
	if !bytes.HasPrefix(text, []byte("/*")) {
		return s, errors.New("the statement has no leading comment")
	}
	end := bytes.Index(text, []byte("*/"))
	if end < 0 {
		return s, errors.New("the comment does not end")
	}
	at, hasGroup, seen := 2, false, 0
	for at < end {
		to := end
		if i := bytes.IndexByte(text[at:end], ','); i >= 0 {
			to = at + i
		}
		pair := bytes.TrimSpace(text[at:to])
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
			s.TimeoutSpan.start = at + bytes.Index(text[at:to], value)
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
		at = to + 1
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

// parseTenths reads decimal milliseconds into tenths, rounded up: a fence must not come out looser.
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

// AppendQuery writes the statement with another time left, in whole milliseconds; all else stays as it is.
func (c TimeoutSpan) AppendQuery(dst, text []byte, left int64) []byte {
	start := len(dst)
	dst = append(dst, 'Q', 0, 0, 0, 0)
	dst = append(dst, text[:c.start]...)
	dst = strconv.AppendInt(dst, left, 10)
	dst = append(dst, text[c.end:]...)
	return setLength(append(dst, 0), start)
}

// setLength fills in the length of the typed message that starts at at.
func setLength(dst []byte, start int) []byte {
	binary.BigEndian.PutUint32(dst[start+1:], uint32(len(dst)-start-1))
	return dst
}

// AppendSimpleQuery writes a plain query.
func AppendSimpleQuery(dst []byte, text string) []byte {
	start := len(dst)
	dst = append(dst, 'Q', 0, 0, 0, 0)
	dst = append(dst, text...)
	return setLength(append(dst, 0), start)
}

// AppendStartup writes a front's first message to a store.
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

// AppendStartupReply answers a startup message: no password, the few parameters that clients look for, the key by which to
// cancel, ready.
func AppendStartupReply(dst []byte, minor uint32, key []byte) []byte {
	if minor > 0 { // it is told that 3.0 is spoken here
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

// AppendParameter writes a ParameterStatus.
func AppendParameter(dst []byte, name, value string) []byte {
	start := len(dst)
	dst = append(dst, 'S', 0, 0, 0, 0)
	dst = append(append(dst, name...), 0)
	dst = append(append(dst, value...), 0)
	return setLength(dst, start)
}

// AppendReady writes a ReadyForQuery outside a transaction.
func AppendReady(dst []byte) []byte { return append(dst, 'Z', 0, 0, 0, 5, 'I') }

// AppendEmptyQueryResponse writes the answer to an empty query.
func AppendEmptyQueryResponse(dst []byte) []byte { return append(dst, 'I', 0, 0, 0, 4) }

// AppendError writes an ErrorResponse; an empty detail is left out.
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
