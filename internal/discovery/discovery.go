// Package discovery watches the list of stores that a discovery service publishes over HTTP. The core decides when to open a
// new watch: a watch that breaks is reported as a failed list, and Watcher.Connect opens the next one.
package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"micatrack/balance"
	"micatrack/internal/front"
)

const (
	// heartbeatInterval is the interval of the empty lines that discovery sends while nothing changes.
	heartbeatInterval = 2 * time.Second
	// silenceTimeout is the time without data after which a watch is broken: it has missed two heartbeats, and the front
	// isn't yet held to know the changes that it missed.
	silenceTimeout = heartbeatInterval * 9 / 4
	// answerTimeout is the time without an answer after which a call is abandoned. Discovery answers a call at once.
	answerTimeout = heartbeatInterval / 2
	// maxObjectSize bounds one JSON object, in bytes.
	maxObjectSize = 4 << 20
	// maxUpdates bounds the lists that wait for TakeUpdates.
	maxUpdates = 16
	// propagationTime is the time within which what one agent of a discovery service has published reaches all others.
	propagationTime = 6 * time.Second
)

// Decode parses one JSON object of the store list. It returns the list's version and either all of its entries or an error.
func Decode(text []byte) (version int64, l front.StoreList, err error) {
	var w struct {
		Version *int64
		Full    bool
		Servers []struct {
			ID, Addr, Zone, State, Role string
			Protocol                    string // "bolt"; otherwise the store uses the PostgreSQL protocol
			Cell                        uint64
			Weight                      float64
			Started                     int64 `json:"started_ms"`
		}
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return 0, l, err
	}
	if w.Version == nil {
		return 0, l, errors.New("the list has no version")
	}
	l.Kind = balance.ListChanges
	if w.Full {
		l.Kind = balance.ListFull
	}
	seen := map[string]bool{}
	for _, s := range w.Servers {
		if s.ID == "" || seen[s.ID] {
			return 0, l, fmt.Errorf("store ID %q is empty or listed twice", s.ID)
		}
		seen[s.ID] = true
		m := balance.Member{Group: s.Cell, Zone: s.Zone, Size: s.Weight, Started: s.Started * 10,
			Primary: s.Role == "primary"}
		switch s.State {
		case "active":
			m.Condition = balance.Ready
		case "leaving":
			m.Condition = balance.Draining
		case "left":
			m.Condition = balance.Gone
		default:
			return 0, l, fmt.Errorf("store %q: unknown state %q", s.ID, s.State)
		}
		if _, _, err := net.SplitHostPort(s.Addr); err != nil && m.Condition != balance.Gone {
			return 0, l, fmt.Errorf("store %q: address: %w", s.ID, err)
		}
		l.Entries = append(l.Entries, front.StoreEntry{ID: s.ID, Addr: s.Addr, Bolt: s.Protocol == "bolt", Member: m})
	}
	return *w.Version, l, nil
}

// Watcher follows the store list. One of its goroutines lives as long as the process, the others as long as a call. Its methods
// are safe for concurrent use.
type Watcher struct {
	client                        *http.Client
	wake                          func()
	log                           *slog.Logger
	connectRequests               chan struct{} // holds a request of Connect until run or call receives it
	answerTimeout, silenceTimeout time.Duration

	// version is that of the last list received; -1 requests the whole list. Only run uses it.
	version int64
	// newestVersion is the highest version received, from this discovery address or an earlier one, unless discovery has
	// started to count anew. Only run uses it.
	newestVersion int64
	newestAt      time.Time         // when newestVersion was set
	mu            sync.Mutex        // guards the fields below
	url           string            // of the watch, without its query
	addrChanged   bool              // SetAddr was called after the last watch was opened
	cancelWatch   func()            // cancels the open watch
	updates       []front.StoreList // lists that TakeUpdates has not returned yet
	updatesTaken  *sync.Cond        // on mu: TakeUpdates was called
}

// Watch starts a Watcher whose caller knows the list up to version, or -1 for no list. It opens no watch before Connect is
// called. wake is called whenever TakeUpdates has something to return.
func Watch(addr string, version int64, wake func(), log *slog.Logger) *Watcher {
	w := newWatcher(addr, version, wake, log)
	go w.run()
	return w
}

func newWatcher(addr string, version int64, wake func(), log *slog.Logger) *Watcher {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: 64 << 10}}
	w := &Watcher{client: client, url: "http://" + addr + "/api/targets", wake: wake, log: log, connectRequests: make(chan struct{}, 1),
		version: version, newestVersion: version, answerTimeout: answerTimeout, silenceTimeout: silenceTimeout, cancelWatch: func() {}}
	w.updatesTaken = sync.NewCond(&w.mu)
	return w
}

// Connect opens a watch if none is open. If a call for one is still unanswered, it makes one more call.
func (w *Watcher) Connect() {
	select {
	case w.connectRequests <- struct{}{}:
	default:
	}
}

// TakeUpdates appends the lists received since the last call to into and returns the result.
func (w *Watcher) TakeUpdates(into []front.StoreList) []front.StoreList {
	w.mu.Lock()
	defer w.mu.Unlock()
	into = append(into, w.updates...)
	clear(w.updates)
	w.updates = w.updates[:0]
	w.updatesTaken.Broadcast()
	return into
}

// SetAddr makes the Watcher follow the list at another address, whether or not the old one still responds.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	w.url, w.addrChanged = "http://"+addr+"/api/targets", true
	w.cancelWatch()
	w.Connect()
	w.mu.Unlock()
}

