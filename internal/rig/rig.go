package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"micatrack/internal/standin"
)

// Plan is what a rig is made of.
type Plan struct {
	Program string // path of the program
	// ProgramOf gives the path of the program that a front runs in a life, which is 1 from its first start on and one more
	// with each start; nil: Program for all.
	ProgramOf  func(front, life int) string
	Config     map[string]any // a front's configuration; addresses, name, seed, zone and number of fronts are filled in
	Zones      []string
	Fronts     int              // spread over the zones in turn
	Groups     int              // each with a member in every zone; the primary is in each in turn
	Members    int              // of a group in each zone; 0: one
	Fleet      map[string]any   // of the operators' file, but for addresses; nil: off
	Without    func(n int) bool // fronts that have it off; nil: none
	Takes      time.Duration    // a job at a store
	Voters     int              // fronts, from the first on, that grant leases; 0: no leases
	Lease      map[string]any   // of the operators' file, but for voters, state and collector
	Configured bool             // the fleet's configuration is on, with a file of its own on each front
	Act        time.Duration    // that telling a summary takes at the collector
	Seed       uint64
}

// Store is one stand-in.
type Store struct {
	Node
	Stand *standin.Postgres
	Group *standin.Group
}

// Line is one line of a front's log, with when it came.
type Line struct {
	At   time.Time
	Text string
}

// Front is one process of the program.
type Front struct {
	Node
	Addr    string // for clients
	Control string
	rig     *Rig
	n       int
	fleet   netip.AddrPort // where it really listens for the others
	relayed string         // where the others reach it
	list    *standin.Discovery
	way     string // to discovery
	collect string // to the collector
	state   string // of its vote
	cmd     *exec.Cmd
	done    chan struct{}
	mu      sync.Mutex
	log     []Line
	life    int
	alias   string // before its files' names
}

// Rig is a fleet with all that it works with.
type Rig struct {
	*Links
	T      testing.TB
	Plan   Plan
	Fronts []*Front
	Stores []*Store
	Groups []*standin.Group
	Acts   *standin.Collector // nil: no leases
	dir    string
	number int
	mu     sync.Mutex
	byIP   map[netip.Addr]Node
	late   map[string]bool // fronts that were stopped: what they answer late is not theirs
}

const (
	mostLog    = 20_000
	mostReport = 60               // lines of a report of a race or a panic
	outer      = 30 * time.Second // of every wait
)

// New makes the stores, relays and files. Fronts are started by Start.
func New(t testing.TB, p Plan) *Rig {
	r := &Rig{Links: newLinks(p.Seed), T: t, Plan: p, dir: t.TempDir(), number: int(rigs.Add(1)) % 200, late: map[string]bool{}, byIP: map[netip.Addr]Node{}}
	t.Cleanup(r.end)
	for g := range p.Groups {
		var names []string
		for k := range p.Zones {
			for m := range max(p.Members, 1) {
				name := fmt.Sprintf("g%d-%s", g, p.Zones[(g+k)%len(p.Zones)])
				if m > 0 {
					name += fmt.Sprint("-", m)
				}
				names = append(names, name)
			}
		}
		group := standin.NewGroup(uint64(g+1), 3*time.Second, names...)
		r.Groups = append(r.Groups, group)
		for k, name := range names {
			s, err := standin.NewPostgres(name, group)
			if err != nil {
				t.Fatal(err)
			}
			s.SetDelay(p.Takes)
			t.Cleanup(s.Close)
			zone := p.Zones[(g+k/max(p.Members, 1))%len(p.Zones)]
			r.Stores = append(r.Stores, &Store{Node{Name: name, Zone: zone}, s, group})
		}
	}
	if p.Voters > 0 {
		r.Acts = standin.NewCollector(p.Act)
		t.Cleanup(r.Acts.Close)
	}
	for n := range p.Fronts {
		r.Fronts = append(r.Fronts, r.front(n, fmt.Sprint("f", n), p.Zones[n%len(p.Zones)]))
	}
	return r
}

var rigs atomic.Int32

// Ports of fronts stand below those that the system hands out, and each rig has loopback addresses of its own.
const (
	clientPort  = 20001
	controlPort = 20002
	fleetPort   = 20003
)

func (r *Rig) at(side, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(10 + r.number), byte(side), byte(1 + n)}), uint16(port))
}

