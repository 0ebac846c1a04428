package front

import (
	"micatrack/admission"
	"micatrack/balance"
	"micatrack/internal/settings"
)

// classTable holds the classes of the settings, in the order of the settings. It is replaced as a whole and never
// changed, so that a request keeps the table that was in force when it arrived.
type classTable struct {
	settings []balance.Class
	byName   map[string]int
	longest  Time // longest deadline of the classes
}

// newClassTable returns the table of the settings' classes.
func newClassTable(classes []balance.Class) *classTable {
	table := &classTable{settings: classes, byName: make(map[string]int, len(classes))}
	for i := range classes {
		table.byName[classes[i].Name] = i
		table.longest = max(table.longest, classes[i].Deadline)
	}
	return table
}

// class returns the request's class, by the settings in force when the request arrived or was last admitted anew.
func (r *request) class() *balance.Class { return &r.classes.settings[r.classIndex] }

// Settings holds the settings of a front that may change while it runs.
type Settings struct {
	Balancer  balance.Settings  // settings of the balancer
	Host      settings.Process  // settings of the process
	Admission *admission.Bounds // nil: no admission control
}

// Configure puts other settings in force, either completely or, if it returns an error, not at all. Requests that the
// balancer has been given keep the class under which they arrived; those that wait for admission are submitted to
// admission control again.
func (c *Core) Configure(now Time, s Settings) error {
	successor, waiting, err := c.nextAdmission(now, &s)
	if err != nil {
		return err
	}
	if err := c.balancer.Configure(now, s.Balancer); err != nil {
		return err
	}
	c.admission = successor
	for _, i := range waiting {
		c.queueArrival(i)
	}
	c.classes = newClassTable(s.Balancer.Classes)
	c.host, c.settings = s.Host, s
	c.nextWake = min(c.nextWake, now) // the next step re-evaluates everything that waits here
	return nil
}

// nextAdmission returns the admission controller for other settings. If it replaces the present one, waiting lists the
// requests that wait there, the oldest first.
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

// updateClass moves a request that the balancer has not been given to the class of that name in the settings in force.
// It returns false if the class no longer exists, or if it needs other data than before: which requests may run
// concurrently on a connection was decided by the need at arrival.
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
