package bolt

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"micatrack/internal/metadata"
)

// Status codes that the front sends or understands. The specification says how drivers handle each: they retry a
// transient one, and the two that concern the cluster after fetching the routing table anew; all others are returned to
// the application.
const (
	NoThreadsAvailable  = "Neo.TransientError.Request.NoThreadsAvailable"
	Unavailable         = "Neo.TransientError.General.DatabaseUnavailable"
	BookmarkTimeout     = "Neo.TransientError.Transaction.BookmarkTimeout"
	NotALeader          = "Neo.ClientError.Cluster.NotALeader"
	ReadOnly            = "Neo.ClientError.General.ForbiddenOnReadOnlyDatabase"
	UnknownError        = "Neo.DatabaseError.General.UnknownError"
	Invalid             = "Neo.ClientError.Request.Invalid"
	InvalidFormat       = "Neo.ClientError.Request.InvalidFormat"
	InvalidBookmark     = "Neo.ClientError.Transaction.InvalidBookmark"
	DatabaseNotFound    = "Neo.ClientError.Database.DatabaseNotFound"
	TransactionTimedOut = "Neo.ClientError.Transaction.TransactionTimedOut"
	NotPermitted        = "Neo.ClientError.Statement.AccessMode"
)

// FailureKind is what a store's FAILURE proves about the request that it was sent.
type FailureKind uint8

const (
	MayHaveRun         FailureKind = iota // The request may have run.
	RejectedBehind                        // Rejected without an effect: the store is no primary, or too far behind.
	RejectedOverloaded                    // Rejected before it was executed.
)

// ClassifyFailure returns what a status code proves. A code that is not known to prove that the request did not run
// proves nothing: it may have run.
func ClassifyFailure(code []byte) FailureKind {
	switch string(code) {
	case BookmarkTimeout, NotALeader, ReadOnly:
		return RejectedBehind
	case NoThreadsAvailable, Unavailable:
		return RejectedOverloaded
	}
	return MayHaveRun
}

// ClientMayRetry reports whether drivers, or applications that go by the class of the code, retry a request that failed
// with it.
func ClientMayRetry(code []byte) bool {
	return bytes.HasPrefix(code, []byte("Neo.TransientError.")) || string(code) == NotALeader || string(code) == ReadOnly
}

// IsClientError reports whether a code blames the request and not the store.
func IsClientError(code []byte) bool {
	return bytes.HasPrefix(code, []byte("Neo.ClientError.")) && !ClientMayRetry(code)
}

// ErrInvalidBookmark is returned for a bookmark that cannot be parsed. Such a bookmark fails the request: no read may
// ignore one.
var ErrInvalidBookmark = errors.New("a bookmark was not handed out here")

// ParseRequest returns what transaction metadata, timeout, database, access mode and bookmarks say of a request.
//
//	metadata id, c, t, k, s, r   as in the comment of a PostgreSQL query: ID, class, tenant, idempotency key, session, retry
//	database or metadata cluster the group
//	tx_timeout                   how long the client will wait
//	mode                         "r": the request writes nothing
//	bookmarks                    the newest of the group is the fence of a read
func (e *Extra) ParseRequest() (t metadata.Request, err error) {
	t.TimeLeft = e.Timeout * 10
	group := e.Database
	if e.Metadata != nil {
		v := NewDecoder(e.Metadata)
		readMap(&v, func(key []byte) {
			switch string(key) {
			case "id":
				t.ID = v.String()
			case "c":
				t.Class = v.String()
			case "t":
				t.Tenant = v.String()
			case "k":
				t.Key = v.String()
			case "s":
				t.Session = v.String()
			case "r":
				t.Retry = v.Bool()
			case "cluster":
				if v.Kind() != Int {
					group = v.String()
				} else if n := v.Int(); n >= 0 {
					group = strconv.AppendInt(nil, n, 10)
				} else {
					v.fail(errors.New("cluster is negative"))
				}
			default:
				v.Skip()
			}
		})
		if v.Err() != nil {
			return t, fmt.Errorf("tx_metadata: %w", v.Err())
		}
	}
	switch {
	case len(t.Class) == 0:
		return t, errors.New("tx_metadata has no c")
	case t.TimeLeft <= 0 || t.TimeLeft > 1<<40:
		return t, errors.New("tx_timeout is missing or out of range")
	}
	if t.Group, err = strconv.ParseUint(string(group), 10, 63); err != nil {
		return t, fmt.Errorf("neither the database nor tx_metadata's cluster is a group's number: %.20q", group)
	}
	if e.Bookmarks != nil {
		t.ReadAfter, err = newestPosition(e.Bookmarks, t.Group)
		t.HasReadAfter = t.ReadAfter > 0
	}
	return t, err
}

// bookmarkPrefix begins each bookmark and names its format.
const bookmarkPrefix = "mt1:"

// AppendBookmark appends the bookmark of a commit: its group, and its position in Unix tenths of a millisecond.
func AppendBookmark(dst []byte, group uint64, position int64) []byte {
	dst = strconv.AppendUint(append(dst, bookmarkPrefix...), group, 10)
	return strconv.AppendInt(append(dst, ':'), position, 10)
}

// ReadBookmark parses a bookmark. It returns ErrInvalidBookmark if text is not one.
func ReadBookmark(text []byte) (group uint64, position int64, err error) {
	rest, ok := bytes.CutPrefix(text, []byte(bookmarkPrefix))
	a, b, ok2 := bytes.Cut(rest, []byte(":"))
	if !ok || !ok2 {
		return 0, 0, ErrInvalidBookmark
	}
	group, err = strconv.ParseUint(string(a), 10, 63)
	if err == nil {
		position, err = strconv.ParseInt(string(b), 10, 58)
	}
	if err != nil || position <= 0 {
		return 0, 0, ErrInvalidBookmark
	}
	return group, position, nil
}

// newestPosition returns the newest position that the bookmarks name for a group, or 0 if none does. It skips those of
// other groups: the logs of different groups have no common order.
func newestPosition(packed []byte, group uint64) (position int64, err error) {
	v := NewDecoder(packed)
	for n := v.List(); n > 0 && v.Err() == nil; n-- {
		text := v.String()
		if v.Err() != nil {
			break
		}
		g, p, err := ReadBookmark(text)
		if err != nil {
			return 0, err
		}
		if g == group {
			position = max(position, p)
		}
	}
	if v.Err() != nil {
		return 0, ErrInvalidBookmark
	}
	return position, nil
}
