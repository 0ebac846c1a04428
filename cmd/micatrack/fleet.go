package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"micatrack/fleet"
	"micatrack/fleet/membership"
	"micatrack/fleet/zones"
	"micatrack/internal/fleetadapter"
	"micatrack/internal/front"
	"micatrack/internal/operators"
	"micatrack/internal/peers"
)

const noteLife = 20 // periods after which what another front told counts for nothing

// together joins a front's loop with the fleet's decisions and the talk between fronts. All of it is the loop's, but
// for asks, which the control listener puts there.
type together struct {
	*fleet.Fleet
	now     func() front.Time
	peers   *peers.Transport
	core    *front.Core
	log     *slog.Logger
	bridge  fleetadapter.Adapter
	deputy  *deputy     // nil: no leases
	look    *lookout    // nil: no watch of positions
	config  *configured // nil: each front goes by its own files
	handsTo handsTo     // nil until there is a configuration
	name    string      // of the fleet
	wake    func()
	asks    chan func()
	left    bool
}

// join opens the talk with other fronts.
func join(now func() front.Time, o *orders, wake func(), log *slog.Logger) (*together, error) {
	f := o.operators.Fleet
	p, err := peers.Open(f.Listen, f.Name, wake)
	if err != nil {
		return nil, err
	}
	t := &together{now: now, peers: p, name: f.Name, wake: wake, log: log.With("fleet", f.Name), asks: make(chan func(), 16)}
	span := f.PeriodMS * 10
	addr, life := cmp.Or(f.Advertise, p.Addr()), uint64(now())/10
	t.Fleet = fleet.New(now(), membership.Config{Name: o.name, Zone: cmp.Or(o.settings.Zone, "-"), Addr: addr, Incarnation: life, RandomSeed: o.settings.Seed, Period: span, Seeds: f.Seeds, MaxMembers: f.Members, NoteTTL: noteLife * span},
		zones.Config{ColdCapacity: o.settings.StartCapacity, WarmupTime: o.settings.WarmupTime, OverloadTolerance: o.settings.ColdOverloadSpan}, t)
	t.bridge.Zones = t.Zones
	if len(f.Lease.Voters) > 0 {
		control := hosted(t, o, addr)
		if t.deputy, err = depute(t, o, life, addr, wake, control); err != nil {
			p.Close()
			return nil, err
		}
		if f.Config.On {
			t.config = configure(t, o, life, addr, control)
		}
		if f.Lease.Watch {
			t.look = look(t, o, addr)
		}
	}
	if f.Config.On && t.config == nil {
		p.Close()
		return nil, fmt.Errorf("config: it needs lease.voters, which keep it")
	}
	if f.Control != "" {
		if err := t.control(f.Control, wake); err != nil {
			t.close()
			p.Close()
			return nil, err
		}
	}
	return t, nil
}

// serves hands the fleet's plans to the core from now on. The start waits for them, as long as that is allowed.
// Danger: a front that starts while a zone is being returned to would send it all that it can.
func (t *together) serves(c *front.Core, known front.StoreList, wait time.Duration) {
	t.core = c
	t.bridge.UpdateStores(t.now(), known)
	for end := time.Now().Add(wait); !t.Members.Joined() && time.Now().Before(end); {
		t.turn(nil, false)
		time.Sleep(5 * time.Millisecond)
	}
	t.log.Info("joined", "fronts", len(t.Members.List()), "listen", t.peers.Addr())
}

// turn is the fleet's part of a turn of the loop.
func (t *together) turn(lists []front.StoreList, halt bool) {
	now := t.now()
	for _, l := range lists {
		t.bridge.UpdateStores(now, l)
	}
	if halt && !t.left {
		t.left = true
		t.Members.Leave(now)
		if t.deputy != nil {
			t.deputy.ending = true
		}
	}
	t.peers.Receive(func(m *membership.Message) bool { return t.Fleet.Receive(now, m) },
		func() *membership.Message { return t.Members.SyncMessage(membership.SyncResponse) })
	for {
		select {
		case ask := <-t.asks:
			ask()
			continue
		default:
		}
		break
	}
	if now >= t.Fleet.Next() {
		t.Tick(now)
	}
	if t.deputy != nil {
		t.deputy.turn(now)
	}
	if t.look != nil {
		t.look.turn(now)
	}
	if t.config != nil {
		t.config.turn(now)
	}
}

