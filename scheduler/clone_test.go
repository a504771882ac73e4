package scheduler

import (
	"reflect"
	"slices"
	"testing"
)

// aliasChecker walks a Scheduler and its clone in parallel and reports shared memory and differences.
type aliasChecker struct {
	t       *testing.T
	clones  map[uintptr]uintptr  // maps each visited pointer of the original to that of the clone
	reached map[reflect.Kind]int // numbers of slices, maps and pointers compared, which show that the test reaches them
}

// compare compares the values at path.
func (c *aliasChecker) compare(path string, original, clone reflect.Value) {
	switch original.Kind() {
	case reflect.Pointer:
		c.comparePointers(path, original, clone)
	case reflect.Slice:
		c.compareSlices(path, original, clone)
	case reflect.Map:
		c.compareMaps(path, original, clone)
	case reflect.Struct:
		for i := range original.NumField() {
			c.compare(path+"."+original.Type().Field(i).Name, original.Field(i), clone.Field(i))
		}
	default:
		if !original.Equal(clone) {
			c.t.Errorf("%s is %v, in the clone %v", path, original, clone)
		}
	}
}

func (c *aliasChecker) comparePointers(path string, original, clone reflect.Value) {
	if original.IsNil() != clone.IsNil() {
		c.t.Errorf("%s is nil: %v, in the clone: %v", path, original.IsNil(), clone.IsNil())
		return
	}
	if original.IsNil() {
		return
	}
	if known, visited := c.clones[original.Pointer()]; visited {
		if known != clone.Pointer() {
			c.t.Errorf("%s has another clone here than elsewhere", path)
		}
		return
	}
	c.clones[original.Pointer()] = clone.Pointer()
	c.reached[reflect.Pointer]++
	if original.Pointer() == clone.Pointer() {
		c.t.Errorf("%s is shared with the clone", path)
		return
	}
	c.compare(path, original.Elem(), clone.Elem())
}

func (c *aliasChecker) compareSlices(path string, original, clone reflect.Value) {
	if original.Len() != clone.Len() {
		c.t.Errorf("%s has %d elements, in the clone %d", path, original.Len(), clone.Len())
		return
	}
	if original.Len() == 0 {
		return
	}
	c.reached[reflect.Slice]++
	if original.Pointer() == clone.Pointer() {
		c.t.Errorf("%s is shared with the clone", path)
		return
	}
	for i := range original.Len() {
		c.compare(path+"[]", original.Index(i), clone.Index(i))
	}
}

func (c *aliasChecker) compareMaps(path string, original, clone reflect.Value) {
	if original.Len() != clone.Len() {
		c.t.Errorf("%s has %d entries, in the clone %d", path, original.Len(), clone.Len())
		return
	}
	c.reached[reflect.Map]++
	if original.Pointer() == clone.Pointer() {
		c.t.Errorf("%s is shared with the clone", path)
		return
	}
	for _, key := range original.MapKeys() {
		value := clone.MapIndex(key)
		if !value.IsValid() {
			c.t.Errorf("%s lacks a key in the clone", path)
			continue
		}
		c.compare(path+"[]", original.MapIndex(key), value)
	}
}

func TestClone_AfterRandomEvents_EqualsOriginalWithoutSharing(t *testing.T) {
	settings := invariantSettings(4) // with a load rate limit
	random := newInvariantChecker(t, 4, settings)
	for range 3000 {
		random.step()
	}
	original := random.scheduler
	cloneSettings := settings
	cloneSettings.Classes, cloneSettings.Tenants = slices.Clone(settings.Classes), slices.Clone(settings.Tenants)
	clone := original.Clone(cloneSettings, nil)
	checker := &aliasChecker{t: t, clones: map[uintptr]uintptr{}, reached: map[reflect.Kind]int{}}
	for i := range reflect.TypeFor[Scheduler]().NumField() {
		field := reflect.TypeFor[Scheduler]().Field(i)
		if field.Name == "actions" {
			continue
		}
		checker.compare(field.Name, reflect.ValueOf(original).Elem().Field(i), reflect.ValueOf(clone).Elem().Field(i))
	}
	if len(original.requests) == 0 || len(original.endpoints.list) == 0 || len(original.functions.active) == 0 {
		t.Error("the random events left no requests, workers or functions to clone")
	}
	if checker.reached[reflect.Pointer] < 20 || checker.reached[reflect.Slice] < 20 || checker.reached[reflect.Map] < 4 {
		t.Errorf("too few pointers, slices and maps compared: %v", checker.reached)
	}
}
