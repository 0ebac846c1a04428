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
	TurnedBack   = "Neo.TransientError.Request.NoThreadsAvailable"
	Unavailable  = "Neo.TransientError.General.DatabaseUnavailable"
	BehindMark   = "Neo.TransientError.Transaction.BookmarkTimeout"
	NotALeader   = "Neo.ClientError.Cluster.NotALeader"
	ReadOnly     = "Neo.ClientError.General.ForbiddenOnReadOnlyDatabase"
	WrittenOff   = "Neo.DatabaseError.General.UnknownError"
	Invalid      = "Neo.ClientError.Request.Invalid"
	Format       = "Neo.ClientError.Request.InvalidFormat"
	BadBookmark  = "Neo.ClientError.Transaction.InvalidBookmark"
	NoDatabase   = "Neo.ClientError.Database.DatabaseNotFound"
	TooLong      = "Neo.ClientError.Transaction.TransactionTimedOut"
	NotPermitted = "Neo.ClientError.Statement.AccessMode"
)

// Refusal is what a store's FAILURE proves about what it was sent.
type Refusal uint8

const (
	MayHaveRun Refusal = iota
	WasBehind          // turned away untouched: no primary, or too far behind
	WasFull            // turned away unseen
)

// Refused tells what a code proves. Danger: a code that is not known to prove anything proves nothing.
func Refused(code []byte) Refusal {
	switch string(code) {
	case BehindMark, NotALeader, ReadOnly:
		return WasBehind
	case TurnedBack, Unavailable:
		return WasFull
	}
	return MayHaveRun
}

// Invites tells whether drivers, or applications by the code's class, try again what failed with it.
func Invites(code []byte) bool {
	return bytes.HasPrefix(code, []byte("Neo.TransientError.")) || string(code) == NotALeader || string(code) == ReadOnly
}

// Clients tells whether a code says that what was asked was at fault, and not the store.
func Clients(code []byte) bool {
	return bytes.HasPrefix(code, []byte("Neo.ClientError.")) && !Invites(code)
}

// ErrFaultyBookmark is the error of a bookmark that cannot be read; no read may ignore one.
var ErrFaultyBookmark = errors.New("a bookmark was not handed out here")

// Terms reads what transaction metadata, timeout, database, access mode and bookmarks say of a job.
//
//	metadata id, c, t, k, s, r   as in the comment of a PostgreSQL query: id, profile, customer, mark; the session; further try
//	database or metadata cluster the group
//	tx_timeout                   how long the client will wait
//	mode                         "r": the job writes nothing
//	bookmarks                    the newest of the group is what a read has to see
func (e *Extra) Terms() (t metadata.Request, err error) {
	t.TimeLeft = e.Timeout * 10
	group := e.Database
	if e.Metadata != nil {
		v := Unpack(e.Metadata)
		pairs(&v, func(key []byte) {
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
		t.ReadAfter, err = newest(e.Bookmarks, t.Group)
		t.HasReadAfter = t.ReadAfter > 0
	}
	return t, err
}

const bookmark = "mt1:"

// AppendBookmark writes the bookmark of a commit: its group, and its position in Unix tenths of a millisecond.
func AppendBookmark(dst []byte, group uint64, position int64) []byte {
	dst = strconv.AppendUint(append(dst, bookmark...), group, 10)
	return strconv.AppendInt(append(dst, ':'), position, 10)
}

// ReadBookmark reads one bookmark.
func ReadBookmark(text []byte) (group uint64, position int64, err error) {
	rest, ok := bytes.CutPrefix(text, []byte(bookmark))
	a, b, ok2 := bytes.Cut(rest, []byte(":"))
	if !ok || !ok2 {
		return 0, 0, ErrFaultyBookmark
	}
	group, err = strconv.ParseUint(string(a), 10, 63)
	if err == nil {
		position, err = strconv.ParseInt(string(b), 10, 58)
	}
	if err != nil || position <= 0 {
		return 0, 0, ErrFaultyBookmark
	}
	return group, position, nil
}

// newest gives the newest position that bookmarks name for a group. Those of other groups say nothing of it: logs of
// different groups have no order.
func newest(packed []byte, group uint64) (position int64, err error) {
	v := Unpack(packed)
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
		return 0, ErrFaultyBookmark
	}
	return position, nil
}
