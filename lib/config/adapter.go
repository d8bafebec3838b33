package config

import (
	"sort"
	"strings"

	"bulrushpath.example/lib/check"
	"bulrushpath.example/lib/inidoc"
	"bulrushpath.example/lib/wire"
)

// Adapter is an adapter of a model. The planner loads it wherever the model is resident,
// if there is room.
type Adapter struct {
	// Model and Name come from the section name, "model/name".
	Model, Name string
	Bytes       inidoc.Bytes `ini:"bytes"`

	loc Location
}

// Adapters lists adapters in file order.
type Adapters []Adapter

func (as *Adapters) parse(loc Location, out *check.List) {
	model, name, _ := strings.Cut(loc.sec.Name, "/")
	a := Adapter{Model: model, Name: name, loc: loc}
	loc.sec.Decode(loc.path, &a, out)
	*as = append(*as, a)
}

func (as Adapters) validate(ms Models, out *check.List) {
	checkUnique(as, func(a Adapter) string { return a.Model + "/" + a.Name },
		func(a Adapter) Location { return a.loc }, out)
	for _, a := range as {
		if a.Name == "" {
			out.Add(a.loc.finding("", "want [adapter MODEL/NAME]"))
			continue
		}
		checkName(a.loc, "", a.Name, out)
		if !ms.has(a.Model) {
			out.Add(a.loc.finding("", "no file declares model %q", a.Model))
		}
		if a.Bytes == 0 {
			out.Add(a.loc.finding("bytes", "missing; want the size in accelerator memory, such as 120MiB"))
		}
	}
}

func (as Adapters) compile(model string) []*wire.Adapter {
	var out []*wire.Adapter
	for _, a := range as {
		if a.Model == model {
			out = append(out, &wire.Adapter{Name: a.Name, Bytes: uint64(a.Bytes)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
