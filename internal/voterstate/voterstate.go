// Package voterstate keeps the persistent state of one voter (fleet/lease) in an embedded bbolt database: its identity,
// hard state, snapshot and log. Each batch is synced to disk before the voter acts on it. The package makes no decisions.
// Each record carries a checksum over its key and value. Open reads and checks the whole state; if it is inconsistent,
// the voter does not start, and the error says why in one line.
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
	formatVersion = 1           // of the state file
	maxFileBytes  = 256 << 20   // Open refuses a larger file
	openTimeout   = time.Second // how long to wait for another process's lock on the file
)

var (
	bucketMeta, bucketLog                             = []byte("meta"), []byte("log")
	keyIdentity, keyHardState, keySnapshot, keyExtent = []byte("who"), []byte("hard"), []byte("snapshot"), []byte("tail")
	castagnoli                                        = crc32.MakeTable(crc32.Castagnoli)
	errChecksum                                       = errors.New("checksum mismatch")
	// ErrNoState is returned by Open if there is no state file.
	ErrNoState = errors.New("no state here; 'micatrack state create' makes it once, for a voter's first life")
)

// Identity says which voter a state file belongs to.
type Identity struct {
	Format int    `json:"format"`
	Fleet  string `json:"fleet"`
	Voter  string `json:"voter"`
	ID     uint64 `json:"id"`    // raft ID of the voter
	First  bool   `json:"first"` // whether it is a voter of the fleet's first start
	// Voters are the names of the fleet's initial voters, sorted. Voters that start from different lists could form two
	// majorities.
	Voters []string `json:"voters"`
}

// InitialVoterIDs returns the IDs of the fleet's initial voters.
func (w *Identity) InitialVoterIDs() (ids []uint64) {
	for _, name := range w.Voters {
		ids = append(ids, InitialVoterID(w.Fleet, name))
	}
	return ids
}

// InitialVotersHash returns a hash of the fleet's name and its initial voters, by which voters that started from
// different lists recognize each other. It is never 0.
func (w *Identity) InitialVotersHash() uint64 {
	return max(xxhash.Sum64String(w.Fleet+"\n"+strings.Join(w.Voters, "\n")), 1)
}

// InitialVoterID returns the ID of a voter of the fleet's first start. A voter that is added later has a random ID, drawn
// when its state is created, so that a voter that lost its disk cannot return under its old ID.
func InitialVoterID(fleet, voter string) uint64 { return max(xxhash.Sum64String(fleet+"/"+voter), 1) }

// Create creates the state file of a voter. It never replaces an existing file. first says whether the voter takes part
// in the fleet's first start; voters are the names of the voters of that start, in any order.
func Create(path, fleet, voter string, first bool, voters []string) (identity Identity, err error) {
	voters = slices.Sorted(slices.Values(voters))
	identity = Identity{Format: formatVersion, Fleet: fleet, Voter: voter, ID: InitialVoterID(fleet, voter), First: first, Voters: voters}
	if len(voters) == 0 || len(slices.Compact(slices.Clone(voters))) != len(voters) {
		return identity, errors.New("the list of initial voters is empty or names one twice")
	}
	if first && !slices.Contains(voters, voter) {
		return identity, fmt.Errorf("%s is not one of the initial voters", voter)
	}
	if !first {
		var b [8]byte
		rand.Read(b[:])
		identity.ID = max(binary.BigEndian.Uint64(b[:]), 1)
	}
	if _, err := os.Stat(path); err == nil {
		return identity, fmt.Errorf("%s: there is a file already", path)
	}
	// The file gets its final name only when it is complete, so that a crash leaves no partial file that looks like a
	// state.
	partPath := path + ".part"
	os.Remove(partPath)
	db, err := bbolt.Open(partPath, 0o600, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return identity, err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucket(bucketMeta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucket(bucketLog); err != nil {
			return err
		}
		text, err := json.Marshal(identity)
		if err != nil {
			return err
		}
		return errors.Join(meta.Put(keyIdentity, withChecksum(keyIdentity, text)), logExtent{}.put(meta))
	})
	if err = errors.Join(err, db.Close()); err != nil {
		os.Remove(partPath)
		return identity, err
	}
	return identity, os.Rename(partPath, path)
}

// logExtent records how much the file must contain. Without it, a page with a corrupted record count would go unnoticed:
// it yields fewer records, each of them valid. The field names are part of the stored JSON.
type logExtent struct{ First, Last, Snapshot, Term, Commit uint64 }

// put stores the extent in the meta bucket.
func (t logExtent) put(meta *bbolt.Bucket) error {
	text, err := json.Marshal(t)
	if err != nil {
		return err
	}
	return meta.Put(keyExtent, withChecksum(keyExtent, text))
}

