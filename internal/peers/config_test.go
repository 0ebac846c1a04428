package peers

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"micatrack/fleet/config"
)

// TestConfigMessageRoundTrip checks that an encoded configuration message is decoded unchanged, and that invalid or corrupted
// ones are rejected or stay within bounds.
func TestConfigMessageRoundTrip(t *testing.T) {
	m := ConfigMessage{ToControl: true, Addr: "127.0.0.1:7400", Body: bytes.Repeat([]byte{7}, config.MaxMessage)}
	data := AppendConfig(nil, "f", &m)
	got, err := ReadConfig(data, "f")
	if err != nil || !got.ToControl || got.FromControl || got.Addr != m.Addr || !bytes.Equal(got.Body, m.Body) {
		t.Fatalf("%+v, %v", got, err)
	}
	if len(data) > maxDatagram {
		t.Errorf("the message does not fit into a datagram: %d bytes", len(data))
	}
	for name, bad := range map[string]ConfigMessage{
		"no address":       {Body: []byte{1}},
		"a public address": {Addr: "8.8.8.8:53", Body: []byte{1}},
		"a long address":   {Addr: "127.0.0.1:" + strings.Repeat("0", 80) + "1", Body: []byte{1}},
		"an empty body":    {Addr: "127.0.0.1:1"},
		"a long body":      {Addr: "127.0.0.1:1", Body: make([]byte, config.MaxMessage+1)},
		"a host name":      {Addr: "localhost:1", Body: []byte{1}},
	} {
		if _, err := ReadConfig(AppendConfig(nil, "f", &bad), "f"); err == nil {
			t.Errorf("a message with %s is accepted", name)
		}
	}
	if _, err := ReadConfig(data, "g"); err == nil {
		t.Error("a message of another fleet is accepted")
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20_000 {
		b := bytes.Clone(data[:1+rng.IntN(len(data))])
		for range 1 + rng.IntN(4) {
			b[rng.IntN(min(len(b), 60))] = byte(rng.Uint32())
		}
		if m, err := ReadConfig(b, "f"); err == nil && (len(m.Body) > config.MaxMessage || len(m.Addr) > maxTextBytes) {
			t.Fatalf("a corrupted message exceeds the bounds: %d bytes, %q", len(m.Body), m.Addr)
		}
	}
}

// TestConfigDelivery checks that configuration messages reach the part of the machine that they are for, also over TCP when a
// long name of the fleet makes them longer than a datagram, that requests are answered, and that a front without OnConfig and
// OnRequest handles none of them.
func TestConfigDelivery(t *testing.T) {
	fleet := strings.Repeat("n", 64)
	open := func() *Transport {
		p, err := Open("127.0.0.1:0", fleet, func() {})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		return p
	}
	a, b, off := open(), open(), open()
	front, control := make(chan ConfigMessage, 8), make(chan ConfigMessage, 8)
	b.OnConfig(func(m ConfigMessage) { front <- m }, func(m ConfigMessage) { m.Body = bytes.Clone(m.Body); control <- m })
	b.OnRequest(func(body []byte) []byte { return append([]byte("answer to "), body...) })
	long := bytes.Repeat([]byte{9}, config.MaxMessage)
	for _, body := range [][]byte{{1}, long} {
		for _, toControl := range []bool{true, false} {
			m := ConfigMessage{ToControl: toControl, Addr: a.Addr(), Body: body}
			a.SendConfig(b.Addr(), &m)
			a.SendConfig(off.Addr(), &m)
			target := front
			if toControl {
				target = control
			}
			var got ConfigMessage
			end := time.Now().Add(5 * time.Second)
			for ; got.Addr == "" && time.Now().Before(end); time.Sleep(time.Millisecond) {
				b.Receive(nil, nil)
				select {
				case got = <-target:
				default:
				}
			}
			if got.Addr != a.Addr() || !bytes.Equal(got.Body, body) {
				t.Errorf("message to control %v with a body of %d bytes: got %+.60v", toControl, len(body), got)
			}
		}
	}
	reply, err := a.Request(b.Addr(), long)
	if err != nil || !bytes.Equal(reply, append([]byte("answer to "), long...)) {
		t.Errorf("answer %.40q, %v", reply, err)
	}
	if _, err := a.Request(off.Addr(), []byte("?")); err != ErrNoAnswer {
		t.Errorf("request to a front that does not answer: %v", err)
	}
	if _, err := a.Request("8.8.8.8:53", []byte("?")); err != ErrUnreachable {
		t.Errorf("request to a public address: %v", err)
	}
}
