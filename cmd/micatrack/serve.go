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

// frontConfig is what a front is told at its start.
type frontConfig struct {
	name, listen, discovery string
	cores                   float64
	memoryBytes             int64 // bytes
	sockets                 int
	knownStores             front.StoreList
	knownVersion            int64
	settings                balance.Settings
	process                 settings.Process
	operators               operators.Options
	stored                  configuration.StoredVersion // the fleet's configuration, as this front had it last
	storedError             string                      // why it was not taken, if it was not
	discoveryPinned         bool                        // a flag names discovery
	fromFiles               overridable                 // as the front's files have them
}

// readConfiguration reads the file. What flags name comes first; the environment fills in what is named nowhere
// else, for it cannot follow a file that is replaced while the program runs.
func readConfiguration(path, listen, discoveryAddr, operatorsPath string) (cfg frontConfig, err error) {
	if path == "" {
		return cfg, fmt.Errorf("no configuration: give -config or GW_CONFIG")
	}
	operatorsConfig, err := operators.Read(operatorsPath)
	if err != nil {
		return cfg, err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return cfg, fmt.Errorf("configuration: %w", err)
	}
	var file struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64
			MemoryMB int64 `json:"memory_mb"`
			Sockets  int
		}
		Known, Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return cfg, fmt.Errorf("configuration %s: %w", path, err)
	}
	pinned := discoveryAddr != ""
	listen = cmp.Or(listen, file.Listen, os.Getenv("GW_LISTEN"))
	discoveryAddr = cmp.Or(discoveryAddr, file.Discovery, os.Getenv("GW_DISCOVERY"))
	cfg = frontConfig{name: file.Name, listen: listen, discovery: discoveryAddr, cores: file.Limits.Cores,
		memoryBytes: file.Limits.MemoryMB << 20, sockets: file.Limits.Sockets, knownVersion: -1, operators: operatorsConfig}
	for _, a := range [...]struct{ key, addr string }{{"listen", listen}, {"discovery", discoveryAddr}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return cfg, fmt.Errorf("%s: %w", a.key, err)
		}
	}
	if cfg.cores <= 0 || cfg.memoryBytes <= 0 || cfg.sockets < 2*reservedDescriptors {
		return cfg, fmt.Errorf("limits: cores, memory_mb or sockets is missing or too small")
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return cfg, fmt.Errorf("seed: %w", err)
	}
	if cfg.settings, cfg.process, err = configuration.ReadSettings(file.Settings); err != nil {
		return cfg, fmt.Errorf("settings: %w", err)
	}
	cfg.settings.Seed, cfg.discoveryPinned = seed, pinned
	cfg.deriveSettings()
	cfg.fromFiles = overridable{cfg.discovery, cfg.settings, cfg.process, cfg.operators.Door}
	if operatorsConfig.Fleet.On && operatorsConfig.Fleet.Config.On {
		cfg.applyStored()
	}
	if len(file.Known) > 0 {
		if cfg.knownVersion, cfg.knownStores, err = discovery.Decode(file.Known); err != nil {
			return cfg, fmt.Errorf("known: %w", err)
		}
	}
	cfg.knownStores.Kind = balance.ListCached
	return cfg, nil
}

const (
	reservedDescriptors = 24                     // descriptors that are neither clients' nor stores'
	clientIdle          = 2 * time.Second        // a client that asked nothing for that long yields where there is no room
	shutdownGrace       = 600 * time.Millisecond // new connections may come for most of that time behind SIGTERM
	forceAfter          = 500 * time.Millisecond // SIGKILL comes 700 ms after the longest deadline, and the front may be held up for 150 ms
	maxDeadline         = 3 * time.Second        // that deadline counts as this much where it is longer
	tick                = 100 * time.Microsecond // one front.Time
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
func reload(cfg *frontConfig, read configReader, setAddr func(addr string), log *slog.Logger) {
	fresh, err := read()
	if err != nil {
		log.Error("configuration not taken", "error", err.Error())
		return
	}
	log.Info("configuration read again", "discovery", fresh.discovery)
	if fresh.discovery != cfg.discovery {
		cfg.discovery = fresh.discovery
		setAddr(fresh.discovery)
	}
	fresh.knownStores, fresh.knownVersion = cfg.knownStores, cfg.knownVersion
	fresh.stored, fresh.storedError = cfg.stored, cfg.storedError
	cfg.fromFiles.discovery = fresh.fromFiles.discovery
	if !reflect.DeepEqual(fresh, *cfg) {
		log.Warn("more than discovery has changed; the rest waits for the next start")
	}
}

// signals are heard before the configuration is read.
// Danger: SIGHUP would end a front that has not come to hear it, and what it tells of would be missed.
var (
	signals      = make(chan os.Signal, 8)
	processStart = time.Now()
)

// catchSignals has signals wait for serve.
func catchSignals() { signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) }

