package stage2

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Entry is one store in discovery's list.
type Entry struct {
	ID       string  `json:"id"`
	Addr     string  `json:"addr"`
	Zone     string  `json:"zone"`
	Kind     string  `json:"kind"`
	Cell     uint64  `json:"cell"`
	State    string  `json:"state"`
	Weight   float64 `json:"weight"`
	Started  int64   `json:"started_ms"`
	Role     string  `json:"role,omitempty"`
	Protocol string  `json:"protocol,omitempty"`
}

// Discovery serves the list of stores and its changes.
type Discovery struct {
	stage  *Stage
	server *httptest.Server

	mu      sync.Mutex
	version int64
	entries []Entry         // the list as it is
	changes []change        // all changes so far
	changed []chan struct{} // of the open watches
}

// change is one changed entry.
type change struct {
	version int64
	entry   Entry
}

// list is one object of the list.
type list struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// NewDiscovery serves a list.
func (s *Stage) NewDiscovery(entries ...Entry) *Discovery {
	d := &Discovery{stage: s, version: 41, entries: entries}
	d.server = httptest.NewServer(d)
	return d
}

// Addr returns the address of discovery.
func (d *Discovery) Addr() string { return strings.TrimPrefix(d.server.URL, "http://") }

// SetState changes the state of a store, and returns when all open watches have been written that.
func (d *Discovery) SetState(id, state string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	var kept []Entry
	for _, e := range d.entries {
		if e.ID == id {
			e.State = state
			d.changes = append(d.changes, change{d.version, e})
			if state == "left" {
				continue
			}
		}
		kept = append(kept, e)
	}
	d.entries = kept
	for _, c := range d.changed {
		select {
		case c <- struct{}{}:
		default:
		}
	}
	d.stage.Note("discovery: version %d, store %s is %s", d.version, id, state)
	return time.Now()
}

// since returns what has changed after a version, or the whole list for -1.
func (d *Discovery) since(version int64) list {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := list{Version: d.version, Servers: []Entry{}}
	if version < 0 {
		l.Full, l.Servers = true, d.entries
		return l
	}
	for _, c := range d.changes {
		if c.version > version {
			l.Servers = append(l.Servers, c.entry)
		}
	}
	return l
}

// ServeHTTP answers GET /api/targets.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	version := int64(-1)
	if v, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64); err == nil {
		version = v
	}
	wake := make(chan struct{}, 1)
	d.mu.Lock()
	d.changed = append(d.changed, wake)
	d.mu.Unlock()
	for first := true; ; first = false {
		l := d.since(version)
		line := []byte{}
		if first || l.Version > version {
			line, _ = json.Marshal(l)
			version = l.Version
		}
		if _, err := w.Write(append(line, '\n')); err != nil || http.NewResponseController(w).Flush() != nil {
			return
		}
		if r.URL.Query().Get("follow") != "1" {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-wake:
		case <-time.After(2 * time.Second):
		}
	}
}
