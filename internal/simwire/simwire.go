// Package simwire speaks the simulator's wire: it decodes lines into calls on the decision module and
// encodes what the module asks for. It decides nothing.
package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"

	"micatrack/balance"
	"micatrack/internal/settings"
)

const microsPerTime = 100 // the wire's microseconds in one balance.Time

// host holds the fronts of this process; they share nothing but the numbered lists of the wire.
type host struct {
	out    *bufio.Writer
	fronts map[string]*front
	lists  [16]*list
	fields map[string]string
	now    balance.Time
	inside bool
	batch  string
}

type list struct {
	left    int
	members []balance.Member
}

// front is one instance: the module and what it may ask for.
type front struct {
	host   *host
	name   string
	zero   int64 // microseconds
	module *balance.Balancer
	stores map[uint32]bool
}

// Serve plays batches from in until its end.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{out: bufio.NewWriterSize(out, 1<<16), fronts: map[string]*front{}, fields: map[string]string{},
		batch: "none"}
	r := bufio.NewReaderSize(in, 1<<20)
	for n := 1; ; n++ {
		line, err := r.ReadString('\n')
		if err == io.EOF && line == "" {
			if h.inside {
				return fmt.Errorf("batch %s, line %d: input ends inside a batch", h.batch, n)
			}
			return nil
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("batch %s, line %d: reading: %w", h.batch, n, err)
		}
		if line = strings.TrimRight(line, "\r\n"); line == "" {
			continue
		}
		if err := h.line(line); err != nil {
			return fmt.Errorf("batch %s, line %d: %w", h.batch, n, err)
		}
	}
}

func (h *host) line(line string) error {
	word, rest, _ := strings.Cut(line, " ")
	if err := h.parse(rest); err != nil {
		return fmt.Errorf("%s: %w", word, err)
	}
	if word == "TICK" {
		clock, err := h.int("Clock")
		if err != nil {
			return err
		}
		if _, err := h.int("round"); err != nil {
			return err
		}
		if h.inside {
			return fmt.Errorf("TICK inside a batch")
		}
		// Rounded up: a fence or an age reckoned from it errs to the safe side.
		h.batch, h.now, h.inside = h.fields["round"], (clock+microsPerTime-1)/microsPerTime, true
		return nil
	}
	if !h.inside {
		return fmt.Errorf("%q outside a batch", word)
	}
	if err := h.openList(word); err != nil {
		return err
	}
	switch word {
	case "COMMIT":
		h.inside = false
		fmt.Fprintf(h.out, "FINISHED round=%s\n", h.batch)
		if err := h.out.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		return nil
	case "MANIFEST":
		return h.manifest()
	case "ENTRY":
		return h.entry()
	}
	return h.event(word)
}

// openList refuses anything but an ENTRY while a list lacks lines.
func (h *host) openList(word string) error {
	for i, l := range h.lists {
		if l != nil && l.left > 0 && word != "ENTRY" {
			return fmt.Errorf("%s while list %d lacks %d entries", word, i, l.left)
		}
	}
	return nil
}

// parse splits name=value pairs; BootInfo and BodyText run to the end of the line.
func (h *host) parse(rest string) error {
	clear(h.fields)
	for rest != "" {
		name, tail, ok := strings.Cut(rest, "=")
		if !ok || name == "" || strings.Contains(name, " ") {
			return fmt.Errorf("malformed field at %.40q", rest)
		}
		if name == "BootInfo" || name == "BodyText" {
			h.fields[name] = tail
			return nil
		}
		value, more, _ := strings.Cut(tail, " ")
		h.fields[name], rest = value, more
	}
	return nil
}

