package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// Server is one store in the list that discovery serves.
type Server struct {
	ID       string  `json:"id"`
	Addr     string  `json:"addr"`
	Zone     string  `json:"zone"`
	Kind     string  `json:"kind"`
	Group    uint64  `json:"cell"`
	State    string  `json:"state"` // "active", "leaving" or "left".
	Weight   float64 `json:"weight"`
	Started  int64   `json:"started_ms"`
	Role     string  `json:"role,omitempty"`
	Protocol string  `json:"protocol,omitempty"` // "bolt"; empty for PostgreSQL's protocol.
}

// ServerList is an HTTP handler that serves a list of stores and streams its changes.
type ServerList struct {
	mu      sync.Mutex
	changed *sync.Cond
	version int
	servers []Server
	closed  bool
}

// NewServerList returns a list of the given stores.
func NewServerList(lines ...Server) *ServerList {
	d := &ServerList{servers: lines, version: 1}
	d.changed = sync.NewCond(&d.mu)
	return d
}

// Discovery serves a ServerList on a loopback address.
type Discovery struct {
	*ServerList
	server *httptest.Server
}

// NewDiscovery starts serving a list of the given stores.
func NewDiscovery(lines ...Server) *Discovery {
	l := NewServerList(lines...)
	return &Discovery{l, httptest.NewServer(l)}
}

// Addr returns the address that discovery listens on.
func (d *Discovery) Addr() string { return strings.TrimPrefix(d.server.URL, "http://") }

// Close stops serving and ends all streams.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	d.changed.Broadcast()
	d.mu.Unlock()
	d.server.CloseClientConnections()
	d.server.Close()
}

// Update replaces the list with the result of edit and sends it to all open streams.
func (d *ServerList) Update(edit func(lines []Server) []Server) {
	d.mu.Lock()
	d.servers = edit(d.servers)
	d.version++
	d.changed.Broadcast()
	d.mu.Unlock()
}

// JSON returns the list in the format of discovery.
func (d *ServerList) JSON() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.marshal()
}

func (d *ServerList) marshal() []byte {
	b, err := json.Marshal(map[string]any{"version": d.version, "full": true, "servers": d.servers})
	if err != nil {
		panic(err) // Cannot happen: the list holds only strings and numbers.
	}
	return b
}

// ServeHTTP sends the whole list, and sends it again after each change until the client disconnects or the list is closed.
func (d *ServerList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for at := -1; ; {
		for at == d.version && !d.closed {
			d.changed.Wait()
		}
		if d.closed {
			return
		}
		at = d.version
		if _, err := io.WriteString(w, string(d.marshal())+"\n"); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