// serve runs a front until it is told to stop; the error says why it could not begin.
func serve(cfg frontConfig, read configReader) error {
	// One processor more than cores: the poller sits in a system call most of the time, and the runtime takes
	// a processor that does so back only after a while.
	runtime.GOMAXPROCS(int(math.Ceil(cfg.cores)) + 1)
	debug.SetMemoryLimit(cfg.memoryBytes * 3 / 4)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("front", cfg.name)

	maxReply := max(pgwire.MaxQuerySize, int(cfg.memoryBytes/64)) // the rings' share of memory holds sixteen
	sockets, err := sock.Open(cfg.listen, cfg.sockets, cfg.memoryBytes/4, maxReply)
	if err != nil {
		return exitError{1, fmt.Errorf("listen: %w", err)}
	}
	now := clock()
	watcher := discovery.Watch(cfg.discovery, cfg.knownVersion, sockets.Wake, log)
	maxConnections := cfg.sockets - reservedDescriptors
	limits := front.Limits{MaxConnections: maxConnections, MaxClients: maxConnections / 2, MaxStoreMessage: maxReply, MaxBufferedReplies: int(cfg.memoryBytes / 16), ClientIdle: int64(clientIdle / tick), ShutdownGrace: int64(shutdownGrace / tick), ForceAfter: int64(forceAfter / tick),
		MaxDeadline: int64(maxDeadline / tick), CancelSecret: make([]byte, 32)}
	rand.Read(limits.CancelSecret)
	limits.Admission = admissionBounds(&cfg.operators.Door)
	if b := cfg.operators.Bolt; b.On {
		bound, err := sockets.AddListener(b.Listen, front.Bolt)
		if err != nil {
			return exitError{1, fmt.Errorf("listen: %w", err)}
		}
		limits.BoltAddress, limits.DrainGrace = cmp.Or(b.Advertise, bound), b.DrainMS*int64(time.Millisecond/tick)
		log.Info("bolt", "listen", bound)
	}
	var node *fleetNode
	if cfg.operators.Fleet.On {
		if node, err = joinFleet(now, &cfg, sockets.Wake, log); err != nil {
			return exitError{1, fmt.Errorf("fleet: %w", err)}
		}
		if node.config != nil {
			node.config.setDiscovery = watcher.SetAddr
			read = node.config.withVersionInForce(read)
		}
		limits.OnAttemptEnd = func(store string, how balance.Ending, expected, took front.Time) {
			node.bridge.RecordOutcome(now(), store, how, expected, took)
		}
	}
	if node != nil && node.positionWatch != nil {
		limits.PositionWatch = node.positionWatch
	}
	core, err := front.New(now(), cfg.settings, cfg.process, limits, sockets, watcher.Connect, log)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	core.UpdateStores(cfg.knownStores)
	if node != nil {
		node.attachCore(core, cfg.knownStores, time.Duration(cfg.operators.Fleet.JoinMS)*time.Millisecond)
	}
	if cfg.settings.ListPushed {
		watcher.Connect()
	}
	var stopRequested, reloadRequested atomic.Bool
	go func() {
		for s := range signals {
			if s == syscall.SIGHUP {
				reloadRequested.Store(true)
			} else {
				stopRequested.Store(true)
			}
			sockets.Wake()
		}
	}()
	log.Info("serving", "listen", sockets.Addr(), "discovery", cfg.discovery, "stores", len(cfg.knownStores.Entries), "ready_ms", time.Since(processStart).Milliseconds())
	var lists []front.StoreList
	// What was accepted in the last moment is served as well: the core has yet to hear of it.
	for acceptStopped := false; !core.Done() || sockets.Clients() > 0; {
		next := core.NextStep()
		if node != nil {
			next = min(next, node.Next())
		}
		events := sockets.Poll(time.Duration(next-now()) * tick)
		lists = watcher.TakeUpdates(lists[:0])
		for _, l := range lists {
			core.UpdateStores(l)
		}
		if stopRequested.Load() {
			core.Stop(now())
		}
		if node != nil {
			node.step(lists, stopRequested.Load())
		}
		if reloadRequested.CompareAndSwap(true, false) {
			reload(&cfg, read, watcher.SetAddr, log)
		}
		core.Step(now(), events)
		if !acceptStopped && core.Stopping() {
			acceptStopped = true
			sockets.StopAccepting()
		}
	}
	if node != nil {
		node.close()
	}
	core.LogCounts()
	log.Info("stopped")
	return nil
}
