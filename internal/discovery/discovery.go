// Package discovery keeps a watch on the list of stores over HTTP. When to open it anew is the module's
// matter: a watch that breaks is told as a failed list, and Ask opens the next one.
package discovery

import (
	"bufio"
	"bytes"
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
	quiet    = 2 * time.Second // an empty line comes that often while nothing changes
	silence  = 3 * quiet       // a watch silent for longer is broken
	mostLine = 4 << 20
)

// Decode reads one object of the list. It gives all of it or an error.
func Decode(text []byte) (version int64, l front.List, err error) {
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
	l.News = balance.ListChanges
	if w.Full {
		l.News = balance.ListWhole
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
		l.Lines = append(l.Lines, front.Line{ID: s.ID, Addr: s.Addr, Bolt: s.Protocol == "bolt", Member: m})
	}
	return *w.Version, l, nil
}

// Watcher follows the list. Its one goroutine lives as long as the process.
type Watcher struct {
	wake    func()
	log     *slog.Logger
	ask     chan struct{}
	silence time.Duration
	version int64 // -1: the whole list is asked for; run's alone
	mu      sync.Mutex
	url     string // and what follows is guarded by mu
	moved   bool   // since the last watch was opened
	end     func() // of the watch that stands
	told    []front.List
}

// Watch starts a watcher that knows the list up to version; it opens nothing before Ask.
func Watch(addr string, version int64, wake func(), log *slog.Logger) *Watcher {
	w := &Watcher{url: "http://" + addr + "/api/targets", wake: wake, log: log, ask: make(chan struct{}, 1),
		version: version, silence: silence, end: func() {}}
	go w.run()
	return w
}

// Ask opens the watch if none is open.
func (w *Watcher) Ask() {
	select {
	case w.ask <- struct{}{}:
	default:
	}
}

// Take gives what was told since the last call.
func (w *Watcher) Take(into []front.List) []front.List {
	w.mu.Lock()
	defer w.mu.Unlock()
	into = append(into, w.told...)
	w.told = w.told[:0]
	return into
}

// Move follows the list at another address from now on, whether or not the old one still speaks.
func (w *Watcher) Move(addr string) {
	w.mu.Lock()
	w.url, w.moved = "http://"+addr+"/api/targets", true
	w.end()
	w.Ask()
	w.mu.Unlock()
}

func (w *Watcher) tell(l front.List) {
	w.mu.Lock()
	w.told = append(w.told, l)
	w.mu.Unlock()
	w.wake()
}

func (w *Watcher) run() {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	for range w.ask {
		err := w.follow(client)
		w.mu.Lock()
		moved := w.moved
		if !moved {
			select { // what was asked for while it stood is answered by its end
			case <-w.ask:
			default:
			}
		}
		w.mu.Unlock()
		if moved { // nothing has failed, and Move has asked for the next one
			continue
		}
		w.log.Warn("watch of the list broke", "error", err.Error())
		w.tell(front.List{News: balance.ListFailed})
	}
}

// follow keeps one watch until it breaks, falls silent or says what cannot be.
func (w *Watcher) follow(client *http.Client) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchdog := time.AfterFunc(w.silence, cancel)
	defer watchdog.Stop()
	w.mu.Lock()
	if w.moved {
		w.moved, w.version = false, -1 // Danger: another discovery need not count as this one did.
	}
	w.end = cancel
	url, whole := w.url+"?follow=1", w.version < 0
	w.mu.Unlock()
	if !whole {
		url += fmt.Sprintf("&since=%d", w.version)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, mostLine)
	for lines.Scan() {
		watchdog.Reset(w.silence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		version, l, err := Decode(line)
		switch {
		case err != nil:
		case whole && l.News != balance.ListWhole:
			err = errors.New("changes where the whole list was asked for")
		case !whole && version < w.version:
			err = fmt.Errorf("version %d after %d", version, w.version)
		}
		if err != nil {
			w.version = -1 // the next watch starts from the whole list
			return err
		}
		w.version, whole = version, false
		w.tell(l)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}
