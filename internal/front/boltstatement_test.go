package front

import (
	"fmt"
	"strings"
	"testing"

	"micatrack/balance"
	"micatrack/internal/bolt"
)

// TestBoltStatementAtAReplicaThatLags guards against sending a statement of a transaction to a replica whose data has
// become too old for the transaction's class since it began (review/9). The replica is asked for its position first.
func TestBoltStatementAtAReplicaThatLags(t *testing.T) {
	const bound = 300 * millisecond
	entries := []StoreEntry{
		{ID: "b", Addr: "127.0.0.1:2", Bolt: true, Member: balance.Member{Group: boltGroup, Condition: balance.Ready, Primary: true, Size: 1}},
		{ID: "r", Addr: "127.0.0.1:3", Bolt: true, Member: balance.Member{Group: boltGroup, Condition: balance.Ready, Size: 1}}}
	for _, c := range []struct {
		name      string
		mayProbe  bool
		lag       Time // what the replica tells when it is asked; negative: nothing
		pipelined bool // BEGIN has not been answered yet
		sent      bool
	}{
		{"it keeps up", true, 10 * millisecond, false, true},
		{"it lags", true, 900 * millisecond, false, false},
		{"it does not tell", true, -1, false, false},
		{"it cannot be asked", false, -1, false, false},
		{"it lags, and the client knows nothing of the transaction yet", true, 900 * millisecond, true, false},
	} {
		s := newBoltHarness(t)
		s.settings.MayProbe = c.mayProbe
		s.restartWith(balance.Class{Name: "bounded", Need: balance.Bounded, Bound: bound, ExpectedTime: 4000, Deadline: 15000, Credit: 1}, entries...)
		replica := s.core.storeIndex["r"]
		tell := func(lag Time) {
			s.core.balancer.ProbeDone(s.now, replica, balance.Result{Load: balance.Report{Position: s.now - lag, Role: balance.Replica}})
		}
		tell(0)
		cl := s.newBoltClient()
		s.send(cl, boltBegin("bounded", 1))
		if s.dials[0].addr != "127.0.0.1:3" {
			t.Fatalf("%s: the transaction begins at %s", c.name, s.dials[0].addr)
		}
		st := s.openBoltStore()
		answer := s.answerBolt(st.takeOutput())
		if !c.pipelined {
			s.send(st, answer)
			cl.takeOutput()
		}
		s.now += 700 * millisecond
		s.send(cl, boltRun("", 1))
		if sent := st.takeOutput(); sent != "" {
			t.Fatalf("%s: the store is sent %q, and its position is not known", c.name, sent)
		}
		if c.lag >= 0 {
			s.now++
			tell(c.lag)
		}
		s.advance(4*millisecond + 4000/10)
		sent := st.takeOutput()
		if strings.Contains(sent, "statement 1") != c.sent {
			t.Errorf("%s: the store is sent %q", c.name, sent)
		}
		out := cl.takeOutput()
		switch {
		case c.sent:
			s.send(st, s.answerBolt(sent))
			if got := statementOf(cl.takeOutput()); got != "statement 1" {
				t.Errorf("%s: answered with %q", c.name, got)
			}
		case !c.pipelined && !strings.Contains(out, bolt.NoThreadsAvailable):
			t.Errorf("%s: answered %q", c.name, out)
		case c.pipelined && (out != "" || !st.closed || s.dials[len(s.dials)-1].addr != "127.0.0.1:2"):
			t.Errorf("%s: answered %q, and the primary is not tried: %s", c.name, out, fmt.Sprint(len(s.dials)))
		}
	}
}
