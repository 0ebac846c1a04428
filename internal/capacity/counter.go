package capacity

import "micatrack/internal/world"

// counter takes a sample of all counts each second and keeps the worst.
type counter struct {
	world   *world.World
	fronts  []world.Traffic // as of the last sample
	begun   []world.Traffic // as the phase began
	stores  []storeCounts
	first   []storeCounts
	voters  []world.Traffic
	seconds []second
	most    storeWorst
	held    int // most connections at one store, of all samples
}

// second is what all fronts did in one second.
type second struct {
	sent, received       world.Flow // of all fronts
	oneSent, oneReceived world.Flow // of the front with the most bytes
}

type storeCounts struct{ connects, probes, attempts int }

// storeWorst is the most that one store was asked in one second.
type storeWorst struct{ connects, probes int }

func newCounter(w *world.World) *counter {
	return &counter{
		world:  w,
		fronts: make([]world.Traffic, len(w.Fronts)),
		stores: make([]storeCounts, len(w.Stores)),
		voters: make([]world.Traffic, len(w.Voters)),
	}
}

// begin starts a phase.
func (c *counter) begin() {
	c.begun = append(c.begun[:0], c.fronts...)
	c.first = append(c.first[:0], c.stores...)
	c.seconds, c.most, c.held = nil, storeWorst{}, 0
	for k, voter := range c.world.Voters {
		c.voters[k] = voter.Traffic
	}
}

func sum(flows [world.Subjects]world.Flow) (all world.Flow) {
	for _, flow := range flows {
		all.Bytes += flow.Bytes
		all.Messages += flow.Messages
	}
	return all
}

func less(a, b world.Flow) world.Flow {
	return world.Flow{Messages: a.Messages - b.Messages, Bytes: a.Bytes - b.Bytes}
}

func more(a, b world.Flow) world.Flow {
	return world.Flow{Messages: a.Messages + b.Messages, Bytes: a.Bytes + b.Bytes}
}

func larger(a, b world.Flow) world.Flow {
	if b.Bytes > a.Bytes {
		return b
	}
	return a
}

// second takes a sample.
func (c *counter) second() {
	var now second
	for k, front := range c.world.Fronts {
		sent := less(sum(front.Traffic.Sent), sum(c.fronts[k].Sent))
		received := less(sum(front.Traffic.Received), sum(c.fronts[k].Received))
		now.sent = more(now.sent, sent)
		now.received = more(now.received, received)
		now.oneSent, now.oneReceived = larger(now.oneSent, sent), larger(now.oneReceived, received)
		c.fronts[k] = front.Traffic
	}
	c.seconds = append(c.seconds, now)
	for k, store := range c.world.Stores {
		is := storeCounts{store.Connects, store.Probes, store.Attempts}
		c.most.connects = max(c.most.connects, is.connects-c.stores[k].connects)
		c.most.probes = max(c.most.probes, is.probes-c.stores[k].probes)
		c.held = max(c.held, store.Held())
		c.stores[k] = is
	}
}

// end gives a phase's figures. Those of "calm" are its mean; the worst of every phase are kept for the whole
// play.
func (c *counter) end(r *Result, phase string) {
	fronts := float64(len(c.world.Fronts))
	c.mean(r, phase, fronts)
	c.worst(r, phase, fronts)
	c.storeFigures(r, phase)
	c.voterFigures(r, phase)
}

func (c *counter) mean(r *Result, phase string, fronts float64) {
	var sent, received world.Flow
	for _, second := range c.seconds {
		sent = more(sent, second.sent)
		received = more(received, second.received)
	}
	each := fronts * float64(len(c.seconds))
	r.add(phase+".sent.bytes", BytesSecond, Simulated, float64(sent.Bytes)/each)
	r.add(phase+".sent.messages", MessagesSecond, Simulated, float64(sent.Messages)/each)
	r.add(phase+".received.bytes", BytesSecond, Simulated, float64(received.Bytes)/each)
	r.add(phase+".received.messages", MessagesSecond, Simulated, float64(received.Messages)/each)
	for subject := range world.Subjects {
		var flow world.Flow
		for k := range c.fronts {
			told := less(c.fronts[k].Sent[subject], c.begun[k].Sent[subject])
			if subject == world.Lists { // fronts only hear of it
				told = less(c.fronts[k].Received[subject], c.begun[k].Received[subject])
			}
			flow = more(flow, told)
		}
		r.BySubject = append(r.BySubject, BySubject{phase, subject.String(), float64(flow.Bytes) / each,
			float64(flow.Messages) / each})
	}
}

