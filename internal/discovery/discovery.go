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
	quiet   = 2 * time.Second // an empty line comes that often while nothing changes
	silence = quiet * 9 / 4   // a watch that has missed two of them is broken, and what it missed is not yet due
	answers = quiet / 2       // discovery answers a call at once; one that is silent for so long is given up
	most    = 4 << 20         // bytes of one object
	knownBy = 6 * time.Second // what one agent of a discovery has told, each other one has by then
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
	named := map[string]bool{}
	for _, s := range w.Servers {
		if s.ID == "" || named[s.ID] {
			return 0, l, fmt.Errorf("store %q is named twice or not at all", s.ID)
		}
		named[s.ID] = true
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
	client           *http.Client
	wake             func()
	log              *slog.Logger
	ask              chan struct{}
	answers, silence time.Duration
	version          int64 // -1: the whole list is asked for; run's alone, as newest
	newest           int64 // that was told, by this discovery or the one before
	newestAt         time.Time
	mu               sync.Mutex
	url              string // and what follows is guarded by mu
	moved            bool   // since the last watch was opened
	end              func() // of the watch that stands
	told             []front.StoreList
}

// Watch starts a watcher that knows the list up to version; it opens nothing before Ask.
func Watch(addr string, version int64, wake func(), log *slog.Logger) *Watcher {
	w := watcher(addr, version, wake, log)
	go w.run()
	return w
}

func watcher(addr string, version int64, wake func(), log *slog.Logger) *Watcher {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: 64 << 10}}
	return &Watcher{client: client, url: "http://" + addr + "/api/targets", wake: wake, log: log, ask: make(chan struct{}, 1),
		version: version, newest: version, answers: answers, silence: silence, end: func() {}}
}

// Connect opens the watch if none is open; where a call for it has no answer yet, one more.
func (w *Watcher) Connect() {
	select {
	case w.ask <- struct{}{}:
	default:
	}
}

// TakeUpdates gives what was told since the last call.
func (w *Watcher) TakeUpdates(into []front.StoreList) []front.StoreList {
	w.mu.Lock()
	defer w.mu.Unlock()
	into = append(into, w.told...)
	w.told = w.told[:0]
	return into
}

// SetAddr follows the list at another address from now on, whether or not the old one still speaks.
func (w *Watcher) SetAddr(addr string) {
	w.mu.Lock()
	w.url, w.moved = "http://"+addr+"/api/targets", true
	w.end()
	w.Connect()
	w.mu.Unlock()
}

func (w *Watcher) tell(l front.StoreList) {
	w.mu.Lock()
	w.told = append(w.told, l)
	w.mu.Unlock()
	w.wake()
}

func (w *Watcher) run() {
	for range w.ask {
		err := w.follow()
		w.mu.Lock()
		moved := w.moved
		if !moved {
			select { // what was asked for while it stood is answered by its end
			case <-w.ask:
			default:
			}
		}
		w.mu.Unlock()
		if moved { // nothing has failed; what Move asked for may have been taken by the call that it ended
			w.Connect()
			continue
		}
		w.log.Warn("watch of the list broke", "error", err.Error())
		w.tell(front.StoreList{Kind: balance.ListFailed})
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
	if w.moved {
		// Danger: what was told before still holds, though the other agent may not know of it yet.
		w.moved, w.version = false, -1
	}
	w.end = func() { cancel(errMoved) }
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
	watchdog := time.AfterFunc(w.silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	var o object
	spoilt := func(err error) error { w.version = -1; return err }
	for piece := make([]byte, 16<<10); ; {
		n, err := resp.Body.Read(piece)
		for rest := piece[:n]; len(rest) > 0; {
			text, used, err := o.take(rest)
			if err != nil {
				return spoilt(err)
			}
			rest = rest[used:]
			if text == nil {
				continue
			}
			watchdog.Reset(w.silence)
			if err := w.object(text, &whole); err != nil {
				return spoilt(err)
			}
		}
		if n > 0 && o.depth == 0 { // Danger: an object that comes on for ever is silence as well.
			watchdog.Reset(w.silence)
		}
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		if err = cmp.Or(context.Cause(ctx), err); err != nil && o.depth > 0 {
			return spoilt(err)
		} else if err != nil {
			return err
		}
	}
}

var (
	errSilent = errors.New("discovery is silent")
	errMoved  = errors.New("discovery has moved")
)

// object takes in one object of the list as a watch told it.
func (w *Watcher) object(text []byte, whole *bool) error {
	version, l, err := Decode(text)
	switch {
	case err != nil:
		return err
	case *whole && l.Kind != balance.ListFull:
		return errors.New("changes where the whole list was asked for")
	case !*whole && version < w.version:
		return fmt.Errorf("version %d after %d", version, w.version)
	case l.Kind == balance.ListFull && version < w.newest:
		// Danger: a discovery that has gone back knows nothing of drains that it told before.
		l.Kind = balance.ListStale
	}
	// Danger: a discovery may count anew, and one that lags may tell more than one list from before.
	if version >= w.newest || time.Since(w.newestAt) > knownBy {
		w.newest, w.newestAt = version, time.Now()
	}
	w.version, *whole = version, false
	w.tell(l)
	return nil
}

// object gathers one JSON object from the pieces in which it comes, on one line or on many.
type object struct {
	text            []byte
	depth           int
	quoted, escaped bool
}

// take looks at more of the stream, and gives the object that ends there, if one does, and how much it has used.
func (o *object) take(p []byte) (text []byte, used int, err error) {
	if o.depth == 0 {
		o.text = o.text[:0]
	}
	for n, c := range p {
		switch {
		case o.escaped:
			o.escaped = false
		case o.quoted:
			o.escaped, o.quoted = c == '\\', c != '"'
		case o.depth > 0 && c == '"':
			o.quoted = true
		case c == '{':
			o.depth++
		case o.depth == 0 && (c == ' ' || c == '\t' || c == '\r' || c == '\n'):
			continue
		case o.depth == 0:
			return nil, n, fmt.Errorf("byte %q between the objects of the list", c)
		case c == '}':
			o.depth--
		}
		if o.text = append(o.text, c); len(o.text) > most {
			return nil, n, fmt.Errorf("an object of over %d bytes", most)
		}
		if o.depth == 0 {
			return o.text, n + 1, nil
		}
	}
	return nil, len(p), nil
}
