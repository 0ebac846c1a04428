// Package voterdisk is the disk of one voter (fleet/lease): what it has promised, in an embedded store, written through
// before it promises. It decides nothing. Each record carries a checksum over its key and its text; what is found at the
// start is read whole and has to fit together, or the voter does not start and says why in one line.
package voterstate

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"micatrack/fleet/lease"
)

const (
	format   = 1
	mostFile = 256 << 20 // bytes; a larger one is none of ours
	patience = time.Second
)

var (
	bucketMeta, bucketLog             = []byte("meta"), []byte("log")
	keyWho, keyHard, keySnap, keyTail = []byte("who"), []byte("hard"), []byte("snapshot"), []byte("tail")
	table                             = crc32.MakeTable(crc32.Castagnoli)
	errSum                            = errors.New("a record's checksum is wrong")
	ErrNoState                        = errors.New("no state here; 'micatrack state create' makes it once, for a voter's first life")
)

// Identity is whose state a file is.
type Identity struct {
	Format int    `json:"format"`
	Fleet  string `json:"fleet"`
	Voter  string `json:"voter"`
	ID     uint64 `json:"id"` // that it votes under
	First  bool   `json:"first"`
	// Voters are the names of the fleet's first voters. Danger: two that begin from different lists have two majorities.
	Voters []string `json:"voters"`
}

// InitialVoterIDs gives the numbers of the fleet's first voters.
func (w *Identity) InitialVoterIDs() (ids []uint64) {
	for _, name := range w.Voters {
		ids = append(ids, InitialVoterID(w.Fleet, name))
	}
	return ids
}

// InitialVotersHash stands for the list that all began from.
func (w *Identity) InitialVotersHash() uint64 {
	return max(xxhash.Sum64String(w.Fleet+"\n"+strings.Join(w.Voters, "\n")), 1)
}

// InitialVoterID is the number that a voter of the fleet's first start votes under. One that is added later has another, drawn
// when its state is made, so that a voter that lost its disk cannot come back as the one it was.
func InitialVoterID(fleet, voter string) uint64 { return max(xxhash.Sum64String(fleet+"/"+voter), 1) }

// Create makes the state of a voter that has none. It never replaces one. voters are those of the fleet's first start, in any order.
func Create(path, fleet, voter string, first bool, voters []string) (w Identity, err error) {
	voters = slices.Sorted(slices.Values(voters))
	w = Identity{Format: format, Fleet: fleet, Voter: voter, ID: InitialVoterID(fleet, voter), First: first, Voters: voters}
	if len(voters) == 0 || len(slices.Compact(slices.Clone(voters))) != len(voters) {
		return w, errors.New("the first voters are not named, or one is named twice")
	}
	if first && !slices.Contains(voters, voter) {
		return w, fmt.Errorf("%s is none of the first voters", voter)
	}
	if !first {
		var b [8]byte
		rand.Read(b[:])
		w.ID = max(binary.BigEndian.Uint64(b[:]), 1)
	}
	if _, err := os.Stat(path); err == nil {
		return w, fmt.Errorf("%s: there is a file already", path)
	}
	// Danger: a crash half-way must leave no file that looks like a state; so it gets its name when it is whole.
	part := path + ".part"
	os.Remove(part)
	db, err := bbolt.Open(part, 0o600, &bbolt.Options{Timeout: patience})
	if err != nil {
		return w, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		m, err := tx.CreateBucket(bucketMeta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bucketLog); err != nil {
			return err
		}
		text, err := json.Marshal(w)
		if err != nil {
			return err
		}
		return errors.Join(m.Put(keyWho, sealed(keyWho, text)), tail{}.put(m))
	})
	if err = errors.Join(err, db.Close()); err != nil {
		os.Remove(part)
		return w, err
	}
	return w, os.Rename(part, path)
}

// tail says how much there has to be: a page whose count was spoilt gives fewer records, each of them sound.
type tail struct{ First, Last, Snapshot, Term, Commit uint64 }

func (t tail) put(m *bbolt.Bucket) error {
	text, err := json.Marshal(t)
	if err != nil {
		return err
	}
	return m.Put(keyTail, sealed(keyTail, text))
}

// ends gives the first and the last index of the log; 0: it is empty.
func ends(log *bbolt.Bucket) (first, last uint64) {
	c := log.Cursor()
	if k, _ := c.First(); len(k) == 8 {
		first = binary.BigEndian.Uint64(k)
	}
	if k, _ := c.Last(); len(k) == 8 {
		last = binary.BigEndian.Uint64(k)
	}
	return first, last
}