// front makes the relays round one front: its own to each store and to discovery, and one that the others reach it by.
func (r *Rig) front(n int, name, zone string) *Front {
	f := &Front{Node: Node{Name: name, Zone: zone, Front: true}, rig: r, n: n,
		Addr: r.at(0, n, clientPort).String(), Control: r.at(0, n, controlPort).String(), fleet: r.at(0, n, fleetPort)}
	r.mu.Lock()
	r.byIP[f.fleet.Addr()] = f.Node
	r.mu.Unlock()
	self := func(net.Addr) (Node, bool) { return f.Node, true }
	var lines []standin.Server
	for _, s := range r.Stores {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			r.T.Fatal(err)
		}
		r.stream(l, s.Stand.Addr(), s.Node, self)
		role := "replica"
		if p, _ := s.Group.Primary(); p == s.Name {
			role = "primary"
		}
		lines = append(lines, standin.Server{ID: s.Name, Addr: l.Addr().String(), Zone: s.Zone, Kind: "k", Group: s.Group.ID,
			State: "active", Weight: 1, Role: role})
	}
	f.list = standin.NewDiscovery(lines...)
	r.T.Cleanup(f.list.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.T.Fatal(err)
	}
	r.stream(l, f.list.Addr(), Node{Name: "discovery"}, self)
	f.way = l.Addr().String()
	if r.Acts != nil {
		if l, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			r.T.Fatal(err)
		}
		r.stream(l, r.Acts.Addr(), Node{Name: "collector"}, self)
		f.collect = "http://" + l.Addr().String() + "/"
	}
	at := r.at(1, n, fleetPort)
	u, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	if err != nil {
		r.T.Fatal(err)
	}
	if l, err = net.Listen("tcp", at.String()); err != nil {
		r.T.Fatal(err)
	}
	r.datagrams(u, f.fleet, f.Node, func(from netip.AddrPort) (Node, bool) { return r.who(from.Addr()) })
	r.stream(l, f.fleet.String(), f.Node, func(from net.Addr) (Node, bool) {
		return r.who(from.(*net.TCPAddr).AddrPort().Addr())
	})
	f.relayed = at.String()
	return f
}

func (r *Rig) who(ip netip.Addr) (Node, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, ok := r.byIP[ip.Unmap()]
	return n, ok
}

// Change edits the list of every front's discovery.
func (r *Rig) Change(edit func(l *standin.Server)) {
	for _, f := range r.Fronts {
		f.list.Update(func(lines []standin.Server) []standin.Server {
			for k := range lines {
				edit(&lines[k])
			}
			return lines
		})
	}
}

// Start starts the fronts that are named, and waits until all serve.
func (r *Rig) Start(fronts ...*Front) {
	r.T.Helper()
	var all sync.WaitGroup
	for _, f := range fronts {
		all.Add(1)
		go func() { defer all.Done(); f.start() }()
	}
	all.Wait()
	if r.T.Failed() {
		r.T.FailNow()
	}
}

func (f *Front) start() {
	r := f.rig
	f.life++
	config := map[string]any{}
	text, err := json.Marshal(r.Plan.Config)
	if err == nil {
		err = json.Unmarshal(text, &config)
	}
	settings, ok := config["settings"].(map[string]any)
	if err != nil || !ok {
		r.T.Errorf("the rig's configuration: %v", err)
		return
	}
	config["name"], config["listen"], config["discovery"] = f.Name, f.Addr, f.way
	config["seed"] = fmt.Sprintf("%016x", r.Plan.Seed<<20+uint64(f.n+1)<<8+uint64(f.life))
	config["known"] = json.RawMessage(f.list.JSON())
	settings["Az"], settings["ReplicasOfMe"] = f.Zone, r.Plan.Fronts
	text, _ = json.Marshal(config)
	path := filepath.Join(r.dir, f.alias+f.Name+".json")
	os.WriteFile(path, text, 0o600)
	switches := map[string]any{}
	if r.Plan.Fleet != nil && (r.Plan.Without == nil || !r.Plan.Without(f.n)) {
		part := map[string]any{"on": true, "name": "rig", "listen": f.fleet.String(), "advertise": f.relayed, "control": f.Control}
		var seeds []string
		for _, o := range r.Fronts[:min(3, len(r.Fronts))] {
			seeds = append(seeds, o.relayed)
		}
		part["seeds"] = seeds
		for k, v := range r.Plan.Fleet {
			part[k] = v
		}
		if r.Plan.Voters > 0 {
			part["lease"] = f.lease()
		}
		if r.Plan.Configured {
			part["config"] = map[string]any{"on": true, "state": f.Stored()}
		}
		if part["on"] != false {
			switches["fleet"] = part
		}
	}
	text, _ = json.Marshal(switches)
	operators := filepath.Join(r.dir, f.alias+f.Name+"-operators.json")
	os.WriteFile(operators, text, 0o600)
	cmd := exec.Command(f.program(), "serve", "-config", path, "-operators", operators)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no front outlives a test that is killed
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GORACE=halt_on_error=1 exitcode=66"}
	out, err := cmd.StderrPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		r.T.Errorf("%s: %v", f.Name, err)
		return
	}
	serving, done := make(chan struct{}), make(chan struct{})
	f.mu.Lock()
	f.cmd, f.done = cmd, done
	f.mu.Unlock()
	r.T.Cleanup(func() { cmd.Process.Signal(syscall.SIGCONT); cmd.Process.Kill(); <-done })
	go func() {
		told, report := false, 0
		for lines := bufio.NewScanner(out); lines.Scan(); {
			text := lines.Text()
			f.mu.Lock()
			if len(f.log) < mostLog {
				f.log = append(f.log, Line{time.Now(), text})
			}
			f.mu.Unlock()
			if strings.Contains(text, "DATA RACE") || strings.HasPrefix(text, "panic") {
				r.T.Errorf("%s: %s", f.Name, text)
				report = mostReport
			}
			if report > 0 { // what follows tells where
				report--
				r.T.Logf("%s: %s", f.Name, text)
			}
			if !told && strings.Contains(text, "msg=serving") {
				told = true
				close(serving)
			}
		}
		cmd.Wait()
		close(done)
	}()
	select {
	case <-serving:
	case <-done:
		r.T.Errorf("%s ended at its start: %v", f.Name, f.Log())
	case <-time.After(outer):
		r.T.Errorf("%s does not serve", f.Name)
	}
}

