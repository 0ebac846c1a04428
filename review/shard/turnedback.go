package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	stallLasts = 520 * time.Millisecond  // of 480 to 1,000 ms
	stallEvery = 2250 * time.Millisecond // from the end of one to the next, of 2.1 to 3.9 s
	stallSpan  = 38 * time.Second        // of 15 to 39 s
	patience   = 400 * time.Millisecond  // for a board read: 40% of the outer limit
)

// turnedBack plays two fronts, of which one stands still now and then. Just before, session reads come until one has to wait, whose
// client leaves when its time is over. Meanwhile a client sends a write with very little time left and, at once behind
// it, a read of the same session. Afterwards other clients write.
func turnedBack(w *world) (broken []string, err error) {
	conns := make([]*clientConn, 60)
	for k := range conns {
		if conns[k], err = dial(w.front.addr); err != nil {
			return nil, err
		}
	}
	w.readUntil(w.front, time.Now().Add(4*time.Second))
	var stop atomic.Bool
	var writers sync.WaitGroup
	writers.Go(func() { w.writeUntil(w.front, 1, stop.Load) })
	writers.Go(func() { w.writeUntil(w.other, 2, stop.Load) })
	for end := time.Now().Add(stallSpan); err == nil && time.Now().Before(end); {
		err = w.stallOnce(conns, &writers)
	}
	stop.Store(true)
	writers.Wait()
	return w.brokenEffects(), err
}

// writeUntil writes one entry after another. What is turned back is tried again, as the answer allows.
func (w *world) writeUntil(f *front, group int, over func() bool) {
	c, err := dial(f.addr)
	if err != nil {
		return
	}
	defer c.Close()
	for !over() {
		q := query{class: "claim-write", group: group, ref: newRef(), waits: 3 * time.Second}
		for range 4 {
			if w.send(c, &q) != nil {
				return
			}
			a, err := w.await(c, &q)
			if err != nil || a.fatal {
				return
			}
			if !a.refused() {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// readUntil sends one session read after another.
func (w *world) readUntil(f *front, end time.Time) {
	c, err := dial(f.addr)
	if err != nil {
		return
	}
	defer c.Close()
	for time.Now().Before(end) {
		q := query{class: "board-read", group: 1, ref: newRef(), waits: patience}
		if w.send(c, &q) != nil {
			return
		}
		if a, err := w.await(c, &q); err != nil || a.fatal {
			return
		}
	}
}

// readsUntilOneWaits sends session reads, each on a connection of its own, until one is not passed on at once. The
// client of that one leaves when its time is over.
func (w *world) readsUntilOneWaits(conns []*clientConn, reads *sync.WaitGroup) error {
	for k, c := range conns {
		q := &query{class: "board-read", group: 2, ref: newRef(), waits: patience}
		if err := w.send(c, q); err != nil {
			return err
		}
		waits := true
		for n := 0; n < 15 && waits; n++ {
			time.Sleep(time.Millisecond)
			waits = !w.ledger.arrived(q.id)
		}
		if !waits {
			reads.Go(func() { w.await(c, q) })
			continue
		}
		next, err := dial(w.front.addr)
		if err != nil {
			return err
		}
		conns[k] = next
		reads.Go(func() {
			defer c.Close()
			if _, err := w.awaitUntil(c, q, q.sentAt.Add(q.waits)); err != nil {
				w.record.line("client leaves, its time for id=%s is over", q.id)
			}
		})
		return nil
	}
	return nil
}

func (w *world) stallOnce(conns []*clientConn, writers *sync.WaitGroup) error {
	several, err := dial(w.front.addr)
	if err != nil {
		return err
	}
	var reads sync.WaitGroup
	if err := w.readsUntilOneWaits(conns, &reads); err != nil {
		return err
	}
	goesOn := time.Now().Add(stallLasts)
	if w.trouble {
		w.record.line("the front stands still for %v", stallLasts)
		w.front.signal(syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond)
	session := newRef()
	write := &query{class: "claim-write", group: 1, ref: session, waits: 8 * time.Millisecond}
	read := &query{class: "own-roster", group: 1, ref: session, waits: 1200 * time.Millisecond}
	if err := w.send(several, write, read); err != nil {
		return err
	}
	reads.Go(func() {
		defer several.Close()
		for _, q := range []*query{write, read} {
			if _, err := w.awaitUntil(several, q, q.sentAt.Add(3*time.Second)); err != nil {
				return
			}
		}
	})
	time.Sleep(time.Until(goesOn))
	if w.trouble {
		w.front.signal(syscall.SIGCONT)
		w.record.line("the front goes on")
	}
	time.Sleep(400 * time.Millisecond)
	for k := range 4 {
		writers.Go(func() {
			w.writeUntil(w.front, 1+k%2, func() bool { return time.Since(goesOn) > 1250*time.Millisecond })
		})
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(time.Until(goesOn.Add(1300 * time.Millisecond)))
	for range 12 { // ordinary reads up to shortly before the next one
		reads.Go(func() { w.readUntil(w.front, goesOn.Add(stallEvery-200*time.Millisecond)) })
	}
	reads.Wait()
	time.Sleep(time.Until(goesOn.Add(stallEvery - 100*time.Millisecond)))
	if w.front.ended() {
		return fmt.Errorf("the front has ended")
	}
	return nil
}