// heads tells whether both of the file's meta pages are sound (the store's published format, version 2).
// Danger: of two the store takes the newest sound one, so where a bit of the newest is flipped it goes back by one write,
// and a promise is forgotten. A write that was cut off spoils no page here: a meta page's fields stand within one sector.
func heads(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	size := os.Getpagesize()
	for at := range 2 {
		b := make([]byte, 16+64)
		if _, err := f.ReadAt(b, int64(at*size)); err != nil {
			return err
		}
		h := fnv.New64a()
		h.Write(b[16 : 16+56])
		if binary.LittleEndian.Uint32(b[16:]) != 0xED0CDAED || binary.LittleEndian.Uint64(b[16+56:]) != h.Sum64() {
			return fmt.Errorf("meta page %d is spoilt", at)
		}
	}
	return nil
}

func sealed(key, text []byte) []byte {
	sum := crc32.Update(crc32.Checksum(key, table), table, text)
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), sum), text...)
}

func unsealed(key, v []byte) ([]byte, error) {
	if len(v) < 4 || binary.BigEndian.Uint32(v) != crc32.Update(crc32.Checksum(key, table), table, v[4:]) {
		return nil, errSum
	}
	return v[4:], nil
}

// File is an open state.
type File struct {
	db       *bbolt.DB
	tail     tail
	Identity Identity
}

// Open opens a state and reads all of it. fleet and voter have to be its own; "" takes any.
func Open(path, fleet, voter string) (d *File, k lease.PersistedState, err error) {
	return open(path, fleet, voter, false)
}

func open(path, fleet, voter string, readOnly bool) (d *File, k lease.PersistedState, err error) {
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, k, fmt.Errorf("%s: %w", path, ErrNoState)
	case err != nil:
		return nil, k, err
	case info.Size() > mostFile || info.Size() == 0:
		return nil, k, fmt.Errorf("%s: %d bytes are no state", path, info.Size())
	}
	var db *bbolt.DB
	// Danger: the store maps the file; of one that was cut off or spoilt a page may be missing, and reading it would end
	// the process.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
		if err != nil {
			if db != nil {
				go db.Close() // it may wait for what the panic left open
			}
			d, err = nil, fmt.Errorf("%s: %w", path, err)
		}
	}()
	if err = heads(path); err != nil {
		return nil, k, err
	}
	if db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: patience, ReadOnly: readOnly}); err != nil {
		return nil, k, err
	}
	d = &File{db: db}
	err = db.View(func(tx *bbolt.Tx) (err error) {
		k, err = d.read(tx)
		return err
	})
	switch {
	case err != nil:
	case fleet != "" && d.Identity.Fleet != fleet:
		err = fmt.Errorf("it is of fleet %q", d.Identity.Fleet)
	case voter != "" && d.Identity.Voter != voter:
		err = fmt.Errorf("it is of voter %q", d.Identity.Voter)
	}
	return d, k, err
}

// read takes all that is kept, and tells whether it fits together.
func (d *File) read(tx *bbolt.Tx) (k lease.PersistedState, err error) {
	m, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	if m == nil || log == nil {
		return k, errors.New("it is no state of a voter")
	}
	text, err := unsealed(keyWho, m.Get(keyWho))
	if err != nil {
		return k, err
	}
	if err := json.Unmarshal(text, &d.Identity); err != nil {
		return k, err
	}
	if d.Identity.Format != format {
		return k, fmt.Errorf("it is of format %d, not %d", d.Identity.Format, format)
	}
	if v := m.Get(keyHard); v != nil {
		k.HardState = &pb.HardState{}
		if text, err = unsealed(keyHard, v); err == nil {
			err = proto.Unmarshal(text, k.HardState)
		}
		if err != nil {
			return k, fmt.Errorf("hard state: %w", err)
		}
	}
	var t tail
	if text, err = unsealed(keyTail, m.Get(keyTail)); err == nil {
		err = json.Unmarshal(text, &t)
	}
	if err != nil {
		return k, fmt.Errorf("tail: %w", err)
	}
	first, end := ends(log)
	if found := (tail{first, end, t.Snapshot, k.HardState.GetTerm(), k.HardState.GetCommit()}); found != t {
		return k, fmt.Errorf("it holds %+v where %+v was saved", found, t)
	}
	last, term := uint64(1), uint64(1) // of the first start
	if v := m.Get(keySnap); v != nil {
		k.Snapshot = &pb.Snapshot{}
		if text, err = unsealed(keySnap, v); err == nil {
			err = proto.Unmarshal(text, k.Snapshot)
		}
		if err != nil {
			return k, fmt.Errorf("snapshot: %w", err)
		}
		last, term = k.Snapshot.GetMetadata().GetIndex(), k.Snapshot.GetMetadata().GetTerm()
	}
	if k.Snapshot.GetMetadata().GetIndex() != t.Snapshot {
		return k, fmt.Errorf("its snapshot is of %d, not of %d", k.Snapshot.GetMetadata().GetIndex(), t.Snapshot)
	}
	err = log.ForEach(func(key, v []byte) error {
		if len(key) != 8 {
			return errors.New("a key of the log has another length")
		}
		text, err := unsealed(key, v)
		if err != nil {
			return fmt.Errorf("entry %d: %w", binary.BigEndian.Uint64(key), err)
		}
		e := &pb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil {
			return err
		}
		at := binary.BigEndian.Uint64(key)
		if e.GetIndex() != at {
			return fmt.Errorf("entry %d stands at %d", e.GetIndex(), at)
		}
		if at <= last && len(k.Entries) == 0 {
			return nil // before the snapshot, kept for those that lag
		}
		if at != last+1 || e.GetTerm() < term {
			return fmt.Errorf("entry %d of term %d follows %d of term %d", at, e.GetTerm(), last, term)
		}
		last, term = at, e.GetTerm()
		k.Entries = append(k.Entries, e)
		return nil
	})
	d.tail = t
	if err == nil && t.Last > last {
		err = fmt.Errorf("the log ends at %d and not at %d", last, t.Last)
	}
	if err == nil && k.HardState != nil && (k.HardState.GetCommit() > last || k.HardState.GetTerm() < term) {
		err = fmt.Errorf("hard state of term %d tells of %d entries, the log has %d of term %d", k.HardState.GetTerm(), k.HardState.GetCommit(), last, term)
	}
	return k, err
}

