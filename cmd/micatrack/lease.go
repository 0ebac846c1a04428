package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"micatrack/fleet/lease"
	"micatrack/fleet/summary"
	"micatrack/fleet/zones"
	"micatrack/internal/front"
	"micatrack/internal/leases"
)

// leaseService is a front's part in the fleet's leases, and the work that it does for the whole fleet while it holds one:
// the fleet's summary. It belongs to the event loop, except for the HTTP handlers.
type leaseService struct {
	*leases.Leases
	node            *fleetNode
	summary         *summary.Summary // nil if the front sends no summaries
	collector       string           // URL to which summaries are posted; empty to only log them
	sendResults     chan sendResult  // the result of sending the last summary; holds at most one
	stopping        bool             // a planned stop has begun
	released        bool             // the release of all leases has begun
	leadTransferred bool             // the transfer of the voters' leadership has begun
}

// sendResult is the result of sending a summary.
type sendResult struct {
	refused bool   // the collector has seen a newer token
	failure string // why the summary was not delivered; empty if it was, or was refused
}

// tokenHeader is the HTTP header that carries the lease's token. A collector that has seen a newer token replies with 409.
const tokenHeader = "Micatrack-Token"

// newLeaseService opens a front's part in leases. c is the state machine that the voter hosts beside the leases.
func newLeaseService(node *fleetNode, cfg *frontConfig, incarnation uint64, addr string, wake func(), c leases.HostedMachine) (*leaseService, error) {
	l := &cfg.operators.Fleet.Lease
	if len(l.Voters)%2 == 0 {
		return nil, fmt.Errorf("lease.voters: the number of voters must be odd; %d voters survive no more losses than %d", len(l.Voters), len(l.Voters)-1)
	}
	options := leases.Config{Fleet: cfg.operators.Fleet.Name, Self: lease.Instance{Name: cfg.name, Life: incarnation}, Addr: addr, StatePath: l.State,
		Terms: lease.Terms{Span: l.SpanMS * 10, Drift: l.Drift, Margin: l.MarginMS * 10}, Seed: cfg.settings.Seed, HostedMachine: c}
	for _, v := range l.Voters {
		if slices.ContainsFunc(options.Voters, func(s lease.VoterInfo) bool { return s.Name == v.Name }) {
			return nil, fmt.Errorf("lease.voters: duplicate voter name %s", v.Name)
		}
		options.Voters = append(options.Voters, lease.VoterInfo{Name: v.Name, Addr: v.Addr})
	}
	if l.Collector != "" {
		u, err := url.Parse(l.Collector)
		if err != nil {
			return nil, fmt.Errorf("lease.collector: %w", err)
		}
		if at, err := netip.ParseAddrPort(u.Host); err != nil || !at.Addr().IsLoopback() && !at.Addr().IsPrivate() {
			return nil, fmt.Errorf("lease.collector: %s is neither a loopback nor a private address with a port", u.Host)
		}
	}
	service := &leaseService{node: node, collector: l.Collector, sendResults: make(chan sendResult, 1)}
	service.Leases = leases.Open(options, node.now, node.peers, service, wake, node.log)
	if l.SummaryMS > 0 {
		service.summary = summary.New(node.now(), l.SummaryMS*10, l.SpanMS*10/4, service)
		if err := service.Holder.Acquire(node.now(), summary.LeaseName); err != nil {
			return nil, err
		}
	}
	return service, nil
}

// step is the leases' part of one iteration of the event loop. During a planned stop it releases the leases, and then
// transfers the voters' leadership.
func (service *leaseService) step(now front.Time) {
	service.Poll(now)
	if service.summary != nil {
		select {
		case o := <-service.sendResults:
			service.summary.SendFinished(now, o.refused, o.failure)
		default:
		}
		if !service.stopping {
			service.summary.Tick(now)
		}
	}
	if service.stopping && !service.released && (service.summary == nil || !service.summary.Sending()) {
		// A lease that is released while an action under it is in progress could be granted to another front before that
		// action ends; so the release waits for it.
		service.released = true
		service.Holder.ReleaseAll(now)
	}
	if service.released && !service.leadTransferred && service.Holder.Empty() {
		service.leadTransferred = true
		service.TransferLeadership()
	}
}