func (h *host) int(name string) (int64, error) {
	v, ok := h.fields[name]
	if !ok {
		return 0, fmt.Errorf("%s is missing", name)
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return n, nil
}

// optional reads a number that may be left out.
func (h *host) optional(name string) (float64, error) {
	v, ok := h.fields[name]
	if !ok {
		return 0, nil
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %w", name, err)
	}
	return f, nil
}

func (h *host) store() (uint32, error) {
	n, err := strconv.ParseUint(h.fields["Store"], 10, 32)
	if err != nil {
		return 0, fmt.Errorf("Store: %w", err)
	}
	return uint32(n), nil
}

func (h *host) manifest() error {
	n, err := h.int("Buffer")
	if err != nil {
		return err
	}
	count, err := h.int("Entries")
	if err != nil {
		return err
	}
	if n < 0 || n >= int64(len(h.lists)) || count < 0 {
		return fmt.Errorf("MANIFEST: no list %d of %d entries", n, count)
	}
	h.lists[n] = &list{left: int(count)}
	return nil
}

func (h *host) entry() error {
	for _, l := range h.lists {
		if l != nil && l.left > 0 {
			m, err := h.member()
			if err != nil {
				return fmt.Errorf("ENTRY: %w", err)
			}
			l.left--
			l.members = append(l.members, m)
			return nil
		}
	}
	return fmt.Errorf("ENTRY outside a list")
}

func (h *host) member() (balance.Member, error) {
	m := balance.Member{Zone: h.fields["Az"]}
	var err error
	if m.Store, err = h.store(); err != nil {
		return m, err
	}
	var read [5]float64
	for i, name := range [...]string{"Share", "StartedAt", "Condition", "IsPrimary", "Db"} {
		if read[i], err = h.optional(name); err != nil {
			return m, err
		}
	}
	switch h.fields["Condition"] {
	case "1":
		m.Condition = balance.Ready
	case "2":
		m.Condition = balance.Draining
	case "0", "":
		m.Condition = balance.Gone
	default:
		return m, fmt.Errorf("Condition %q is unknown", h.fields["Condition"])
	}
	m.Size, m.Started, m.Primary, m.Group = read[0], int64(read[1])/microsPerTime, read[3] == 1, uint64(read[4])
	return m, nil
}

// event hands one line to the instance that it names.
func (h *host) event(word string) (err error) {
	name := h.fields["I"]
	if word == "UP" {
		return h.up(name)
	}
	f := h.fronts[name]
	if f == nil {
		return fmt.Errorf("%s: instance %q is not up", word, name)
	}
	defer func() {
		if p := recover(); p != nil {
			f.text("FAULT", fmt.Sprint(p))
			err = nil
		}
	}()
	switch word {
	case "STOP":
		delete(h.fronts, name)
	case "MEMBERSHIP":
		err = h.membership(f)
	case "ACCEPT":
		err = h.accept(f)
	case "LEFT":
		f.module.ClientGone(h.now, h.fields["Tid"])
	case "FLOWING":
		f.module.ResponseStarted(h.now, h.fields["Tid"])
	case "WAKEUP":
		f.module.Tick(h.now)
	case "NOTE_FROM": // the module sends no messages
	case "OUTCOME", "CHECK_RESULT":
		err = h.result(f, word == "OUTCOME")
	default:
		return fmt.Errorf("unknown message %q", word)
	}
	if err != nil {
		return fmt.Errorf("%s for %s: %w", word, name, err)
	}
	return nil
}

func (h *host) up(name string) error {
	if name == "" {
		return fmt.Errorf("UP: I is missing")
	}
	seed, err := strconv.ParseUint(h.fields["Entropy"], 10, 64)
	if err != nil {
		return fmt.Errorf("UP: Entropy: %w", err)
	}
	c, settings, err := settings.Read([]byte(h.fields["BootInfo"]))
	if err != nil {
		return fmt.Errorf("UP %s: BootInfo: %w", name, err)
	}
	c.Seed = seed
	f := &front{host: h, name: name, zero: settings.PositionEpoch, stores: map[uint32]bool{}}
	if f.module, err = balance.New(h.now, c, f); err != nil {
		return fmt.Errorf("UP %s: %w", name, err)
	}
	h.fronts[name] = f
	return nil
}

func (h *host) membership(f *front) error {
	news, ok := map[string]balance.ListKind{"0": balance.ListFailed, "2": balance.ListFull,
		"3": balance.ListChanges, "4": balance.ListCached}[h.fields["How"]]
	if !ok {
		return fmt.Errorf("How %q is unknown", h.fields["How"])
	}
	if news == balance.ListFailed {
		f.module.UpdateMembers(h.now, news, nil)
		return nil
	}
	n, err := h.int("Buffer")
	if err != nil {
		return err
	}
	if n < 0 || n >= int64(len(h.lists)) || h.lists[n] == nil {
		return fmt.Errorf("no list %d", n)
	}
	for _, m := range h.lists[n].members {
		f.stores[m.Store] = true
	}
	f.module.UpdateMembers(h.now, news, h.lists[n].members)
	return nil
}

func (h *host) accept(f *front) error {
	left, err := h.int("Remaining")
	if err != nil {
		return err
	}
	group, err := strconv.ParseUint(h.fields["ClusterNo"], 10, 64)
	if err != nil {
		return fmt.Errorf("ClusterNo: %w", err)
	}
	age, err := h.optional("LastWriteMs")
	if err != nil {
		return err
	}
	effort, err := h.optional("Effort")
	if err != nil {
		return err
	}
	j := balance.Request{ID: h.fields["Tid"], Class: h.fields["Cls"], Tenant: h.fields["Account"],
		Session: h.fields["Session"], Group: group, Work: int64(effort) / microsPerTime, Left: left / microsPerTime,
		Repeated: h.fields["Resent"] == "1", WriteAge: -1}
	if age > 0 {
		j.WriteAge = int64(age * 1000 / microsPerTime)
	}
	if err := f.module.Submit(h.now, j); err != nil {
		return err
	}
	return nil
}

var endings = map[string]balance.Ending{"0": balance.Served, "1": balance.NotEligible, "249": balance.NotSent,
	"250": balance.Cancelled, "251": balance.ConnectionLost, "252": balance.ConnectFailed, "253": balance.TimedOut,
	"254": balance.Overloaded, "255": balance.Failed}

func (h *host) result(f *front, attempt bool) error {
	store, err := h.store()
	if err != nil {
		return err
	}
	if !f.stores[store] {
		return fmt.Errorf("store %d was in no list", store)
	}
	ending, ok := endings[h.fields["StateCode"]]
	if !ok {
		return fmt.Errorf("StateCode %q is unknown", h.fields["StateCode"])
	}
	r := balance.Result{Ending: ending, Done: h.fields["Closed"] == "1"}
	if r.Load, err = f.load(h.fields["Usage"]); err != nil {
		return err
	}
	if !attempt {
		f.module.ProbeDone(h.now, store, r)
		return nil
	}
	if h.fields["Note"] != "" {
		note, err := h.int("Note")
		if err != nil {
			return err
		}
		r.Note.Role = role(note & 3)
		if note >= 4 {
			r.Note.Position = f.zero/microsPerTime + note/4*1000/microsPerTime
		}
	}
	hop, err := h.int("Hop")
	if err != nil {
		return err
	}
	f.module.AttemptDone(h.now, h.fields["Tid"], int(hop), store, r)
	return nil
}

func role(n int64) balance.Role {
	switch n {
	case 1:
		return balance.Primary
	case 2:
		return balance.Replica
	}
	return balance.RoleUnknown
}

// load reads the two values of a report that the module goes by.
func (f *front) load(pairs string) (balance.Report, error) {
	var r balance.Report
	for pairs != "" && pairs != "-" {
		pair, more, _ := strings.Cut(pairs, ",")
		name, value, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil {
			return r, fmt.Errorf("Usage: bad value %q", pair)
		}
		switch {
		case name == "x0" && v > 0:
			r.Position = f.zero/microsPerTime + int64(v*1e6)/microsPerTime
		case name == "x1" && v == 1:
			r.Role = balance.Primary
		case name == "x1":
			r.Role = balance.Replica
		}
		pairs = more
	}
	return r, nil
}

// The rest is balance.Front.

func (f *front) start(word string) *bufio.Writer {
	w := f.host.out
	w.WriteString(word)
	w.WriteString(" I=")
	w.WriteString(f.name)
	return w
}

func (f *front) field(name string, v int64) {
	f.host.out.WriteString(name)
	f.host.out.Write(strconv.AppendInt(f.host.out.AvailableBuffer(), v, 10))
}

func (f *front) onRequest(word, request string) {
	f.start(word).WriteString(" Tid=" + request)
}

func (f *front) end() { f.host.out.WriteByte('\n') }

func (f *front) text(word, text string) {
	f.start(word).WriteString(" BodyText=" + strings.ReplaceAll(text, "\n", " "))
	f.end()
}

func (f *front) Send(request string, store uint32, until, _ balance.Time) {
	f.onRequest("SEND", request)
	f.field(" Store=", int64(store))
	f.field(" TryUntil=", until*microsPerTime)
	f.end()
}

func (f *front) Cancel(request string, attempt int) {
	f.onRequest("REVOKE", request)
	f.field(" Hop=", int64(attempt))
	f.end()
}

func (f *front) Refuse(request string, pause balance.Time) {
	f.onRequest("OVERLOAD_REPLY", request)
	f.field(" Pause=", pause*microsPerTime)
	f.end()
}

func (f *front) Fail(request string) {
	f.onRequest("ABORT", request)
	f.end()
}

func (f *front) Probe(store uint32, _ balance.Time, _ bool) {
	f.start("PING")
	f.field(" Store=", int64(store))
	f.end()
}

func (f *front) CloseIdle(store uint32) {
	f.start("HANG_UP")
	f.field(" Store=", int64(store))
	f.end()
}

// Forget: numbers on the simulator's wire are its own, and name one store for the whole day.
func (f *front) Forget(uint32) {}

func (f *front) WakeAfter(after balance.Time) {
	f.start("SET_ALARM").WriteString(" Name=1")
	f.field(" SleepFor=", after*microsPerTime)
	f.end()
}

func (f *front) WatchMembers() {
	f.start("WATCH").WriteString(" Active=1")
	f.end()
}

func (f *front) Log(text string) { f.text("JOURNAL_LINE", text) }
