// Command toy is a database for trying out the router: one primary and two replicas that lag behind it, held in memory,
// and the discovery service that lists them. It knows two statements and never delays or withholds a
// response.
package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	"micatrack/internal/pgwire"
)

// entry is one write. Entries are kept in commit order.
type entry struct {
	commit int64 // Commit time in Unix milliseconds.
	value  string
}

// data is the log that all three stores share; each store sees the part that it has applied.
var data = struct {
	sync.Mutex
	entries map[string][]entry
	last    int64
}{entries: map[string][]entry{}}

// store is one of the three stores.
type store struct {
	id, addr string
	lag      time.Duration
	primary  bool
}

func (s *store) role() string {
	if s.primary {
		return "primary"
	}
	return "replica"
}

func (s *store) position() int64 { return time.Now().Add(-s.lag).UnixMilli() }

var (
	reads  = regexp.MustCompile(`(?i)^\s*SELECT\s+payload\s+FROM\s+entries\s+WHERE\s+ref\s*=\s*'([^']*)'`)
	writes = regexp.MustCompile(`(?i)^\s*INSERT\s+INTO\s+entries\s*\(ref,\s*payload\)\s*VALUES\s*\('([^']*)',\s*'([^']*)'\)`)
)

// run executes one statement. The text of the error is its SQLSTATE.
func (s *store) run(text string) (value, tag string, position int64, err error) {
	if end := strings.Index(text, "*/"); strings.HasPrefix(text, "/*") && end > 0 {
		text = text[end+2:]
	}
	position = s.position()
	data.Lock()
	defer data.Unlock()
	switch m := writes.FindStringSubmatch(text); {
	case text == "SHOW load":
		return fmt.Sprintf("x0=%d.%03d,x1=%d", position/1000, position%1000, btoi(s.primary)), "SHOW", position, nil
	case m != nil && !s.primary:
		return "", "", position, errors.New(pgwire.ReadOnlyTransaction)
	case m != nil:
		data.last = max(time.Now().UnixMilli()+1, data.last) // The position of a commit is rounded up.
		data.entries[m[1]] = append(data.entries[m[1]], entry{data.last, m[2]})
		return m[2], "INSERT 0 1", data.last, nil
	}
	m := reads.FindStringSubmatch(text)
	if m == nil {
		return "", "", position, errors.New(pgwire.ProtocolViolation)
	}
	for _, e := range data.entries[m[1]] {
		if s.primary || e.commit <= position {
			value = e.value
		}
	}
	return value, "SELECT 1", position, nil
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (s *store) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	if _, err := message(r, make([]byte, 4)); err != nil {
		return
	}
	c.Write(pgwire.AppendStartupReply(nil, 0, make([]byte, 8)))
	for {
		head := make([]byte, 5)
		body, err := message(r, head)
		if err != nil || head[0] == 'X' {
			return
		}
		text, _, _ := pgwire.ParseString(body)
		value, tag, position, err := s.run(string(text))
		var out []byte
		if err != nil {
			out = pgwire.AppendError(out, "ERROR", err.Error(), "the toy knows no such statement here", "")
		} else {
			log.Printf("%s (%s): %s", s.id, s.role(), text)
			out = append(out, 'T', 0, 0, 0, 32, 0, 1)
			out = append(out, "payload\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00"...)
			out = append(out, 'D')
			out = binary.BigEndian.AppendUint32(out, uint32(10+len(value)))
			out = append(out, 0, 1)
			out = binary.BigEndian.AppendUint32(out, uint32(len(value)))
			out = append(append(out, value...), 'C')
			out = binary.BigEndian.AppendUint32(out, uint32(5+len(tag)))
			out = append(append(out, tag...), 0)
		}
		out = pgwire.AppendParameter(out, "role", s.role())
		out = pgwire.AppendParameter(out, "applied_ms", fmt.Sprint(position))
		if _, err := c.Write(pgwire.AppendReady(out)); err != nil {
			return
		}
	}
}

// message reads one message into head, which ends with the length field, and returns the body.
func message(r io.Reader, head []byte) ([]byte, error) {
	if _, err := io.ReadFull(r, head); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[len(head)-4:])
	if n < 4 || n > pgwire.MaxQuerySize {
		return nil, errors.New("length is out of bounds")
	}
	body := make([]byte, n-4)
	_, err := io.ReadFull(r, body)
	return body, err
}

func main() {
	host := flag.String("host", "127.0.0.1", "address of the stores and of discovery")
	port := flag.Int("port", 6001, "first of the stores' three ports")
	discovery := flag.Int("discovery", 8500, "port of discovery")
	lag := flag.Duration("lag", 200*time.Millisecond, "how far the replicas are behind")
	flag.Parse()
	var lines []string
	for i := range 3 {
		s := &store{id: fmt.Sprintf("toy-%d", i), addr: fmt.Sprintf("%s:%d", *host, *port+i), primary: i == 0}
		if !s.primary {
			s.lag = *lag
		}
		l, err := net.Listen("tcp", s.addr)
		if err != nil {
			log.Fatal(err)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					log.Fatal(err)
				}
				go s.serve(c)
			}
		}()
		lines = append(lines, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"toy","cell":1,"state":"active",`+
			`"weight":1.0,"started_ms":0,"role":%q}`, s.id, s.addr, s.role()))
	}
	list := `{"version":1,"full":true,"servers":[` + strings.Join(lines, ",") + "]}\n"
	http.HandleFunc("GET /api/targets", func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, list)
		for r.URL.Query().Get("follow") == "1" && http.NewResponseController(w).Flush() == nil {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(2 * time.Second):
				io.WriteString(w, "\n")
			}
		}
	})
	log.Printf("three stores from %s:%d on, discovery at %s:%d", *host, *port, *host, *discovery)
	log.Fatal(http.ListenAndServe(fmt.Sprintf("%s:%d", *host, *discovery), nil))
}