// program gives the path of the program that the front runs in its present life, or in its first one before that.
func (f *Front) program() string {
	if f.rig.Plan.ProgramOf == nil {
		return f.rig.Plan.Program
	}
	return f.rig.Plan.ProgramOf(f.n, max(f.life, 1))
}

// lease gives the front's part of the operators' file about leases, and makes its vote once.
func (f *Front) lease() map[string]any {
	r := f.rig
	var voters []map[string]string
	var names []string
	for _, o := range r.Fronts[:r.Plan.Voters] {
		voters, names = append(voters, map[string]string{"name": o.Name, "addr": o.relayed}), append(names, o.Name)
	}
	lease := map[string]any{"voters": voters, "collector": f.collect}
	if f.n < r.Plan.Voters && f.state == "" {
		f.Vote(true, names...)
	}
	if f.state != "" {
		lease["state"] = f.state
	}
	for k, v := range r.Plan.Lease {
		lease[k] = v
	}
	return lease
}

// Vote makes the state of a vote for the front's next start, and gives its number.
func (f *Front) Vote(first bool, voters ...string) (number string) {
	f.state = filepath.Join(f.rig.dir, fmt.Sprintf("%s%s-%d.state", f.alias, f.Name, f.life))
	out, err := exec.Command(f.program(), "state", "create", f.state, "--fleet", "rig", "--voter", f.Name,
		"--voters", strings.Join(voters, ","), fmt.Sprintf("--first=%v", first)).CombinedOutput()
	if err != nil {
		f.rig.T.Errorf("%s: %v: %s", f.Name, err, out)
		return ""
	}
	return strings.TrimSpace(string(out[strings.LastIndex(string(out), " ")+1:]))
}

// State is the file of the front's vote; empty if it has none.
func (f *Front) State() string { return f.state }

// Stored is the front's file of the fleet's configuration.
func (f *Front) Stored() string { return filepath.Join(f.rig.dir, f.alias+f.Name+".configuration") }

// Relayed is where the other fronts reach this one.
func (f *Front) Relayed() string { return f.relayed }

// Fleet is where the front listens for the others, past the relay.
func (f *Front) Fleet() string { return f.fleet.String() }

// Twin makes a front that goes by the name of another, with addresses of its own.
func (r *Rig) Twin(of *Front) *Front {
	f := r.front(len(r.Fronts)+100, of.Name, of.Zone)
	f.alias = "twin-of-"
	return f
}

// PID is the process's id; 0 before its first start.
func (f *Front) PID() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cmd == nil {
		return 0
	}
	return f.cmd.Process.Pid
}

// Signal sends a signal to the process; after SIGKILL and SIGTERM it waits for its end.
func (f *Front) Signal(s syscall.Signal) {
	f.mu.Lock()
	cmd, done := f.cmd, f.done
	f.mu.Unlock()
	if s == syscall.SIGSTOP {
		f.rig.mu.Lock()
		f.rig.late[f.Name] = true
		f.rig.mu.Unlock()
	}
	cmd.Process.Signal(s)
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		select {
		case <-done:
		case <-time.After(outer):
			f.rig.T.Errorf("%s does not end", f.Name)
		}
	}
}

// Log gives what the front has logged, over all its lives.
func (f *Front) Log() []Line {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Line(nil), f.log...)
}

// Logged gives the lines from then on that hold all of these.
func (f *Front) Logged(since time.Time, parts ...string) (found []Line) {
next:
	for _, l := range f.Log() {
		for _, p := range parts {
			if !strings.Contains(l.Text, p) {
				continue next
			}
		}
		if !l.At.Before(since) {
			found = append(found, l)
		}
	}
	return found
}

// Await waits until a condition holds, and tells whether it did in time.
func (r *Rig) Await(within time.Duration, what string, holds func() bool) bool {
	r.T.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	r.T.Errorf("not within %v: %s", within, what)
	return false
}

// Zone chooses the nodes of a zone.
func Zone(zone string) func(n Node) bool { return func(n Node) bool { return n.Zone == zone } }

// Stores chooses a zone's stores alone.
func Stores(zone string) func(n Node) bool {
	return func(n Node) bool { return n.Zone == zone && !n.Front }
}

// Across chooses the links between two kinds of nodes, both ways.
func Across(a, b func(n Node) bool) func(from, to Node) bool {
	return func(from, to Node) bool { return a(from) && b(to) || b(from) && a(to) }
}

// Into chooses the links to a kind of node from all others, both ways.
func Into(a func(n Node) bool) func(from, to Node) bool {
	return func(from, to Node) bool { return a(from) != a(to) }
}
