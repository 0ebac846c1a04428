package front

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"micatrack/balance"
	"micatrack/internal/bolt"
)

const boltGroup = 5

// boltMessage returns a message whose fields pairs appends.
func boltMessage(kind bolt.MessageType, fields int, appendFields func(dst []byte) []byte) string {
	text, at := bolt.BeginMessage(nil)
	text = bolt.AppendStruct(text, byte(kind), fields)
	if appendFields != nil {
		text = appendFields(text)
	}
	return string(bolt.EndMessage(text, at))
}

// boltExtra appends the settings of a RUN or BEGIN of request n.
func boltExtra(dst []byte, class string, n int) []byte {
	dst = bolt.AppendMap(dst, 3)
	dst = bolt.AppendInt(bolt.AppendString(dst, "tx_timeout"), 1000)
	dst = bolt.AppendPair(dst, "db", fmt.Sprint(boltGroup))
	dst = bolt.AppendMap(bolt.AppendString(dst, "tx_metadata"), 2)
	return bolt.AppendPair(bolt.AppendPair(dst, "id", fmt.Sprint(n)), "c", class)
}

func boltBegin(class string, n int) string {
	return boltMessage(bolt.BeginTx, 1, func(dst []byte) []byte { return boltExtra(dst, class, n) })
}

// boltRun returns a RUN of request n, or with class "" one in its transaction, and a PULL of the result.
func boltRun(class string, n int) string {
	return boltMessage(bolt.Run, 3, func(dst []byte) []byte {
		dst = bolt.AppendMap(bolt.AppendString(dst, fmt.Sprint("statement ", n)), 0)
		if class == "" {
			return bolt.AppendMap(dst, 0)
		}
		return boltExtra(dst, class, n)
	}) + string(pullAll)
}

// boltHarness is a harness with a group of one store that speaks Bolt.
type boltHarness struct {
	*harness
	results int64 // number of the next result in a transaction
}

func newBoltHarness(t *testing.T) *boltHarness {
	s := &boltHarness{harness: newHarness(t, 20, true)}
	s.core.UpdateStores(StoreList{Kind: balance.ListFull, Entries: []StoreEntry{{ID: "b", Addr: "127.0.0.1:2", Bolt: true,
		Member: balance.Member{Group: boltGroup, Condition: balance.Ready, Primary: true, Size: 1}}}})
	s.step()
	return s
}

// newBoltClient opens a client's connection and logs on.
func (s *boltHarness) newBoltClient() *fakeLink {
	cl := &fakeLink{in: bolt.AppendHandshake(nil)}
	s.step(Event{cl, Accepted | Bolt | Readable})
	empty := func(dst []byte) []byte { return bolt.AppendMap(dst, 0) }
	s.send(cl, boltMessage(bolt.Hello, 1, empty), boltMessage(bolt.Logon, 1, empty))
	cl.takeOutput()
	return cl
}

// answerBolt returns the answers of a store to what it was sent; each statement has one record, its text.
func (s *boltHarness) answerBolt(sent string) (answers string) {
	s.t.Helper()
	reader, statement := bolt.Reader{MaxSize: 1 << 20}, ""
	for sent != "" {
		body, size, err := reader.Next([]byte(sent))
		if err != nil || size == 0 {
			s.t.Fatalf("the store is sent %q", sent)
		}
		r, err := bolt.ReadRequest(body)
		if err != nil {
			s.t.Fatal(err)
		}
		switch r.Type {
		case bolt.Run:
			statement = string(r.Query)
			answers += string(bolt.AppendSuccess(nil, 2, func(dst []byte) []byte {
				dst = bolt.AppendInt(bolt.AppendString(dst, "qid"), s.results)
				return bolt.AppendString(bolt.AppendList(bolt.AppendString(dst, "fields"), 1), "value")
			}))
			s.results++
		case bolt.Pull:
			answers += boltMessage(bolt.Record, 1, func(dst []byte) []byte { return bolt.AppendString(bolt.AppendList(dst, 1), statement) })
			answers += string(bolt.AppendSuccess(nil, 1, func(dst []byte) []byte { return bolt.AppendPair(dst, "type", "r") }))
		default:
			answers += string(bolt.AppendSuccess(nil, 0, nil))
		}
		sent = sent[size:]
	}
	return answers
}

// openBoltStore completes the startup of the newest connection to a store.
func (s *boltHarness) openBoltStore() *fakeLink {
	s.t.Helper()
	st := s.dials[len(s.dials)-1]
	st.takeOutput()
	s.send(st, string(binary.BigEndian.AppendUint32(nil, uint32(bolt.MakeVersion(5, 4)))))
	s.send(st, s.answerBolt(st.takeOutput()))
	return st
}

// statementOf returns the statement whose record is among answers, or "".
func statementOf(answers string) string {
	_, after, found := strings.Cut(answers, "statement ")
	if !found {
		return ""
	}
	return "statement " + after[:1]
}