// Next is when turn must be called again.
func (t *together) Next() front.Time {
	next := t.Fleet.Next()
	if t.deputy != nil {
		next = min(next, t.deputy.next())
	}
	if t.look != nil {
		next = min(next, t.look.w.NextTick())
	}
	if t.config != nil {
		next = min(next, t.config.front.Next())
	}
	return next
}

// close ends what has a disk.
func (t *together) close() {
	if t.deputy != nil {
		t.deputy.Close()
	}
	if t.config != nil {
		t.config.front.Close()
	}
}

// Send, Exchange, Part and Log are what the fleet's decisions ask for.
func (t *together) Send(addr string, m *membership.Message) { t.peers.Send(addr, m) }
func (t *together) StartSync(addr string) {
	t.peers.StartSync(addr, t.Members.SyncMessage(membership.SyncRequest))
}
func (t *together) SetShare(zone string, part float64) { t.core.SetZoneShare(zone, part) }
func (t *together) Log(text string)                    { t.log.Info(text) }

// control listens for the commands of this machine's operators. What they ask is done by the loop.
func (t *together) control(addr string, wake func()) error {
	at, err := netip.ParseAddrPort(addr)
	if err != nil || !at.Addr().IsLoopback() {
		return fmt.Errorf("control: %s is no loopback address with a port", addr)
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	handle := func(path string, do func(now front.Time, q url.Values) (any, error)) {
		mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			type result struct {
				value any
				err   error
			}
			done := make(chan result, 1)
			select {
			case t.asks <- func() { v, err := do(t.now(), r.URL.Query()); done <- result{v, err} }:
				wake()
			default:
				http.Error(w, "too many ask at once", http.StatusServiceUnavailable)
				return
			}
			select {
			case got := <-done:
				if got.err != nil {
					http.Error(w, got.err.Error(), http.StatusConflict)
					return
				}
				w.Header().Set("Content-Type", "application/json")
				json.NewEncoder(w).Encode(got.value)
			case <-time.After(2 * time.Second):
				http.Error(w, "the front does not answer", http.StatusGatewayTimeout)
			}
		})
	}
	if t.deputy != nil {
		t.deputy.answer(mux)
	} else {
		withoutLeases(mux)
	}
	if t.config != nil {
		t.config.answer(mux)
		handle("GET /config", func(front.Time, url.Values) (any, error) { return t.config.front.Status(), nil })
	} else {
		withoutConfig(mux)
	}
	handle("GET /members", func(now front.Time, _ url.Values) (any, error) {
		var list []told
		for _, e := range t.Members.List() {
			list = append(list, told{e.Name, e.Zone, e.Addr, e.State.String(), e.Incarnation, (now - e.Since) / 10})
		}
		return list, nil
	})
	handle("GET /plan", func(now front.Time, _ url.Values) (any, error) { return t.Zones.Status(now), nil })
	handle("GET /counts", func(front.Time, url.Values) (any, error) {
		if t.look != nil {
			w := t.look.w
			return map[string]any{"peers": t.peers.Counts(), "asked": w.QueriesSent, "answered": w.AnswersReceived, "surveys": w.StoreQueries, "refused": w.Rejected}, nil
		}
		return t.peers.Counts(), nil
	})
	handle("GET /why", func(now front.Time, q url.Values) (any, error) { return t.Zones.Explain(now, q.Get("zone")) })
	handle("POST /order", func(now front.Time, q url.Values) (any, error) {
		span := time.Duration(0)
		if q.Get("leave") != "" {
			var err error
			if span, err = time.ParseDuration(q.Get("for")); err != nil {
				return nil, err
			}
		}
		err := t.Zones.IssueOrder(now, q.Get("zone"), q.Get("leave") != "", q.Get("force") != "", int64(span/tick), uint64(now)/10)
		return t.Zones.Status(now), err
	})
	go (&http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second}).Serve(l)
	return nil
}

