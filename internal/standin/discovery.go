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

// List answers calls for the list of stores, and watches on it.
type List struct {
	mu      sync.Mutex
	changed *sync.Cond
	version int
	lines   []Line
	done    bool
}

// NewList makes a list of these stores.
func NewList(lines ...Line) *List {
	d := &List{lines: lines, version: 1}
	d.changed = sync.NewCond(&d.mu)
	return d
}

// Discovery is a list that listens on a loopback address.
type Discovery struct {
	*List
	server *httptest.Server
}

// NewDiscovery starts it.
func NewDiscovery(lines ...Line) *Discovery {
	l := NewList(lines...)
	return &Discovery{l, httptest.NewServer(l)}
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
func (d *List) Change(edit func(lines []Line) []Line) {
	d.mu.Lock()
	d.lines = edit(d.lines)
	d.version++
	d.changed.Broadcast()
	d.mu.Unlock()
}

// Whole gives the list as JSON.
func (d *List) Whole() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.text()
}

func (d *List) text() []byte {
	b, err := json.Marshal(map[string]any{"version": d.version, "full": true, "servers": d.lines})
	if err != nil {
		panic(err) // plain strings and numbers
	}
	return b
}

// ServeHTTP answers with the list, and with the whole of it again after each change.
func (d *List) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
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
