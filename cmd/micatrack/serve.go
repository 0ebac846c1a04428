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
	"micatrack/internal/ring"
	"micatrack/internal/settings"
	"micatrack/internal/sock"
)

// frontConfig is the configuration of a front: its files, flags and environment, with the fleet's configuration applied.
type frontConfig struct {
	name            string                      // name of the front
	listen          string                      // address for PostgreSQL clients
	discovery       string                      // address of discovery
	cores           float64                     // processors that the front may use
	memoryBytes     int64                       // memory that the front may use
	sockets         int                         // file descriptors that the front may use
	knownStores     front.StoreList             // store list to start with, until discovery sends one
	knownVersion    int64                       // discovery's version of knownStores; -1 if none is known
	settings        balance.Settings            // settings of the balancer
	process         settings.Process            // settings of the process around the balancer
	operators       operators.Options           // the operators' file
	stored          configuration.StoredVersion // version of the fleet's configuration that this front stored last
	storedError     string                      // why the stored version was not applied; empty if it was
	discoveryPinned bool                        // a flag sets discovery, and the fleet's configuration cannot change it
	fromFiles       overridable                 // the overridable parts as the front's files have them
}

// readConfiguration reads the configuration file at path and the operators' file, and applies the version of the fleet's
// configuration that the front stored last. Flags override the file. The environment only supplies what neither names,
// because it cannot follow a file that is replaced while the program runs.
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
	reservedDescriptors = 24                     // file descriptors that serve neither clients nor stores
	clientIdle          = 2 * time.Second        // a client without a request for this long is closed if connections run out
	shutdownGrace       = 600 * time.Millisecond // new connections can arrive for most of this time after SIGTERM
	forceAfter          = 500 * time.Millisecond // SIGKILL comes 700 ms after the longest deadline, and the front may stall for 150 ms
	maxDeadline         = 3 * time.Second        // upper limit of that longest deadline
	tick                = 100 * time.Microsecond // one unit of front.Time
)

// clock returns a function that tells the time. It reads the wall clock once and continues from the monotonic clock. The
// time is rounded up, so that a fence or an age computed from it errs on the safe side.
func clock() func() front.Time {
	start := time.Now()
	base := start.UnixNano()
	return func() front.Time { return (base + int64(time.Since(start)) + int64(tick) - 1) / int64(tick) }
}

// reload reads the configuration again. A new address of discovery takes effect at once, other changes at the next start.
// An invalid file changes nothing.
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

var (
	// signals queues signals from before the configuration is read. Without this, a SIGHUP during the start would end
	// the process, and the change that it announces would be missed.
	signals      = make(chan os.Signal, 8)
	processStart = time.Now()
)

// catchSignals starts to queue signals until serve reads them.
func catchSignals() { signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP) }

// bufferGrowth returns the number of bytes by which all ring buffers together may grow: a quarter of the memory, less what
// the buffers of all connections hold from the start.
func bufferGrowth(cfg *frontConfig) int64 {
	initial := int64(cfg.sockets-reservedDescriptors) * 2 * ring.InitialSize
	return max(cfg.memoryBytes/4-initial, cfg.memoryBytes/16)
}

// serve runs a front until it gets SIGTERM or SIGINT and its requests have ended. It returns an error if the front cannot
// start.
func serve(cfg frontConfig, read configReader) error {
	// One processor more than cores: the poller spends most of its time in a system call, and the runtime reclaims the
	// processor of a thread in a system call only after a delay.
	runtime.GOMAXPROCS(int(math.Ceil(cfg.cores)) + 1)
	debug.SetMemoryLimit(cfg.memoryBytes * 5 / 8) // the rest is for the program's text, stacks of threads and a late collection
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("front", cfg.name)

	maxReply := max(pgwire.MaxQuerySize, int(cfg.memoryBytes/64)) // the ring buffers' quarter of the memory holds sixteen of them
	sockets, err := sock.Open(cfg.listen, cfg.sockets, bufferGrowth(&cfg), maxReply)
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
			node.adapter.RecordOutcome(now(), store, how, expected, took)
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
	resources := newResourceLog(now(), log, sockets)
	var lists []front.StoreList
	// A client accepted at the last moment is served too: the sockets may count it before the core knows of it.
	for acceptStopped := false; !core.Done() || sockets.Accepting() || sockets.Clients() > 0; {
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
		stepAt := now()
		core.Step(stepAt, events)
		resources.logIfDue(stepAt)
		if !acceptStopped && core.Stopping() {
			acceptStopped = true
			sockets.StopAccepting()
		}
	}
	if node != nil {
		node.close()
	}
	core.LogCounts()
	resources.write()
	log.Info("stopped")
	return nil
}
