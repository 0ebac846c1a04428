package config

// chain is the newest version as bytes, and the steps that led to it, so that who holds one of them gets a
// delta.
type chain struct {
	version  Version
	document []byte      // encoded
	steps    []chainStep // each begins where the one before ended; the last ends at version
	size     int         // bytes of the steps
}

// chainStep leads from one version's encoded document to a later one's.
type chainStep struct {
	from, to Version
	delta    *delta
}

// Bounds of the steps that are kept.
const (
	maxSteps     = MaxHistory
	maxStepBytes = 256 << 10
)

// add takes a newer version in. Without a delta, or one that does not begin at the version held, older ones
// are forgotten.
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

// hasDeltaFrom tells whether a delta from a version can be made.
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

// deltaFrom gives the one delta from a version, 0 for nothing, to the newest; what was written in between and
// is gone is not in it. The version has to be one that knows tells of.
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