// told is one member, as it is shown.
type told struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Addr        string `json:"addr"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	SinceMS     int64  `json:"since_ms"`
}

// fleetCommands ask the front of this machine.
func fleetCommands() *cobra.Command {
	var switches, control string
	var asJSON, force bool
	var span time.Duration
	root := &cobra.Command{Use: "fleet", Short: "Ask this machine's front about its fleet"}
	root.PersistentFlags().StringVar(&switches, "operators", "", "the operators' file, whose fleet.control is asked")
	root.PersistentFlags().StringVar(&control, "control", "", "address to ask instead")
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	ask := func(c *cobra.Command, method, path string, q url.Values, show func(w io.Writer, text []byte) error) error {
		if control == "" {
			o, err := operators.Read(switches)
			if err != nil {
				return err
			}
			if control = o.Fleet.Control; control == "" {
				return fmt.Errorf("no address to ask: give --control, or --operators with fleet.control")
			}
		}
		r, err := http.NewRequest(method, "http://"+control+path+"?"+q.Encode(), nil)
		if err != nil {
			return err
		}
		resp, err := (&http.Client{Timeout: 5 * time.Second}).Do(r)
		if err != nil {
			return exit{1, err}
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(io.LimitReader(resp.Body, 4<<20))
		if err != nil {
			return exit{1, err}
		}
		if resp.StatusCode != http.StatusOK {
			return exit{1, fmt.Errorf("%s", strings.TrimSpace(string(text)))}
		}
		if asJSON {
			_, err = c.OutOrStdout().Write(text)
			return err
		}
		return show(c.OutOrStdout(), text)
	}
	showPlan := func(out io.Writer, text []byte) error {
		var rows []zones.ZoneStatus
		if err := json.Unmarshal(text, &rows); err != nil {
			return err
		}
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "ZONE\tSTATE\tHERE\tFLEET\tEPOCH\tAGE\tFRONTS\tSIZE\tBY\tREASON")
		for _, r := range rows {
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%d\t%v\t%d\t%g\t%s\t%s\n", r.Zone, r.State, r.Part, r.Fleet, r.Epoch,
				time.Duration(r.AgeMS)*time.Millisecond, r.Fronts, r.Size, r.By, r.Reason)
		}
		return w.Flush()
	}
	members := &cobra.Command{Use: "members", Short: "List the fronts of the fleet", Args: unexpected,
		RunE: func(c *cobra.Command, _ []string) error {
			return ask(c, "GET", "/members", nil, func(out io.Writer, text []byte) error {
				var list []told
				if err := json.Unmarshal(text, &list); err != nil {
					return err
				}
				w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "NAME\tZONE\tADDRESS\tSTATE\tFOR\tLIFE")
				for _, e := range list {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%d\n", e.Name, e.Zone, e.Addr, e.State,
						time.Duration(e.SinceMS)*time.Millisecond, e.Incarnation)
				}
				return w.Flush()
			})
		}}
	plan := &cobra.Command{Use: "plan", Short: "Show which part of ordinary traffic may go to each zone", Args: unexpected,
		RunE: func(c *cobra.Command, _ []string) error { return ask(c, "GET", "/plan", nil, showPlan) }}
	why := &cobra.Command{Use: "why ZONE", Short: "Show what is seen of a zone", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return ask(c, "GET", "/why", url.Values{"zone": args}, func(out io.Writer, text []byte) error {
				var lines []string
				if err := json.Unmarshal(text, &lines); err != nil {
					return err
				}
				_, err := fmt.Fprintln(out, strings.Join(lines, "\n"))
				return err
			})
		}}
	leave := &cobra.Command{Use: "leave ZONE", Short: "Move ordinary traffic out of a zone for a while", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			q := url.Values{"zone": args, "leave": {"1"}, "for": {span.String()}}
			if force {
				q.Set("force", "1")
			}
			return ask(c, "POST", "/order", q, showPlan)
		}}
	leave.Flags().DurationVar(&span, "for", 10*time.Minute, "how long; it ends by itself")
	leave.Flags().BoolVar(&force, "force", false, "also where the rest does not bear it")
	back := &cobra.Command{Use: "return ZONE", Short: "End an order to leave a zone; its traffic comes back in steps", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return ask(c, "POST", "/order", url.Values{"zone": args}, showPlan)
		}}
	root.AddCommand(members, plan, why, leave, back)
	root.AddCommand(leaseCommands(ask)...)
	return root
}