// next returns the time at which step must be called again.
func (service *leaseService) next() front.Time {
	next := service.Holder.Next()
	if service.summary != nil && !service.stopping {
		next = min(next, service.summary.Next())
	}
	return next
}

// LeaseAcquired, LeaseLost, LeaseToken, SendSummary and Log implement leases.Host and summary.Host.

func (service *leaseService) LeaseAcquired(name string, token uint64) {
	service.node.log.Info("lease held", "lease", name, "token", token)
	if service.summary != nil && name == summary.LeaseName {
		service.summary.LeaseAcquired(service.node.now())
	}
}
func (service *leaseService) LeaseLost(name, why string) {
	service.node.log.Info("lease lost", "lease", name, "why", why)
}
func (service *leaseService) Log(text string) { service.node.log.Info(text) }
func (service *leaseService) LeaseToken(name string, longest front.Time) (uint64, bool) {
	return service.Holder.UsableToken(name, longest)
}

// SendSummary logs a summary and posts it to the collector, if there is one. The event loop does not wait for the
// collector; the result goes to sendResults.
func (service *leaseService) SendSummary(token, number uint64, timeout front.Time) {
	states := map[string]int{}
	for _, e := range service.node.Members.List() {
		states[e.State.String()]++
	}
	rows := service.node.Zones.Status(service.node.now())
	narrowed := 0
	for _, r := range rows {
		if r.Part < 1 {
			narrowed++
		}
	}
	service.node.log.Info("summary", "token", token, "number", number, "alive", states["alive"], "suspect", states["suspect"],
		"dead", states["dead"], "zones", len(rows), "narrowed", narrowed)
	if service.collector == "" {
		service.sendResults <- sendResult{}
		return
	}
	s := struct {
		Fleet   string             `json:"fleet"`
		By      string             `json:"by"`
		Token   uint64             `json:"token"`
		Number  uint64             `json:"number"`
		Members map[string]int     `json:"members"`
		Zones   []zones.ZoneStatus `json:"zones"`
		Leases  *leases.Status     `json:"leases,omitempty"`
	}{service.node.fleetName, service.node.Members.List()[0].Name, token, number, states, rows, nil}
	until := time.Now().Add(time.Duration(timeout) * tick)
	go func() {
		if v, err := service.Status(); err == nil {
			s.Leases = &v
		}
		service.sendResults <- postSummary(service.collector, token, &s, time.Until(until)) // does not block: only one summary is sent at a time
		service.node.wake()
	}()
}

