package main

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"micatrack/internal/pgwire"
)

// rowOf returns a store's answer with the value that it has made for a request, up to CommandComplete.
func rowOf(id string) string {
	return "T\x00\x00\x00\x0a\x00\x01p\x00\x00\x00" + "D\x00\x00\x00" + string(rune(10+len(id))) + "\x00\x01\x00\x00\x00" +
		string(rune(len(id))) + id + "C\x00\x00\x00\x0dSELECT 1\x00"
}

// TestStoresThatCopyTheirAnswers guards against serving a client with the value of another request: stores send a second
// copy of each answer, also to probes, up to half a millisecond late (review/6).
func TestStoresThatCopyTheirAnswers(t *testing.T) {
	const clients, lasts = 16, 3 * time.Second
	w := newWorld(t, "primary", "replica", "other")
	w.does(func(_, query string) (string, func(*net.TCPConn)) {
		time.Sleep(2 * time.Millisecond)
		return rowOf(idOf.FindStringSubmatch(query)[1]), nil
	})
	w.copies = true
	w.start()
	var all sync.WaitGroup
	var mu sync.Mutex
	served, unserved, foreign := 0, 0, 0
	until := time.Now().Add(lasts)
	for n := range clients {
		cl := w.client()
		all.Go(func() {
			for k := 0; time.Now().Before(until); k++ {
				id := fmt.Sprintf("%02d-%06d", n, k)
				cl.send(id, "any", 2500)
				value, err := cl.value()
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				switch value {
				case id:
					served++
				case "":
					unserved++
				default:
					foreign++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	t.Logf("%d served, %d not", served, unserved)
	if foreign > 0 || served < 100 || unserved > served/10 {
		t.Errorf("%d served, %d not, %d with the value of another request", served, unserved, foreign)
	}
}

// value reads one answer and returns its value, or "" if it has none.
func (cl *client) value() (value string, err error) {
	for {
		kind, body, err := message(cl.r)
		switch {
		case err != nil:
			return "", err
		case kind == 'D':
			column, _ := pgwire.ColumnValue(body)
			value = string(column)
		case kind == 'Z':
			return value, nil
		}
	}
}
