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
	maxCommandBytes = 512 << 10       // bytes of a command to the control address
	loopTimeout     = 2 * time.Second // that the loop may take to answer one
)

// fleetConfig is a front's part in the fleet's configuration. It is the loop's, but for what the commands ask.
type fleetConfig struct {
	node          *fleetNode
	current       *frontConfig
	front         *configuration.Front
	control       *configuration.Control
	service       configuration.Service
	addr          string // where other machines reach this one
	setDiscovery  func(addr string)
	nextDiscovery string // address of discovery that is to be followed; empty: no other one
}

// newConfigControl gives what a voter keeps beside its leases. Danger: a voter without it could not take the others'
// entries, so it is there also where this front's file does not switch the configuration on; nothing is
// handed out then.
func newConfigControl(node *fleetNode, cfg *frontConfig, addr string) *configuration.Control {
	f := &cfg.operators.Fleet
	options := configuration.ControlOptions{
		Fleet: f.Name, Name: cfg.name, Addr: addr, Seed: cfg.settings.Seed, ServeVersions: f.Config.On,
	}
	control := configuration.NewControl(options, node.peers, node.log)
	control.SetFrontDelivery(func(body []byte) {
		if f := node.configFront.Load(); f != nil {
			f.ReceiveFromControl(body)
		}
	})
	return control
}

// newFleetConfig opens a front's part in the configuration.
func newFleetConfig(node *fleetNode, cfg *frontConfig, incarnation uint64, addr string, control *configuration.Control) *fleetConfig {
	if cfg.storedError != "" {
		node.log.Error("the fleet's configuration on disk is left aside", "error", cfg.storedError)
	}
	c := &fleetConfig{node: node, current: cfg, control: control, addr: addr}
	f := &cfg.operators.Fleet
	options := configuration.FrontOptions{
		Fleet: f.Name, Name: cfg.name, Zone: cfg.settings.Zone, Addr: addr, Incarnation: incarnation, Seed: cfg.settings.Seed,
		Path: f.Config.State, Stored: cfg.stored,
	}
	c.front = configuration.NewFront(options, node.now, node.peers, c, node.wake, node.log)
	node.configFront.Store(c.front)
	c.service.Ask = c.sendRequest
	if !node.leases.HasVoter() {
		node.peers.OnConfig(c.front.Receive, nil)
		return c
	}
	node.peers.OnConfig(c.front.Receive, c.handleControlMessage)
	node.peers.OnRequest(c.handleRequest)
	return c
}

// handleControlMessage hands a message to the control part; several goroutines call it.
func (c *fleetConfig) handleControlMessage(m peers.ConfigMessage) {
	m.Body = slices.Clone(m.Body)
	c.node.leases.RunOnVoter(func(now front.Time, _ string) { c.control.Receive(now, m) })
}

// handleRequest has the control part work on a request, and waits for the answer.
func (c *fleetConfig) handleRequest(body []byte) []byte {
	text, err := json.Marshal(c.execute(body))
	if err != nil {
		return nil
	}
	return text
}

func (c *fleetConfig) execute(body []byte) configuration.Answer {
	r, err := configuration.ReadRequest(body)
	if err != nil {
		return configuration.Answer{Outcome: configuration.Refused, Error: err.Error()}
	}
	answers := make(chan configuration.Answer, 2)
	queued := c.node.leases.RunOnVoter(func(now front.Time, leader string) {
		c.control.Handle(now, &r, leader, func(a configuration.Answer) { answers <- a })
	})
	if !queued {
		return configuration.Answer{Outcome: configuration.NotHandled}
	}
	select {
	case a := <-answers:
		return a
	case <-time.After(peers.HandlerTimeout):
		return configuration.Answer{Outcome: configuration.Unknown}
	}
}

// sendRequest asks one control machine, this one without the network.
func (c *fleetConfig) sendRequest(addr string, request []byte) ([]byte, error) {
	if addr == c.addr && c.node.leases.HasVoter() {
		return c.handleRequest(request), nil
	}
	return c.node.peers.Request(addr, request)
}

