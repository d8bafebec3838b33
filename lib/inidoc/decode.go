package inidoc

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"bulrushpath.example/lib/check"
)

// Bytes is a size in bytes. Its text form is an integer with an optional unit:
// B, KiB, MiB, GiB or TiB.
type Bytes uint64

var byteUnits = []struct {
	suffix string
	factor uint64
}{
	{"TiB", 1 << 40},
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// UnmarshalText parses a size such as "512MiB".
func (b *Bytes) UnmarshalText(text []byte) error {
	s := strings.TrimSpace(string(text))
	factor := uint64(1)
	for _, u := range byteUnits {
		if strings.HasSuffix(s, u.suffix) {
			factor = u.factor
			s = strings.TrimSpace(strings.TrimSuffix(s, u.suffix))
			break
		}
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil {
		return fmt.Errorf("want a size such as 512MiB")
	}
	if n > ^uint64(0)/factor {
		return fmt.Errorf("size is too large")
	}
	*b = Bytes(n * factor)
	return nil
}

// Decode sets the fields of dst, a pointer to a struct, from the keys of the section.
// The tag `ini:"name"` gives the key of a field; fields without a tag are not set.
// Items of lists are separated by commas. Unknown keys and invalid values are findings.
func (s Section) Decode(path string, dst any, out *check.List) {
	fields := make(map[string]reflect.Value)
	v := reflect.ValueOf(dst).Elem()
	for i := range v.NumField() {
		if tag := v.Type().Field(i).Tag.Get("ini"); tag != "" {
			fields[tag] = v.Field(i)
		}
	}
	for _, k := range s.Keys {
		f, ok := fields[k.Name]
		if !ok {
			out.Add(s.Finding(path, k.Name, "unknown key"))
			continue
		}
		if err := setField(f, k.Value); err != nil {
			out.Add(s.Finding(path, k.Name, fmt.Sprintf("%q: %v", k.Value, err)))
		}
	}
}

func setField(f reflect.Value, value string) error {
	if f.Type() == reflect.TypeFor[time.Duration]() {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("want a duration such as 250ms")
		}
		f.SetInt(int64(d))
		return nil
	}
	if u, ok := f.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return u.UnmarshalText([]byte(value))
	}
	switch f.Kind() {
	case reflect.String:
		f.SetString(value)
	case reflect.Bool:
		b, err := strconv.ParseBool(value)
		if err != nil {
			return fmt.Errorf("want true or false")
		}
		f.SetBool(b)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return fmt.Errorf("want a whole number")
		}
		f.SetInt(n)
	case reflect.Uint32, reflect.Uint64, reflect.Uint:
		n, err := strconv.ParseUint(value, 10, f.Type().Bits())
		if err != nil {
			return fmt.Errorf("want a whole number from 0 up")
		}
		f.SetUint(n)
	case reflect.Float64:
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("want a number")
		}
		f.SetFloat(x)
	case reflect.Slice:
		return setList(f, value)
	default:
		return fmt.Errorf("unsupported field type %s", f.Type())
	}
	return nil
}

func setList(f reflect.Value, value string) error {
	list := reflect.MakeSlice(f.Type(), 0, 4)
	for _, item := range strings.Split(value, ",") {
		item = strings.TrimSpace(item)
		if item == "" {
			continue
		}
		e := reflect.New(f.Type().Elem()).Elem()
		if err := setField(e, item); err != nil {
			return err
		}
		list = reflect.Append(list, e)
	}
	f.Set(list)
	return nil
}
