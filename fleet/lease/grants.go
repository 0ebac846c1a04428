package lease

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

// Time is a moment or a duration in whole tenths of a millisecond, on one machine's own monotonic clock.
type Time = int64

// Limits of the record of grants.
const (
	MaxLeases      = 10_000 // leases that are granted at one time
	MaxNameBytes   = 64     // bytes of the name of a lease or a front, or of an address
	maxWaiters     = 1024   // fronts that wait for one lease
	maxAddedVoters = 16     // voters added since the fleet's first start, at one time
	formatVersion  = 1      // first byte of an encoded entry or snapshot
)

var errMalformed = errors.New("malformed entry or snapshot")

// Instance identifies one run of one front: a front that is restarted is another instance.
type Instance struct {
	Name string
	Life uint64 // differs between the runs of a front
}

// grant is the record of one granted lease.
type grant struct {
	name   string
	holder Instance
	token  uint64
}

// entry is one change of the grants, as stored in the log. It is applied only if the lease still has the token that its
// proposer saw, because an entry that a since deposed leader proposed may be committed late.
type entry struct {
	name          string
	previousToken uint64   // token of the grant that the entry ends; 0 if there is none
	holder        Instance // new holder; without a name, the lease becomes free
}

func (e *entry) append(dst []byte) []byte {
	dst = append(dst, formatVersion, byte(len(e.name)))
	dst = append(append(dst, e.name...), byte(len(e.holder.Name)))
	dst = append(dst, e.holder.Name...)
	return binary.AppendUvarint(binary.AppendUvarint(dst, e.previousToken), e.holder.Life)
}

// decoder reads values off a byte slice. After the first error it returns only zero values.
type decoder struct {
	b      []byte
	failed bool
}

