//go:build linux && amd64

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"micatrack/internal/pgwire"
	"micatrack/internal/syscallfault"
)

const stallLimit = 3 * time.Second // in which a client that stops inside a message has to be told or closed

// startFaulty runs the program with faults in its system calls and waits until it serves. They begin once it does.
func (w *world) startFaulty(faults syscallfault.FaultFunc) *syscallfault.Process {
	w.t.Helper()
	cmd := exec.Command(program, "serve", "-config", w.config, "-operators", w.switches)
	cmd.Env = []string{"GW_DISCOVERY=" + strings.TrimPrefix(w.http.URL, "http://"), "PATH=" + os.Getenv("PATH"),
		"GORACE=halt_on_error=1 exitcode=66"}
	log, err := cmd.StderrPipe()
	if err != nil {
		w.t.Fatal(err)
	}
	serving := make(chan struct{})
	process, err := syscallfault.Start(cmd, func(call syscallfault.Call) syscallfault.Fault {
		select {
		case <-serving:
			return faults(call)
		default:
			return syscallfault.Fault{}
		}
	})
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { process.Signal(syscall.SIGKILL); process.Wait() })
	go func() {
		var once sync.Once
		for lines := bufio.NewScanner(log); lines.Scan(); {
			if text := lines.Text(); strings.Contains(text, "msg=serving") {
				once.Do(func() { close(serving) })
			} else if strings.Contains(text, "DATA RACE") || strings.Contains(text, "panic") {
				w.t.Errorf("%s", text)
			}
		}
	}()
	select {
	case <-serving:
	case <-process.Done():
		w.t.Fatal("it ended at its start")
	case <-time.After(outer):
		w.t.Fatal("it does not serve")
	}
	return process
}

// askInTurn has several clients ask one request after another, each on a connection that it keeps, and tells of all that
// have no whole answer in their time.
func (w *world) askInTurn(clients, requests int) {
	const patience = 2500 * time.Millisecond
	var all sync.WaitGroup
	for n := range clients {
		all.Go(func() {
			conn, err := net.Dial("tcp", w.addr)
			if err != nil {
				w.t.Error(err)
				return
			}
			defer conn.Close()
			cl := &client{w.t, conn, bufio.NewReader(conn), nil, ""}
			conn.SetDeadline(time.Now().Add(patience))
			conn.Write(pgwire.AppendStartup(nil, "web", "orders"))
			if got := cl.answer(); got != "ready" {
				w.t.Errorf("client %d: the greeting is %s", n, got)
				return
			}
			for k := range requests {
				conn.SetDeadline(time.Now().Add(patience))
				cl.ask([...]string{"any", "save", "mine"}[k%3])
				if got := cl.answer(); got == "closed" {
					w.t.Errorf("client %d: request %d has no whole answer in its time", n, k)
					return
				}
			}
		})
	}
	all.Wait()
}

func TestWholeAnswersDespiteShortWrites(t *testing.T) {
	w := newWorld(t, "primary", "replica")
	writes := 0
	w.startFaulty(func(call syscallfault.Call) (fault syscallfault.Fault) {
		if call.IsTransfer() && call.Number == syscall.SYS_WRITE {
			if writes++; writes%5 == 0 {
				fault.Size = call.Size / 2
			}
		}
		return fault
	})
	w.askInTurn(8, 30)
}

func TestWholeAnswersDespiteInterruptedWrites(t *testing.T) {
	w := newWorld(t, "primary", "replica")
	writes := 0
	w.startFaulty(func(call syscallfault.Call) (fault syscallfault.Fault) {
		if call.IsTransfer() && call.Number == syscall.SYS_WRITE {
			if writes++; writes%5 == 0 {
				fault.Errno = syscall.EINTR
			}
		}
		return fault
	})
	w.askInTurn(8, 30)
}

func TestStalledClientIsToldOrClosedInTime(t *testing.T) {
	w := newWorld(t, "primary", "replica")
	w.start()
	startup := string(pgwire.AppendStartup(nil, "web", "orders"))
	request := func(id string) string {
		return string(pgwire.AppendSimpleQuery(nil, fmt.Sprintf("/* id=stalled-%s,c=any,d=900,cluster=1 */ SELECT payload FROM entries WHERE ref = 'k'", id)))
	}
	half := request("half")[:40]
	var all sync.WaitGroup
	for name, text := range map[string]string{
		"inside the startup message":      startup[:len(startup)/2],
		"inside a message's head":         startup + "Q\x00",
		"inside a request":                startup + half,
		"before a request's last byte":    startup + request("last")[:len(request("last"))-1],
		"behind an answered request":      startup + request("first") + half,
		"inside a request behind another": startup + request("one") + request("two") + half,
	} {
		all.Go(func() {
			conn, err := net.Dial("tcp", w.addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			conn.Write([]byte(text))
			stopped := time.Now()
			conn.SetReadDeadline(stopped.Add(stallLimit))
			cl := &client{t, conn, bufio.NewReader(conn), nil, ""}
			for got := ""; got != "closed"; got = cl.answer() {
			}
			if took := time.Since(stopped); took >= stallLimit {
				t.Errorf("stopped %s: neither an error nor a close within %v", name, stallLimit)
			}
		})
	}
	all.Wait()
}
