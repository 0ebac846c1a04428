package stage2

import (
	"math/rand/v2"
	"net"
	"time"
)

// jitter is by how much of its length the way takes longer now and then.
const jitter = 0.3

// delayed is a connection at the end of a way that takes a while in each direction, now and then somewhat longer. Each write
// arrives by itself, in order.
type delayed struct {
	net.Conn
	way  time.Duration
	in   chan parcel
	out  chan parcel
	rest []byte
	head *parcel // taken from in and not read yet
}

// parcel is what was sent at a time.
type parcel struct {
	at   time.Time
	data []byte
	err  error
}

// newDelayed puts a connection at the end of such a way.
func newDelayed(c net.Conn, way time.Duration) *delayed {
	d := &delayed{Conn: c, way: way, in: make(chan parcel, 256), out: make(chan parcel, 256)}
	go func() {
		for {
			buf := make([]byte, 32<<10)
			n, err := c.Read(buf)
			d.in <- parcel{time.Now(), buf[:n], err}
			if err != nil {
				return
			}
		}
	}()
	go func() {
		for p := range d.out {
			time.Sleep(time.Until(p.at.Add(way + time.Duration(rand.Float64()*jitter*float64(way)))))
			if p.err != nil {
				c.Close()
				return
			}
			c.Write(p.data)
		}
	}()
	return d
}

func (d *delayed) Read(p []byte) (int, error) {
	if len(d.rest) == 0 {
		next := d.head
		if d.head = nil; next == nil {
			p := <-d.in
			next = &p
		}
		time.Sleep(time.Until(next.at.Add(d.way)))
		if next.err != nil {
			return 0, next.err
		}
		d.rest = next.data
	}
	n := copy(p, d.rest)
	d.rest = d.rest[n:]
	return n, nil
}

func (d *delayed) Write(p []byte) (int, error) {
	d.out <- parcel{at: time.Now(), data: append([]byte(nil), p...)}
	return len(p), nil
}

func (d *delayed) Close() error {
	d.out <- parcel{at: time.Now(), err: net.ErrClosed}
	return nil
}

// waits reports whether anything has arrived at this end that Read has not returned.
func (d *delayed) waits() bool {
	if d.head == nil {
		select {
		case p := <-d.in:
			d.head = &p
		default:
		}
	}
	return len(d.rest) > 0 || d.head != nil && time.Since(d.head.at) >= d.way
}
