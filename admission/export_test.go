package admission

import "runtime"

// What tests outside the package look at.

const Begin = quietRoom

// Epoch is how long places are spread alike.
func Epoch(d *Controller) Time { return d.epoch }

// Collide has two customers share a place, with no place of their own to be had; changed tells whether they were spread
// anew since.
func Collide(d *Controller, a, b string) (changed func() bool) {
	n := d.names
	n.idle = nil
	for n.salt = 1; n.at([]byte(a)) != n.at([]byte(b)); n.salt++ {
	}
	salt := n.salt
	return func() bool { return n.salt != salt }
}

// Expected is how long a further try would wait by what waits in the first lane now; otherwise where none ever did.
func Expected(d *Controller, customer string, client uint64, otherwise Time) Time {
	l := &d.lanes[0]
	if l.flows == nil {
		return otherwise
	}
	place := d.names.at([]byte(customer))
	return Time(l.expectedWait(d, &l.flows[place], d.weight(l, place), retry, client))
}

// HeapNow is how many bytes are in use after a collection.
func HeapNow() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
