package config

// chain holds the newest version, encoded, and the deltas of the versions that led to it. A machine that
// holds one of those versions can be sent a delta.
type chain struct {
	version  Version     // newest version
	document []byte      // its encoded document
	steps    []chainStep // contiguous; the last one ends at version
	size     int         // estimated bytes of the steps
}

// chainStep is the delta from the encoded document of one version to that of a later one.
type chainStep struct {
	from  Version
	to    Version
	delta *delta
}

// Limits of the steps that are kept.
const (
	maxSteps     = MaxHistory
	maxStepBytes = 256 << 10
)

// add appends a newer version. If d is nil or from is not the current version, all older steps are dropped.
func (c *chain) add(from, to Version, document []byte, d *delta) {
	if from != c.version || from == 0 || d == nil {
		c.steps, c.size = nil, 0
	} else {
		c.steps = append(c.steps, chainStep{from, to, d})
		c.size += d.memorySize()
	}
	for len(c.steps) > maxSteps || c.size > maxStepBytes {
		c.size -= c.steps[0].delta.memorySize()
		c.steps = c.steps[1:]
	}
	c.version, c.document = to, document
}

// hasDeltaFrom reports whether a delta from the given version to the newest can be made.
func (c *chain) hasDeltaFrom(from Version) bool {
	if from == c.version {
		return false
	}
	for k := len(c.steps) - 1; k >= 0; k-- {
		if c.steps[k].from == from {
			return true
		}
	}
	return false
}

// deltaFrom returns a single delta from the given version, or from nothing if that is 0, to the newest.
// Text that was added and removed again in between is not part of it. For any version other than 0,
// hasDeltaFrom must hold.
func (c *chain) deltaFrom(from Version) *delta {
	if from == 0 {
		return makeDelta(nil, c.document)
	}
	var joined *delta
	for _, s := range c.steps {
		switch {
		case s.from == from:
			joined = s.delta
		case joined != nil:
			joined = joined.compose(s.delta)
		}
	}
	return joined
}
