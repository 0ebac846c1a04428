package zones

// observer is what this front holds of one other front.
type observer struct {
	name        string
	zone        int
	present     bool
	hasEvidence bool
	evidenceAt  Time // when the observer published its evidence
	evidence
}

// UpdateMember records whether another front is a member of the fleet. Fronts beyond Config.MaxObservers are
// ignored.
func (z *Zones) UpdateMember(now Time, name, zone string, present bool) {
	z.now = now
	zoneIndex := z.zoneIndex(zone, false)
	if zoneIndex == noZone || name == z.config.Name {
		return
	}
	index, known := z.observerByName[name]
	if !known {
		if !present || len(z.observers)-len(z.freeObservers) >= z.config.MaxObservers {
			return
		}
		index = z.allocateObserver(name, zoneIndex)
	}
	o := &z.observers[index]
	if o.present {
		z.zones[o.zone].fronts--
	}
	if !present {
		delete(z.observerByName, name)
		z.observers[index] = observer{}
		z.freeObservers = append(z.freeObservers, index)
		return
	}
	o.present = true
	o.zone = zoneIndex
	z.zones[zoneIndex].fronts++
}

func (z *Zones) allocateObserver(name string, zoneIndex int) int {
	if len(z.freeObservers) == 0 {
		z.observers = append(z.observers, observer{})
		z.freeObservers = append(z.freeObservers, len(z.observers)-1)
	}
	index := z.freeObservers[len(z.freeObservers)-1]
	z.freeObservers = z.freeObservers[:len(z.freeObservers)-1]
	z.observerByName[name] = index
	z.observers[index] = observer{name: name, zone: zoneIndex}
	return index
}

// hasCurrentEvidence reports whether an observer is a member and its evidence is at most span old.
func (z *Zones) hasCurrentEvidence(o *observer, span Time) bool {
	return o.present && o.hasEvidence && z.now-o.evidenceAt <= span
}
