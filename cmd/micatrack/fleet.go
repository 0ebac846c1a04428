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

// noteTTLPeriods is the number of protocol periods after which a note received from another front expires.
const noteTTLPeriods = 20

// fleetNode connects a front's event loop with the fleet's state machines and with the messages between fronts. It
// belongs to the event loop, except for calls, to which the control listener sends, and configFront, which the voter's
// goroutine reads.
type fleetNode struct {
	*fleet.Fleet
	now           func() front.Time
	peers         *peers.Transport
	core          *front.Core
	log           *slog.Logger
	adapter       fleetadapter.Adapter
	leases        *leaseService  // nil if leases are disabled
	positionWatch *positionWatch // nil if the watch of store positions is disabled
	config        *fleetConfig   // nil if each front uses its own files only
	configFront   frontPointer   // holds nil until the fleet's configuration is open
	fleetName     string
	wake          func()      // ends the event loop's wait for events
	calls         chan func() // functions that the control listener's goroutines have the event loop call
	left          bool        // the front has told the fleet that it is leaving
}

// joinFleet opens the front's listener for other fronts and the fleet's parts that the operators' file enables: leases,
// configuration, the watch of positions and the control listener.
func joinFleet(now func() front.Time, cfg *frontConfig, wake func(), log *slog.Logger) (*fleetNode, error) {
	f := cfg.operators.Fleet
	transport, err := peers.Open(f.Listen, f.Name, wake)
	if err != nil {
		return nil, err
	}
	node := &fleetNode{now: now, peers: transport, fleetName: f.Name, wake: wake, log: log.With("fleet", f.Name), calls: make(chan func(), 16)}
	period := f.PeriodMS * 10
	addr, incarnation := cmp.Or(f.Advertise, transport.Addr()), uint64(now())/10
	node.Fleet = fleet.New(now(), membership.Config{Name: cfg.name, Zone: cmp.Or(cfg.settings.Zone, "-"), Addr: addr, Incarnation: incarnation, RandomSeed: cfg.settings.Seed, Period: period, Seeds: f.Seeds, MaxMembers: f.Members, NoteTTL: noteTTLPeriods * period},
		zones.Config{ColdCapacity: cfg.settings.StartCapacity, WarmupTime: cfg.settings.WarmupTime, OverloadTolerance: cfg.settings.ColdOverloadSpan}, node)
	node.adapter.Zones = node.Zones
	if len(f.Lease.Voters) > 0 {
		control := newConfigControl(node, cfg, addr)
		if node.leases, err = newLeaseService(node, cfg, incarnation, addr, wake, control); err != nil {
			transport.Close()
			return nil, err
		}
		if f.Config.On {
			node.config = newFleetConfig(node, cfg, incarnation, addr, control)
		}
		if f.Lease.Watch {
			node.positionWatch = newPositionWatch(node, cfg, addr)
		}
	}
	if f.Config.On && node.config == nil {
		transport.Close()
		return nil, fmt.Errorf("config: lease.voters is missing; the voters store the configuration")
	}
	if f.Control != "" {
		if err := node.serveControl(f.Control, wake); err != nil {
			node.close()
			transport.Close()
			return nil, err
		}
	}
	return node, nil
}

// attachCore gives the fleet its core, to which zone shares are applied from now on. It returns when the front has joined
// the fleet, or after wait. Without that wait, a front that starts while traffic is returning to a zone in steps would
// send the zone its full share at once.
func (node *fleetNode) attachCore(c *front.Core, known front.StoreList, wait time.Duration) {
	node.core = c
	node.adapter.UpdateStores(node.now(), known)
	for end := time.Now().Add(wait); !node.Members.Joined() && time.Now().Before(end); {
		node.step(nil, false)
		time.Sleep(5 * time.Millisecond)
	}
	node.log.Info("joined", "fronts", len(node.Members.List()), "listen", node.peers.Addr())
}

// step is the fleet's part of one iteration of the event loop. It handles store lists, messages from other fronts, calls
// from the control listener and expired timers. With stopping set, the front leaves the fleet.
func (node *fleetNode) step(lists []front.StoreList, stopping bool) {
	now := node.now()
	for _, l := range lists {
		node.adapter.UpdateStores(now, l)
	}
	if stopping && !node.left {
		node.left = true
		node.Members.Leave(now)
		if node.leases != nil {
			node.leases.stopping = true
		}
	}
	node.peers.Receive(func(m *membership.Message) bool { return node.Fleet.Receive(now, m) },
		func() *membership.Message { return node.Members.SyncMessage(membership.SyncResponse) })
	for {
		select {
		case ask := <-node.calls:
			ask()
			continue
		default:
		}
		break
	}
	if now >= node.Fleet.Next() {
		node.Tick(now)
	}
	if node.leases != nil {
		node.leases.step(now)
	}
	if node.positionWatch != nil {
		node.positionWatch.step(now)
	}
	if node.config != nil {
		node.config.step(now)
	}
}

// Next returns the time at which step must be called again.
func (node *fleetNode) Next() front.Time {
	next := node.Fleet.Next()
	if node.leases != nil {
		next = min(next, node.leases.next())
	}
	if node.positionWatch != nil {
		next = min(next, node.positionWatch.watch.NextTick())
	}
	if node.config != nil {
		next = min(next, node.config.front.Next())
	}
	return next
}

// close closes the parts that keep files on disk.
func (node *fleetNode) close() {
	if node.leases != nil {
		node.leases.Close()
	}
	if node.config != nil {
		node.config.front.Close()
	}
}

// Send, StartSync, SetShare and Log implement fleet.Host.

