// Package discovery keeps a watch on the list of stores over HTTP. When to open it anew is the module's
// matter: a watch that breaks is told as a failed list, and Ask opens the next one.
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
	heartbeatInterval = 2 * time.Second           // an empty line comes that often while nothing changes
	silenceTimeout    = heartbeatInterval * 9 / 4 // a watch that has missed two of them is broken, and what it missed is not yet due
	answerTimeout     = heartbeatInterval / 2     // discovery answers a call at once; one that is silent for so long is given up
	maxObjectSize     = 4 << 20                   // bytes of one object
	propagationTime   = 6 * time.Second           // what one agent of a discovery has told, each other one has by then
)

// Decode reads one object of the list. It gives all of it or an error.
func Decode(text []byte) (version int64, l front.StoreList, err error) {
	var w struct {
		Version *int64
		Full    bool
		Servers []struct {
			ID, Addr, Zone, State, Role string
			Protocol                    string // "bolt"; without it PostgreSQL's
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
			return 0, l, fmt.Errorf("store %q is named twice or not at all", s.ID)
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

// Watcher follows the list. One goroutine of its lives as long as the process, the others as long as a call.
type Watcher struct {
	client                        *http.Client
	wake                          func()
	log                           *slog.Logger
	connectRequests               chan struct{}
	answerTimeout, silenceTimeout time.Duration
	version                       int64 // -1: the whole list is asked for; run's alone, as newest
	newestVersion                 int64 // that was told, by this discovery or the one before
	newestAt                      time.Time
	mu                            sync.Mutex
	url                           string // and what follows is guarded by mu
	addrChanged                   bool   // since the last watch was opened
	cancelWatch                   func() // of the watch that stands
	updates                       []front.StoreList
}

// Watch starts a watcher that knows the list up to version; it opens nothing before Ask.
func Watch(addr string, version int64, wake func(), log *slog.Logger) *Watcher {
	w := newWatcher(addr, version, wake, log)
	go w.run()
	return w
}

func newWatcher(addr string, version int64, wake func(), log *slog.Logger) *Watcher {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: 64 << 10}}
	return &Watcher{client: client, url: "http://" + addr + "/api/targets", wake: wake, log: log, connectRequests: make(chan struct{}, 1),
		version: version, newestVersion: version, answerTimeout: answerTimeout, silenceTimeout: silenceTimeout, cancelWatch: func() {}}
}

// Connect opens the watch if none is open; where a call for it has no answer yet, one more.
func (w *Watcher) Connect() {
	select {
	case w.connectRequests <- struct{}{}:
	default:
	}
}

// TakeUpdates gives what was told since the last call.
func (w *Watcher) TakeUpdates(into []front.StoreList) []front.StoreList {
	w.mu.Lock()
	defer w.mu.Unlock()
	into = append(into, w.updates...)
	w.updates = w.updates[:0]
	return into
}

// SetAddr follows the list at another address from now on, whether or not the old one still speaks.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	w.url, w.addrChanged = "http://"+addr+"/api/targets", true
	w.cancelWatch()
	w.Connect()
	w.mu.Unlock()
}

func (w *Watcher) publish(l front.StoreList) {
	w.mu.Lock()
	w.updates = append(w.updates, l)
	w.mu.Unlock()
	w.wake()
}

func (w *Watcher) run() {
	for range w.connectRequests {
		err := w.follow()
		w.mu.Lock()
		addrChanged := w.addrChanged
		if !addrChanged {
			select { // what was asked for while it stood is answered by its end
			case <-w.connectRequests:
			default:
			}
		}
		w.mu.Unlock()
		if addrChanged { // nothing has failed; what Move asked for may have been taken by the call that it ended
			w.Connect()
			continue
		}
		w.log.Warn("watch of the list broke", "error", err.Error())
		w.publish(front.StoreList{Kind: balance.ListFailed})
	}
}

// follow keeps one watch until it breaks, falls silent or says what cannot be. After the last, and after an object that was
// cut off, the next one starts from the whole list.
// Danger: a call that is never answered, or a watch that has fallen silent, holds up what counts as told meanwhile. So
// each is given up while there is time for another.
func (w *Watcher) follow() error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	w.mu.Lock()
	if w.addrChanged {
		// Danger: what was told before still holds, though the other agent may not know of it yet.
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
		if n > 0 && scanner.depth == 0 { // Danger: an object that comes on for ever is silence as well.
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
	errAddrChanged = errors.New("discovery has moved")
)

// handleObject takes in one object of the list as a watch told it.
func (w *Watcher) handleObject(text []byte, whole *bool) error {
	version, l, err := Decode(text)
	switch {
	case err != nil:
		return err
	case *whole && l.Kind != balance.ListFull:
		return errors.New("changes where the whole list was asked for")
	case !*whole && version < w.version:
		return fmt.Errorf("version %d after %d", version, w.version)
	case l.Kind == balance.ListFull && version < w.newestVersion:
		// Danger: a discovery that has gone back knows nothing of drains that it told before.
		l.Kind = balance.ListStale
	}
	// Danger: a discovery may count anew, and one that lags may tell more than one list from before.
	if version >= w.newestVersion || time.Since(w.newestAt) > propagationTime {
		w.newestVersion, w.newestAt = version, time.Now()
	}
	w.version, *whole = version, false
	w.publish(l)
	return nil
}

// objectScanner gathers one JSON object from the pieces in which it comes, on one line or on many.
type objectScanner struct {
	text              []byte
	depth             int
	inString, escaped bool
}

// scan looks at more of the stream, and gives the object that ends there, if one does, and how much it has used.
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
