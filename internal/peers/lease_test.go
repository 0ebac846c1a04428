package peers

import (
	"reflect"
	"strings"
	"testing"

	"micatrack/fleet/lease"
	"micatrack/fleet/positions"
)

// TestLeaseAndPositionMessages checks that encoded lease and position messages are decoded unchanged, that messages of another
// fleet, with a text that is too long or with an invalid combination of parts are rejected, and that truncated ones do no harm.
func TestLeaseAndPositionMessages(t *testing.T) {
	who := lease.Instance{Name: "f1", Life: 7}
	for _, m := range []LeaseMessage{
		{From: 1, To: 2, Log: []byte("log"), InitialVotersHash: 9},
		{To: 2, Request: &lease.Request{Op: lease.Renew, Name: "l", From: who, Token: 3, Seq: 4, AckedSeq: 2, ForwardedBy: 5, Addr: "10.0.0.1:1"}},
		{From: 1, To: 3, Reply: &lease.Reply{Name: "l", To: who, Seq: 4, Token: 3, Holder: who, QueuePosition: 2}, Addr: "10.0.0.1:1",
			Voters: []lease.VoterInfo{{ID: 1, Name: "f0", Addr: "10.0.0.2:1"}}},
	} {
		frame := appendLeaseFrame(nil, "ours", AppendLease(nil, &m))
		body, ok := leaseBody(frame, "ours")
		if got, err := ReadLease(body); !ok || err != nil || !reflect.DeepEqual(got, m) {
			t.Errorf("%+v is read as %+v, %v", m, got, err)
		}
		if _, ok := leaseBody(frame, "theirs"); ok {
			t.Error("a message of another fleet is accepted")
		}
		for n := range body {
			ReadLease(body[:n]) // must not panic; the result does not matter
		}
	}
	long := strings.Repeat("x", maxTextBytes+1)
	for _, m := range []LeaseMessage{
		{Request: &lease.Request{Op: lease.Acquire, Name: long, From: who}}, {Request: &lease.Request{Op: lease.Acquire, Name: "l", From: who, Addr: long}},
		{Request: &lease.Request{Op: lease.Release + 1, Name: "l", From: who}}, {Reply: &lease.Reply{Name: "l", To: lease.Instance{Name: long}}},
		{Reply: &lease.Reply{Name: "l"}, Voters: []lease.VoterInfo{{ID: 1, Addr: long}}}, {Reply: &lease.Reply{Name: "l"}, Request: &lease.Request{}}, {},
	} {
		if got, err := ReadLease(AppendLease(nil, &m)); err == nil {
			t.Errorf("an invalid message is accepted: %+v", got)
		}
	}
	q, a := positions.Query{Seq: 1, Group: 2, MinPosition: 3, Store: "s", Addr: "10.0.0.1:1"}, positions.Answer{Seq: 1, Group: 2, Positions: []positions.StorePosition{{Store: "s", Position: 4}}}
	if got, _, err := ReadPositionMessage(AppendQuery(nil, "ours", &q), "ours"); err != nil || *got != q {
		t.Errorf("%+v, %v", got, err)
	}
	if _, got, err := ReadPositionMessage(AppendAnswer(nil, "ours", &a), "ours"); err != nil || !reflect.DeepEqual(*got, a) {
		t.Errorf("%+v, %v", got, err)
	}
	for len(a.Positions) <= positions.MaxPositions {
		a.Positions = append(a.Positions, a.Positions[0])
	}
	if _, _, err := ReadPositionMessage(AppendAnswer(nil, "ours", &a), "ours"); err == nil {
		t.Error("an answer with too many stores is accepted")
	}
	q.Store = long
	if _, _, err := ReadPositionMessage(AppendQuery(nil, "ours", &q), "ours"); err == nil {
		t.Error("a query with a long store name is accepted")
	}
}
