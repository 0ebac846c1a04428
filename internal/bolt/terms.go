package bolt

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"micatrack/internal/metadata"
)

// Status codes that are given or understood. What drivers do on each is the specification's: a transient one is tried
// again by them, the two of the cluster are too after the routing table was asked for anew, all others are told to
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

// FailureKind is what a store's FAILURE proves about what it was sent.
type FailureKind uint8

const (
	MayHaveRun         FailureKind = iota
	RejectedBehind                 // turned away untouched: no primary, or too far behind
	RejectedOverloaded             // turned away unseen
)

// ClassifyFailure tells what a code proves. Danger: a code that is not known to prove anything proves nothing.
func ClassifyFailure(code []byte) FailureKind {
	switch string(code) {
	case BookmarkTimeout, NotALeader, ReadOnly:
		return RejectedBehind
	case NoThreadsAvailable, Unavailable:
		return RejectedOverloaded
	}
	return MayHaveRun
}

// ClientMayRetry tells whether drivers, or applications by the code's class, try again what failed with it.
func ClientMayRetry(code []byte) bool {
	return bytes.HasPrefix(code, []byte("Neo.TransientError.")) || string(code) == NotALeader || string(code) == ReadOnly
}

// IsClientError tells whether a code says that what was asked was at fault, and not the store.
func IsClientError(code []byte) bool {
	return bytes.HasPrefix(code, []byte("Neo.ClientError.")) && !ClientMayRetry(code)
}

// ErrFaultyBookmark is the error of a bookmark that cannot be read; no read may ignore one.
var ErrInvalidBookmark = errors.New("a bookmark was not handed out here")

// ParseRequest reads what transaction metadata, timeout, database, access mode and bookmarks say of a job.
//
//	metadata id, c, t, k, s, r   as in the comment of a PostgreSQL query: id, profile, customer, mark; the session; further try
//	database or metadata cluster the group
//	tx_timeout                   how long the client will wait
//	mode                         "r": the job writes nothing
//	bookmarks                    the newest of the group is what a read has to see
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

const bookmarkPrefix = "mt1:"

// AppendBookmark writes the bookmark of a commit: its group, and its position in Unix tenths of a millisecond.
func AppendBookmark(dst []byte, group uint64, position int64) []byte {
	dst = strconv.AppendUint(append(dst, bookmarkPrefix...), group, 10)
	return strconv.AppendInt(append(dst, ':'), position, 10)
}

// ReadBookmark reads one bookmark.
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

// newestPosition gives the newest position that bookmarks name for a group. Those of other groups say nothing of it: logs of
// different groups have no order.
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