// step is the configuration's part of a turn of the loop.
func (c *fleetConfig) step(now front.Time) {
	c.front.Poll(now)
	if c.nextDiscovery != "" && c.setDiscovery != nil {
		if c.nextDiscovery != c.current.discovery {
			c.current.discovery = c.nextDiscovery
			c.setDiscovery(c.nextDiscovery)
		}
		c.nextDiscovery = ""
	}
}

// PutInForce has the front go by a version's texts, as a whole or not at all.
func (c *fleetConfig) PutInForce(texts []config.ScopeText) error {
	fresh, err := c.current.withVersion(texts)
	if err != nil {
		return err
	}
	if err := c.node.reconfigure(c.current, &fresh); err != nil {
		return err
	}
	c.nextDiscovery = fresh.discovery
	fresh.discovery = c.current.discovery // until the loop has moved there
	*c.current = fresh
	return nil
}

// withVersionInForce reads the front's files as a start would, but with the version that is in force now.
// Danger: the version's file may be on its way to the disk, and a reload would go back to an older address.
func (c *fleetConfig) withVersionInForce(read configReader) configReader {
	return func() (frontConfig, error) {
		fresh, err := read()
		if err != nil {
			return fresh, err
		}
		return fresh.withVersion(c.front.InForce())
	}
}

// Peers tells who is there: the voters, and the fronts that membership has alive. It tells the control part
// too.
func (c *fleetConfig) Peers() (known config.Peers) {
	for _, s := range c.node.leases.Voters() {
		known.Controls = append(known.Controls, config.Peer{Name: s.Name, Addr: s.Addr})
	}
	for _, m := range c.node.Members.List() {
		if m.State <= membership.Suspect {
			known.Fronts = append(known.Fronts, config.Peer{Name: m.Name, Zone: m.Zone, Addr: m.Addr})
		}
	}
	c.node.leases.RunOnVoter(func(now front.Time, _ string) { c.control.SetPeers(now, known) })
	return known
}

// DeliverToControl hands a message of this front to the control part of this machine, if there is one.
func (c *fleetConfig) DeliverToControl(body []byte) bool {
	if !c.node.leases.HasVoter() {
		return false
	}
	c.node.leases.RunOnVoter(func(now front.Time, _ string) { c.control.ReceiveFromFront(now, body) })
	return true
}

// applyStored puts the version that this front had last in the place of its files' parts. What cannot be taken
// is left aside.
func (cfg *frontConfig) applyStored() {
	stored, err := configuration.Load(cfg.operators.Fleet.Config.State)
	if err != nil {
		cfg.storedError = err.Error()
		return
	}
	fresh, err := cfg.withVersion(stored.Texts)
	if err != nil {
		cfg.storedError = err.Error()
		return
	}
	*cfg = fresh
	cfg.stored = stored
}

// registerHandlers serves the commands about the fleet's configuration.
func (c *fleetConfig) registerHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /config", func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCommandBytes))
		var request configuration.Request
		if err == nil {
			request, err = configuration.ReadRequest(text)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		controls, err := c.controlAddrs()
		if err != nil {
			http.Error(w, err.Error(), http.StatusGatewayTimeout)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(c.service.Do(controls, request))
	})
}

var errLoopTimeout = errors.New("the front does not answer")

// controlAddrs asks the loop for the control machines' addresses.
func (c *fleetConfig) controlAddrs() ([]string, error) {
	addrs := make(chan []string, 1)
	ask := func() {
		var list []string
		for _, s := range c.node.leases.Voters() {
			list = append(list, s.Addr)
		}
		addrs <- list
	}
	select {
	case c.node.calls <- ask:
		c.node.wake()
	default:
		return nil, errLoopTimeout
	}
	select {
	case list := <-addrs:
		return list, nil
	case <-time.After(loopTimeout):
		return nil, errLoopTimeout
	}
}

// registerConfigDisabled answers the same commands where the configuration is not switched on.
func registerConfigDisabled(mux *http.ServeMux) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "fleet.config is not switched on", http.StatusConflict)
	}
	mux.HandleFunc("GET /config", refuse)
	mux.HandleFunc("POST /config", refuse)
}

// frontPointer is where this machine's control part leaves messages for its front.
type frontPointer = atomic.Pointer[configuration.Front]
