package main

import (
	"cmp"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"micatrack/balance"
	"micatrack/internal/configuration"
	"micatrack/internal/discovery"
	"micatrack/internal/front"
	"micatrack/internal/operators"
	"micatrack/internal/pgwire"
	"micatrack/internal/settings"
	"micatrack/internal/sock"
)

// orders is what a front is told at its start.
type orders struct {
	name, listen, discovery string
	cores                   float64
	memory                  int64 // bytes
	sockets                 int
	known                   front.StoreList
	version                 int64
	settings                balance.Settings
	host                    settings.Process
	operators               operators.Options
	stored                  configuration.StoredVersion // the fleet's configuration, as this front had it last
	trouble                 string                      // why it was not taken, if it was not
	pinned                  bool                        // a flag names discovery
	own                     parts                       // as the front's files have them
}

// readConfiguration reads the file. What flags name comes first; the environment fills in what is named nowhere
// else, for it cannot follow a file that is replaced while the program runs.
func readConfiguration(path, listen, from, switches string) (o orders, err error) {
	if path == "" {
		return o, fmt.Errorf("no configuration: give -config or GW_CONFIG")
	}
	on, err := operators.Read(switches)
	if err != nil {
		return o, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return o, fmt.Errorf("configuration: %w", err)
	}
	var w struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64
			MemoryMB int64 `json:"memory_mb"`
			Sockets  int
		}
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &w); err != nil {
		return o, fmt.Errorf("configuration %s: %w", path, err)
	}
	pinned := from != ""
	listen = cmp.Or(listen, w.Listen, os.Getenv("GW_LISTEN"))
	from = cmp.Or(from, w.Discovery, os.Getenv("GW_DISCOVERY"))
	o = orders{name: w.Name, listen: listen, discovery: from, cores: w.Limits.Cores,
		memory: w.Limits.MemoryMB << 20, sockets: w.Limits.Sockets, version: -1, operators: on}
	for _, a := range [...]struct{ key, addr string }{{"listen", listen}, {"discovery", from}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return o, fmt.Errorf("%s: %w", a.key, err)
		}
	}
	if o.cores <= 0 || o.memory <= 0 || o.sockets < 2*reserve {
		return o, fmt.Errorf("limits: cores, memory_mb or sockets is missing or too small")
	}
	seed, err := strconv.ParseUint(w.Seed, 16, 64)
	if err != nil {
		return o, fmt.Errorf("seed: %w", err)
	}
	if o.settings, o.host, err = configuration.ReadSettings(w.Settings); err != nil {
		return o, fmt.Errorf("settings: %w", err)
	}
	o.settings.Seed, o.pinned = seed, pinned
	o.settle()
	o.own = parts{o.discovery, o.settings, o.host, o.operators.Door}
	if on.Fleet.On && on.Fleet.Config.On {
		o.fromFleet()
	}
	if len(w.Known) > 0 {
		if o.version, o.known, err = discovery.Decode(w.Known); err != nil {
			return o, fmt.Errorf("known: %w", err)
		}
	}
	o.known.Kind = balance.ListCached
	return o, nil
}

const (
	reserve = 24                     // descriptors that are neither clients' nor stores'
	rest    = 2 * time.Second        // a client that asked nothing for that long yields where there is no room
	grace   = 600 * time.Millisecond // new connections may come for most of that time behind SIGTERM
	force   = 500 * time.Millisecond // SIGKILL comes 700 ms after the longest deadline, and the front may be held up for 150 ms
	longest = 3 * time.Second        // that deadline counts as this much where it is longer
	tick    = 100 * time.Microsecond // one front.Time
)

// clock reads the wall clock once and goes on monotonically. It is rounded up: a fence or an age that is
// reckoned from it errs to the safe side.
func clock() func() front.Time {
	start := time.Now()
	base := start.UnixNano()
	return func() front.Time { return (base + int64(time.Since(start)) + int64(tick) - 1) / int64(tick) }
}

// reload reads the configuration again. Discovery is followed to another address; what else has changed waits
// for the next start. A faulty file changes nothing.
func reload(o *orders, read reader, move func(addr string), log *slog.Logger) {
	fresh, err := read()
	if err != nil {
		log.Error("configuration not taken", "error", err.Error())
		return
	}
	log.Info("configuration read again", "discovery", fresh.discovery)
	if fresh.discovery != o.discovery {
		o.discovery = fresh.discovery
		move(fresh.discovery)
	}
	fresh.known, fresh.version = o.known, o.version
	fresh.stored, fresh.trouble = o.stored, o.trouble
	o.own.discovery = fresh.own.discovery
	if !reflect.DeepEqual(fresh, *o) {
		log.Warn("more than discovery has changed; the rest waits for the next start")
	}
}

