package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// plays are the plays by name. Each returns what it found broken.
var plays = map[string]struct {
	settings string
	takes    func(class string) time.Duration
	oneCore  bool // the fronts share a single core
	play     func(w *world) (broken []string, err error)
}{
	"turned-back": {kaarna, ordinary, true, turnedBack},
	"rested":      {kaarna, ordinary, false, rested},
}

// ordinary is how long statements run at the site kaarna-rosters.
func ordinary(class string) time.Duration {
	return map[string]time.Duration{"own-roster": 130, "claim-write": 120, "board-read": 70}[class] * time.Millisecond
}

func main() {
	if len(os.Args) != 4 {
		fmt.Println("usage: shard PLAY RUN-LINE RECORD")
		os.Exit(2)
	}
	broken, err := playOnce(os.Args[1], os.Args[2], os.Args[3])
	for k, text := range broken {
		if k < 10 {
			fmt.Println("BROKEN", text)
		}
	}
	switch {
	case len(broken) > 0:
		fmt.Println(len(broken), "breaks of the rule")
		os.Exit(1)
	case err != nil:
		fmt.Println("could not run:", err)
		os.Exit(2)
	}
	fmt.Println("the rule held")
}

func playOnce(name, runLine, out string) (broken []string, err error) {
	p, ok := plays[name]
	if !ok && name != "bookmarks" {
		return nil, fmt.Errorf("no play %q", name)
	}
	file, err := os.Create(out)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	rec := &recorder{out: bufio.NewWriterSize(file, 1<<20), start: time.Now()}
	defer rec.out.Flush()
	if name == "bookmarks" {
		broken, err = bookmarks(runLine, rec, os.Getenv("TROUBLE") != "0")
		for _, text := range broken {
			rec.line("BROKEN %s", text)
		}
		return broken, err
	}
	l := &ledger{record: rec, got: map[string]int{}, sent: map[string]bool{}}
	list, err := startStores(l, 2, 5, p.takes)
	if err != nil {
		return nil, err
	}
	discovery, err := serveList(list)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "shard")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var fronts [2]*front
	for k := range fronts {
		if fronts[k], err = startFront(runLine, fmt.Sprintf("n%d", k), dir, discovery, list, p.settings, p.oneCore); err != nil {
			return nil, err
		}
		defer fronts[k].end()
	}
	w := &world{front: fronts[0], other: fronts[1], ledger: l, record: rec, trouble: os.Getenv("TROUBLE") != "0", told: map[string]answer{}}
	broken, err = p.play(w)
	for _, f := range fronts {
		if err == nil && f.ended() {
			broken = append(broken, "a front ended by itself")
		}
	}
	for _, text := range broken {
		rec.line("BROKEN %s", text)
	}
	for _, text := range append(l.wrong, w.foreign...) {
		rec.line("also seen: %s", text)
	}
	return broken, err
}

// kaarna holds settings like those of the site kaarna-rosters, for two fronts.
const kaarna = `{"Az":"tampere-1","ReplicasOfMe":2,"Round":5000,"RegistryMode":"pushed",
 "Report":{"Source":"on_probe","Fields":["x0","x1","inflight"]},
 "Ceilings":{"ConnIdle":15000000,"DialTimeout":250000,"MaxAttempts":6,"MayCancel":true,"MayDuplicate":true,"Probes":true,
  "RetryAfter":true,"MaxRetryAfter":500000,"StreamsPerConn":8},
 "Contract":{"AnswerSlack":20000,"AskWithin":10000000,"Cold":17000000,"DrainGrace":1000000,"FallMultiple":2.5,"StartCapacity":0.19,"TipAfter":2000000},
 "Extra":{"Behind":"wait","Wait":20000,"SessionMarks":"carried","Notes":"","Positions":false,"PositionZero":0,"ShowsRole":"late",
  "Freshness":["bounded","session","write"],"OldestData":[1500000,0,0]},
 "Prices":{"Probe":0.01,"Waste":0.16,"LateFail":0.068},"WorthBy":"request","Weights":"off",
 "Profiles":[
  {"Name":"board-read","Idempotency":"repeatable","Group":"all","Aim":300000,"HardLimit":1000000,"Worth":1,"LateWorth":0},
  {"Name":"own-roster","Idempotency":"repeatable","Group":"all","Aim":600000,"HardLimit":2000000,"Worth":3,"LateWorth":0},
  {"Name":"claim-write","Idempotency":"once","Group":"cell","Aim":500000,"HardLimit":5000000,"Worth":4,"LateWorth":0.7}]}`

