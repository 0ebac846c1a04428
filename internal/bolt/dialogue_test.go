package bolt

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func init() { flag.Set("rapid.seed", "20261201") }

func newReadyDialogue(t interface{ Fatalf(string, ...any) }) *Dialogue {
	d := NewDialogue(MakeVersion(5, 4))
	for _, w := range []MessageType{Hello, Logon} {
		if a := d.Request(Request{Type: w}, 1); a != Reply {
			t.Fatalf("%v: %d", w, a)
		}
		d.Replied(w, true)
	}
	return d
}

func TestDialogue(t *testing.T) {
	d := newReadyDialogue(t)
	if a := d.Request(Request{Type: Commit}, 1); a != Reject {
		t.Errorf("COMMIT without a transaction: %d", a)
	}
	// A pipelined transaction, and a statement behind it.
	for i, w := range []MessageType{BeginTx, Run, Pull, Commit, Run} {
		want := Enqueue
		if i == 0 {
			want = StartRequest
		}
		if a := d.Request(Request{Type: w, Limit: -1}, 10); a != want {
			t.Fatalf("%v: %d", w, a)
		}
	}
	var sent []MessageType
	for _, w, ok := d.Next(); ok; _, w, ok = d.Next() {
		sent = append(sent, w)
		d.MarkSent()
	}
	if fmt.Sprint(sent) != "[BEGIN RUN PULL COMMIT]" || !d.InTransaction() {
		t.Errorf("forwarded: %v", sent)
	}
	holds := ""
	for range 4 {
		hold, over := d.Responded(true, false)
		holds += fmt.Sprint(hold, " ", over, " ")
	}
	if holds != "true false true false false false false true " || d.State() != Ready {
		t.Errorf("held and over: %s, state %d", holds, d.State())
	}
	if n := d.Release(); n != 40 || d.Busy() {
		t.Errorf("%d bytes were released", n)
	}
	// A result in pieces: what may follow depends on the response.
	d.Request(Request{Type: Run, Limit: -1}, 1)
	d.Request(Request{Type: Pull, Limit: 5}, 1)
	d.Request(Request{Type: Pull, Limit: 5}, 1)
	d.MarkSent()
	d.MarkSent()
	if _, _, ok := d.Next(); ok {
		t.Error("a second PULL is forwarded before the first is answered")
	}
	d.Responded(true, false)
	if _, over := d.Responded(true, true); over || d.State() != Streaming {
		t.Error("the request is over although the result has more records")
	}
	if _, w, ok := d.Next(); !ok || w != Pull {
		t.Error("the second PULL is not forwarded after the response")
	}
	d.MarkSent()
	if _, over := d.Responded(true, false); !over || d.Release() != 3 {
		t.Error("the request is not over after the end of the result")
	}
	// A failure, the messages pipelined behind it, RESET.
	d.Request(Request{Type: Run, Limit: -1}, 1)
	d.Request(Request{Type: Pull, Limit: -1}, 1)
	d.MarkSent()
	d.Fail()
	if d.Release() != 1 || d.Request(Request{Type: Pull, Limit: -1}, 1) != Ignore || d.Request(Request{Type: Reset}, 1) != Reply {
		t.Error("wrong handling of messages after a failure")
	}
	d.Replied(Reset, true)
	d.Request(Request{Type: BeginTx, Limit: -1}, 1)
	d.Request(Request{Type: Run, Limit: -1}, 1)
	if d.Request(Request{Type: Reset}, 1) != Abort || d.Aborted() != 2 || d.Release() != 2 || d.State() != Ready {
		t.Error("wrong handling of RESET during a request")
	}
	// An invalid message inside a request, and more messages than MaxPipelined.
	d.Request(Request{Type: BeginTx, Limit: -1}, 1)
	d.Request(Request{Type: Pull, Limit: -1}, 1)
	d.MarkSent()
	if d.Invalid() {
		t.Error("the next message is invalid before BEGIN is answered")
	}
	if d.Responded(true, false); !d.Invalid() {
		t.Error("PULL without a result was accepted")
	}
	for range MaxPipelined {
		d.Request(Request{Type: Run, Limit: -1}, 1)
	}
	if a := d.Request(Request{Type: Run, Limit: -1}, 1); a != Wait {
		t.Errorf("more than MaxPipelined messages: action %d", a)
	}
}