// signals are heard before the configuration is read.
// Danger: SIGHUP would end a front that has not come to hear it, and what it tells of would be missed.
var (
	signals = make(chan os.Signal, 8)
	begun   = time.Now()
)

// heed has signals wait for serve.
func heed() { signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) }

// serve runs a front until it is told to stop; the error says why it could not begin.
func serve(o orders, read reader) error {
	// One processor more than cores: the poller sits in a system call most of the time, and the runtime takes
	// a processor that does so back only after a while.
	runtime.GOMAXPROCS(int(math.Ceil(o.cores)) + 1)
	debug.SetMemoryLimit(o.memory * 3 / 4)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("front", o.name)

	answer := max(pgwire.MaxQuerySize, int(o.memory/64)) // the rings' share of memory holds sixteen
	net, err := sock.Open(o.listen, o.sockets, o.memory/4, answer)
	if err != nil {
		return exit{1, fmt.Errorf("listen: %w", err)}
	}
	now := clock()
	watcher := discovery.Watch(o.discovery, o.version, net.Wake, log)
	links := o.sockets - reserve
	limits := front.Limits{MaxConnections: links, MaxClients: links / 2, MaxStoreMessage: answer, MaxBufferedReplies: int(o.memory / 16), ClientIdle: int64(rest / tick), ShutdownGrace: int64(grace / tick), ForceAfter: int64(force / tick),
		MaxDeadline: int64(longest / tick), CancelSecret: make([]byte, 32)}
	rand.Read(limits.CancelSecret)
	limits.Admission = doorBounds(&o.operators.Door)
	if b := o.operators.Bolt; b.On {
		bound, err := net.AddListener(b.Listen, front.Bolt)
		if err != nil {
			return exit{1, fmt.Errorf("listen: %w", err)}
		}
		limits.BoltAddress, limits.DrainGrace = cmp.Or(b.Advertise, bound), b.DrainMS*int64(time.Millisecond/tick)
		log.Info("bolt", "listen", bound)
	}
	var others *together
	if o.operators.Fleet.On {
		if others, err = join(now, &o, net.Wake, log); err != nil {
			return exit{1, fmt.Errorf("fleet: %w", err)}
		}
		if others.config != nil {
			others.config.move = watcher.SetAddr
			read = others.config.reader(read)
		}
		limits.OnAttemptEnd = func(store string, how balance.Ending, expected, took front.Time) {
			others.bridge.RecordOutcome(now(), store, how, expected, took)
		}
	}
	if others != nil && others.look != nil {
		limits.PositionWatch = others.look
	}
	core, err := front.New(now(), o.settings, o.host, limits, net, watcher.Connect, log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	core.UpdateStores(o.known)
	if others != nil {
		others.serves(core, o.known, time.Duration(o.operators.Fleet.JoinMS)*time.Millisecond)
	}
	if o.settings.ListPushed {
		watcher.Connect()
	}
	var halt, again atomic.Bool
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				again.Store(true)
			} else {
				halt.Store(true)
			}
			net.Wake()
		}
	}()
	log.Info("serving", "listen", net.Addr(), "discovery", o.discovery, "stores", len(o.known.Entries), "ready_ms", time.Since(begun).Milliseconds())
	var lists []front.StoreList
	// What was accepted in the last moment is served as well: the core has yet to hear of it.
	for deaf := false; !core.Done() || net.Clients() > 0; {
		next := core.NextStep()
		if others != nil {
			next = min(next, others.Next())
		}
		events := net.Poll(time.Duration(next-now()) * tick)
		lists = watcher.TakeUpdates(lists[:0])
		for _, l := range lists {
			core.UpdateStores(l)
		}
		if halt.Load() {
			core.Stop(now())
		}
		if others != nil {
			others.turn(lists, halt.Load())
		}
		if again.CompareAndSwap(true, false) {
			reload(&o, read, watcher.SetAddr, log)
		}
		core.Step(now(), events)
		if !deaf && core.Stopping() {
			deaf = true
			net.StopAccepting()
		}
	}
	if others != nil {
		others.close()
	}
	core.LogCounts()
	log.Info("stopped")
	return nil
}
