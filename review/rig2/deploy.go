package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// role is what the deploy file says of one role.
type role struct {
	run      []string
	template string
}

// readRoles reads the commands and the templates of the deploy file in the repository.
func readRoles(root string) (map[string]role, error) {
	f, err := os.Open(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	roles := make(map[string]role)
	current := ""
	for sc := bufio.NewScanner(f); sc.Scan(); {
		line := strings.TrimSpace(sc.Text())
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			current = strings.TrimSuffix(name, "]")
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok || current == "" {
			continue
		}
		text, err := strconv.Unquote(strings.TrimSpace(value))
		if err != nil {
			continue
		}
		r := roles[current]
		switch strings.TrimSpace(key) {
		case "run":
			r.run = strings.Fields(text)
		case "template":
			r.template = text
		}
		roles[current] = r
	}
	for _, name := range []string{"control", "entry"} {
		if len(roles[name].run) == 0 || roles[name].template == "" {
			return nil, fmt.Errorf("the deploy file lacks the command or the template of role %s", name)
		}
	}
	return roles, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template of settings: values, lists joined by commas, and sections that depend
// on whether a value is present.
func render(template string, fields map[string]any) string {
	out := section.ReplaceAllStringFunc(template, func(s string) string {
		m := section.FindStringSubmatch(s)
		v := lookup(fields, m[2])
		present := v != nil && v != false && v != ""
		if present == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(out, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := lookup(fields, m[1])
		if m[2] != "" {
			b, _ := json.Marshal(v)
			return string(b)
		}
		switch x := v.(type) {
		case nil:
			return ""
		case []string:
			return strings.Join(x, ",")
		default:
			return fmt.Sprint(x)
		}
	})
}

func lookup(fields map[string]any, path string) any {
	var v any = fields
	for _, name := range strings.Split(path, ".") {
		switch x := v.(type) {
		case map[string]any:
			v = x[name]
		case []int:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(x) {
				return nil
			}
			v = x[i]
		default:
			return nil
		}
	}
	return v
}
