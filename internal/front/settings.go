package front

import (
	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/settings"
)

// classTable is what the core knows of the settings' classes, numbered as the settings have them. It is replaced as a
// whole and never changed, so a request goes by the one under which it came.
type classTable struct {
	settings []balance.Class
	byName   map[string]int
	longest  Time // of the classes' deadlines
}

func newClassTable(classes []balance.Class) *classTable {
	table := &classTable{settings: classes, byName: make(map[string]int, len(classes))}
	for i := range classes {
		table.byName[classes[i].Name] = i
		table.longest = max(table.longest, classes[i].Deadline)
	}
	return table
}

// class is the one under which a request came.
func (r *request) class() *balance.Class { return &r.classes.settings[r.classIndex] }

// Settings is what a front goes by that may change while it runs.
type Settings struct {
	Balancer  balance.Settings
	Host      settings.Process
	Admission *admission.Bounds // nil: there is no door
}

// Configure puts other settings in force, as a whole or, if it returns an error, not at all. Requests that the module
// has in hand go on by the class that they came under; those that wait at the door are admitted anew.
func (c *Core) Configure(now Time, s Settings) error {
	successor, waiting, err := c.nextAdmission(now, &s)
	if err != nil {
		return err
	}
	if err := c.balancer.Configure(now, s.Balancer); err != nil {
		return err
	}
	c.admission = successor
	c.arrived = append(c.arrived, waiting...)
	c.classes = newClassTable(s.Balancer.Classes)
	c.host, c.settings = s.Host, s
	c.nextWake = min(c.nextWake, now) // what waits here is looked at in the next step
	return nil
}

// nextAdmission returns the door for other settings, and the requests that wait at the present one, the oldest first, if
// another takes its place.
func (c *Core) nextAdmission(now Time, s *Settings) (next *admission.Controller, waiting []int32, err error) {
	switch {
	case s.Admission == nil && c.admission == nil:
		return nil, nil, nil
	case s.Admission == nil:
		return nil, c.admission.WaitingRequests(), nil
	case c.admission == nil:
		next, err = admission.New(now, s.Balancer, *s.Admission, admissionHost{c})
		return next, nil, err
	case admission.SameSettings(&s.Balancer, &c.settings.Balancer) && *s.Admission == *c.settings.Admission:
		return c.admission, nil, nil
	}
	next, err = c.admission.Successor(now, s.Balancer, *s.Admission)
	return next, c.admission.WaitingRequests(), err
}

// updateClass gives a request that the module has not been handed its class by the settings in force; false: they do not
// have it, or it needs other data than the request was taken for.
//
// Danger: what may run beside it on its connection was judged by what it needed when it came.
func (c *Core) updateClass(r *request) bool {
	if r.classes == c.classes {
		return true
	}
	kind, known := c.classes.byName[r.class().Name]
	if !known || c.classes.settings[kind].Need != r.class().Need {
		return false
	}
	r.classes, r.classIndex = c.classes, kind
	return true
}
