package main

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"micatrack/fleet/config"
	"micatrack/fleet/membership"
	"micatrack/internal/configuration"
	"micatrack/internal/front"
	"micatrack/internal/peers"
)

const (
	maxCommand = 512 << 10       // bytes of a command to the control address
	loopWithin = 2 * time.Second // that the loop may take to answer one
)

// configured is a front's part in the fleet's configuration. It is the loop's, but for what the commands ask.
type configured struct {
	t       *together
	o       *orders
	front   *configuration.Front
	control *configuration.Control
	service configuration.Service
	addr    string // where other machines reach this one
	move    func(addr string)
	target  string // address of discovery that is to be followed; empty: no other one
}

// hosted gives what a voter keeps beside its leases. Danger: a voter without it could not take the others'
// entries, so it is there also where this front's file does not switch the configuration on; nothing is
// handed out then.
func hosted(t *together, o *orders, addr string) *configuration.Control {
	f := &o.operators.Fleet
	options := configuration.ControlOptions{
		Fleet: f.Name, Name: o.name, Addr: addr, Seed: o.settings.Seed, ServeVersions: f.Config.On,
	}
	control := configuration.NewControl(options, t.peers, t.log)
	control.SetFrontDelivery(func(body []byte) {
		if f := t.handsTo.Load(); f != nil {
			f.ReceiveFromControl(body)
		}
	})
	return control
}

// configure opens a front's part in the configuration.
func configure(t *together, o *orders, life uint64, addr string, control *configuration.Control) *configured {
	if o.trouble != "" {
		t.log.Error("the fleet's configuration on disk is left aside", "error", o.trouble)
	}
	c := &configured{t: t, o: o, control: control, addr: addr}
	f := &o.operators.Fleet
	options := configuration.FrontOptions{
		Fleet: f.Name, Name: o.name, Zone: o.settings.Zone, Addr: addr, Incarnation: life, Seed: o.settings.Seed,
		Path: f.Config.State, Stored: o.stored,
	}
	c.front = configuration.NewFront(options, t.now, t.peers, c, t.wake, t.log)
	t.handsTo.Store(c.front)
	c.service.Ask = c.ask
	if !t.deputy.HasVoter() {
		t.peers.OnConfig(c.front.Receive, nil)
		return c
	}
	t.peers.OnConfig(c.front.Receive, c.takeControl)
	t.peers.OnRequest(c.answerRequest)
	return c
}

// takeControl hands a message to the control part; several goroutines call it.
func (c *configured) takeControl(m peers.ConfigMessage) {
	m.Body = slices.Clone(m.Body)
	c.t.deputy.RunOnVoter(func(now front.Time, _ string) { c.control.Receive(now, m) })
}

// answerRequest has the control part work on a request, and waits for the answer.
func (c *configured) answerRequest(body []byte) []byte {
	text, err := json.Marshal(c.work(body))
	if err != nil {
		return nil
	}
	return text
}

func (c *configured) work(body []byte) configuration.Answer {
	r, err := configuration.ReadRequest(body)
	if err != nil {
		return configuration.Answer{Outcome: configuration.Refused, Error: err.Error()}
	}
	told := make(chan configuration.Answer, 2)
	put := c.t.deputy.RunOnVoter(func(now front.Time, leader string) {
		c.control.Handle(now, &r, leader, func(a configuration.Answer) { told <- a })
	})
	if !put {
		return configuration.Answer{Outcome: configuration.NotHandled}
	}
	select {
	case a := <-told:
		return a
	case <-time.After(peers.HandlerTimeout):
		return configuration.Answer{Outcome: configuration.Unknown}
	}
}

// ask asks one control machine, this one without the network.
func (c *configured) ask(addr string, request []byte) ([]byte, error) {
	if addr == c.addr && c.t.deputy.HasVoter() {
		return c.answerRequest(request), nil
	}
	return c.t.peers.Request(addr, request)
}

