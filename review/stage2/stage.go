// Package stage2 is what the cases of the second review share: the front as a process, a discovery service, stores that
// speak PostgreSQL's protocol, and clients of both protocols. Every address is a loopback address.
package stage2

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Stage is one run of a case.
type Stage struct {
	Trouble bool // whether the disruption takes place
	root    string
	temp    string
	start   time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
	fronts []*Front
}

// Open begins a run of the case in the folder review/number. The working directory is the repository's root.
func Open(number int) *Stage {
	root, err := os.Getwd()
	if err != nil {
		Unable(err)
	}
	s := &Stage{Trouble: os.Getenv("TROUBLE") != "0", root: root, start: time.Now()}
	if s.temp, err = os.MkdirTemp("", "review-"); err != nil {
		Unable(err)
	}
	if s.record, err = os.Create(filepath.Join(root, "review", fmt.Sprint(number), "record.txt")); err != nil {
		Unable(err)
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() { s.Fail((<-interrupts).String()) }()
	time.AfterFunc(115*time.Second, func() { s.Fail("the case took longer than 115 s") })
	return s
}

// Unable ends a case that cannot run.
func Unable(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

// Fail ends a case that cannot run, after its processes.
func (s *Stage) Fail(text string) {
	s.Note("the case could not run: %s", text)
	s.end()
	Unable(fmt.Errorf("%s", text))
}

// Note writes a line of the record.
func (s *Stage) Note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.1f ms  %s\n", float64(time.Since(s.start))/1e6, fmt.Sprintf(format, args...))
}

// Break records that the rule was broken.
func (s *Stage) Break(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.Note("RULE BROKEN: %s", text)
	s.mu.Lock()
	s.broken = append(s.broken, text)
	s.mu.Unlock()
}

func (s *Stage) end() {
	s.mu.Lock()
	fronts := s.fronts
	s.mu.Unlock()
	for _, f := range fronts {
		f.Kill()
	}
	os.RemoveAll(s.temp)
}

// Close ends all processes and the program: with 1 if the rule was broken, else 0.
func (s *Stage) Close() {
	s.end()
	for _, text := range s.broken {
		fmt.Println("broken:", text)
	}
	if len(s.broken) > 0 {
		s.Note("exit 1")
		os.Exit(1)
	}
	s.Note("exit 0")
	fmt.Println("the rule held")
	os.Exit(0)
}

// FreeAddr returns a loopback address with a free port.
func FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Unable(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Front is a front's process.
type Front struct {
	Addr, BoltAddr string
	process        *exec.Cmd
	ended          chan struct{}
	stage          *Stage
}

// FrontOptions says how a front is started.
type FrontOptions struct {
	Discovery string
	Settings  map[string]any
	Operators map[string]any // nil: no operators' file
	Bolt      bool           // the operators' file has a listener for Bolt, which is given a free port
}

// StartFront starts a front by the deploy file's line run, and waits until it answers an empty query.
func (s *Stage) StartFront(name string, o FrontOptions) *Front {
	f := &Front{Addr: FreeAddr(), ended: make(chan struct{}), stage: s}
	deploy, err := os.ReadFile(filepath.Join(s.root, "deploy", "balancer.toml"))
	if err != nil {
		s.Fail(err.Error())
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if run == nil {
		s.Fail("the deploy file has no line run")
	}
	home := filepath.Join(s.temp, name)
	os.MkdirAll(home, 0o755)
	write := func(file string, v any) string {
		path := filepath.Join(home, file)
		text, err := json.MarshalIndent(v, "", " ")
		if err == nil {
			err = os.WriteFile(path, text, 0o644)
		}
		if err != nil {
			s.Fail(err.Error())
		}
		return path
	}
	config := write("config.json", map[string]any{"name": name, "listen": f.Addr, "discovery": o.Discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": o.Settings})
	f.process = exec.Command("/bin/sh", "-c", string(run[1]))
	f.process.Dir = s.root
	f.process.Env = append(os.Environ(), "GW_NAME="+name, "GW_LISTEN="+f.Addr, "GW_DISCOVERY="+o.Discovery, "GW_CONFIG="+config, "TMPDIR="+home)
	if o.Bolt {
		f.BoltAddr = FreeAddr()
		operators := map[string]any{"bolt": map[string]any{"on": true, "listen": f.BoltAddr}}
		for k, v := range o.Operators {
			operators[k] = v
		}
		o.Operators = operators
	}
	if o.Operators != nil {
		f.process.Env = append(f.process.Env, "MICATRACK_OPERATORS="+write("operators.json", o.Operators))
	}
	log := &frontLog{stage: s, name: name}
	f.process.Stdout, f.process.Stderr = log, log
	if err := f.process.Start(); err != nil {
		s.Fail(err.Error())
	}
	s.mu.Lock()
	s.fronts = append(s.fronts, f)
	s.mu.Unlock()
	go func() { f.process.Wait(); s.Note("front %s: its process has ended", name); close(f.ended) }()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if c, err := Dial(f.Addr); err == nil {
			c.Close()
			s.Note("front %s is ready", name)
			return f
		} else if time.Now().After(until) {
			s.Fail("the front does not get ready: " + err.Error())
		}
	}
}

// Signal sends a signal to the process that run has started.
func (f *Front) Signal(signal syscall.Signal) {
	f.stage.Note("signal to the front: %v", signal)
	f.process.Process.Signal(signal)
}

// Kill ends the process and waits for its end.
func (f *Front) Kill() {
	f.process.Process.Kill()
	<-f.ended
}

// Ended reports whether the process has ended.
func (f *Front) Ended() bool {
	select {
	case <-f.ended:
		return true
	default:
		return false
	}
}

// frontLog copies what a front logs to the record.
type frontLog struct {
	stage *Stage
	name  string
	rest  string
}

func (l *frontLog) Write(p []byte) (int, error) {
	l.rest += string(p)
	for {
		line, rest, whole := strings.Cut(l.rest, "\n")
		if !whole {
			return len(p), nil
		}
		l.rest = rest
		l.stage.Note("front %s: %s", l.name, line)
	}
}

// Class is a class of the settings.
type Class struct {
	Name, Freshness, Idempotency, Group string
	AimMS, LimitMS, OldestMS, WindowMS  int
	Worth, LateWorth                    float64
}

// Settings returns the settings of a small deployment with these classes, with pushed lists, a grace of graceMS for drains and
// connections that have 250 ms to come up. marks is "carried" or "remembered".
func Settings(graceMS int, marks string, classes ...Class) map[string]any {
	var profiles []map[string]any
	var freshness []string
	var oldest []int
	for _, c := range classes {
		profiles = append(profiles, map[string]any{"Name": c.Name, "Idempotency": c.Idempotency, "Group": c.Group, "Aim": c.AimMS * 1000,
			"HardLimit": c.LimitMS * 1000, "Window": c.WindowMS * 1000, "Worth": c.Worth, "LateWorth": c.LateWorth, "Streaming": false})
		freshness = append(freshness, c.Freshness)
		oldest = append(oldest, c.OldestMS*1000)
	}
	return map[string]any{
		"Az": "a", "ReplicasOfMe": 1, "Round": 5000, "RegistryMode": "pushed", "SlotNo": 0,
		"Report": map[string]any{"Source": "on_probe", "Fields": []string{"x0", "x1"}},
		"Ceilings": map[string]any{"ConnIdle": 30000000, "DialTimeout": 250000, "MaxAttempts": 6, "MayCancel": true, "MayDuplicate": false,
			"Probes": true, "RetryAfter": false, "MaxRetryAfter": 2000000},
		"Contract": map[string]any{"AnswerSlack": 20000, "AskWithin": 10000000, "Cold": 12000000, "DrainGrace": graceMS * 1000,
			"FallMultiple": 4.0, "StartCapacity": 0.23, "TipAfter": 1500000},
		"Extra": map[string]any{"Behind": "off", "SessionMarks": marks, "Freshness": freshness, "OldestData": oldest, "Positions": true,
			"ShowsRole": "late"},
		"Prices": map[string]any{"Probe": 0.01}, "Profiles": profiles,
	}
}
