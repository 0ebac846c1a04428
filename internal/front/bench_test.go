package front

import (
	"fmt"
	"strings"
	"testing"

	"micatrack/balance"
)

// BenchmarkRequest measures one request in the normal case, from its query to its answer, without sockets.
func BenchmarkRequest(b *testing.B) {
	s := newHarness(b, 20, true)
	cl := s.newClient()
	query, answer := []byte(ask("any", 1)), []byte(value+ready)
	s.send(cl, string(query))
	st := s.welcomeNewest()
	s.send(st, string(answer))
	events := []Event{{cl, Readable}}
	b.ReportAllocs()
	for b.Loop() {
		cl.in, cl.out = append(cl.in[:0], query...), cl.out[:0]
		events[0].Link = cl
		s.core.Step(s.now, events)
		st.respond(answer)
		events[0].Link = st
		s.core.Step(s.now, events)
		if s.now++; len(cl.out) == 0 {
			b.Fatal("no answer")
		}
	}
}

// respond takes the output and has the store answer it. It reuses the memory of the input.
func (w *fakeLink) respond(answer []byte) {
	w.takenBytes += len(w.out)
	w.out = w.out[:0]
	w.input = append(append(w.input[:0], w.in...), answer...)
	w.in = w.input
}

// BenchmarkStores measures a request, and a step with a tick of the balancer, with various numbers of stores in groups
// of three.
func BenchmarkStores(b *testing.B) {
	for _, n := range []int{10, 120, 1000} {
		s := newHarness(b, 2*n+100, true)
		var lines []StoreEntry
		for k := range n {
			lines = append(lines, StoreEntry{ID: fmt.Sprint("s", k), Addr: "127.0.0.1:1", Member: balance.Member{Group: uint64(3 + k/3), Condition: balance.Ready,
				Primary: k%3 == 0, Size: 1}})
		}
		s.core.UpdateStores(StoreList{Kind: balance.ListFull, Entries: lines})
		s.step()
		cl := s.newClient()
		query, answer := []byte(ask("any", 1)), []byte(value+ready)
		b.Run(fmt.Sprint("request/", n), func(b *testing.B) {
			b.ReportAllocs()
			open := map[*fakeLink]bool{}
			for b.Loop() {
				cl.in, cl.out = append(cl.in[:0], query...), cl.out[:0]
				s.core.Step(s.now, []Event{{cl, Readable}})
				for len(s.dials) > 0 { // a new connection is established at once
					w := s.dials[0]
					s.dials = s.dials[1:]
					open[w] = true
					w.in = append(w.in, "R\x00\x00\x00\x08\x00\x00\x00\x00"+ready...)
					s.core.Step(s.now, []Event{{w, Readable}})
				}
				for w := range open {
					if len(w.out) > 0 && strings.HasSuffix(string(w.out), "\x00") {
						w.respond(answer)
						s.core.Step(s.now, []Event{{w, Readable}})
					}
				}
				if s.now++; len(cl.out) == 0 {
					b.Fatal("no answer")
				}
			}
		})
		b.Run(fmt.Sprint("tick/", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				s.now = max(s.core.NextStep(), s.now+1)
				s.core.Step(s.now, nil)
			}
		})
	}
}
