package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// Server is one store as discovery lists it.
type Server struct {
	ID       string  `json:"id"`
	Addr     string  `json:"addr"`
	Zone     string  `json:"zone"`
	Kind     string  `json:"kind"`
	Group    uint64  `json:"cell"`
	State    string  `json:"state"` // active, leaving or left
	Weight   float64 `json:"weight"`
	Started  int64   `json:"started_ms"`
	Role     string  `json:"role,omitempty"`
	Protocol string  `json:"protocol,omitempty"` // "bolt"; without it PostgreSQL's
}

// ServerList answers calls for the list of stores, and watches on it.
type ServerList struct {
	mu      sync.Mutex
	changed *sync.Cond
	version int
	servers []Server
	closed  bool
}

// NewServerList makes a list of these stores.
func NewServerList(lines ...Server) *ServerList {
	d := &ServerList{servers: lines, version: 1}
	d.changed = sync.NewCond(&d.mu)
	return d
}

// Discovery is a list that listens on a loopback address.
type Discovery struct {
	*ServerList
	server *httptest.Server
}

// NewDiscovery starts it.
func NewDiscovery(lines ...Server) *Discovery {
	l := NewServerList(lines...)
	return &Discovery{l, httptest.NewServer(l)}
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return strings.TrimPrefix(d.server.URL, "http://") }

// Close ends it and its watches.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	d.changed.Broadcast()
	d.mu.Unlock()
	d.server.CloseClientConnections()
	d.server.Close()
}

// Update edits the list and tells it to all that watch.
func (d *ServerList) Update(edit func(lines []Server) []Server) {
	d.mu.Lock()
	d.servers = edit(d.servers)
	d.version++
	d.changed.Broadcast()
	d.mu.Unlock()
}

// JSON gives the list as JSON.
func (d *ServerList) JSON() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.marshal()
}

func (d *ServerList) marshal() []byte {
	b, err := json.Marshal(map[string]any{"version": d.version, "full": true, "servers": d.servers})
	if err != nil {
		panic(err) // plain strings and numbers
	}
	return b
}

// ServeHTTP answers with the list, and with the whole of it again after each change.
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
