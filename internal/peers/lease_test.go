package peers

import (
	"reflect"
	"strings"
	"testing"

	"micatrack/fleet/lease"
	"micatrack/fleet/watch"
)

// TestLeaseAndWatchMessages: what is written is read; another fleet's, one that is cut anywhere and one with a text longer than a
// name are not.
func TestLeaseAndWatchMessages(t *testing.T) {
	who := lease.Party{Name: "f1", Life: 7}
	for _, m := range []Lease{
		{From: 1, To: 2, Log: []byte("log"), Roll: 9},
		{To: 2, Ask: &lease.Ask{Op: lease.Renew, Name: "l", From: who, Token: 3, Seq: 4, Heard: 2, Via: 5, Addr: "10.0.0.1:1"}},
		{From: 1, To: 3, Reply: &lease.Reply{Name: "l", To: who, Seq: 4, Token: 3, Held: who, Before: 2}, Addr: "10.0.0.1:1",
			Seats: []lease.Seat{{ID: 1, Name: "f0", Addr: "10.0.0.2:1"}}},
	} {
		frame := appendLease(nil, "ours", AppendLease(nil, &m))
		body, ok := leaseOf(frame, "ours")
		if got, err := ReadLease(body); !ok || err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%+v is read as %+v, %v", m, got, err)
		}
		if _, ok := leaseOf(frame, "theirs"); ok {
			t.Error("another fleet's is taken")
		}
		for n := range body {
			ReadLease(body[:n]) // whatever it makes of it
		}
	}
	long := strings.Repeat("x", mostText+1)
	for _, m := range []Lease{
		{Ask: &lease.Ask{Op: lease.Want, Name: long, From: who}}, {Ask: &lease.Ask{Op: lease.Want, Name: "l", From: who, Addr: long}},
		{Ask: &lease.Ask{Op: lease.Release + 1, Name: "l", From: who}}, {Reply: &lease.Reply{Name: "l", To: lease.Party{Name: long}}},
		{Reply: &lease.Reply{Name: "l"}, Seats: []lease.Seat{{ID: 1, Addr: long}}}, {Reply: &lease.Reply{Name: "l"}, Ask: &lease.Ask{}}, {},
	} {
		if got, err := ReadLease(AppendLease(nil, &m)); err == nil {
			t.Errorf("%+v is taken", got)
		}
	}
	q, a := watch.Query{Seq: 1, Group: 2, Need: 3, Store: "s", Addr: "10.0.0.1:1"}, watch.Answer{Seq: 1, Group: 2, Seen: []watch.Seen{{Store: "s", Position: 4}}}
	if got, _, err := ReadWatch(AppendQuery(nil, "ours", &q), "ours"); err != nil || *got != q {
		t.Errorf("%+v, %v", got, err)
	}
	if _, got, err := ReadWatch(AppendAnswer(nil, "ours", &a), "ours"); err != nil || !reflect.DeepEqual(*got, a) {
		t.Errorf("%+v, %v", got, err)
	}
	for len(a.Seen) <= watch.MostSeen {
		a.Seen = append(a.Seen, a.Seen[0])
	}
	if _, _, err := ReadWatch(AppendAnswer(nil, "ours", &a), "ours"); err == nil {
		t.Error("more stores than an answer may have")
	}
	q.Store = long
	if _, _, err := ReadWatch(AppendQuery(nil, "ours", &q), "ours"); err == nil {
		t.Error("a long name is taken")
	}
}