// postSummary posts a summary to the collector and gives up after timeout.
func postSummary(to string, token uint64, s any, timeout time.Duration) sendResult {
	if timeout <= 0 {
		return sendResult{failure: "the deadline passed before the summary could be sent"}
	}
	text, err := json.Marshal(s)
	if err != nil {
		return sendResult{failure: err.Error()}
	}
	r, err := http.NewRequest("POST", to, bytes.NewReader(text))
	if err != nil {
		return sendResult{failure: err.Error()}
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(tokenHeader, strconv.FormatUint(token, 10))
	resp, err := (&http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return sendResult{failure: err.Error()}
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusConflict:
		return sendResult{refused: true}
	case http.StatusOK, http.StatusNoContent:
		return sendResult{}
	}
	return sendResult{failure: resp.Status}
}

// leaseCommands returns the subcommands of `micatrack fleet` that query and change leases and voters. They use ask to send
// a request to this machine's front.
func leaseCommands(ask func(c *cobra.Command, method, path string, q url.Values, show func(w io.Writer, text []byte) error) error) []*cobra.Command {
	view := func(show func(w *tabwriter.Writer, v *leases.Status)) func(out io.Writer, text []byte) error {
		return func(out io.Writer, text []byte) error {
			var v leases.Status
			if err := json.Unmarshal(text, &v); err != nil {
				return err
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			show(w, &v)
			if v.Aside != "" {
				fmt.Fprintln(w, "this front's voter: "+v.Aside)
			}
			return w.Flush()
		}
	}
	showVoters := view(func(w *tabwriter.Writer, v *leases.Status) {
		fmt.Fprintln(w, "NUMBER\tNAME\tADDRESS\tLEADS\tHERE")
		for _, c := range v.Voters {
			fmt.Fprintf(w, "%d\t%s\t%s\t%v\t%v\n", c.ID, c.Name, c.Addr, c.Leads, c.Here)
		}
	})
	held := &cobra.Command{Use: "leases", Short: "List the leases as this front's voter knows them", Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error {
			return ask(c, "GET", "/leases", nil, view(func(w *tabwriter.Writer, v *leases.Status) {
				fmt.Fprintln(w, "LEASE\tHOLDER\tLIFE\tTOKEN\tKEPT FOR\tWAITING")
				for _, l := range v.Leases {
					kept := "as the leader has it"
					if v.Leads {
						kept = fmt.Sprint(time.Duration(l.Left) * tick)
					}
					fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%d\n", l.Name, l.Holder.Name, l.Holder.Life, l.Token, kept, l.Waiters)
				}
			}))
		}}
	voters := &cobra.Command{Use: "voters", Short: "List the voters that grant leases, and their leader", Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error { return ask(c, "GET", "/leases", nil, showVoters) }}
	voter := &cobra.Command{Use: "voter", Short: "Change the voters that grant leases, one at a time; send it to the front whose voter is the leader"}
	var name, addr string
	add := &cobra.Command{Use: "add NUMBER", Short: "Add a voter by the number that its state was created with", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return ask(c, "POST", "/voter", url.Values{"number": args, "name": {name}, "addr": {addr}, "add": {"1"}}, showVoters)
		}}
	add.Flags().StringVar(&name, "name", "", "name of its front")
	add.Flags().StringVar(&addr, "addr", "", "IP:PORT in the fleet")
	remove := &cobra.Command{Use: "remove NUMBER", Short: "Remove a voter permanently", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return ask(c, "POST", "/voter", url.Values{"number": args}, showVoters)
		}}
	voter.AddCommand(add, remove)
	return []*cobra.Command{held, voters, voter}
}

// registerHandlers adds the HTTP handlers for the commands that the voter's goroutine executes instead of the event loop.
func (service *leaseService) registerHandlers(mux *http.ServeMux) {
	reply := func(w http.ResponseWriter, v leases.Status, err error) {
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(v)
	}
	mux.HandleFunc("GET /leases", func(w http.ResponseWriter, _ *http.Request) {
		v, err := service.Status()
		reply(w, v, err)
	})
	mux.HandleFunc("POST /voter", func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		id, err := strconv.ParseUint(q.Get("number"), 10, 64)
		add := q.Get("add") != ""
		if _, bad := netip.ParseAddrPort(q.Get("addr")); err == nil && add && (bad != nil || q.Get("name") == "") {
			err = fmt.Errorf("give --name and --addr of the voter's front")
		}
		if err == nil {
			err = service.ChangeVoters(lease.VoterInfo{ID: id, Name: q.Get("name"), Addr: q.Get("addr")}, add)
		}
		var v leases.Status
		for n := 0; err == nil && n < 40; n++ { // until the change is committed, for about 1 s
			if v, err = service.Status(); slices.ContainsFunc(v.Voters, func(c leases.VoterStatus) bool { return c.ID == id }) == add {
				break
			}
			time.Sleep(25 * time.Millisecond)
		}
		reply(w, v, err)
	})
}

// registerLeasesDisabled adds handlers that refuse the same commands if leases are disabled.
func registerLeasesDisabled(mux *http.ServeMux) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "fleet.lease is not switched on", http.StatusConflict)
	}
	mux.HandleFunc("GET /leases", refuse)
	mux.HandleFunc("POST /voter", refuse)
}
