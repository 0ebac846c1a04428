package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Operation is one operation that the holder of a lease performed at the collector.
type Operation struct {
	Token        uint64
	Holder       string
	Began, Ended time.Time // By the collector's clock.
	Refused      bool
}

// Collector receives a fleet's summaries and records who sent each and when. It stands for any resource that a lease
// protects.
type Collector struct {
	server      *httptest.Server
	mu          sync.Mutex
	delay       time.Duration
	newestToken uint64
	operations  []Operation
}

// NewCollector starts a collector on a loopback address. Each operation lasts for the duration takes.
func NewCollector(takes time.Duration) *Collector {
	c := &Collector{delay: takes}
	c.server = httptest.NewServer(http.HandlerFunc(c.serve))
	return c
}

// Addr returns the address that the collector listens on.
func (c *Collector) Addr() string { return strings.TrimPrefix(c.server.URL, "http://") }

// Close stops the collector and closes its connections.
func (c *Collector) Close() {
	c.server.CloseClientConnections()
	c.server.Close()
}

// Operations returns all operations in the order in which they began.
func (c *Collector) Operations() []Operation {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Operation(nil), c.operations...)
}

func (c *Collector) serve(w http.ResponseWriter, r *http.Request) {
	token, err := strconv.ParseUint(r.Header.Get("Micatrack-Token"), 10, 64)
	var s struct{ By string }
	if err != nil || json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&s) != nil {
		http.Error(w, "no token, or no summary", http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	k := len(c.operations)
	c.operations = append(c.operations, Operation{Token: token, Holder: s.By, Began: time.Now(), Refused: token < c.newestToken})
	refused := c.operations[k].Refused
	c.newestToken = max(c.newestToken, token)
	c.mu.Unlock()
	if refused {
		http.Error(w, "a newer token has been seen", http.StatusConflict)
		c.mu.Lock()
		c.operations[k].Ended = time.Now()
		c.mu.Unlock()
		return
	}
	time.Sleep(c.delay)
	c.mu.Lock()
	c.operations[k].Ended = time.Now()
	c.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

// Overlaps returns those pairs of operations that ran at the same time under different tokens, and those where the later
// one began under an older token. Refused operations don't count.
func Overlaps(acts []Operation) (pairs [][2]Operation) {
	for k := range acts {
		for n := k + 1; n < len(acts); n++ {
			a, b := acts[k], acts[n]
			if !a.Refused && !b.Refused && (b.Token < a.Token || a.Token != b.Token && (a.Ended.IsZero() || b.Began.Before(a.Ended))) {
				pairs = append(pairs, [2]Operation{a, b})
			}
		}
	}
	return pairs
}
