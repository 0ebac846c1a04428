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

// leaseService is what a front does for all of its fleet while it holds leases. It is the loop's.
type leaseService struct {
	*leases.Leases
	node            *fleetNode
	summary         *summary.Summary
	collector       string
	sendResults     chan sendResult
	stopping        bool // a planned stop has begun
	released        bool // leases are being given back,
	leadTransferred bool // and so is the lead
}

// sendResult is how the telling of a summary went.
type sendResult struct {
	refused bool
	failure string
}

// tokenHeader carries the lease's token to whoever takes summaries, which refuses an older one with 409.
const tokenHeader = "Micatrack-Token"

// newLeaseService opens a front's part in leases.
func newLeaseService(node *fleetNode, cfg *frontConfig, incarnation uint64, addr string, wake func(), c leases.HostedMachine) (*leaseService, error) {
	l := &cfg.operators.Fleet.Lease
	if len(l.Voters)%2 == 0 {
		return nil, fmt.Errorf("lease.voters: %d voters bear no more losses than %d", len(l.Voters), len(l.Voters)-1)
	}
	options := leases.Config{Fleet: cfg.operators.Fleet.Name, Self: lease.Instance{Name: cfg.name, Life: incarnation}, Addr: addr, StatePath: l.State,
		Terms: lease.Terms{Span: l.SpanMS * 10, Drift: l.Drift, Margin: l.MarginMS * 10}, Seed: cfg.settings.Seed, HostedMachine: c}
	for _, v := range l.Voters {
		if slices.ContainsFunc(options.Voters, func(s lease.VoterInfo) bool { return s.Name == v.Name }) {
			return nil, fmt.Errorf("lease.voters: %s is named twice", v.Name)
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
	d := &leaseService{node: node, collector: l.Collector, sendResults: make(chan sendResult, 1)}
	d.Leases = leases.Open(options, node.now, node.peers, d, wake, node.log)
	if l.SummaryMS > 0 {
		d.summary = summary.New(node.now(), l.SummaryMS*10, l.SpanMS*10/4, d)
		if err := d.Holder.Acquire(node.now(), summary.LeaseName); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// step is the leases' part of a turn of the loop.
func (d *leaseService) step(now front.Time) {
	d.Poll(now)
	if d.summary != nil {
		select {
		case o := <-d.sendResults:
			d.summary.SendFinished(now, o.refused, o.failure)
		default:
		}
		if !d.stopping {
			d.summary.Tick(now)
		}
	}
	if d.stopping && !d.released && (d.summary == nil || !d.summary.Sending()) {
		// Danger: what is given back while an act is under way is another's before that act is over.
		d.released = true
		d.Holder.ReleaseAll(now)
	}
	if d.released && !d.leadTransferred && d.Holder.Empty() {
		d.leadTransferred = true
		d.TransferLeadership()
	}
}

func (d *leaseService) next() front.Time {
	next := d.Holder.Next()
	if d.summary != nil && !d.stopping {
		next = min(next, d.summary.Next())
	}
	return next
}

// LeaseAcquired, Lost, May, Tell and Log are what the leases and the summary ask for.
func (d *leaseService) LeaseAcquired(name string, token uint64) {
	d.node.log.Info("lease held", "lease", name, "token", token)
	if d.summary != nil && name == summary.LeaseName {
		d.summary.LeaseAcquired(d.node.now())
	}
}
func (d *leaseService) LeaseLost(name, why string) {
	d.node.log.Info("lease lost", "lease", name, "why", why)
}
func (d *leaseService) Log(text string) { d.node.log.Info(text) }
func (d *leaseService) LeaseToken(name string, longest front.Time) (uint64, bool) {
	return d.Holder.UsableToken(name, longest)
}

// SendSummary logs a summary, and posts it. The loop does not wait for the collector.
func (d *leaseService) SendSummary(token, number uint64, timeout front.Time) {
	states := map[string]int{}
	for _, e := range d.node.Members.List() {
		states[e.State.String()]++
	}
	rows := d.node.Zones.Status(d.node.now())
	narrowed := 0
	for _, r := range rows {
		if r.Part < 1 {
			narrowed++
		}
	}
	d.node.log.Info("summary", "token", token, "number", number, "alive", states["alive"], "suspect", states["suspect"],
		"dead", states["dead"], "zones", len(rows), "narrowed", narrowed)
	if d.collector == "" {
		d.sendResults <- sendResult{}
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
	}{d.node.fleetName, d.node.Members.List()[0].Name, token, number, states, rows, nil}
	until := time.Now().Add(time.Duration(timeout) * tick)
	go func() {
		if v, err := d.Status(); err == nil {
			s.Leases = &v
		}
		d.sendResults <- postSummary(d.collector, token, &s, time.Until(until)) // there is room: one is out at a time
		d.node.wake()
	}()
}

// postSummary sends a summary to the collector, and gives it up at its time.
func postSummary(to string, token uint64, s any, timeout time.Duration) sendResult {
	if timeout <= 0 {
		return sendResult{failure: "its time was over before it could be sent"}
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

// leaseCommands ask this machine's front about leases.
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
	held := &cobra.Command{Use: "leases", Short: "List the leases, as this front's voter has them", Args: noArguments,
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
	voters := &cobra.Command{Use: "voters", Short: "List who grants leases, and who leads them", Args: noArguments,
		RunE: func(c *cobra.Command, _ []string) error { return ask(c, "GET", "/leases", nil, showVoters) }}
	voter := &cobra.Command{Use: "voter", Short: "Change who grants leases, one at a time; asked of the front whose voter leads"}
	var name, addr string
	add := &cobra.Command{Use: "add NUMBER", Short: "Add a voter by the number that its state was made with", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return ask(c, "POST", "/voter", url.Values{"number": args, "name": {name}, "addr": {addr}, "add": {"1"}}, showVoters)
		}}
	add.Flags().StringVar(&name, "name", "", "name of its front")
	add.Flags().StringVar(&addr, "addr", "", "IP:PORT in the fleet")
	remove := &cobra.Command{Use: "remove NUMBER", Short: "Take a voter's vote away, for good", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return ask(c, "POST", "/voter", url.Values{"number": args}, showVoters)
		}}
	voter.AddCommand(add, remove)
	return []*cobra.Command{held, voters, voter}
}

// registerHandlers serves the commands that are the voter's matter and not the loop's.
func (d *leaseService) registerHandlers(mux *http.ServeMux) {
	reply := func(w http.ResponseWriter, v leases.Status, err error) {
		if err != nil {
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(v)
	}
	mux.HandleFunc("GET /leases", func(w http.ResponseWriter, _ *http.Request) {
		v, err := d.Status()
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
			err = d.ChangeVoters(lease.VoterInfo{ID: id, Name: q.Get("name"), Addr: q.Get("addr")}, add)
		}
		var v leases.Status
		for n := 0; err == nil && n < 40; n++ { // until it counts
			if v, err = d.Status(); slices.ContainsFunc(v.Voters, func(c leases.VoterStatus) bool { return c.ID == id }) == add {
				break
			}
			time.Sleep(25 * time.Millisecond)
		}
		reply(w, v, err)
	})
}

// registerLeasesDisabled answers the same commands where no leases are switched on.
func registerLeasesDisabled(mux *http.ServeMux) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "fleet.lease is not switched on", http.StatusConflict)
	}
	mux.HandleFunc("GET /leases", refuse)
	mux.HandleFunc("POST /voter", refuse)
}
