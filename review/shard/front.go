package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	start time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	fmt.Fprintf(r.out, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
	r.mu.Unlock()
}

// front is the front's process.
type front struct {
	cmd  *exec.Cmd
	addr string
	done chan struct{}
}

func (f *front) signal(s syscall.Signal) { f.cmd.Process.Signal(s) }

func (f *front) ended() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}

func (f *front) end() {
	f.signal(syscall.SIGCONT)
	f.signal(syscall.SIGKILL)
	<-f.done
}

// startFront starts a front by the deploy file's run line, on a single core if wanted, and waits until it answers.
func startFront(runLine, name, dir, discovery string, known []byte, settings string, oneCore bool) (*front, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr := l.Addr().String()
	l.Close()
	config := filepath.Join(dir, name+".json")
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}`,
		name, addr, discovery, rand.Uint64(), known, settings)
	if err := os.WriteFile(config, []byte(text), 0o644); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	f := &front{cmd: exec.Command("/bin/sh", "-c", runLine), addr: addr, done: make(chan struct{})}
	f.cmd.Env = append(os.Environ(), "GW_NAME="+name, "GW_LISTEN="+addr, "GW_DISCOVERY="+discovery, "GW_CONFIG="+config, "TMPDIR="+dir)
	f.cmd.Stdout, f.cmd.Stderr = log, log
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	go func() {
		runtime.LockOSThread() // only this thread is bound to a core; it lasts as long as the front
		if oneCore {
			bindToOneCore()
		}
		started <- f.cmd.Start()
		f.cmd.Wait()
		close(f.done)
	}()
	if err := <-started; err != nil {
		return nil, err
	}
	for range 100 {
		time.Sleep(50 * time.Millisecond)
		c, err := dial(addr)
		if err != nil {
			continue
		}
		c.Write(appendQuery(nil, ""))
		a, err := c.answer(time.Now().Add(time.Second))
		c.Close()
		if err == nil && a.empty {
			return f, nil
		}
	}
	f.end()
	return nil, fmt.Errorf("the front was not ready")
}

// bindToOneCore binds the calling thread, and what it starts, to the last core that it may use.
func bindToOneCore() {
	var may, one [128]uint64
	n, _, e := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, unsafe.Sizeof(may), uintptr(unsafe.Pointer(&may)))
	if e != 0 {
		return
	}
	for bit := int(n)*8 - 1; bit >= 0; bit-- {
		if may[bit/64]>>(bit%64)&1 != 0 {
			one[bit/64] = 1 << (bit % 64)
			syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, unsafe.Sizeof(one), uintptr(unsafe.Pointer(&one)))
			return
		}
	}
}

// serveList serves discovery: a list that does not change.
func serveList(list []byte) (addr string, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%s\n", list)
		for r.URL.Query().Get("follow") == "1" && http.NewResponseController(w).Flush() == nil && r.Context().Err() == nil {
			time.Sleep(2 * time.Second)
			fmt.Fprint(w, "\n")
		}
	}))
	return l.Addr().String(), nil
}

// startStores starts groups of one primary and its replicas, and returns the list that discovery serves.
func startStores(l *ledger, groups, members int, takes func(class string) time.Duration) (list []byte, err error) {
	var servers []map[string]any
	for g := 1; g <= groups; g++ {
		for m := range members {
			s, err := newStore(&store{name: fmt.Sprintf("s%d%d", g, m), group: g, primary: m == 0, ledger: l, takes: takes})
			if err != nil {
				return nil, err
			}
			servers = append(servers, map[string]any{"id": s.name, "addr": s.addr, "zone": "tampere-1", "kind": "std-4c",
				"cell": g, "state": "active", "weight": 1.0, "started_ms": 0, "role": s.role()})
		}
	}
	return json.Marshal(map[string]any{"version": 1, "full": true, "servers": servers})
}