// logBounds returns the first and the last index of the log, both 0 if it is empty.
func logBounds(log *bbolt.Bucket) (first, last uint64) {
	c := log.Cursor()
	if k, _ := c.First(); len(k) == 8 {
		first = binary.BigEndian.Uint64(k)
	}
	if k, _ := c.Last(); len(k) == 8 {
		last = binary.BigEndian.Uint64(k)
	}
	return first, last
}

// checkMetaPages checks that both bbolt meta pages of the file are valid (bbolt's published format, version 2). bbolt uses
// the newest valid one of the two, so if a bit of the newest is flipped, it silently falls back by one write, and a
// persisted vote or entry is lost. A torn write does not invalidate a page here, as the fields of a meta page are within
// one sector.
func checkMetaPages(path string) error {
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
			return fmt.Errorf("meta page %d is corrupted", at)
		}
	}
	return nil
}

// withChecksum returns text preceded by its checksum, which also covers the key.
func withChecksum(key, text []byte) []byte {
	sum := crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, text)
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), sum), text...)
}

// verifyChecksum returns a stored value without its checksum, or errChecksum if that doesn't match.
func verifyChecksum(key, v []byte) ([]byte, error) {
	if len(v) < 4 || binary.BigEndian.Uint32(v) != crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, v[4:]) {
		return nil, errChecksum
	}
	return v[4:], nil
}

// File is an open state file.
type File struct {
	db       *bbolt.DB
	extent   logExtent
	Identity Identity
}

// Open opens a state file and reads all of it. It returns an error if the file belongs to another fleet or voter; an
// empty name matches any.
func Open(path, fleet, voter string) (d *File, state lease.PersistedState, err error) {
	return open(path, fleet, voter, false)
}

func open(path, fleet, voter string, readOnly bool) (d *File, state lease.PersistedState, err error) {
	info, err := os.Stat(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, state, fmt.Errorf("%s: %w", path, ErrNoState)
	case err != nil:
		return nil, state, err
	case info.Size() > maxFileBytes || info.Size() == 0:
		return nil, state, fmt.Errorf("%s: a file of %d bytes is not a voter's state", path, info.Size())
	}
	var db *bbolt.DB
	// bbolt maps the file into memory. If the file is truncated or corrupted, a page may be missing, and reading it would
	// end the process unless the fault becomes a panic.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%v", p)
		}
		if err != nil {
			if db != nil {
				go db.Close() // in the background, as it can block on a transaction that the panic left open
			}
			d, err = nil, fmt.Errorf("%s: %w", path, err)
		}
	}()
	if err = checkMetaPages(path); err != nil {
		return nil, state, err
	}
	if db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, ReadOnly: readOnly}); err != nil {
		return nil, state, err
	}
	d = &File{db: db}
	err = db.View(func(tx *bbolt.Tx) (err error) {
		state, err = d.read(tx)
		return err
	})
	switch {
	case err != nil:
	case fleet != "" && d.Identity.Fleet != fleet:
		err = fmt.Errorf("it belongs to fleet %q", d.Identity.Fleet)
	case voter != "" && d.Identity.Voter != voter:
		err = fmt.Errorf("it belongs to voter %q", d.Identity.Voter)
	}
	return d, state, err
}