// worst tells the worst second and the worst ten seconds in a row of the mean front, and the worst second of
// any front.
func (c *counter) worst(r *Result, phase string, fronts float64) {
	var sent, received, oneSent, oneReceived world.Flow
	for _, second := range c.seconds {
		sent, received = larger(sent, second.sent), larger(received, second.received)
		oneSent, oneReceived = larger(oneSent, second.oneSent), larger(oneReceived, second.oneReceived)
	}
	window := min(windowSize, len(c.seconds))
	mostSent, mostReceived := 0, 0
	for from := 0; from+window <= len(c.seconds); from++ {
		sentHere, receivedHere := 0, 0
		for _, second := range c.seconds[from : from+window] {
			sentHere += second.sent.Bytes
			receivedHere += second.received.Bytes
		}
		mostSent, mostReceived = max(mostSent, sentHere), max(mostReceived, receivedHere)
	}
	r.add(phase+".worst.sent.bytes", BytesSecond, Simulated, float64(sent.Bytes)/fronts)
	r.add(phase+".worst.received.bytes", BytesSecond, Simulated, float64(received.Bytes)/fronts)
	r.add(phase+".worst.sent.messages", MessagesSecond, Simulated, float64(sent.Messages)/fronts)
	r.add(phase+".worst10s.sent.bytes", BytesSecond, Simulated, float64(mostSent)/fronts/float64(window))
	r.add(phase+".worst10s.received.bytes", BytesSecond, Simulated, float64(mostReceived)/fronts/float64(window))
	r.add(phase+".worst.one.sent.bytes", BytesSecond, Simulated, float64(oneSent.Bytes))
	r.add(phase+".worst.one.received.bytes", BytesSecond, Simulated, float64(oneReceived.Bytes))
}

func (c *counter) storeFigures(r *Result, phase string) {
	var all storeCounts
	for k := range c.stores {
		all.connects += c.stores[k].connects - c.first[k].connects
		all.probes += c.stores[k].probes - c.first[k].probes
		all.attempts += c.stores[k].attempts - c.first[k].attempts
	}
	each := float64(len(c.stores) * len(c.seconds))
	r.add(phase+".stores.handshakes", PerSecond, Simulated, float64(all.connects)/each)
	r.add(phase+".stores.handshakes.worst", PerSecond, Simulated, float64(c.most.connects))
	r.add(phase+".stores.probes", PerSecond, Simulated, float64(all.probes)/each)
	r.add(phase+".stores.probes.worst", PerSecond, Simulated, float64(c.most.probes))
	r.add(phase+".stores.statements", PerSecond, Simulated, float64(all.attempts)/each)
	r.add(phase+".stores.connections.most", Count, Simulated, float64(c.held))
}

// voterFigures tells what the busiest control machine sent and received.
func (c *counter) voterFigures(r *Result, phase string) {
	if len(c.world.Voters) == 0 {
		return
	}
	var sent, received world.Flow
	for k, voter := range c.world.Voters {
		sent = larger(sent, less(sum(voter.Traffic.Sent), sum(c.voters[k].Sent)))
		received = larger(received, less(sum(voter.Traffic.Received), sum(c.voters[k].Received)))
	}
	seconds := float64(len(c.seconds))
	r.add(phase+".voter.sent.bytes", BytesSecond, Simulated, float64(sent.Bytes)/seconds)
	r.add(phase+".voter.sent.messages", MessagesSecond, Simulated, float64(sent.Messages)/seconds)
	r.add(phase+".voter.received.bytes", BytesSecond, Simulated, float64(received.Bytes)/seconds)
	r.add(phase+".voter.received.messages", MessagesSecond, Simulated, float64(received.Messages)/seconds)
}
