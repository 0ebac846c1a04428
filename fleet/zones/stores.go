package zones

import "github.com/cespare/xxhash/v2"

// noTime marks a store that has no outcome that counts.
const noTime Time = -1

// Store is one entry of the list of stores.
type Store struct {
	ID, Zone string
	Size     float64 // capacity relative to other stores; not negative
	Open     bool    // accepts new requests
}

// store is one entry of the table of stores.
type store struct {
	id          string // empty if the entry is free
	zone        int
	slot        uint8 // the store's bit in evidence
	size        float64
	open        bool
	lastOutcome Outcome
	outcomeAt   Time // time of the last outcome, or noTime
	listed      bool
}

// UpdateStores updates the table from a list of stores. The list holds all stores if whole is set, otherwise
// only those that have changed. Stores of zones beyond maxZones are ignored.
func (z *Zones) UpdateStores(now Time, whole bool, list []Store) {
	z.now = now
	for index := range z.stores {
		z.stores[index].listed = z.stores[index].listed && !whole
	}
	for k := range list {
		z.listStore(&list[k])
	}
	for index := range z.zones {
		z.zones[index].size = 0
		z.zones[index].storeSlots = 0
	}
	for index := range z.stores {
		s := &z.stores[index]
		switch {
		case s.id == "":
		case !s.listed:
			delete(z.storeByID, s.id)
			*s = store{}
			z.freeStores = append(z.freeStores, index)
		case s.open:
			z.zones[s.zone].size += s.size
			z.zones[s.zone].storeSlots |= 1 << s.slot
		}
	}
}

func (z *Zones) listStore(entry *Store) {
	zoneIndex := z.zoneIndex(entry.Zone, true)
	if zoneIndex == noZone {
		return
	}
	index, known := z.storeByID[entry.ID]
	if !known {
		index = z.allocateStore(entry.ID)
	}
	s := &z.stores[index]
	s.zone = zoneIndex
	s.size = max(entry.Size, 0)
	s.open = entry.Open
	s.listed = true
}

func (z *Zones) allocateStore(id string) int {
	if len(z.freeStores) == 0 {
		z.stores = append(z.stores, store{})
		z.freeStores = append(z.freeStores, len(z.stores)-1)
	}
	index := z.freeStores[len(z.freeStores)-1]
	z.freeStores = z.freeStores[:len(z.freeStores)-1]
	z.storeByID[id] = index
	z.stores[index] = store{id: id, slot: uint8(xxhash.Sum64String(id) % evidenceSlots), outcomeAt: noTime}
	return index
}
