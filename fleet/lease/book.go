package lease

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// Time is a moment or a span in whole tenths of a millisecond, of one machine's own monotonic clock.
type Time = int64

// Bounds. Lengths are bytes.
const (
	MaxLeases    = 10_000
	MaxNameBytes = 64
	mostWait     = 1024 // who wait for one lease
	mostSeats    = 16   // voters added after the first start that are there at once
	format       = 1
)

var errShape = errors.New("an entry of an unknown shape")

// Instance is one life of one front.
type Instance struct {
	Name string
	Life uint64
}

// grant is what the book holds of one lease.
type grant struct {
	name   string
	holder Instance
	token  uint64
}

// entry is one change of the book, as it stands in the log. It counts only where the lease still has the token that its
// proposer saw: what a leader proposed that has been deposed since may come into the log late.
type entry struct {
	name   string
	over   uint64   // token of the grant that it ends; 0: there is none
	holder Instance // no name: nobody follows
}

func (e *entry) append(dst []byte) []byte {
	dst = append(dst, format, byte(len(e.name)))
	dst = append(append(dst, e.name...), byte(len(e.holder.Name)))
	dst = append(dst, e.holder.Name...)
	return binary.AppendUvarint(binary.AppendUvarint(dst, e.over), e.holder.Life)
}