// TestDialogueAgainstStateMachine checks that, whatever clients send and however stores divide their responses, only
// messages that the specification's state machine accepts are forwarded, in their order, and that each queued message gets
// one response in the end.
func TestDialogueAgainstStateMachine(t *testing.T) {
	done := 0
	rapid.Check(t, func(t *rapid.T) {
		d := newReadyDialogue(t)
		store, open := Ready, 0 // State and open results of the model store.
		asked, answers := 0, 0
		owed := []modelMessage{}
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 1<<12), 100, 400).Draw(t, "ops") {
			switch {
			case op%4 < 2: // The client sends a message.
				w := []MessageType{Run, Pull, Pull, Discard, BeginTx, Commit, Rollback, Run}[op/4%8]
				many := int64(-1)
				if op&512 != 0 {
					many = 3
				}
				switch d.Request(Request{Type: w, Limit: many}, 1) {
				case StartRequest:
					asked, answers, store, open, owed = 1, 0, Ready, 0, owed[:0]
				case Enqueue:
					asked++
				}
			case op%4 == 2: // The front forwards a message.
				if _, w, ok := d.Next(); ok {
					s := store
					n := open
					for _, o := range owed { // The state in which the store will get the message.
						s, n = o.after(s, n, o.all)
					}
					m := modelMessage{w, d.queue[d.sent].all}
					if carried, _ := s.Accepts(MakeVersion(5, 4), w); !carried {
						t.Fatalf("%v was forwarded to a store in state %d", w, s)
					}
					d.MarkSent()
					owed = append(owed, m)
				}
			case len(owed) > 0: // The store responds.
				w, ok := d.Awaiting()
				if !ok || w != owed[0].messageType {
					t.Fatalf("the response to %v was matched to %v", owed[0].messageType, w)
				}
				more := (w == Pull || w == Discard) && !owed[0].all && op&1024 != 0
				store, open = owed[0].after(store, open, !more)
				owed = owed[1:]
				answers++
				if _, over := d.Responded(true, more); over != (store == Ready) {
					t.Fatalf("over is %v, the store is in state %d", over, store)
				} else if over {
					if n := d.Release(); n != answers || len(owed) > 0 {
						t.Fatalf("%d messages settled, %d answered of %d, %d owed", n, answers, asked, len(owed))
					}
					done++
				}
			}
			if d.Invalid() {
				d.Fail()
				d.Release()
				d.state, owed = Ready, owed[:0]
			}
		}
	})
	if done < 20 {
		t.Errorf("only %d requests completed", done)
	}
}

// modelMessage is a message that was forwarded to the model of the store.
type modelMessage struct {
	messageType MessageType
	all         bool
}

func (a modelMessage) after(s State, open int, whole bool) (State, int) {
	switch a.messageType {
	case Run:
		open++
	case Pull, Discard:
		if whole {
			open = max(open-1, 0)
		}
	}
	return s.After(a.messageType, true, !whole, open), open
}

func TestSummaries(t *testing.T) {
	var fields []byte
	fields = AppendMap(fields, 5)
	fields = AppendPair(fields, "type", "w")
	fields = AppendPair(fields, "role", "primary")
	fields = AppendInt(AppendString(fields, "applied_ms"), 1700)
	fields = AppendPair(fields, "bookmark", "theirs")
	fields = AppendInt(AppendString(fields, "t_last"), 3)
	if r := ReadReport(fields); !r.Primary || r.Replica || r.Position != 17000 {
		t.Errorf("%+v", r)
	}
	out, err := AppendSummary(nil, fields, AppendBookmark(nil, 3, 17000))
	if err != nil {
		t.Fatal(err)
	}
	rd := Reader{MaxSize: 1 << 12}
	body, _, _ := rd.Next(out)
	a, err := ReadResponse(body)
	if err != nil {
		t.Fatal(err)
	}
	want := AppendMap(nil, 3)
	want = AppendPair(want, "type", "w")
	want = AppendInt(AppendString(want, "t_last"), 3)
	want = AppendPair(want, "bookmark", "mt1:3:17000")
	if string(a.Fields) != string(want) {
		t.Errorf("%q", a.Fields)
	}
	if _, err := AppendSummary(nil, []byte{0xa1, 0x81}, nil); err == nil {
		t.Error("a truncated map was forwarded")
	}
	if r := ReadReport([]byte{0xa1, 0x84, 'r', 'o', 'l', 'e'}); r.Primary {
		t.Errorf("%+v", r)
	}
}