// read reads all records and checks that they are consistent.
func (d *File) read(tx *bbolt.Tx) (state lease.PersistedState, err error) {
	meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
	if meta == nil || log == nil {
		return state, errors.New("it is not the state file of a voter")
	}
	text, err := verifyChecksum(keyIdentity, meta.Get(keyIdentity))
	if err != nil {
		return state, err
	}
	if err := json.Unmarshal(text, &d.Identity); err != nil {
		return state, err
	}
	if d.Identity.Format != formatVersion {
		return state, fmt.Errorf("its format is %d instead of %d", d.Identity.Format, formatVersion)
	}
	if v := meta.Get(keyHardState); v != nil {
		state.HardState = &pb.HardState{}
		if text, err = verifyChecksum(keyHardState, v); err == nil {
			err = proto.Unmarshal(text, state.HardState)
		}
		if err != nil {
			return state, fmt.Errorf("hard state: %w", err)
		}
	}
	var t logExtent
	if text, err = verifyChecksum(keyExtent, meta.Get(keyExtent)); err == nil {
		err = json.Unmarshal(text, &t)
	}
	if err != nil {
		return state, fmt.Errorf("extent of the log: %w", err)
	}
	first, end := logBounds(log)
	if found := (logExtent{first, end, t.Snapshot, state.HardState.GetTerm(), state.HardState.GetCommit()}); found != t {
		return state, fmt.Errorf("it contains %+v, but %+v was saved", found, t)
	}
	last, term := uint64(1), uint64(1) // those of the first start, without a snapshot
	if v := meta.Get(keySnapshot); v != nil {
		state.Snapshot = &pb.Snapshot{}
		if text, err = verifyChecksum(keySnapshot, v); err == nil {
			err = proto.Unmarshal(text, state.Snapshot)
		}
		if err != nil {
			return state, fmt.Errorf("snapshot: %w", err)
		}
		last, term = state.Snapshot.GetMetadata().GetIndex(), state.Snapshot.GetMetadata().GetTerm()
	}
	if state.Snapshot.GetMetadata().GetIndex() != t.Snapshot {
		return state, fmt.Errorf("its snapshot has index %d instead of %d", state.Snapshot.GetMetadata().GetIndex(), t.Snapshot)
	}
	err = log.ForEach(func(key, v []byte) error {
		if len(key) != 8 {
			return errors.New("a key of the log is not 8 bytes long")
		}
		text, err := verifyChecksum(key, v)
		if err != nil {
			return fmt.Errorf("entry %d: %w", binary.BigEndian.Uint64(key), err)
		}
		e := &pb.Entry{}
		if err := proto.Unmarshal(text, e); err != nil {
			return err
		}
		at := binary.BigEndian.Uint64(key)
		if e.GetIndex() != at {
			return fmt.Errorf("entry %d is stored under index %d", e.GetIndex(), at)
		}
		if at <= last && len(state.Entries) == 0 {
			return nil // covered by the snapshot, kept for voters that lag
		}
		if at != last+1 || e.GetTerm() < term {
			return fmt.Errorf("entry %d of term %d follows %d of term %d", at, e.GetTerm(), last, term)
		}
		last, term = at, e.GetTerm()
		state.Entries = append(state.Entries, e)
		return nil
	})
	d.extent = t
	if err == nil && t.Last > last {
		err = fmt.Errorf("the log ends at %d instead of %d", last, t.Last)
	}
	if err == nil && state.HardState != nil && (state.HardState.GetCommit() > last || state.HardState.GetTerm() < term) {
		err = fmt.Errorf("hard state has term %d and commit index %d, but the log ends at index %d in term %d", state.HardState.GetTerm(), state.HardState.GetCommit(), last, term)
	}
	return state, err
}

// Save persists a batch atomically and syncs it to disk. After an error, nothing of it is stored.
func (d *File) Save(b lease.Batch) error {
	t := d.extent
	err := d.db.Update(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		put := func(key []byte, v proto.Message) error {
			text, err := proto.Marshal(v)
			if err != nil {
				return err
			}
			return meta.Put(key, withChecksum(key, text))
		}
		if b.Snapshot != nil {
			if err := put(keySnapshot, b.Snapshot); err != nil {
				return err
			}
			t.Snapshot = b.Snapshot.GetMetadata().GetIndex()
			if b.KeepFrom == 0 { // installed from the leader: the log starts anew after it
				if err := deleteRange(log, 0, ^uint64(0)); err != nil {
					return err
				}
			} else if err := deleteRange(log, 0, b.KeepFrom); err != nil {
				return err
			}
		}
		if !raft.IsEmptyHardState(b.HardState) {
			if err := put(keyHardState, b.HardState); err != nil {
				return err
			}
			t.Term, t.Commit = b.HardState.GetTerm(), b.HardState.GetCommit()
		}
		if len(b.Entries) > 0 { // entries from the first new index on are replaced
			if err := deleteRange(log, b.Entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range b.Entries {
			text, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			key := binary.BigEndian.AppendUint64(nil, e.GetIndex())
			if err := log.Put(key, withChecksum(key, text)); err != nil {
				return err
			}
		}
		t.First, t.Last = logBounds(log)
		return t.put(meta)
	})
	if err == nil {
		d.extent = t
	}
	return err
}

// deleteRange deletes the log entries with indexes from (inclusive) to (exclusive).
func deleteRange(log *bbolt.Bucket, from, to uint64) error {
	var keys [][]byte // collected first, as a cursor can skip the key after one that is deleted
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

// Close closes the file.
func (d *File) Close() error { return d.db.Close() }

// Summary is an overview of a state file for operators.
type Summary struct {
	Identity
	Term      uint64   `json:"term"`
	Committed uint64   `json:"committed"`
	Snapshot  uint64   `json:"snapshot"`
	Entries   int      `json:"entries"`
	Voters    []uint64 `json:"voters"`
	Leases    []string `json:"leases"`
}

// ReadSummary reads a state file that no voter has open and returns its summary, or an error that says what is wrong with
// the file.
func ReadSummary(path string) (s Summary, err error) {
	d, state, err := open(path, "", "", true)
	if err != nil {
		return s, err
	}
	defer d.Close()
	s = Summary{Identity: d.Identity, Term: state.HardState.GetTerm(), Committed: state.HardState.GetCommit(), Entries: len(state.Entries),
		Snapshot: state.Snapshot.GetMetadata().GetIndex(), Voters: state.Snapshot.GetMetadata().GetConfState().GetVoters()}
	s.Leases, err = lease.DescribeLeases(state)
	return s, err
}