// Save writes a batch through. After an error nothing of it counts.
func (d *File) Save(b lease.Batch) error {
	t := d.tail
	err := d.db.Update(func(tx *bbolt.Tx) error {
		m, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		put := func(key []byte, v proto.Message) error {
			text, err := proto.Marshal(v)
			if err != nil {
				return err
			}
			return m.Put(key, sealed(key, text))
		}
		if b.Snapshot != nil {
			if err := put(keySnap, b.Snapshot); err != nil {
				return err
			}
			t.Snapshot = b.Snapshot.GetMetadata().GetIndex()
			if b.KeepFrom == 0 { // taken over from the leader: the log begins anew behind it
				if err := drop(log, 0, ^uint64(0)); err != nil {
					return err
				}
			} else if err := drop(log, 0, b.KeepFrom); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(b.HardState) {
			if err := put(keyHard, b.HardState); err != nil {
				return err
			}
			t.Term, t.Commit = b.HardState.GetTerm(), b.HardState.GetCommit()
		}
		if len(b.Entries) > 0 { // what stood from there on is replaced
			if err := drop(log, b.Entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range b.Entries {
			text, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			key := binary.BigEndian.AppendUint64(nil, e.GetIndex())
			if err := log.Put(key, sealed(key, text)); err != nil {
				return err
			}
		}
		t.First, t.Last = ends(log)
		return t.put(m)
	})
	if err == nil {
		d.tail = t
	}
	return err
}

// drop takes entries out, from one on and up to another, which stays.
func drop(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte // a cursor may pass over a key behind one that it deletes
	c := log.Cursor()
	for k, _ := c.Seek(binary.BigEndian.AppendUint64(nil, from)); k != nil && binary.BigEndian.Uint64(k) < to; k, _ = c.Next() {
		keys = append(keys, append([]byte(nil), k...))
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

// Close gives the file back.
func (d *File) Close() error { return d.db.Close() }

// Summary is what a state holds, for people.
type Summary struct {
	Identity
	Term      uint64   `json:"term"`
	Committed uint64   `json:"committed"`
	Snapshot  uint64   `json:"snapshot"`
	Entries   int      `json:"entries"`
	Voters    []uint64 `json:"voters"`
	Leases    []string `json:"leases"`
}

// ReadSummary reads a state that no voter has open, and tells what is in it; an error tells what is wrong with it.
func ReadSummary(path string) (s Summary, err error) {
	d, k, err := open(path, "", "", true)
	if err != nil {
		return s, err
	}
	defer d.Close()
	s = Summary{Identity: d.Identity, Term: k.HardState.GetTerm(), Committed: k.HardState.GetCommit(), Entries: len(k.Entries),
		Snapshot: k.Snapshot.GetMetadata().GetIndex(), Voters: k.Snapshot.GetMetadata().GetConfState().GetVoters()}
	s.Leases, err = lease.DescribeLeases(k)
	return s, err
}
