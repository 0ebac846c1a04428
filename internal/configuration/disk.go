package configuration

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"

	"micatrack/fleet/config"
)

// Layout of the file of the version in force: a magic line, a checksum over the rest, the time at which the
// version was last known to be the fleet's newest, the time at which it was put in force, the agent's state,
// and the texts that apply to this front.
const (
	fileMagic   = "micatrack configuration 1\n"
	headerSize  = len(fileMagic) + 4 + 8 + 8 + 4 // magic line, checksum, two times, length of the agent's state
	maxFileSize = 4 * config.MaxDocument
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	errCorrupt = errors.New("it is spoilt")
)

// StoredVersion is the version in force as stored on a front's disk.
type StoredVersion struct {
	ProvenAt   int64 // Unix milliseconds at which the version was last known to be the fleet's newest; 0: never
	InForceAt  int64 // Unix milliseconds at which it was put in force here
	Version    config.Version
	Texts      []config.ScopeText // texts that apply to this front
	AgentState []byte             // for config.AgentOptions.Persisted
}

// Text returns the text of a scope and whether the scope exists.
func (s *StoredVersion) Text(scope config.Scope) ([]byte, bool) {
	d := config.Document{Texts: s.Texts}
	return d.Text(scope)
}

// encode returns the content of the file.
func (s *StoredVersion) encode() []byte {
	body := binary.BigEndian.AppendUint64(nil, uint64(s.ProvenAt))
	body = binary.BigEndian.AppendUint64(body, uint64(s.InForceAt))
	body = binary.BigEndian.AppendUint32(body, uint32(len(s.AgentState)))
	body = append(body, s.AgentState...)
	d := config.Document{Version: s.Version, Texts: s.Texts}
	body = d.Append(body)
	file := binary.BigEndian.AppendUint32([]byte(fileMagic), crc32.Checksum(body, castagnoli))
	return append(file, body...)
}

// decode parses the content of the file.
func decode(file []byte) (s StoredVersion, err error) {
	if len(file) < headerSize || string(file[:len(fileMagic)]) != fileMagic {
		return s, errCorrupt
	}
	sum, body := binary.BigEndian.Uint32(file[len(fileMagic):]), file[len(fileMagic)+4:]
	if crc32.Checksum(body, castagnoli) != sum {
		return s, errCorrupt
	}
	s.ProvenAt = int64(binary.BigEndian.Uint64(body))
	s.InForceAt = int64(binary.BigEndian.Uint64(body[8:]))
	size, rest := int(binary.BigEndian.Uint32(body[16:])), body[20:]
	if size > len(rest) {
		return s, errCorrupt
	}
	s.AgentState = rest[:size]
	d, err := config.ReadDocument(rest[size:])
	if err != nil {
		return s, err
	}
	s.Version, s.Texts = d.Version, d.Texts
	return s, nil
}

// Load reads the file of the version in force. It returns a zero StoredVersion if path is empty or there is
// no such file. A corrupt file is an error and is left in place; using it could put a text in force that
// nobody wrote.
func Load(path string) (StoredVersion, error) {
	if path == "" {
		return StoredVersion{}, nil
	}
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return StoredVersion{}, nil
	}
	if err != nil {
		return StoredVersion{}, err
	}
	defer f.Close()
	file, err := io.ReadAll(io.LimitReader(f, maxFileSize+1))
	if err == nil && len(file) > maxFileSize {
		err = errCorrupt
	}
	var s StoredVersion
	if err == nil {
		s, err = decode(file)
	}
	if err != nil {
		return StoredVersion{}, fmt.Errorf("configuration on disk %s: %w", path, err)
	}
	return s, nil
}

// Save replaces the file atomically: it writes a temporary file, syncs it and renames it. A crash at any
// point leaves the old or the new file in place.
func Save(path string, s *StoredVersion) error {
	temporary := path + ".part"
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(s.encode())
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		os.Remove(temporary)
		return err
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// writer writes versions in its own goroutine, so that a stalled disk does not block the event loop. Only
// the newest version is written.
type writer struct {
	path string
	next chan *StoredVersion // newest version not yet written
	done chan struct{}       // closed when the goroutine has ended
	log  func(err error)
}

// newWriter starts a writer. Close the channel next to stop it.
func newWriter(path string, log func(err error)) *writer {
	w := &writer{path: path, next: make(chan *StoredVersion, 1), done: make(chan struct{}), log: log}
	go w.run()
	return w
}

// run writes versions until the channel next is closed.
func (w *writer) run() {
	defer close(w.done)
	for s := range w.next {
		if err := Save(w.path, s); err != nil {
			w.log(err)
		}
	}
}

// enqueue has a version written, in place of one that is still waiting. Only one goroutine may call it.
func (w *writer) enqueue(s *StoredVersion) {
	select {
	case <-w.next:
	default:
	}
	w.next <- s
}