// turn is the configuration's part of a turn of the loop.
func (c *configured) turn(now front.Time) {
	c.front.Poll(now)
	if c.target != "" && c.move != nil {
		if c.target != c.o.discovery {
			c.o.discovery = c.target
			c.move(c.target)
		}
		c.target = ""
	}
}

// PutInForce has the front go by a version's texts, as a whole or not at all.
func (c *configured) PutInForce(texts []config.ScopeText) error {
	fresh, err := c.o.under(texts)
	if err != nil {
		return err
	}
	if err := c.t.reconfigure(c.o, &fresh); err != nil {
		return err
	}
	c.target = fresh.discovery
	fresh.discovery = c.o.discovery // until the loop has moved there
	*c.o = fresh
	return nil
}

// reader reads the front's files as a start would, but with the version that is in force now.
// Danger: the version's file may be on its way to the disk, and a reload would go back to an older address.
func (c *configured) reader(read reader) reader {
	return func() (orders, error) {
		fresh, err := read()
		if err != nil {
			return fresh, err
		}
		return fresh.under(c.front.InForce())
	}
}

// Peers tells who is there: the voters, and the fronts that membership has alive. It tells the control part
// too.
func (c *configured) Peers() (there config.Peers) {
	for _, s := range c.t.deputy.Voters() {
		there.Controls = append(there.Controls, config.Peer{Name: s.Name, Addr: s.Addr})
	}
	for _, m := range c.t.Members.List() {
		if m.State <= membership.Suspect {
			there.Fronts = append(there.Fronts, config.Peer{Name: m.Name, Zone: m.Zone, Addr: m.Addr})
		}
	}
	c.t.deputy.RunOnVoter(func(now front.Time, _ string) { c.control.SetPeers(now, there) })
	return there
}

// DeliverToControl hands a message of this front to the control part of this machine, if there is one.
func (c *configured) DeliverToControl(body []byte) bool {
	if !c.t.deputy.HasVoter() {
		return false
	}
	c.t.deputy.RunOnVoter(func(now front.Time, _ string) { c.control.ReceiveFromFront(now, body) })
	return true
}

// fromFleet puts the version that this front had last in the place of its files' parts. What cannot be taken
// is left aside.
func (o *orders) fromFleet() {
	stored, err := configuration.Load(o.operators.Fleet.Config.State)
	if err != nil {
		o.trouble = err.Error()
		return
	}
	fresh, err := o.under(stored.Texts)
	if err != nil {
		o.trouble = err.Error()
		return
	}
	*o = fresh
	o.stored = stored
}

// answer serves the commands about the fleet's configuration.
func (c *configured) answer(mux *http.ServeMux) {
	mux.HandleFunc("POST /config", func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCommand))
		var request configuration.Request
		if err == nil {
			request, err = configuration.ReadRequest(text)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		controls, err := c.controls()
		if err != nil {
			http.Error(w, err.Error(), http.StatusGatewayTimeout)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(c.service.Do(controls, request))
	})
}

var errLoop = errors.New("the front does not answer")

// controls asks the loop for the control machines' addresses.
func (c *configured) controls() ([]string, error) {
	told := make(chan []string, 1)
	ask := func() {
		var list []string
		for _, s := range c.t.deputy.Voters() {
			list = append(list, s.Addr)
		}
		told <- list
	}
	select {
	case c.t.asks <- ask:
		c.t.wake()
	default:
		return nil, errLoop
	}
	select {
	case list := <-told:
		return list, nil
	case <-time.After(loopWithin):
		return nil, errLoop
	}
}

// withoutConfig answers the same commands where the configuration is not switched on.
func withoutConfig(mux *http.ServeMux) {
	no := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "fleet.config is not switched on", http.StatusConflict)
	}
	mux.HandleFunc("GET /config", no)
	mux.HandleFunc("POST /config", no)
}

// handsTo is where this machine's control part leaves messages for its front.
type handsTo = atomic.Pointer[configuration.Front]