// reader takes bytes apart; after the first fault it gives nothing more.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) byte() byte {
	if r.bad || len(r.b) == 0 {
		r.bad = true
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

func (r *reader) text() string {
	n := int(r.byte())
	if r.bad || n > MaxNameBytes || n > len(r.b) {
		r.bad = true
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

func (r *reader) number() uint64 {
	v, n := binary.Uvarint(r.b)
	if r.bad || n <= 0 {
		r.bad = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func readEntry(b []byte) (e entry, err error) {
	r := reader{b: b}
	if r.byte() != format {
		return e, errShape
	}
	e.name, e.holder.Name = r.text(), r.text()
	e.over, e.holder.Life = r.number(), r.number()
	if r.bad || len(r.b) > 0 || e.name == "" {
		return e, errShape
	}
	return e, nil
}

// Book is the record of grants: what all entries up to one of the log lead to. The same on all voters.
type Book struct {
	grants  []grant // by place; a free one has no name
	byName  map[string]int
	free    []int
	seats   []VoterInfo // by number
	Applied uint64      // index of the last entry
}

func newBook() *Book { return &Book{byName: map[string]int{}} }

// find gives a lease's grant, nil if nobody has it.
func (b *Book) find(name string) *grant {
	if i, ok := b.byName[name]; ok {
		return &b.grants[i]
	}
	return nil
}

// apply takes the entry of an index. done tells whether it counted, was the grant that it ended.
func (b *Book) apply(index uint64, e entry) (now *grant, was grant, done bool) {
	b.Applied = index
	g := b.find(e.name)
	if g != nil && g.token != e.over || g == nil && e.over != 0 {
		return nil, was, false
	}
	if g != nil {
		was = *g
	}
	switch {
	case e.holder.Name == "" && g != nil:
		i := b.byName[e.name]
		delete(b.byName, e.name)
		b.grants[i] = grant{}
		b.free = append(b.free, i)
		return nil, was, true
	case e.holder.Name == "", g == nil && len(b.byName) >= MaxLeases:
		return nil, was, false
	case g == nil:
		if len(b.free) == 0 {
			b.grants = append(b.grants, grant{})
			b.free = append(b.free, len(b.grants)-1)
		}
		i := b.free[len(b.free)-1]
		b.free = b.free[:len(b.free)-1]
		b.byName[e.name] = i
		g = &b.grants[i]
	}
	*g = grant{e.name, e.holder, index} // the log's index only grows, and so do tokens
	return g, was, true
}

func (s *VoterInfo) append(dst []byte) []byte {
	dst = append(append(dst, format, byte(len(s.Name))), s.Name...)
	return append(append(dst, byte(len(s.Addr))), s.Addr...)
}

func readSeat(id uint64, b []byte) (VoterInfo, error) {
	r := reader{b: b}
	if r.byte() != format {
		return VoterInfo{}, errShape
	}
	s := VoterInfo{ID: id, Name: r.text(), Addr: r.text()}
	if r.bad || len(r.b) > 0 || id == 0 {
		return s, errShape
	}
	return s, nil
}

// seat notes a voter that was added, or that one has gone.
func (b *Book) seat(s VoterInfo, there bool) {
	k, has := slices.BinarySearchFunc(b.seats, s.ID, func(x VoterInfo, id uint64) int { return cmp.Compare(x.ID, id) })
	switch {
	case has && there:
		b.seats[k] = s
	case has:
		b.seats = slices.Delete(b.seats, k, k+1)
	case there && len(b.seats) < mostSeats:
		b.seats = slices.Insert(b.seats, k, s)
	}
}

// snapshot gives the whole book.
func (b *Book) snapshot() []byte {
	var held []grant
	for _, g := range b.grants {
		if g.name != "" {
			held = append(held, g)
		}
	}
	slices.SortFunc(held, func(x, y grant) int { return bytes.Compare([]byte(x.name), []byte(y.name)) })
	dst := binary.AppendUvarint(binary.AppendUvarint([]byte{format}, b.Applied), uint64(len(held)))
	for _, g := range held {
		e := entry{g.name, g.token, g.holder}
		part := e.append(nil)
		dst = append(binary.AppendUvarint(dst, uint64(len(part))), part...)
	}
	dst = binary.AppendUvarint(dst, uint64(len(b.seats)))
	for k := range b.seats {
		part := b.seats[k].append(nil)
		dst = append(binary.AppendUvarint(binary.AppendUvarint(dst, b.seats[k].ID), uint64(len(part))), part...)
	}
	return dst
}

// readBook takes a whole book.
func readBook(text []byte) (*Book, error) {
	b := newBook()
	r := reader{b: text}
	if r.byte() != format {
		return nil, errShape
	}
	applied, n := r.number(), r.number()
	if r.bad || n > MaxLeases {
		return nil, errShape
	}
	for range n {
		size := r.number()
		if r.bad || size > uint64(len(r.b)) {
			return nil, errShape
		}
		e, err := readEntry(r.b[:size])
		r.b = r.b[size:]
		if err != nil || b.find(e.name) != nil || e.holder.Name == "" || e.over == 0 || e.over > applied {
			return nil, errShape
		}
		b.byName[e.name] = len(b.grants)
		b.grants = append(b.grants, grant{e.name, e.holder, e.over})
	}
	seats := r.number()
	if r.bad || seats > mostSeats {
		return nil, errShape
	}
	for range seats {
		id, size := r.number(), r.number()
		if r.bad || size > uint64(len(r.b)) {
			return nil, errShape
		}
		s, err := readSeat(id, r.b[:size])
		r.b = r.b[size:]
		if err != nil || len(b.seats) > 0 && b.seats[len(b.seats)-1].ID >= id {
			return nil, errShape
		}
		b.seats = append(b.seats, s)
	}
	if r.bad || len(r.b) > 0 {
		return nil, errShape
	}
	b.Applied = applied
	return b, nil
}

// DescribeLeases gives the leases that what a voter kept tells of, as far as it knows them granted, with their tokens.
func DescribeLeases(k PersistedState) (names []string, err error) {
	b := newBook()
	if k.Snapshot != nil {
		text, _, err := splitSnapshot(k.Snapshot.Data)
		if err != nil {
			return nil, err
		}
		if b, err = readBook(text); err != nil {
			return nil, err
		}
	}
	for _, e := range k.Entries {
		if e.GetIndex() > k.HardState.GetCommit() {
			break
		}
		if x, err := readEntry(e.Data); err == nil {
			b.apply(e.GetIndex(), x)
		}
	}
	for _, g := range b.grants {
		if g.name != "" {
			names = append(names, fmt.Sprintf("%s: %s, token %d", g.name, g.holder.Name, g.token))
		}
	}
	slices.Sort(names)
	return names, nil
}
