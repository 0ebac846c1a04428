package rig

import "sync"

// Flow counts messages and the bytes in them, without the headers of UDP, TCP and IP.
type Flow struct{ Messages, Bytes int }

// Sent is what a front has sent to other fronts since the rig began, over all of its lives. Datagrams that
// are lost at a relay count too.
type Sent struct {
	Datagrams Flow
	Streams   Flow // a connection is one message each way in which bytes went; all its bytes count
}

// ledger counts by the sender's name; names are those of the rig's fronts, so it is bounded by them.
type ledger struct {
	mu   sync.Mutex
	sent map[string]Sent
}

// count notes what went from one node to another; only what goes between fronts counts.
func (l *ledger) count(from, to Node, datagrams, streams Flow) {
	if !from.Front || !to.Front {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sent == nil {
		l.sent = map[string]Sent{}
	}
	s := l.sent[from.Name]
	s.Datagrams.Messages += datagrams.Messages
	s.Datagrams.Bytes += datagrams.Bytes
	s.Streams.Messages += streams.Messages
	s.Streams.Bytes += streams.Bytes
	l.sent[from.Name] = s
}

// Sent tells what a front has sent to other fronts so far.
func (l *Links) Sent(from Node) Sent {
	l.ledger.mu.Lock()
	defer l.ledger.mu.Unlock()
	return l.ledger.sent[from.Name]
}
