package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// Line is one store as discovery lists it.
type Line struct {
	ID       string  `json:"id"`
	Addr     string  `json:"addr"`
	Zone     string  `json:"zone"`
	Kind     string  `json:"kind"`
	Cell     uint64  `json:"cell"`
	State    string  `json:"state"` // active, leaving or left
	Weight   float64 `json:"weight"`
	Started  int64   `json:"started_ms"`
	Role     string  `json:"role,omitempty"`
	Protocol string  `json:"protocol,omitempty"` // "bolt"; without it PostgreSQL's
}

// Discovery serves the list of stores and a watch on it.
type Discovery struct {
	server *httptest.Server

	mu      sync.Mutex
	changed *sync.Cond
	version int
	lines   []Line
	done    bool
}

// NewDiscovery starts it on a loopback address.
func NewDiscovery(lines ...Line) *Discovery {
	d := &Discovery{lines: lines, version: 1}
	d.changed = sync.NewCond(&d.mu)
	d.server = httptest.NewServer(http.HandlerFunc(d.serve))
	return d
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return strings.TrimPrefix(d.server.URL, "http://") }

// Close ends it and its watches.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.done = true
	d.changed.Broadcast()
	d.mu.Unlock()
	d.server.CloseClientConnections()
	d.server.Close()
}

// Change edits the list and tells it to all that watch.
func (d *Discovery) Change(edit func(lines []Line) []Line) {
	d.mu.Lock()
	d.lines = edit(d.lines)
	d.version++
	d.changed.Broadcast()
	d.mu.Unlock()
}

// Whole gives the list as JSON.
func (d *Discovery) Whole() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text()
}

func (d *Discovery) text() []byte {
	b, err := json.Marshal(map[string]any{"version": d.version, "full": true, "servers": d.lines})
	if err != nil {
		panic(err) // plain strings and numbers
	}
	return b
}

func (d *Discovery) serve(w http.ResponseWriter, _ *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for at := -1; ; {
		for at == d.version && !d.done {
			d.changed.Wait()
		}
		if d.done {
			return
		}
		at = d.version
		if _, err := io.WriteString(w, string(d.text())+"\n"); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}
