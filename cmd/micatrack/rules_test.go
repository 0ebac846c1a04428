package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"micatrack/internal/pgwire"
	"micatrack/internal/standin"
)

// rules plays one seed: stores of one group with faults drawn from it, clients that write and read, and a real front,
// with the door or without it. The stores' own ledger is held against what the clients were told.
func rules(t *testing.T, seed uint64, door bool) {
	chance := rand.New(rand.NewPCG(seed, 1))
	names := []string{"a", "b", "c"}
	g := standin.NewGroup(1, 3*time.Second, names...)
	var stores []*standin.Postgres
	var lines []standin.Server
	for i, name := range names {
		s, err := standin.NewPostgres(name, g)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		s.SetDelay(time.Duration(2+chance.IntN(10)) * time.Millisecond)
		stores = append(stores, s)
		role := "replica"
		if i == 0 {
			role = "primary"
		}
		lines = append(lines, standin.Server{ID: name, Addr: s.Addr(), Zone: "a", Kind: "k", Group: 1, State: "active", Weight: 1, Role: role})
	}
	d := standin.NewDiscovery(lines...)
	defer d.Close()
	addr, config, switches := frontFiles(t, d, door)
	launch(t, "msg=serving", nil, "serve", "-config", config, "-operators", switches)

	var mu sync.Mutex
	var told []standin.Outcome
	var all sync.WaitGroup
	stop := time.Now().Add(3 * time.Second)
	for k := range 24 {
		draws := rand.New(rand.NewPCG(seed, uint64(100+k)))
		all.Add(1)
		go func() {
			defer all.Done()
			r, after := dial(t, addr), int64(0)
			for n := 0; time.Now().Before(stop) && r != nil; n++ {
				kind := []string{"any", "mine", "mine", "save", "order"}[draws.IntN(5)]
				mark := ""
				if kind == "order" {
					mark = fmt.Sprintf("%d-%d", k, n)
				}
				for try := range 2 {
					a := standin.Outcome{RequestID: fmt.Sprintf("s%d-%d-%d-%d", seed, k, n, try), IdempotencyKey: mark, Write: kind == "save" || kind == "order"}
					text := fmt.Sprintf("/* id=%s,c=%s,t=t%d,d=1000,cluster=1", a.RequestID, kind, k%5)
					if mark != "" {
						text += ",k=" + mark
					}
					verb := " */ SELECT payload FROM entries WHERE ref = '%d'"
					if a.Write {
						verb = " */ INSERT INTO entries (ref) VALUES ('%d') RETURNING payload"
					} else if kind == "mine" {
						a.After = after
					}
					began := time.Now()
					code, _, err := r.ask(text + fmt.Sprintf(verb, k))
					if err != nil || time.Since(began) > 1500*time.Millisecond {
						t.Errorf("seed %d: %s has no answer in time: %v after %v", seed, a.RequestID, err, time.Since(began))
						return
					}
					a.Delivered, a.Rejected = code == "", code == pgwire.TooManyConnections
					mu.Lock()
					told = append(told, a)
					mu.Unlock()
					if a.Delivered && a.Write {
						for _, e := range g.Ledger() {
							if e.RequestID == a.RequestID {
								after = max(after, e.Position)
							}
						}
					}
					if !a.Rejected {
						break
					}
				}
			}
		}()
	}
	for time.Now().Before(stop) {
		time.Sleep(time.Duration(100+chance.IntN(200)) * time.Millisecond)
		i := chance.IntN(len(stores))
		s, part := stores[i], uint64(2+chance.IntN(6))
		switch what := chance.IntN(8); what {
		case 0:
			g.SetLag(s.Name, time.Duration(chance.IntN(800))*time.Millisecond)
		case 1:
			s.CloseConnections()
		case 2:
			g.Promote(s.Name)
		case 3:
			s.SetBehavior(nil)
		default:
			act := []standin.Behavior{standin.Hang, standin.Reject, standin.RunThenDisconnect, standin.Corrupt}[what-4]
			s.SetBehavior(func(job string) standin.Behavior {
				if n := len(job); uint64(job[n-1]+job[n-3])%part == 0 {
					return act
				}
				return standin.Respond
			})
		}
		if time.Until(stop) < 1700*time.Millisecond && lines[2].State == "active" { // the last one drains for good
			lines[2].State = "leaving"
			g.MarkDraining("c")
			d.Update(func(l []standin.Server) []standin.Server { l[2].State = "leaving"; return l })
			if p, _ := g.Primary(); p == "c" {
				g.Promote("a")
			}
		}
	}
	all.Wait()
	counts := map[string]int{}
	for _, a := range told {
		switch {
		case a.Delivered:
			counts["delivered"]++
		case a.Rejected:
			counts["turned back"]++
		default:
			counts["written off"]++
		}
	}
	t.Logf("seed %d, door %v: %v, %d entries", seed, door, counts, len(g.Ledger()))
	if counts["delivered"] < 100 {
		t.Errorf("seed %d: too few were delivered to tell anything", seed)
	}
	for _, b := range g.Check(told, 550*time.Millisecond) {
		t.Errorf("seed %d, door %v: %s", seed, door, b)
	}
}

// frontFiles writes the files of a front for that discovery.
func frontFiles(t testing.TB, d *standin.Discovery, door bool) (addr, config, switches string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = l.Addr().String()
	l.Close()
	text, err := os.ReadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		t.Fatal(err)
	}
	c["listen"], c["discovery"], c["known"] = addr, d.Addr(), json.RawMessage(d.JSON())
	settings := c["settings"].(map[string]any)
	extra := settings["Extra"].(map[string]any)
	extra["Freshness"] = append(extra["Freshness"].([]any), "write")
	extra["OldestData"] = append(extra["OldestData"].([]any), 0)
	settings["Profiles"] = append(settings["Profiles"].([]any), map[string]any{"Name": "order", "Idempotency": "by_key", "Group": "cell",
		"Window": 3000000, "Aim": 750000, "HardLimit": 3000000, "Worth": 4})
	text, _ = json.Marshal(c)
	dir := t.TempDir()
	config, switches = filepath.Join(dir, "config.json"), filepath.Join(dir, "operators.json")
	os.WriteFile(config, text, 0o600)
	os.WriteFile(switches, fmt.Appendf(nil, `{"door":{"on":%v}}`, door), 0o600)
	return addr, config, switches
}

func dial(t *testing.T, addr string) *rider {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return nil
	}
	t.Cleanup(func() { c.Close() })
	c.Write(pgwire.AppendStartup(nil, "web", "orders"))
	r := &rider{c, bufio.NewReader(c)}
	for kind := byte(0); kind != 'Z'; {
		if kind, _, err = message(r.r); err != nil {
			t.Error(err)
			return nil
		}
	}
	return r
}

// TestRulesFromSeeds: through resets, hangs, refusals, lost and spoilt answers, lag, changes of the primary and a drain, no
// rule is broken, with the door and without it.
func TestRulesFromSeeds(t *testing.T) {
	for seed := range uint64(4) {
		for _, door := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, door %v", seed, door), func(t *testing.T) {
				t.Parallel()
				rules(t, seed, door)
			})
		}
	}
}
