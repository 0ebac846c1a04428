package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/neo4j/neo4j-go-driver/v5/neo4j"
	"github.com/neo4j/neo4j-go-driver/v5/neo4j/config"

	"micatrack/internal/bolt"
	"micatrack/internal/standin"
)

// graph is a group of stores that speak Bolt, their discovery and a front before them.
type graph struct {
	t      testing.TB
	pid    int
	group  *standin.Group
	stores map[string]*standin.Bolt
	d      *standin.Discovery
	addr   string
}

func newGraph(t testing.TB, names ...string) *graph {
	g := &graph{t: t, group: standin.NewGroup(1, 3*time.Second, names...), stores: map[string]*standin.Bolt{}}
	var lines []standin.Server
	for i, name := range names {
		s, err := standin.NewBolt(name, g.group)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		g.stores[name] = s
		role := "replica"
		if i == 0 {
			role = "primary"
		}
		lines = append(lines, standin.Server{ID: name, Addr: s.Addr(), Zone: "a", Kind: "k", Group: 1, State: "active", Weight: 1, Role: role, Protocol: "bolt"})
	}
	g.d = standin.NewDiscovery(lines...)
	t.Cleanup(g.d.Close)
	_, config, switches := frontFiles(t, g.d, true)
	text, _ := json.Marshal(map[string]any{"door": map[string]any{"on": true},
		"bolt": map[string]any{"on": true, "listen": "127.0.0.1:0", "drain_ms": 200}})
	os.WriteFile(switches, text, 0o600)
	cmd, line := launch(t, "msg=bolt", nil, "serve", "-config", config, "-operators", switches)
	g.pid = cmd.Process.Pid
	_, g.addr, _ = strings.Cut(line, "listen=")
	return g
}

func (g *graph) driver(scheme string) neo4j.DriverWithContext {
	d, err := neo4j.NewDriverWithContext(scheme+"://"+g.addr, neo4j.NoAuth(), func(c *config.Config) {
		c.FetchSize = 500
		c.MaxTransactionRetryTime = 8 * time.Second
	})
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { d.Close(context.Background()) })
	return d
}

func says(id, profile string) func(*neo4j.TransactionConfig) {
	return func(c *neo4j.TransactionConfig) {
		neo4j.WithTxTimeout(2500 * time.Millisecond)(c)
		neo4j.WithTxMetadata(map[string]any{"id": id, "c": profile, "t": "acme", "cluster": 1})(c)
	}
}

func one(ctx context.Context, statement string) neo4j.ManagedTransactionWork {
	return func(tx neo4j.ManagedTransaction) (any, error) {
		r, err := tx.Run(ctx, statement, nil)
		if err != nil {
			return nil, err
		}
		rec, err := r.Single(ctx)
		if err != nil {
			return nil, err
		}
		return rec.Values[0], nil
	}
}

// TestBoltThroughAFront: an unmodified driver, direct and routing: auto-commit, transactions, bookmarks, a large result.
func TestBoltThroughAFront(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), outer)
	defer cancel()
	g := newGraph(t, "a", "b", "c")
	g.group.SetLag("b", 150*time.Millisecond)
	var told []standin.Outcome
	for _, scheme := range []string{"bolt", "neo4j"} {
		s := g.driver(scheme).NewSession(ctx, neo4j.SessionConfig{})
		res, err := s.Run(ctx, "RETURN range(1, 50000)", nil, says(scheme+"-many", "any"))
		if err != nil {
			t.Fatal(scheme, err)
		}
		if records, err := res.Collect(ctx); err != nil || len(records) != 50000 || records[49999].Values[0] != scheme+"-many" {
			t.Fatalf("%s: %d records, %v", scheme, len(records), err)
		}
		told = append(told, standin.Outcome{RequestID: scheme + "-many", Delivered: true})
		after := int64(0)
		for n := range 10 {
			w, r := fmt.Sprintf("%s-w%d", scheme, n), fmt.Sprintf("%s-r%d", scheme, n)
			if got, err := s.ExecuteWrite(ctx, one(ctx, "CREATE (n)"), says(w, "save")); err != nil || got != w {
				t.Fatalf("%s: %v, %v", w, got, err)
			}
			marks := s.LastBookmarks()
			if len(marks) != 1 {
				t.Fatalf("bookmarks %v", marks)
			}
			if _, after, err = bolt.ReadBookmark([]byte(marks[0])); err != nil {
				t.Fatal(err)
			}
			if got, err := s.ExecuteRead(ctx, one(ctx, "RETURN 1"), says(r, "mine")); err != nil || got != r {
				t.Fatalf("%s: %v, %v", r, got, err)
			}
			told = append(told, standin.Outcome{RequestID: w, Write: true, Delivered: true}, standin.Outcome{RequestID: r, Delivered: true, After: after})
		}
		if _, err := s.Run(ctx, "RETURN 1", nil, says("x", "nosuch")); err == nil || !strings.Contains(err.Error(), "unknown class") {
			t.Errorf("an unknown profile: %v", err)
		}
		s.Close(ctx)
	}
	if broken := g.group.Check(told, time.Second); broken != nil {
		t.Error(broken)
	}
}

// TestBoltRidesOutAChangeOfPrimary: managed transactions go on over changes of the primary, lost answers and breaks, with
// no effect twice.
func TestBoltRidesOutAChangeOfPrimary(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*outer)
	defer cancel()
	g := newGraph(t, "a", "b", "c")
	var mu sync.Mutex
	var told []standin.Outcome
	var all sync.WaitGroup
	stop := time.Now().Add(4 * time.Second)
	for k := range 8 {
		all.Add(1)
		go func() {
			defer all.Done()
			s := g.driver("neo4j").NewSession(ctx, neo4j.SessionConfig{}) // one each: its router races with itself
			defer s.Close(ctx)
			for n := 0; time.Now().Before(stop); n++ {
				id := fmt.Sprintf("k%d-%d", k, n)
				_, err := s.ExecuteWrite(ctx, one(ctx, "CREATE (n)"), says(id, "save"))
				mu.Lock()
				told = append(told, standin.Outcome{RequestID: id, Write: true, Delivered: err == nil})
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		}()
	}
	for i, p := range []string{"b", "c", "a"} {
		time.Sleep(time.Second)
		g.group.Promote(p)
		act := []standin.Behavior{standin.Disconnect, standin.RunThenDisconnect, standin.Respond}[i]
		g.stores[p].SetBehavior(func(job string, w bolt.MessageType) standin.Behavior {
			if w == bolt.Commit && strings.HasSuffix(job, "3") {
				return act
			}
			return standin.Respond
		})
	}
	all.Wait()
	delivered := 0
	for _, a := range told {
		if a.Delivered {
			delivered++
		}
	}
	t.Logf("%d transactions, %d committed as told", len(told), delivered)
	if delivered < len(told)/2 {
		t.Errorf("only %d of %d were committed", delivered, len(told))
	}
	if broken := g.group.Check(told, time.Minute); broken != nil {
		t.Error(broken)
	}
}