// publish adds a list for TakeUpdates and wakes the caller. While maxUpdates lists wait it blocks, so that discovery is read no
// faster than its lists are taken.
func (w *Watcher) publish(l front.StoreList) {
	w.mu.Lock()
	for len(w.updates) >= maxUpdates {
		w.updatesTaken.Wait()
	}
	w.updates = append(w.updates, l)
	w.mu.Unlock()
	w.wake()
}

// run opens a watch for each request of Connect and reports the end of each as a failed list.
func (w *Watcher) run() {
	for range w.connectRequests {
		err := w.follow()
		w.mu.Lock()
		addrChanged := w.addrChanged
		if !addrChanged {
			select { // requests made while the watch was open are answered by its end
			case <-w.connectRequests:
			default:
			}
		}
		w.mu.Unlock()
		if addrChanged { // nothing has failed; the call that SetAddr cancelled may have consumed the request made by SetAddr
			w.Connect()
			continue
		}
		w.log.Warn("watch of the list broke", "error", err.Error())
		w.publish(front.StoreList{Kind: balance.ListFailed})
	}
}

// follow keeps one watch open until it breaks, falls silent or sends invalid data. After invalid data or a truncated object the
// next watch requests the whole list.
//
// A call that is never answered, or a watch that has fallen silent, delays changes that the front is meanwhile held to know. So
// each is abandoned early enough to leave time for another.
func (w *Watcher) follow() error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	w.mu.Lock()
	if w.addrChanged {
		// newestVersion is kept: earlier lists remain valid, although the new agent may not have them yet.
		w.addrChanged, w.version = false, -1
	}
	w.cancelWatch = func() { cancel(errAddrChanged) }
	url, whole := w.url+"?follow=1", w.version < 0
	w.mu.Unlock()
	if !whole {
		url += fmt.Sprintf("&since=%d", w.version)
	}
	resp, err := w.call(ctx, url)
	if err != nil {
		return cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	watchdog := time.AfterFunc(w.silenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	var scanner objectScanner
	requireWholeList := func(err error) error { w.version = -1; return err }
	for buffer := make([]byte, 16<<10); ; {
		n, err := resp.Body.Read(buffer)
		for rest := buffer[:n]; len(rest) > 0; {
			text, used, err := scanner.scan(rest)
			if err != nil {
				return requireWholeList(err)
			}
			rest = rest[used:]
			if text == nil {
				continue
			}
			watchdog.Reset(w.silenceTimeout)
			if err := w.handleObject(text, &whole); err != nil {
				return requireWholeList(err)
			}
		}
		if n > 0 && scanner.depth == 0 { // Within an object nothing is reset: an object that never ends counts as silence too.
			watchdog.Reset(w.silenceTimeout)
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err = cmp.Or(context.Cause(ctx), err); err != nil && scanner.depth > 0 {
			return requireWholeList(err)
		} else if err != nil {
			return err
		}
	}
}

var (
	errSilent      = errors.New("discovery is silent")
	errAddrChanged = errors.New("discovery address changed")
)

// handleObject decodes one object of a watch, checks its version and publishes its list. whole says whether the whole list was
// requested and not received yet.
func (w *Watcher) handleObject(text []byte, whole *bool) error {
	version, l, err := Decode(text)
	switch {
	case err != nil:
		return err
	case *whole && l.Kind != balance.ListFull:
		return errors.New("received changes where the whole list was requested")
	case !*whole && version < w.version:
		return fmt.Errorf("version %d after %d", version, w.version)
	case l.Kind == balance.ListFull && version < w.newestVersion:
		// A discovery that has gone back to an older version doesn't know of drains that it published before.
		l.Kind = balance.ListStale
	}
	// A lower version may come from a lagging discovery, which may send several old lists, or from one that has started
	// to count anew; so it becomes the newest only after propagationTime.
	if version >= w.newestVersion || time.Since(w.newestAt) > propagationTime {
		w.newestVersion, w.newestAt = version, time.Now()
	}
	w.version, *whole = version, false
	w.publish(l)
	return nil
}

// objectScanner extracts JSON objects from a stream that arrives in pieces. An object may span several lines.
type objectScanner struct {
	text              []byte // the object so far
	depth             int    // of open braces
	inString, escaped bool
}

// scan reads more of the stream. It returns the first object that ends in p, or nil, and the number of bytes of p it has used.
// text is valid until the next call.
func (o *objectScanner) scan(p []byte) (text []byte, used int, err error) {
	if o.depth == 0 {
		o.text = o.text[:0]
	}
	for n, c := range p {
		switch {
		case o.escaped:
			o.escaped = false
		case o.inString:
			o.escaped, o.inString = c == '\\', c != '"'
		case o.depth > 0 && c == '"':
			o.inString = true
		case c == '{':
			o.depth++
		case o.depth == 0 && (c == ' ' || c == '\t' || c == '\r' || c == '\n'):
			continue
		case o.depth == 0:
			return nil, n, fmt.Errorf("byte %q between the objects of the list", c)
		case c == '}':
			o.depth--
		}
		if o.text = append(o.text, c); len(o.text) > maxObjectSize {
			return nil, n, fmt.Errorf("an object of over %d bytes", maxObjectSize)
		}
		if o.depth == 0 {
			return o.text, n + 1, nil
		}
	}
	return nil, len(p), nil
}
