package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"micatrack/internal/bolt"
	"micatrack/internal/standin"
)

// boltConn is a client's connection that speaks Bolt.
type boltConn struct {
	net.Conn
	in     []byte
	reader bolt.Reader
}

func dialBolt(addr string) (*boltConn, error) {
	c, err := net.DialTimeout("tcp", addr, 3*time.Second)
	if err != nil {
		return nil, err
	}
	b := &boltConn{Conn: c, reader: bolt.Reader{MaxSize: 1 << 20}}
	c.SetDeadline(time.Now().Add(3 * time.Second))
	c.Write([]byte{0x60, 0x60, 0xb0, 0x17, 0, 0, 4, 5, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0})
	for len(b.in) < 4 {
		if err := b.fill(); err != nil {
			return nil, err
		}
	}
	b.in = b.in[4:]
	out := boltMessage(nil, bolt.Hello, 1, func(d []byte) []byte { return bolt.AppendPair(bolt.AppendMap(d, 1), "user_agent", "review/1") })
	out = boltMessage(out, bolt.Logon, 1, func(d []byte) []byte { return bolt.AppendPair(bolt.AppendMap(d, 1), "scheme", "none") })
	c.Write(out)
	for range 2 {
		if a, err := b.response(); err != nil || a.Type != bolt.Success {
			return nil, fmt.Errorf("no logon: %v", err)
		}
	}
	return b, nil
}

func boltMessage(dst []byte, w bolt.MessageType, fields int, f func([]byte) []byte) []byte {
	dst, at := bolt.BeginMessage(dst)
	return bolt.EndMessage(f(bolt.AppendStruct(dst, byte(w), fields)), at)
}

func (b *boltConn) fill() error {
	buffer := make([]byte, 4096)
	n, err := b.Read(buffer)
	b.in = append(b.in, buffer[:n]...)
	return err
}

func (b *boltConn) response() (bolt.Response, error) {
	for {
		body, n, err := b.reader.Next(b.in)
		if err != nil {
			return bolt.Response{}, err
		}
		if n > 0 {
			b.in = b.in[n:]
			if len(body) > 0 {
				return bolt.ReadResponse(body)
			}
			continue
		}
		if err := b.fill(); err != nil {
			return bolt.Response{}, err
		}
	}
}

// run runs one statement. It returns the bookmark of a write, or an error.
func (b *boltConn) run(id, class, session, statement, bookmark string) (next string, err error) {
	b.SetDeadline(time.Now().Add(3 * time.Second))
	out := boltMessage(nil, bolt.Run, 3, func(d []byte) []byte {
		d = bolt.AppendMap(bolt.AppendString(d, statement), 0)
		n := 3
		if bookmark != "" {
			n++
		}
		d = bolt.AppendPair(bolt.AppendInt(bolt.AppendString(bolt.AppendMap(d, n), "tx_timeout"), 1000), "db", "1")
		if bookmark != "" {
			d = bolt.AppendString(bolt.AppendList(bolt.AppendString(d, "bookmarks"), 1), bookmark)
		}
		d = bolt.AppendMap(bolt.AppendString(d, "tx_metadata"), 3)
		return bolt.AppendPair(bolt.AppendPair(bolt.AppendPair(d, "c", class), "id", id), "s", session)
	})
	out = boltMessage(out, bolt.Pull, 1, func(d []byte) []byte {
		return bolt.AppendInt(bolt.AppendString(bolt.AppendMap(d, 1), "n"), -1)
	})
	if _, err := b.Write(out); err != nil {
		return "", err
	}
	for {
		a, err := b.response()
		switch {
		case err != nil:
			return "", err
		case a.Type == bolt.Record:
		case a.Type != bolt.Success:
			return "", errors.New(string(a.Code))
		default:
			v := bolt.NewDecoder(a.Fields)
			over := true
			for n := v.Map(); n > 0 && v.Err() == nil; n-- {
				switch string(v.String()) {
				case "bookmark":
					next = string(v.String())
				case "fields":
					over = false
					v.Skip()
				default:
					v.Skip()
				}
			}
			if over {
				return next, nil
			}
		}
	}
}