// world is what the clients share.
type world struct {
	front   *front // the one that the play is about
	other   *front // the other one, which nothing happens to
	ledger  *ledger
	record  *recorder
	trouble bool
	next    atomic.Int64

	mu      sync.Mutex
	told    map[string]answer // by request id
	foreign []string
}

// query is one request of a client.
type query struct {
	id, class, ref string
	group          int
	waits          time.Duration
	sentAt         time.Time
}

func newRef() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// statement gives a query its id and returns its text.
func (w *world) statement(q *query) string {
	q.id = fmt.Sprintf("%08x", w.next.Add(1))
	q.sentAt = time.Now()
	text := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ SELECT payload FROM entries WHERE ref = '%s'", q.id, q.class, q.waits.Milliseconds(), q.group, q.ref)
	if q.class == "claim-write" {
		text = fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */ INSERT INTO entries (ref, payload) VALUES ('%s', '\\x9f03') RETURNING payload", q.id, q.class, q.waits.Milliseconds(), q.group, q.ref)
	}
	w.ledger.clientSends(text)
	w.record.line("client sends id=%s c=%s cluster=%d ref=%s d=%d", q.id, q.class, q.group, q.ref, q.waits.Milliseconds())
	return text
}

// send sends queries at once on a connection.
func (w *world) send(c *clientConn, queries ...*query) error {
	var out []byte
	for _, q := range queries {
		out = appendQuery(out, w.statement(q))
	}
	_, err := c.Write(out)
	return err
}

// await reads the answer to a query. The client goes on waiting for half a second after its time.
func (w *world) await(c *clientConn, q *query) (answer, error) {
	return w.awaitUntil(c, q, q.sentAt.Add(q.waits+500*time.Millisecond))
}

// awaitUntil reads the answer to a query.
func (w *world) awaitUntil(c *clientConn, q *query, until time.Time) (answer, error) {
	a, err := c.answer(until)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.record.line("client has no answer to id=%s: %v", q.id, err)
		return a, err
	}
	w.told[q.id] = a
	w.record.line("client told id=%s value=%q code=%s %s", q.id, a.value, a.code, a.text)
	if want := fmt.Sprintf("cluster %d ref %s", q.group, q.ref); a.code == "" && a.value != want {
		w.foreign = append(w.foreign, fmt.Sprintf("id %s got the value %q in place of %q", q.id, a.value, want))
	}
	return a, nil
}

// brokenEffects returns what breaks the rule that no effect happens twice, for writes that must never run twice.
func (w *world) brokenEffects() (broken []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	byID, byRef := map[string]int{}, map[string][]string{}
	for _, r := range w.ledger.runs {
		if r.write {
			byID[r.id]++
			byRef[r.ref] = append(byRef[r.ref], r.id)
		}
	}
	for id, n := range byID {
		if n > 1 {
			broken = append(broken, fmt.Sprintf("at-most-once request %s ran %d times", id, n))
		}
		if w.told[id].refused() {
			broken = append(broken, fmt.Sprintf("at-most-once request %s was turned back with %s, and it has run", id, w.told[id].code))
		}
	}
	for ref, ids := range byRef {
		if len(ids) > 1 {
			broken = append(broken, fmt.Sprintf("at-most-once write of %s took effect %d times, as requests %v", ref, len(ids), ids))
		}
	}
	return broken
}
