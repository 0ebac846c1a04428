package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// configure replaces the settings of the balancer and of the model.
func (front *modelFront) configure(settings Settings) {
	front.t.Helper()
	front.record("configure %+v", settings.Classes)
	if err := front.balancer.Configure(front.now, settings); err != nil {
		front.t.Fatal(err)
	}
	front.settings = settings
}

// otherSettings returns settings that differ at random in what operators change while fronts run: which classes
// there are and what each requires, tenants, the number of attempts and the number of fronts.
func otherSettings(settings Settings, r *rand.Rand) Settings {
	all := testSettings().Classes
	settings.Classes = nil
	for _, class := range all {
		if r.IntN(6) == 0 {
			continue // the class is removed
		}
		class.Bound = class.Bound * Time(1+r.IntN(4)) / 2
		class.Window = class.Window * Time(1+r.IntN(4)) / 2
		class.ExpectedTime = class.ExpectedTime * Time(1+r.IntN(4)) / 2
		class.Deadline = class.Deadline * Time(1+r.IntN(4)) / 2
		class.Credit = float64(r.IntN(5))
		if class.Need == Write {
			class.Repeat = []Repeat{AtMostOnce, Keyed}[r.IntN(2)]
		}
		settings.Classes = append(settings.Classes, class)
	}
	if len(settings.Classes) == 0 {
		settings.Classes = all[:1]
	}
	r.Shuffle(len(settings.Classes), func(i, k int) { settings.Classes[i], settings.Classes[k] = settings.Classes[k], settings.Classes[i] })
	settings.Tenants = []Tenant{{Name: "c", Quota: float64(r.IntN(900))}, {Name: "d", Quota: 10}}[:1+r.IntN(2)]
	settings.MaxAttempts = 2 + r.IntN(6)
	settings.Fronts = 1 + r.IntN(800)
	return settings
}

// changed returns settings in which the named class is changed.
func changed(settings Settings, name string, change func(class *Class)) Settings {
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		if settings.Classes[i].Name == name {
			change(&settings.Classes[i])
		}
	}
	return settings
}

// TestPendingWriteKeepsItsRepeat changes a class from at-most-once to repeatable while a write of it is in
// flight, and that write's answer is lost. The write keeps its single attempt; one that arrives later may be
// repeated.
func TestPendingWriteKeepsItsRepeat(t *testing.T) {
	front := threeStores(t, testSettings())
	front.submit(newRequest("before", "once"))
	front.configure(changed(front.settings, "once", func(class *Class) { class.Repeat = Idempotent }))
	front.submit(newRequest("behind", "once"))
	for _, id := range []string{"before", "behind"} {
		front.finish(id, 0, Result{Ending: ConnectionLost})
	}
	front.advance(2 * second)
	if before, behind := len(front.requests["before"].attempts), len(front.requests["behind"].attempts); before != 1 || behind < 2 {
		t.Errorf("%d attempts of the write before the change, %d of the one after", before, behind)
	}
	if front.requests["before"].finals != 1 {
		t.Error("the write before the change has no final answer")
	}
}

// TestClassRemovedDuringAWrite removes a class while a write of it is in flight. The write is answered, the
// reads of its session see it, and no further request of that class is accepted.
func TestClassRemovedDuringAWrite(t *testing.T) {
	settings := testSettings()
	settings.FencesCarried = false
	front := threeStores(t, settings)
	write := newRequest("w", "once")
	write.Session = "s"
	front.submit(write)
	without := front.settings
	without.Classes = slices.DeleteFunc(slices.Clone(settings.Classes), func(class Class) bool { return class.Name == "once" })
	front.configure(without)
	front.advance(100)
	front.finish("w", 0, Result{Ending: Served, Note: Report{Position: front.now, Role: Primary}})
	read := newRequest("r", "session")
	read.Session = "s"
	front.submit(read)
	front.advance(1000) // it may probe a replica first
	if store := front.lastStore(t, "r"); store != 1 {
		t.Errorf("a read after the write went to store %d, which has not shown it", store)
	}
	if err := front.balancer.Submit(front.now, newRequest("late", "once")); err == nil {
		t.Error("a request of a removed class was accepted")
	}
}

// TestFaultySettingsChangeNothing checks that settings out of range are refused and the previous ones stay in
// force as a whole.
func TestFaultySettingsChangeNothing(t *testing.T) {
	front := threeStores(t, testSettings())
	before := *front.balancer
	for _, faulty := range []Settings{
		{Fronts: 9},
		changed(front.settings, "marked", func(class *Class) { class.Window = -1 }),
		changed(front.settings, "any", func(class *Class) { class.ExpectedTime = 0 }),
	} {
		faulty.WarmupTime, faulty.MaxAttempts = 5, 1
		if err := front.balancer.Configure(front.now+50, faulty); err == nil {
			t.Error("faulty settings were accepted")
		}
	}
	after := front.balancer
	if after.warmupTime != before.warmupTime || after.maxAttempts != before.maxAttempts || after.minLimit != before.minLimit ||
		!slices.Equal(after.classes, before.classes) {
		t.Error("a part of the faulty settings is in force")
	}
	front.submit(newRequest("w", "marked"))
	front.lastStore(t, "w")
}

// TestClassSlotsAreReused checks that, however often settings change, only classes in force and those of
// requests at hand take up slots.
func TestClassSlotsAreReused(t *testing.T) {
	front := threeStores(t, testSettings())
	front.submit(newRequest("long", "once"))
	for n := range 2000 {
		front.configure(changed(front.settings, "any", func(class *Class) { class.Credit = float64(n + 2) }))
	}
	if most := len(front.settings.Classes) + 2; len(front.balancer.classes) > most {
		t.Errorf("%d class slots, at most %d expected", len(front.balancer.classes), most)
	}
}

// TestConfigureKeepsLearnedState checks that new values for a class keep the measured time of its attempts and
// the tokens that tenants have left.
func TestConfigureKeepsLearnedState(t *testing.T) {
	front := threeStores(t, testSettings())
	for k := range 40 {
		id := string(rune('A' + k))
		in := newRequest(id, "any")
		in.Tenant = "c"
		front.submit(in)
		front.advance(100)
		front.finish(id, 0, Result{Ending: Served, Note: Report{Position: front.now, Role: Replica}})
	}
	typical, bucket := front.balancer.classes[front.balancer.classOf["any"]].typicalTime, front.balancer.tenants["c"].tokens
	front.configure(changed(front.settings, "any", func(class *Class) { class.Credit = 9 }))
	if got := front.balancer.classes[front.balancer.classOf["any"]]; got.typicalTime != typical || got.Credit != 9 {
		t.Errorf("typical %v with credit %v, %v before", got.typicalTime, got.Credit, typical)
	}
	if got := front.balancer.tenants["c"].tokens; got != bucket {
		t.Errorf("the tenant's bucket holds %v, %v before", got, bucket)
	}
}
