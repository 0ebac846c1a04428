package standin

import (
	"context"
	"testing"
	"time"

	"github.com/neo4j/neo4j-go-driver/v5/neo4j"
	"github.com/neo4j/neo4j-go-driver/v5/neo4j/config"

	"micatrack/internal/bolt"
)

func txConfig(id, profile string) func(*neo4j.TransactionConfig) {
	return func(c *neo4j.TransactionConfig) {
		neo4j.WithTxTimeout(time.Second)(c)
		neo4j.WithTxMetadata(map[string]any{"id": id, "c": profile, "t": "acme", "cluster": 1})(c)
	}
}

// TestRealDriver checks that an unmodified driver can use the test store: auto-commit, transactions, bookmarks, results
// pulled in pieces, a failure followed by a reset, and a write at a replica.
func TestRealDriver(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	g := NewGroup(1, 3*time.Second, "primary", "replica")
	g.SetLag("replica", 300*time.Millisecond)
	p, err := NewBolt("primary", g)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	r, err := NewBolt("replica", g)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	open := func(addr string) neo4j.DriverWithContext {
		d, err := neo4j.NewDriverWithContext("bolt://"+addr, neo4j.NoAuth(), func(c *config.Config) {
			c.FetchSize = 100
			c.MaxTransactionRetryTime = 2 * time.Second
			c.TelemetryDisabled = true
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { d.Close(ctx) })
		return d
	}
	primary, replica := open(p.Addr()), open(r.Addr())
	s := primary.NewSession(ctx, neo4j.SessionConfig{})
	defer s.Close(ctx)
	res, err := s.Run(ctx, "RETURN range(1, 1000)", nil, txConfig("a", "read"))
	if err != nil {
		t.Fatal(err)
	}
	if records, err := res.Collect(ctx); err != nil || len(records) != 1000 || records[999].Values[0] != "a" {
		t.Fatalf("%d records, %v", len(records), err)
	}
	calls := 0
	got, err := s.ExecuteWrite(ctx, func(tx neo4j.ManagedTransaction) (any, error) {
		if calls++; calls == 1 { // A transient failure, which the driver itself retries.
			p.SetBehavior(func(requestID string, w bolt.MessageType) Behavior {
				if w == bolt.Run {
					return Reject
				}
				return Respond
			})
			defer p.SetBehavior(nil)
		}
		res, err := tx.Run(ctx, "CREATE (n)", nil)
		if err != nil {
			return nil, err
		}
		rec, err := res.Single(ctx)
		if err != nil {
			return nil, err
		}
		return rec.Values[0], nil
	}, txConfig("b", "save"))
	if err != nil || got != "b" {
		t.Fatalf("%v, %v after %d calls", got, err, calls)
	}
	marks := s.LastBookmarks()
	if len(marks) != 1 {
		t.Fatalf("bookmarks %v", marks)
	}
	group, position, err := bolt.ReadBookmark([]byte(marks[0]))
	if err != nil || group != 1 {
		t.Fatalf("bookmark %s: %v", marks[0], err)
	}
	behind := replica.NewSession(ctx, neo4j.SessionConfig{Bookmarks: marks, AccessMode: neo4j.AccessModeRead})
	defer behind.Close(ctx)
	began := time.Now()
	if _, err := behind.ExecuteRead(ctx, func(tx neo4j.ManagedTransaction) (any, error) {
		res, err := tx.Run(ctx, "RETURN 1", nil)
		if err != nil {
			return nil, err
		}
		return res.Consume(ctx)
	}, txConfig("c", "mine")); err != nil {
		t.Errorf("read after a bookmark at a lagging replica: %v", err)
	}
	if time.Since(began) < 100*time.Millisecond {
		t.Error("a replica answered before it reached the bookmark")
	}
	if _, err := replica.NewSession(ctx, neo4j.SessionConfig{}).Run(ctx, "CREATE (n)", nil, txConfig("d", "save")); err == nil {
		t.Error("a replica accepted a write")
	}
	told := []Outcome{{RequestID: "a", Delivered: true}, {RequestID: "b", Write: true, Delivered: true}, {RequestID: "c", Delivered: true, After: position},
		{RequestID: "d", Write: true, Rejected: true}}
	if broken := g.Check(told, time.Second); broken != nil {
		t.Errorf("%v in %+v", broken, g.Ledger())
	}
}

// TestCheckReportsViolations checks that Check reports each rule that is violated.
func TestCheckReportsViolations(t *testing.T) {
	g := NewGroup(1, time.Hour, "p", "r")
	g.Write("p", "twice", "")
	g.Write("p", "twice", "")
	g.Write("p", "first", "m")
	g.Write("p", "second", "m")
	g.SetLag("r", time.Hour)
	stale, _ := g.Read("r", "stale", 0)
	g.MarkDraining("r")
	time.Sleep(2 * time.Millisecond)
	g.Read("r", "late", 0)
	violations := g.Check([]Outcome{{RequestID: "ghost", Delivered: true}, {RequestID: "twice", Write: true, Rejected: true}, {RequestID: "stale", Delivered: true, After: stale + 1},
		{RequestID: "stale", Delivered: true}}, time.Millisecond)
	if len(violations) != 6 {
		t.Errorf("%d: %q", len(violations), violations)
	}
	if _, ok := g.Write("r", "x", ""); ok {
		t.Error("a replica accepted a write")
	}
}
