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
	maxCommandBytes = 512 << 10       // largest body of a command to the control address
	loopTimeout     = 2 * time.Second // longest wait for the event loop while a command is served
)

// fleetConfig is a front's part in the fleet's configuration. It belongs to the event loop, except for the methods that
// serve commands and control messages.
type fleetConfig struct {
	node          *fleetNode
	current       *frontConfig           // the configuration that the front uses now
	front         *configuration.Front   // receives versions and puts them in force on this front
	control       *configuration.Control // stores and distributes versions; used by the voter's goroutine only
	service       configuration.Service  // finds the control machine that executes an operator's request
	addr          string                 // address at which other machines reach this one
	setDiscovery  func(addr string)      // switches to another address of discovery
	nextDiscovery string                 // address of discovery to switch to in the next step; empty if unchanged
}

// newConfigControl returns the state machine that a voter hosts beside its leases. Without it, a voter could not accept
// the other voters' log entries; so it exists even if this front's file leaves the configuration disabled, and then it
// distributes no versions.
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

// newFleetConfig opens a front's part in the fleet's configuration and registers its message handlers.
func newFleetConfig(node *fleetNode, cfg *frontConfig, incarnation uint64, addr string, control *configuration.Control) *fleetConfig {
	if cfg.storedError != "" {
		node.log.Error("the fleet's configuration on disk is ignored", "error", cfg.storedError)
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

// handleControlMessage passes a peer's message to the control part in the voter's goroutine. It is safe for concurrent
// use, and copies the message's body.
func (c *fleetConfig) handleControlMessage(m peers.ConfigMessage) {
	m.Body = slices.Clone(m.Body)
	c.node.leases.RunOnVoter(func(now front.Time, _ string) { c.control.Receive(now, m) })
}

// handleRequest executes an encoded request in this machine's control part and returns the encoded answer, nil if it
// cannot be encoded.
func (c *fleetConfig) handleRequest(body []byte) []byte {
	text, err := json.Marshal(c.execute(body))
	if err != nil {
		return nil
	}
	return text
}

// execute runs an encoded request in the control part and waits up to peers.HandlerTimeout for the answer. After that the outcome
// is unknown.
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

// sendRequest sends a request to the control machine at addr and returns its answer. A request to this machine does not
// use the network.
func (c *fleetConfig) sendRequest(addr string, request []byte) ([]byte, error) {
	if addr == c.addr && c.node.leases.HasVoter() {
		return c.handleRequest(request), nil
	}
	return c.node.peers.Request(addr, request)
}

// step is the configuration's part of one iteration of the event loop.
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

// PutInForce applies a version's texts to the running front. On an error nothing has changed.
func (c *fleetConfig) PutInForce(texts []config.ScopeText) error {
	fresh, err := c.current.withVersion(texts)
	if err != nil {
		return err
	}
	if err := c.node.reconfigure(c.current, &fresh); err != nil {
		return err
	}
	c.nextDiscovery = fresh.discovery
	fresh.discovery = c.current.discovery // step switches to the new address
	*c.current = fresh
	return nil
}

// withVersionInForce returns a reader of the front's files that then applies the version in force now, instead of the
// stored version that a start would apply. The version in force may not have been written to disk yet, and a reload would
// then go back to an older address of discovery.
func (c *fleetConfig) withVersionInForce(read configReader) configReader {
	return func() (frontConfig, error) {
		fresh, err := read()
		if err != nil {
			return fresh, err
		}
		return fresh.withVersion(c.front.InForce())
	}
}

// Peers returns the voters, and the fronts that membership has as alive or suspect. It passes them to the control part
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

// DeliverToControl passes a message of this front to this machine's control part. It returns false if there is none.
func (c *fleetConfig) DeliverToControl(body []byte) bool {
	if !c.node.leases.HasVoter() {
		return false
	}
	c.node.leases.RunOnVoter(func(now front.Time, _ string) { c.control.ReceiveFromFront(now, body) })
	return true
}

// applyStored replaces parts of the files' configuration with the version that this front stored last. A version that
// cannot be read or applied is ignored, and storedError says why.
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

// registerHandlers adds the HTTP handler for the commands that execute requests about the fleet's configuration.
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

// errLoopTimeout reports that the event loop accepted no call or did not answer within loopTimeout.
var errLoopTimeout = errors.New("the front does not answer")

// controlAddrs has the event loop list the control machines' addresses.
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

// registerConfigDisabled adds handlers that refuse the same commands if the configuration is disabled.
func registerConfigDisabled(mux *http.ServeMux) {
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "fleet.config is not switched on", http.StatusConflict)
	}
	mux.HandleFunc("GET /config", refuse)
	mux.HandleFunc("POST /config", refuse)
}

// frontPointer holds the front to which this machine's control part delivers messages; the voter's goroutine reads it.
type frontPointer = atomic.Pointer[configuration.Front]