func (r *decoder) byte() byte {
	if r.failed || len(r.b) == 0 {
		r.failed = true
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

func (r *decoder) string() string {
	n := int(r.byte())
	if r.failed || n > MaxNameBytes || n > len(r.b) {
		r.failed = true
		return ""
	}
	s := string(r.b[:n])
	r.b = r.b[n:]
	return s
}

func (r *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if r.failed || n <= 0 {
		r.failed = true
		return 0
	}
	r.b = r.b[n:]
	return v
}

func decodeEntry(b []byte) (e entry, err error) {
	r := decoder{b: b}
	if r.byte() != formatVersion {
		return e, errMalformed
	}
	e.name, e.holder.Name = r.string(), r.string()
	e.previousToken, e.holder.Life = r.uvarint(), r.uvarint()
	if r.failed || len(r.b) > 0 || e.name == "" {
		return e, errMalformed
	}
	return e, nil
}

// GrantTable is the replicated record of grants: the result of all log entries up to index Applied. It is the same on
// all voters that have applied the same entries.
type GrantTable struct {
	grants      []grant        // by slot; a free slot has no name
	byName      map[string]int // slot of each granted lease
	freeSlots   []int
	addedVoters []VoterInfo // voters added since the fleet's first start, sorted by ID
	Applied     uint64      // index of the last applied entry
}

func newGrantTable() *GrantTable { return &GrantTable{byName: map[string]int{}} }

// find returns the grant of a lease, or nil if nobody holds it.
func (b *GrantTable) find(name string) *grant {
	if i, ok := b.byName[name]; ok {
		return &b.grants[i]
	}
	return nil
}

// apply applies the entry at a log index. applied reports whether it took effect, granted is the new grant (nil if the
// lease became free) and previous the grant that the entry ended.
func (b *GrantTable) apply(index uint64, e entry) (granted *grant, previous grant, applied bool) {
	b.Applied = index
	g := b.find(e.name)
	if g != nil && g.token != e.previousToken || g == nil && e.previousToken != 0 {
		return nil, previous, false
	}
	if g != nil {
		previous = *g
	}
	switch {
	case e.holder.Name == "" && g != nil:
		i := b.byName[e.name]
		delete(b.byName, e.name)
		b.grants[i] = grant{}
		b.freeSlots = append(b.freeSlots, i)
		return nil, previous, true
	case e.holder.Name == "", g == nil && len(b.byName) >= MaxLeases:
		return nil, previous, false
	case g == nil:
		if len(b.freeSlots) == 0 {
			b.grants = append(b.grants, grant{})
			b.freeSlots = append(b.freeSlots, len(b.grants)-1)
		}
		i := b.freeSlots[len(b.freeSlots)-1]
		b.freeSlots = b.freeSlots[:len(b.freeSlots)-1]
		b.byName[e.name] = i
		g = &b.grants[i]
	}
	*g = grant{e.name, e.holder, index} // the log index only grows, so tokens do too
	return g, previous, true
}

func (s *VoterInfo) append(dst []byte) []byte {
	dst = append(append(dst, formatVersion, byte(len(s.Name))), s.Name...)
	return append(append(dst, byte(len(s.Addr))), s.Addr...)
}

func decodeVoterInfo(id uint64, b []byte) (VoterInfo, error) {
	r := decoder{b: b}
	if r.byte() != formatVersion {
		return VoterInfo{}, errMalformed
	}
	s := VoterInfo{ID: id, Name: r.string(), Addr: r.string()}
	if r.failed || len(r.b) > 0 || id == 0 {
		return s, errMalformed
	}
	return s, nil
}

// updateVoter records that a voter was added or removed.
func (b *GrantTable) updateVoter(s VoterInfo, added bool) {
	index, found := slices.BinarySearchFunc(b.addedVoters, s.ID, func(x VoterInfo, id uint64) int { return cmp.Compare(x.ID, id) })
	switch {
	case found && added:
		b.addedVoters[index] = s
	case found:
		b.addedVoters = slices.Delete(b.addedVoters, index, index+1)
	case added && len(b.addedVoters) < maxAddedVoters:
		b.addedVoters = slices.Insert(b.addedVoters, index, s)
	}
}

// snapshot returns the encoded table, with leases sorted by name.
func (b *GrantTable) snapshot() []byte {
	var granted []grant
	for _, g := range b.grants {
		if g.name != "" {
			granted = append(granted, g)
		}
	}
	slices.SortFunc(granted, func(x, y grant) int { return bytes.Compare([]byte(x.name), []byte(y.name)) })
	dst := binary.AppendUvarint(binary.AppendUvarint([]byte{formatVersion}, b.Applied), uint64(len(granted)))
	for _, g := range granted {
		e := entry{g.name, g.token, g.holder}
		encoded := e.append(nil)
		dst = append(binary.AppendUvarint(dst, uint64(len(encoded))), encoded...)
	}
	dst = binary.AppendUvarint(dst, uint64(len(b.addedVoters)))
	for k := range b.addedVoters {
		encoded := b.addedVoters[k].append(nil)
		dst = append(binary.AppendUvarint(binary.AppendUvarint(dst, b.addedVoters[k].ID), uint64(len(encoded))), encoded...)
	}
	return dst
}

// decodeGrantTable decodes the result of snapshot. It returns errMalformed if any part is invalid.
func decodeGrantTable(data []byte) (*GrantTable, error) {
	b := newGrantTable()
	r := decoder{b: data}
	if r.byte() != formatVersion {
		return nil, errMalformed
	}
	applied, n := r.uvarint(), r.uvarint()
	if r.failed || n > MaxLeases {
		return nil, errMalformed
	}
	for range n {
		size := r.uvarint()
		if r.failed || size > uint64(len(r.b)) {
			return nil, errMalformed
		}
		e, err := decodeEntry(r.b[:size])
		r.b = r.b[size:]
		if err != nil || b.find(e.name) != nil || e.holder.Name == "" || e.previousToken == 0 || e.previousToken > applied {
			return nil, errMalformed
		}
		b.byName[e.name] = len(b.grants)
		b.grants = append(b.grants, grant{e.name, e.holder, e.previousToken})
	}
	voters := r.uvarint()
	if r.failed || voters > maxAddedVoters {
		return nil, errMalformed
	}
	for range voters {
		id, size := r.uvarint(), r.uvarint()
		if r.failed || size > uint64(len(r.b)) {
			return nil, errMalformed
		}
		s, err := decodeVoterInfo(id, r.b[:size])
		r.b = r.b[size:]
		if err != nil || len(b.addedVoters) > 0 && b.addedVoters[len(b.addedVoters)-1].ID >= id {
			return nil, errMalformed
		}
		b.addedVoters = append(b.addedVoters, s)
	}
	if r.failed || len(r.b) > 0 {
		return nil, errMalformed
	}
	b.Applied = applied
	return b, nil
}

// DescribeLeases returns one line for each lease that is granted according to a voter's persisted state, up to the
// commit index that the voter knows: the lease's name, its holder and its token, sorted.
func DescribeLeases(state PersistedState) (names []string, err error) {
	b := newGrantTable()
	if state.Snapshot != nil {
		encoded, _, err := splitSnapshot(state.Snapshot.Data)
		if err != nil {
			return nil, err
		}
		if b, err = decodeGrantTable(encoded); err != nil {
			return nil, err
		}
	}
	for _, e := range state.Entries {
		if e.GetIndex() > state.HardState.GetCommit() {
			break
		}
		if change, err := decodeEntry(e.Data); err == nil {
			b.apply(e.GetIndex(), change)
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
