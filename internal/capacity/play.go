package capacity

import (
	"fmt"
	"io"
	"runtime"
	"time"

	"micatrack/internal/world"
)

const (
	inTime     = 300 * world.Millisecond // an answer later than this is late
	tellEvery  = 5 * time.Second         // between two lines of progress
	windowSize = 10                      // seconds of the longest window that a limit speaks of
)

// Spans are the seconds of each phase of a play.
type Spans struct {
	Start    int `json:"start"`    // first contact: fronts find each other
	Calm     int `json:"calm"`     // long enough for whole exchanges, one in 15 to 45 s
	Event    int `json:"event"`    // the trouble lasts
	Recovery int `json:"recovery"` // all is back
}

// Play is one play: what is played, and how.
type Play struct {
	Size     Size
	Event    Event
	Spans    Spans
	Progress io.Writer // nil: nothing is told
	Measure  bool      // processor time and memory too
}

// Result is what a play came to.
type Result struct {
	Size       Size        `json:"size"`
	Event      string      `json:"event"`
	Spans      Spans       `json:"spans"`
	Quantities []Quantity  `json:"quantities"`
	BySubject  []BySubject `json:"by_subject"`
	Outcome    world.Tally `json:"outcome"`
	Seconds    float64     `json:"seconds"` // of this machine
}

// BySubject is what a front sent of one subject, a second.
type BySubject struct {
	Phase    string  `json:"phase"`
	Subject  string  `json:"subject"`
	Bytes    float64 `json:"bytes"`
	Messages float64 `json:"messages"`
}

// Over tells whether any figure is beyond its limit.
func (r *Result) Over() bool {
	for _, quantity := range r.Quantities {
		if quantity.Over() {
			return true
		}
	}
	return false
}

// Find gives a figure by name; 0 where there is none.
func (r *Result) Find(name string) float64 {
	for _, quantity := range r.Quantities {
		if quantity.Name == name {
			return quantity.Value
		}
	}
	return 0
}

func (r *Result) add(name string, unit Unit, source Source, value float64) {
	r.Quantities = append(r.Quantities, Quantity{Name: name, Unit: unit, Source: source, Value: value,
		Limit: limitOf(name)})
}

// run is a play under way.
type run struct {
	Play
	world   *world.World
	meter   *world.Meter
	counter *counter
	began   time.Time
	told    time.Time
	tally   world.Tally
	result  *Result
}

// Run plays.
func (p Play) Run() (*Result, error) {
	if err := p.Size.Check(); err != nil {
		return nil, err
	}
	plan, err := p.Size.plan()
	if err != nil {
		return nil, err
	}
	r := &run{Play: p, began: time.Now(), result: &Result{Size: p.Size, Event: p.Event.Name, Spans: p.Spans}}
	if p.Measure {
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		r.meter = &world.Meter{Clock: threadTime, Overhead: clockOverhead()}
		plan.Meter = r.meter
	}
	r.world = world.New(plan)
	if p.Size.Statements > 0 {
		r.world.Load()
	}
	r.counter = newCounter(r.world)
	r.phases()
	r.result.Outcome = r.tally
	r.result.Seconds = time.Since(r.began).Seconds()
	return r.result, nil
}

// phases plays one after the other and takes their figures.
func (r *run) phases() {
	r.heap("memory.start")
	r.phase("start", r.Spans.Start)
	r.phase("calm", r.Spans.Calm)
	if r.Event.Name != "none" {
		var end func()
		if r.Event.Begin != nil {
			end = r.Event.Begin(r.world)
		} else {
			overTime(r.Event.Name, r.world, world.Time(r.Spans.Event)*world.Second)
		}
		r.phase("event", r.Spans.Event)
		if end != nil {
			end()
		}
		r.phase("recovery", r.Spans.Recovery)
	}
	r.whole()
	r.heap("memory.all")
}

// phase plays so many seconds, taking a sample at each.
func (r *run) phase(name string, seconds int) {
	if seconds == 0 {
		return
	}
	r.counter.begin()
	spent := r.spent()
	for second := range seconds {
		r.world.Run(world.Second)
		r.counter.second()
		r.forget()
		r.tell(name, second+1, seconds)
	}
	r.counter.end(r.result, name)
	r.processor(name, spent, seconds)
}

// forget counts what is over and drops it.
func (r *run) forget() {
	all := r.world.Tally(0, r.world.Now+1, inTime)
	r.tally.Requests += all.Requests
	r.tally.InTime += all.InTime
	r.tally.Late += all.Late
	r.tally.Back += all.Back
	r.tally.Off += all.Off
	r.tally.Lost += all.Lost
	r.world.Forget()
}

func (r *run) tell(phase string, second, of int) {
	if r.Progress == nil || time.Since(r.told) < tellEvery {
		return
	}
	r.told = time.Now()
	fmt.Fprintf(r.Progress, "%s: %s, second %d of %d, %.0f s so far\n", r.Size, phase, second, of,
		time.Since(r.began).Seconds())
}

func (r *run) spent() (spent [world.Parts]int64) {
	if r.meter != nil {
		spent = r.meter.Read()
	}
	return spent
}

// processor tells the time of each part in a second of a front.
func (r *run) processor(phase string, before [world.Parts]int64, seconds int) {
	if r.meter == nil {
		return
	}
	after := r.meter.Read()
	each := func(part world.Part) float64 {
		return float64(after[part]-before[part]) / 1e6 / float64(seconds*r.Size.Fronts)
	}
	control := each(world.Fleet) + each(world.Watch) + each(world.LeaseHolder) + each(world.List)
	r.result.add(phase+".processor.control", MillisecondsOfOne, Measured, control)
	for _, part := range []world.Part{world.Fleet, world.Watch, world.LeaseHolder, world.List, world.Core,
		world.Outside} {
		r.result.add(phase+".processor."+part.String(), MillisecondsOfOne, Measured, each(part))
	}
	if r.Size.Leases {
		voter := each(world.Voter) * float64(r.Size.Fronts) / controls
		r.result.add(phase+".processor.voter", MillisecondsOfOne, Measured, voter)
	}
}

// heap tells the memory of all, stand-ins and ledgers too, by front: an upper bound of a front's own.
func (r *run) heap(name string) {
	if !r.Measure {
		return
	}
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	r.result.add(name, Bytes, Measured, float64(stats.HeapAlloc)/float64(r.Size.Fronts))
}

// whole tells what fronts hold of each other at the end.
func (r *run) whole() {
	least, most, living := r.Size.Fronts, 0, 0
	for _, front := range r.world.Fronts {
		peers := front.List()
		if peers == nil {
			continue
		}
		living++
		alive := 0
		for _, peer := range peers {
			if peer.State == "alive" {
				alive++
			}
		}
		least, most = min(least, alive), max(most, len(peers))
	}
	r.result.add("members.alive.least", Count, Simulated, float64(least))
	r.result.add("members.held.most", Count, Simulated, float64(most))
	r.result.add("fronts.running", Count, Simulated, float64(living))
}
