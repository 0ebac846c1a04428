// Package simwire implements the simulator's line protocol. It decodes lines into calls of a balance.Balancer and encodes
// the balancer's actions. It makes no decisions of its own.
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

const microsPerTime = 100 // the protocol counts microseconds; this is one unit of balance.Time

// host holds the fronts of this process. They share nothing but the numbered member lists of the protocol.
type host struct {
	out     *bufio.Writer
	fronts  map[string]*front // by name
	lists   [16]*list         // by number; nil until a MANIFEST begins the list
	fields  map[string]string // fields of the current line
	now     balance.Time      // time of the current batch
	inBatch bool              // a TICK began a batch that no COMMIT has ended
	batch   string            // round of the last batch, for error messages
}

// list is a numbered list of members, which MANIFEST begins and ENTRY lines fill.
type list struct {
	missing int // entries that are still to come
	members []balance.Member
}

// front is one simulated front. It implements balance.Front for its balancer.
type front struct {
	host          *host
	name          string
	positionEpoch int64 // microseconds; positions on the wire count from here
	balancer      *balance.Balancer
	listedStores  map[uint32]bool // stores that a list for this front has named
}

// Serve reads batches of lines from in until its end and writes the replies to out. It returns an error, which names the
// batch and the line, if the input breaks the protocol or cannot be read, or if a reply cannot be written.
func Serve(in io.Reader, out io.Writer) error {
	h := &host{out: bufio.NewWriterSize(out, 1<<16), fronts: map[string]*front{}, fields: map[string]string{},
		batch: "none"}
	r := bufio.NewReaderSize(in, 1<<20)
	for n := 1; ; n++ {
		line, err := r.ReadString('\n')
		if err == io.EOF && line == "" {
			if h.inBatch {
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
		if err := h.handleLine(line); err != nil {
			return fmt.Errorf("batch %s, line %d: %w", h.batch, n, err)
		}
	}
}

// handleLine executes one line.
func (h *host) handleLine(line string) error {
	word, rest, _ := strings.Cut(line, " ")
	if err := h.parseFields(rest); err != nil {
		return fmt.Errorf("%s: %w", word, err)
	}
	if word == "TICK" {
		clock, err := h.intField("Clock")
		if err != nil {
			return err
		}
		if _, err := h.intField("round"); err != nil {
			return err
		}
		if h.inBatch {
			return fmt.Errorf("TICK inside a batch")
		}
		// The time is rounded up, so that a fence or an age computed from it errs on the safe side.
		h.batch, h.now, h.inBatch = h.fields["round"], (clock+microsPerTime-1)/microsPerTime, true
		return nil
	}
	if !h.inBatch {
		return fmt.Errorf("%q outside a batch", word)
	}
	if err := h.checkListComplete(word); err != nil {
		return err
	}
	switch word {
	case "COMMIT":
		h.inBatch = false
		fmt.Fprintf(h.out, "FINISHED round=%s\n", h.batch)
		if err := h.out.Flush(); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
		return nil
	case "MANIFEST":
		return h.startList()
	case "ENTRY":
		return h.appendEntry()
	}
	return h.event(word)
}

// checkListComplete returns an error if a list lacks entries and word is not ENTRY.
func (h *host) checkListComplete(word string) error {
	for i, l := range h.lists {
		if l != nil && l.missing > 0 && word != "ENTRY" {
			return fmt.Errorf("%s while list %d lacks %d entries", word, i, l.missing)
		}
	}
	return nil
}

// parseFields splits name=value pairs into h.fields. The values of BootInfo and BodyText extend to the end of the line.
func (h *host) parseFields(rest string) error {
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

// intField returns the value of a required field with an integer.
func (h *host) intField(name string) (int64, error) {
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

// optionalField returns the value of an optional field with a number, 0 if the field is missing.
func (h *host) optionalField(name string) (float64, error) {
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

// storeField returns the store's number from the field Store.
func (h *host) storeField() (uint32, error) {
	n, err := strconv.ParseUint(h.fields["Store"], 10, 32)
	if err != nil {
		return 0, fmt.Errorf("Store: %w", err)
	}
	return uint32(n), nil
}

// startList executes MANIFEST: it replaces a list by an empty one that expects a number of entries.
func (h *host) startList() error {
	n, err := h.intField("Buffer")
	if err != nil {
		return err
	}
	count, err := h.intField("Entries")
	if err != nil {
		return err
	}
	if n < 0 || n >= int64(len(h.lists)) || count < 0 {
		return fmt.Errorf("MANIFEST: no list %d of %d entries", n, count)
	}
	h.lists[n] = &list{missing: int(count)}
	return nil
}

// appendEntry executes ENTRY: it appends a member to the list that lacks entries.
func (h *host) appendEntry() error {
	for _, l := range h.lists {
		if l != nil && l.missing > 0 {
			m, err := h.parseMember()
			if err != nil {
				return fmt.Errorf("ENTRY: %w", err)
			}
			l.missing--
			l.members = append(l.members, m)
			return nil
		}
	}
	return fmt.Errorf("ENTRY outside a list")
}

// parseMember returns the member that the fields of an ENTRY describe.
func (h *host) parseMember() (balance.Member, error) {
	m := balance.Member{Zone: h.fields["Az"]}
	var err error
	if m.Store, err = h.storeField(); err != nil {
		return m, err
	}
	var values [5]float64
	for i, name := range [...]string{"Share", "StartedAt", "Condition", "IsPrimary", "Db"} {
		if values[i], err = h.optionalField(name); err != nil {
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
	m.Size, m.Started, m.Primary, m.Group = values[0], int64(values[1])/microsPerTime, values[3] == 1, uint64(values[4])
	return m, nil
}

// event passes one line to the front that it names. A panic of the balancer is reported to the simulator as FAULT.
func (h *host) event(word string) (err error) {
	name := h.fields["I"]
	if word == "UP" {
		return h.startFront(name)
	}
	f := h.fronts[name]
	if f == nil {
		return fmt.Errorf("%s: instance %q is not up", word, name)
	}
	defer func() {
		if p := recover(); p != nil {
			f.writeText("FAULT", fmt.Sprint(p))
			err = nil
		}
	}()
	switch word {
	case "STOP":
		delete(h.fronts, name)
	case "MEMBERSHIP":
		err = h.updateMembers(f)
	case "ACCEPT":
		err = h.submitRequest(f)
	case "LEFT":
		f.balancer.ClientGone(h.now, h.fields["Tid"])
	case "FLOWING":
		f.balancer.ResponseStarted(h.now, h.fields["Tid"], true)
	case "WAKEUP":
		f.balancer.Tick(h.now)
	case "NOTE_FROM": // fronts in the simulation send each other no messages
	case "OUTCOME", "CHECK_RESULT":
		err = h.reportResult(f, word == "OUTCOME")
	default:
		return fmt.Errorf("unknown message %q", word)
	}
	if err != nil {
		return fmt.Errorf("%s for %s: %w", word, name, err)
	}
	return nil
}

// startFront executes UP: it starts a front, and replaces one of the same name.
func (h *host) startFront(name string) error {
	if name == "" {
		return fmt.Errorf("UP: I is missing")
	}
	seed, err := strconv.ParseUint(h.fields["Entropy"], 10, 64)
	if err != nil {
		return fmt.Errorf("UP: Entropy: %w", err)
	}
	c, process, err := settings.Read([]byte(h.fields["BootInfo"]))
	if err != nil {
		return fmt.Errorf("UP %s: BootInfo: %w", name, err)
	}
	c.Seed = seed
	f := &front{host: h, name: name, positionEpoch: process.PositionEpoch, listedStores: map[uint32]bool{}}
	if f.balancer, err = balance.New(h.now, c, f); err != nil {
		return fmt.Errorf("UP %s: %w", name, err)
	}
	h.fronts[name] = f
	return nil
}

// updateMembers executes MEMBERSHIP: it gives a front a list of members.
func (h *host) updateMembers(f *front) error {
	kind, ok := map[string]balance.ListKind{"0": balance.ListFailed, "2": balance.ListFull,
		"3": balance.ListChanges, "4": balance.ListCached}[h.fields["How"]]
	if !ok {
		return fmt.Errorf("How %q is unknown", h.fields["How"])
	}
	if kind == balance.ListFailed {
		f.balancer.UpdateMembers(h.now, kind, nil)
		return nil
	}
	n, err := h.intField("Buffer")
	if err != nil {
		return err
	}
	if n < 0 || n >= int64(len(h.lists)) || h.lists[n] == nil {
		return fmt.Errorf("no list %d", n)
	}
	for _, m := range h.lists[n].members {
		f.listedStores[m.Store] = true
	}
	f.balancer.UpdateMembers(h.now, kind, h.lists[n].members)
	return nil
}

// submitRequest executes ACCEPT: it submits a client's request to a front.
func (h *host) submitRequest(f *front) error {
	remaining, err := h.intField("Remaining")
	if err != nil {
		return err
	}
	group, err := strconv.ParseUint(h.fields["ClusterNo"], 10, 64)
	if err != nil {
		return fmt.Errorf("ClusterNo: %w", err)
	}
	age, err := h.optionalField("LastWriteMs")
	if err != nil {
		return err
	}
	effort, err := h.optionalField("Effort")
	if err != nil {
		return err
	}
	request := balance.Request{ID: h.fields["Tid"], Class: h.fields["Cls"], Tenant: h.fields["Account"],
		Session: h.fields["Session"], Group: group, Work: int64(effort) / microsPerTime, Left: remaining / microsPerTime,
		Repeated: h.fields["Resent"] == "1", WriteAge: -1}
	if age > 0 {
		request.WriteAge = int64(age * 1000 / microsPerTime)
	}
	if err := f.balancer.Submit(h.now, request); err != nil {
		return err
	}
	return nil
}

// endingByCode maps the wire's StateCode to the ending of an attempt or a probe.
var endingByCode = map[string]balance.Ending{"0": balance.Served, "1": balance.NotEligible, "249": balance.NotSent,
	"250": balance.Cancelled, "251": balance.ConnectionLost, "252": balance.ConnectFailed, "253": balance.TimedOut,
	"254": balance.Overloaded, "255": balance.Failed}

// reportResult executes OUTCOME, if attempt is set, or CHECK_RESULT: it reports the result of an attempt or a probe.
func (h *host) reportResult(f *front, attempt bool) error {
	store, err := h.storeField()
	if err != nil {
		return err
	}
	if !f.listedStores[store] {
		return fmt.Errorf("store %d was in no list", store)
	}
	ending, ok := endingByCode[h.fields["StateCode"]]
	if !ok {
		return fmt.Errorf("StateCode %q is unknown", h.fields["StateCode"])
	}
	r := balance.Result{Ending: ending, Done: h.fields["Closed"] == "1"}
	if r.Load, err = f.parseLoad(h.fields["Usage"]); err != nil {
		return err
	}
	if !attempt {
		f.balancer.ProbeDone(h.now, store, r)
		return nil
	}
	if h.fields["Note"] != "" {
		note, err := h.intField("Note")
		if err != nil {
			return err
		}
		r.Note.Role = roleFromNote(note & 3)
		if note >= 4 {
			r.Note.Position = f.positionEpoch/microsPerTime + note/4*1000/microsPerTime
		}
	}
	hop, err := h.intField("Hop")
	if err != nil {
		return err
	}
	f.balancer.AttemptDone(h.now, h.fields["Tid"], int(hop), store, r)
	return nil
}

// roleFromNote returns the role that the two low bits of a Note encode.
func roleFromNote(n int64) balance.Role {
	switch n {
	case 1:
		return balance.Primary
	case 2:
		return balance.Replica
	}
	return balance.RoleUnknown
}

// parseLoad returns the two values of a Usage field that the balancer uses: the position (x0, in seconds) and the role (x1).
func (f *front) parseLoad(pairs string) (balance.Report, error) {
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
			r.Position = f.positionEpoch/microsPerTime + int64(v*1e6)/microsPerTime
		case name == "x1" && v == 1:
			r.Role = balance.Primary
		case name == "x1":
			r.Role = balance.Replica
		}
		pairs = more
	}
	return r, nil
}

// The methods below write lines; the exported ones implement balance.Front.

// startLine writes a line's first word and the front's name.
func (f *front) startLine(word string) *bufio.Writer {
	w := f.host.out
	w.WriteString(word)
	w.WriteString(" I=")
	w.WriteString(f.name)
	return w
}

func (f *front) writeField(name string, v int64) {
	f.host.out.WriteString(name)
	f.host.out.Write(strconv.AppendInt(f.host.out.AvailableBuffer(), v, 10))
}

func (f *front) startRequestLine(word, request string) {
	f.startLine(word).WriteString(" Tid=" + request)
}

func (f *front) endLine() { f.host.out.WriteByte('\n') }

func (f *front) writeText(word, text string) {
	f.startLine(word).WriteString(" BodyText=" + strings.ReplaceAll(text, "\n", " "))
	f.endLine()
}

func (f *front) Send(request string, store uint32, until, _ balance.Time) {
	f.startRequestLine("SEND", request)
	f.writeField(" Store=", int64(store))
	f.writeField(" TryUntil=", until*microsPerTime)
	f.endLine()
}

func (f *front) Cancel(request string, attempt int) {
	f.startRequestLine("REVOKE", request)
	f.writeField(" Hop=", int64(attempt))
	f.endLine()
}

func (f *front) Refuse(request string, pause balance.Time) {
	f.startRequestLine("OVERLOAD_REPLY", request)
	f.writeField(" Pause=", pause*microsPerTime)
	f.endLine()
}

func (f *front) Fail(request string) {
	f.startRequestLine("ABORT", request)
	f.endLine()
}

func (f *front) Probe(store uint32, _ balance.Time, _ bool) {
	f.startLine("PING")
	f.writeField(" Store=", int64(store))
	f.endLine()
}

func (f *front) CloseIdle(store uint32) {
	f.startLine("HANG_UP")
	f.writeField(" Store=", int64(store))
	f.endLine()
}

// Forget does nothing: the simulator assigns the stores' numbers, and each names one store for the whole simulated day.
func (f *front) Forget(uint32) {}

func (f *front) WakeAfter(after balance.Time) {
	f.startLine("SET_ALARM").WriteString(" Name=1")
	f.writeField(" SleepFor=", after*microsPerTime)
	f.endLine()
}

func (f *front) WatchMembers() {
	f.startLine("WATCH").WriteString(" Active=1")
	f.endLine()
}

func (f *front) Log(text string) { f.writeText("JOURNAL_LINE", text) }
