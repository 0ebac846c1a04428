package main

import (
	"bufio"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"micatrack/internal/pgwire"
)

// shopper is one customer that asks at a steady rate, never waiting for answers, over as many connections as that
// takes, and comes again as it is told.
type shopper struct {
	name          string
	rate          float64
	asked, inTime atomic.Int64
	idle          chan *rider
}

type rider struct {
	c net.Conn
	r *bufio.Reader
}

// ask gives the first code of the answer, "" for a value, and the milliseconds after which to come again.
func (r *rider) ask(text string) (code string, pause int, err error) {
	r.c.SetDeadline(time.Now().Add(outer))
	if _, err := r.c.Write(pgwire.AppendSimpleQuery(nil, text)); err != nil {
		return "", 0, err
	}
	for {
		kind, body, err := message(r.r)
		if err != nil {
			return "", 0, err
		}
		switch kind {
		case 'E':
			code = pgwire.SQLState(body)
			for len(body) > 1 {
				field := body[0]
				text, rest, _ := pgwire.ParseString(body[1:])
				if field == 'D' {
					pause, _ = strconv.Atoi(string(text))
				}
				body = rest
			}
		case 'Z':
			return code, pause, nil
		}
	}
}

var shopperID atomic.Int64

// job is one job with up to two further tries; credit counts from its first.
func (s *shopper) job(addr string, n int) {
	s.asked.Add(1)
	born, repeat := time.Now(), ""
	for try := range 3 {
		var r *rider
		select {
		case r = <-s.idle:
		default:
			c, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			c.Write(pgwire.AppendStartup(nil, "web", "orders"))
			r = &rider{c, bufio.NewReader(c)}
			for kind := byte(0); kind != 'Z' && err == nil; {
				kind, _, err = message(r.r)
			}
			if err != nil {
				c.Close()
				return
			}
		}
		code, pause, err := r.ask(fmt.Sprintf("/* id=%d,c=any,t=%s,d=1000,cluster=1%s */ SELECT payload FROM entries WHERE ref = '%s-%d'",
			shopperID.Add(1), s.name, repeat, s.name, n))
		if err != nil {
			r.c.Close()
			return
		}
		s.idle <- r
		if code == "" && time.Since(born) <= 300*time.Millisecond {
			s.inTime.Add(1)
		}
		if code != pgwire.TooManyConnections || try == 2 {
			return
		}
		repeat = ",r=1"
		time.Sleep(time.Duration(max(pause, 50)) * time.Millisecond)
	}
}

// surge plays twenty steady customers and one more against a real front, and gives the credit in time of the twenty.
func surge(t *testing.T, door bool, rate float64) (mean, worst float64) {
	w := newWorld(t, "primary", "replica")
	places := make(chan struct{}, 4) // of the stores together
	w.does(func(string, string) (string, func(*net.TCPConn)) {
		places <- struct{}{}
		time.Sleep(25 * time.Millisecond)
		<-places
		return value, nil
	})
	w.switches = filepath.Join(t.TempDir(), "operators.json")
	os.WriteFile(w.switches, fmt.Appendf(nil, `{"door":{"on":%v}}`, door), 0o600)
	cmd := w.start()
	shoppers := []*shopper{{name: "surge", rate: rate}}
	for i := range 20 {
		shoppers = append(shoppers, &shopper{name: fmt.Sprintf("steady%d", i), rate: 4})
	}
	const warm, span = 3 * time.Second, 5 * time.Second // by then the steady ones are known
	var all sync.WaitGroup
	for k, s := range shoppers {
		s.idle = make(chan *rider, 1024)
		all.Add(1)
		go func() {
			defer all.Done()
			chance := rand.New(rand.NewPCG(uint64(k), 7))
			start, counted := time.Now(), false
			for at, n := time.Duration(0), 0; ; n++ {
				r := s.rate
				if k == 0 && at < warm {
					r = 4
				}
				if at += time.Duration(-math.Log(1-chance.Float64()) / r * float64(time.Second)); at > warm+span {
					return
				}
				time.Sleep(time.Until(start.Add(at)))
				if !counted && at > warm {
					counted = true
					s.asked.Store(0)
					s.inTime.Store(0)
				}
				all.Add(1)
				go func() { defer all.Done(); s.job(w.addr, n) }()
			}
		}()
	}
	all.Wait()
	worst = 1
	for _, s := range shoppers {
		share := min(float64(s.inTime.Load())/float64(max(s.asked.Load(), 1)), 1)
		if s.name != "surge" {
			mean, worst = mean+share/20, min(worst, share)
		}
		for len(s.idle) > 0 {
			(<-s.idle).c.Close()
		}
	}
	cmd.Process.Kill()
	t.Logf("door %v, surge of %.0f/s: the twenty had %.3f in time, the worst of them %.3f; surge %d of %d", door, rate, mean, worst,
		shoppers[0].inTime.Load(), shoppers[0].asked.Load())
	return mean, worst
}

// TestSurgeThroughARealFront (hard case 3): one customer far past its share against twenty steady ones, on loopback
// with stand-in stores, with the door and without it.
func TestSurgeThroughARealFront(t *testing.T) {
	calm, _ := surge(t, true, 4)
	without, _ := surge(t, false, 150)
	with, _ := surge(t, true, 150)
	if with < calm-0.02 {
		t.Errorf("with the door the twenty had %.3f in time, %.3f without the surge", with, calm)
	}
	if without > calm-0.05 {
		t.Errorf("without the door they had %.3f, so the surge was none", without)
	}
}