// bookmarks plays a front with Bolt clients while replicas apply the log slowly. An application writes twice in one of
// its driver's sessions, which chains bookmarks, and then reads in another one: all under the same session of its reader.
func bookmarks(runLine string, w *recorder, trouble bool) (broken []string, err error) {
	const stores = 4
	group := standin.NewGroup(1, 3*time.Second, "s10", "s11", "s12", "s13")
	var list []standin.Server
	for k := range stores {
		name, role := fmt.Sprintf("s1%d", k), "primary"
		s, err := standin.NewBolt(name, group)
		if err != nil {
			return nil, err
		}
		defer s.Close()
		if k > 0 {
			role = "replica"
			group.SetLag(name, 10*time.Millisecond)
		}
		list = append(list, standin.Server{ID: name, Addr: s.Addr(), Zone: "ulaanbaatar-dc", Kind: "small-fast", Group: 1, State: "active", Weight: 1, Role: role, Protocol: "bolt"})
	}
	discovery := standin.NewDiscovery(list...)
	defer discovery.Close()
	dir, err := os.MkdirTemp("", "shard")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	addr := l.Addr().String()
	l.Close()
	operators := filepath.Join(dir, "operators.json")
	if err := os.WriteFile(operators, fmt.Appendf(nil, `{"bolt":{"on":true,"listen":%q}}`, addr), 0o644); err != nil {
		return nil, err
	}
	os.Setenv("MICATRACK_OPERATORS", operators)
	f, err := startFront(runLine, "n0", dir, discovery.Addr(), discovery.JSON(), shelf, false)
	if err != nil {
		return nil, err
	}
	defer f.end()
	time.Sleep(time.Second)
	if trouble { // the log is applied more slowly: the replicas fall behind by 0.9 s each second, up to 3 s
		w.line("replicas begin to fall behind")
		for lag := 100 * time.Millisecond; lag <= 3*time.Second; lag += 100 * time.Millisecond {
			time.Sleep(111 * time.Millisecond)
			for k := 1; k < stores; k++ {
				group.SetLag(fmt.Sprintf("s1%d", k), lag)
			}
		}
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	for n := range 20 {
		all.Go(func() {
			found, e := oneReader(w, group, addr, n)
			mu.Lock()
			defer mu.Unlock()
			if broken = append(broken, found...); e != nil {
				err = e
			}
		})
	}
	all.Wait()
	if len(broken) > 0 {
		err = nil
	}
	return broken, err
}

// oneReader plays one reader of the library.
func oneReader(w *recorder, group *standin.Group, addr string, n int) (broken []string, err error) {
	session := fmt.Sprintf("reader-%d", n)
	writes, err := dialBolt(addr)
	if err != nil {
		return nil, err
	}
	defer writes.Close()
	reads, err := dialBolt(addr)
	if err != nil {
		return nil, err
	}
	defer reads.Close()
	var bookmark string
	for k := range 2 {
		id := fmt.Sprintf("w%d-%d", n, k)
		next, err := writes.run(id, "checkout", session, "CREATE (n)", bookmark)
		w.line("%s id=%s checkout with bookmark %q: bookmark %q, error %v", session, id, bookmark, next, err)
		if err != nil {
			return nil, nil // turned back or written off, which no rule forbids
		}
		bookmark = next
		if k == 0 {
			time.Sleep(4 * time.Second)
		}
	}
	time.Sleep(300 * time.Millisecond)
	needed := group.WritePosition(fmt.Sprintf("w%d-1", n))
	id := fmt.Sprintf("r%d", n)
	_, err = reads.run(id, "my-shelf", session, "RETURN 1", "")
	w.line("%s id=%s my-shelf: error %v", session, id, err)
	if err != nil {
		return nil, nil
	}
	for _, e := range group.Ledger() {
		if e.RequestID == id {
			w.line("store %s ran id=%s at position %d, the session's last write has %d", e.Store, id, e.Position, needed)
			if e.Position < needed {
				broken = append(broken, fmt.Sprintf("%s: read %s was answered by %s from %.1f s before the session's last write", session, id, e.Store, float64(needed-e.Position)/10000))
			}
		}
	}
	return broken, nil
}

// shelf holds settings like those of the site shared-lending.
const shelf = `{"Az":"ulaanbaatar-dc","ReplicasOfMe":3,"Round":5000,"RegistryMode":"pushed",
 "Report":{"Source":"inline","Fields":["x0","x1"]},
 "Ceilings":{"ConnIdle":30000000,"DialTimeout":250000,"MaxAttempts":8,"MayCancel":true,"MayDuplicate":true,"Probes":true,"StreamsPerConn":8},
 "Contract":{"AnswerSlack":20000,"AskWithin":10000000,"Cold":16000000,"DrainGrace":2000000,"FallMultiple":3,"StartCapacity":0.17,"TipAfter":2000000},
 "Extra":{"Behind":"refuse","SessionMarks":"remembered","Positions":true,"PositionZero":0,"ShowsRole":"start",
  "Freshness":["session","write"],"OldestData":[0,0]},
 "Prices":{"Probe":0.02},"WorthBy":"request","Weights":"nominal",
 "Profiles":[
  {"Name":"my-shelf","Idempotency":"repeatable","Group":"all","Aim":400000,"HardLimit":1000000,"Worth":3},
  {"Name":"checkout","Idempotency":"once","Group":"cell","Aim":600000,"HardLimit":3000000,"Worth":6,"LateWorth":0.3}]}`
