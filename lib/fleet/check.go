package fleet

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"
)

const (
	// maxNameBytes bounds the length of ids and names.
	maxNameBytes = 256
	// maxListed bounds the models of a target, and the adapters of a model.
	maxListed = 4096
	// maxSlots bounds the slots of a target.
	maxSlots = 1 << 20
	// maxSequence bounds sequence numbers. Larger numbers are not exact in JSON.
	maxSequence = 1 << 53
	// maxBornAhead is how far in the future a target may have started, by this process's clock.
	maxBornAhead = time.Hour
	// maxSequenceLag is the largest difference by which a late announcement is behind the latest
	// one. A larger difference means that the number of the latter was wrong.
	maxSequenceLag = 1000
)

// Check returns what makes the announcement unusable, all findings together; nil if it is
// usable. Other writers may announce anything, and one odd announcement must not spoil the
// records of others, which share messages and the roster with it.
func (a *Announcement) Check(now time.Time) error {
	errs := []error{checkName("id", a.ID), checkName("zone", a.Zone), checkName("service", a.Service)}
	add := func(bad bool, format string, args ...any) {
		if bad {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	add(!a.Addr.IsValid() || a.Addr.Port() == 0, "address %v has no port", a.Addr)
	add(a.Addr.Addr().IsUnspecified() || a.Addr.Addr().IsMulticast(), "address %v is not that of a target", a.Addr)
	add(a.Slots < 0 || a.Slots > maxSlots, "%d slots", a.Slots)
	add(a.Sequence > maxSequence, "sequence %d is too large", a.Sequence)
	return errors.Join(append(errs, checkBorn(now, a.Born), CheckModels(a.Models))...)
}

// CheckModels returns what makes a list of resident models unusable; nil if it is usable.
func CheckModels(models []Model) error {
	if len(models) > maxListed {
		return fmt.Errorf("%d models", len(models))
	}
	var errs []error
	for _, m := range models {
		errs = append(errs, checkName("model", m.Name))
		if len(m.Adapters) > maxListed {
			errs = append(errs, fmt.Errorf("%d adapters", len(m.Adapters)))
			continue
		}
		for _, a := range m.Adapters {
			errs = append(errs, checkName("adapter", a))
		}
	}
	return errors.Join(errs...)
}

// CheckEnd returns what makes the end of a process unusable, as Announcement.Check does. A zero
// born means that the start of the process is not known.
func CheckEnd(now time.Time, id string, born time.Time) error {
	err := checkName("id", id)
	if born.IsZero() {
		return err
	}
	return errors.Join(err, checkBorn(now, born))
}

func checkBorn(now, born time.Time) error {
	if born.UnixMilli() < 0 || born.After(now.Add(maxBornAhead)) {
		return fmt.Errorf("start time %d is out of range", born.UnixMilli())
	}
	return nil
}

func checkName(what, name string) error {
	switch {
	case name == "":
		return fmt.Errorf("%s is missing", what)
	case len(name) > maxNameBytes:
		return fmt.Errorf("%s has %d bytes, at most %d are allowed", what, len(name), maxNameBytes)
	case !utf8.ValidString(name):
		return fmt.Errorf("%s %q is not UTF-8", what, name)
	}
	return nil
}

// isLate reports whether an announcement with the given sequence number was sent before the
// latest one.
func (t *target) isLate(sequence uint64) bool {
	return sequence <= t.Sequence && t.Sequence-sequence <= maxSequenceLag
}