func (node *fleetNode) Send(addr string, m *membership.Message) { node.peers.Send(addr, m) }
func (node *fleetNode) StartSync(addr string) {
	node.peers.StartSync(addr, node.Members.SyncMessage(membership.SyncRequest))
}
func (node *fleetNode) SetShare(zone string, part float64) { node.core.SetZoneShare(zone, part) }
func (node *fleetNode) Log(text string)                    { node.log.Info(text) }

// serveControl serves the operators' commands over HTTP at addr, which must be a loopback address. The commands run in
// the event loop, except for those that leaseService and fleetConfig serve themselves.
func (node *fleetNode) serveControl(addr string, wake func()) error {
	address, err := netip.ParseAddrPort(addr)
	if err != nil || !address.Addr().IsLoopback() {
		return fmt.Errorf("control: %s is not a loopback address with a port", addr)
	}
	listener, err := net.Listen("tcp", addr)
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
			case node.calls <- func() { v, err := do(node.now(), r.URL.Query()); done <- result{v, err} }:
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
	if node.leases != nil {
		node.leases.registerHandlers(mux)
	} else {
		registerLeasesDisabled(mux)
	}
	if node.config != nil {
		node.config.registerHandlers(mux)
		handle("GET /config", func(front.Time, url.Values) (any, error) { return node.config.front.Status(), nil })
	} else {
		registerConfigDisabled(mux)
	}
	handle("GET /members", func(now front.Time, _ url.Values) (any, error) {
		var list []memberStatus
		for _, e := range node.Members.List() {
			list = append(list, memberStatus{e.Name, e.Zone, e.Addr, e.State.String(), e.Incarnation, (now - e.Since) / 10})
		}
		return list, nil
	})
	handle("GET /plan", func(now front.Time, _ url.Values) (any, error) { return node.Zones.Status(now), nil })
	handle("GET /counts", func(front.Time, url.Values) (any, error) {
		if node.positionWatch != nil {
			w := node.positionWatch.watch
			return map[string]any{"peers": node.peers.Counts(), "asked": w.QueriesSent, "answered": w.AnswersReceived, "surveys": w.StoreQueries, "refused": w.Rejected}, nil
		}
		return node.peers.Counts(), nil
	})
	handle("GET /why", func(now front.Time, q url.Values) (any, error) { return node.Zones.Explain(now, q.Get("zone")) })
	handle("POST /order", func(now front.Time, q url.Values) (any, error) {
		span := time.Duration(0)
		if q.Get("leave") != "" {
			var err error
			if span, err = time.ParseDuration(q.Get("for")); err != nil {
				return nil, err
			}
		}
		err := node.Zones.IssueOrder(now, q.Get("zone"), q.Get("leave") != "", q.Get("force") != "", int64(span/tick), uint64(now)/10)
		return node.Zones.Status(now), err
	})
	go (&http.Server{Handler: mux, ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second}).Serve(listener)
	return nil
}

// memberStatus is one member of the fleet in the reply to GET /members.
type memberStatus struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	Addr        string `json:"addr"`
	State       string `json:"state"`
	Incarnation uint64 `json:"incarnation"`
	SinceMS     int64  `json:"since_ms"`
}

// fleetCommands returns the command `micatrack fleet`, whose subcommands query the front of this machine.
func fleetCommands() *cobra.Command {
	var operatorsPath, control string
	var asJSON, force bool
	var leaveFor time.Duration
	root := &cobra.Command{Use: "fleet", Short: "Ask this machine's front about its fleet"}
	root.PersistentFlags().StringVar(&operatorsPath, "operators", "", "the operators' file, whose fleet.control is the address to ask")
	root.PersistentFlags().StringVar(&control, "control", "", "address to ask instead")
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	ask := func(c *cobra.Command, method, path string, q url.Values, show func(w io.Writer, text []byte) error) error {
		if control == "" {
			o, err := operators.Read(operatorsPath)
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
			return exitError{1, err}
		}
		defer resp.Body.Close()
		text, err := io.ReadAll(io.LimitReader(resp.Body, 4<<20))
		if err != nil {
			return exitError{1, err}
		}
		if resp.StatusCode != http.StatusOK {
			return exitError{1, fmt.Errorf("%s", strings.TrimSpace(string(text)))}
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
	members := &cobra.Command{Use: "members", Short: "List the fronts of the fleet", Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			return ask(c, "GET", "/members", nil, func(out io.Writer, text []byte) error {
				var list []memberStatus
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
	plan := &cobra.Command{Use: "plan", Short: "Show the share of ordinary traffic that may go to each zone", Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error { return ask(c, "GET", "/plan", nil, showPlan) }}
	why := &cobra.Command{Use: "why ZONE", Short: "Show the evidence about a zone", Args: cobra.ExactArgs(1),
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
			q := url.Values{"zone": args, "leave": {"1"}, "for": {leaveFor.String()}}
			if force {
				q.Set("force", "1")
			}
			return ask(c, "POST", "/order", q, showPlan)
		}}
	leave.Flags().DurationVar(&leaveFor, "for", 10*time.Minute, "how long the order lasts; it ends by itself")
	leave.Flags().BoolVar(&force, "force", false, "even if the other zones lack the capacity")
	back := &cobra.Command{Use: "return ZONE", Short: "End an order to leave a zone; its traffic returns in steps", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return ask(c, "POST", "/order", url.Values{"zone": args}, showPlan)
		}}
	root.AddCommand(members, plan, why, leave, back)
	root.AddCommand(leaseCommands(ask)...)
	return root
}
