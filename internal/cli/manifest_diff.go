package cli

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"sigs.k8s.io/yaml"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// manifestDiff is the command "manifest diff".
type manifestDiff struct {
	*app    `no-flag:"yes"`
	Args    manifestFile `positional-args:"yes" required:"yes"`
	Version uint64       `long:"version" value-name:"N" description:"compare with this version instead of the one in force"`
}

// Difference is a value that differs between two manifests.
type Difference struct {
	// Path locates the value. List elements are addressed by their name, if they
	// have one, or by their index.
	Path string `json:"path"`
	// Old or New is nil if the value is missing in that manifest.
	Old any `json:"old"`
	New any `json:"new"`
}

// Execute implements flags.Commander.
func (c *manifestDiff) Execute([]string) error {
	document, err := c.readInput(c.Args.File)
	if err != nil {
		return err
	}
	var next structs.Manifest
	if err := yaml.UnmarshalStrict(document, &next); err != nil {
		return err
	}
	client, ctx, closeClient, err := c.newClient(0)
	if err != nil {
		return err
	}
	defer closeClient()
	current, err := client.Manifest(ctx, c.Version)
	if err != nil {
		return err
	}
	differences, err := compareManifests(current, &next)
	if err != nil {
		return err
	}
	if printed, err := c.printJSON(differences); printed && err != nil {
		return err
	} else if !printed {
		for _, d := range differences {
			fmt.Fprintln(c.stdout, d)
		}
	}
	if len(differences) > 0 {
		return exitCode(ExitError)
	}
	return nil
}

// String returns the difference as one line that starts with + if the value was
// added, - if it was removed, and ~ if it changed.
func (d Difference) String() string {
	text := func(v any) string {
		b, err := json.Marshal(v)
		if err != nil {
			return err.Error()
		}
		return string(b)
	}
	switch {
	case d.Old == nil:
		return fmt.Sprintf("+ %s: %s", d.Path, text(d.New))
	case d.New == nil:
		return fmt.Sprintf("- %s: %s", d.Path, text(d.Old))
	}
	return fmt.Sprintf("~ %s: %s -> %s", d.Path, text(d.Old), text(d.New))
}

// compareManifests returns the differences between two manifests, ignoring version
// and parent.
func compareManifests(old, next *structs.Manifest) ([]Difference, error) {
	var values [2]any
	for i, m := range []*structs.Manifest{old, next} {
		c := *m
		c.Version, c.Parent = 0, 0
		b, err := json.Marshal(c)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(b, &values[i]); err != nil {
			return nil, err
		}
	}
	return compareValues("", values[0], values[1]), nil
}

// compareValues returns the differences between two decoded JSON values at a path.
func compareValues(path string, old, next any) []Difference {
	if isEmpty(old) && isEmpty(next) {
		return nil
	}
	a, aHasChildren := children(old)
	b, bHasChildren := children(next)
	if !aHasChildren || !bHasChildren {
		x, _ := json.Marshal(old)
		y, _ := json.Marshal(next)
		if string(x) == string(y) {
			return nil
		}
		return []Difference{{path, old, next}}
	}
	keys := map[string]bool{}
	for k := range a {
		keys[k] = true
	}
	for k := range b {
		keys[k] = true
	}
	var all []Difference
	for _, k := range slices.Sorted(maps.Keys(keys)) {
		p := path + k
		if path != "" && k[0] != '[' {
			p = path + "." + k
		}
		all = append(all, compareValues(p, a[k], b[k])...)
	}
	return all
}

// isEmpty reports whether v is nil, an empty object or an empty list.
func isEmpty(v any) bool {
	p, ok := children(v)
	return v == nil || ok && len(p) == 0
}

// children returns the members of an object by key, or the elements of a list by
// name or index. It reports false for any other value.
func children(v any) (map[string]any, bool) {
	switch v := v.(type) {
	case map[string]any:
		return v, true
	case []any:
		m := map[string]any{}
		for i, e := range v {
			key := fmt.Sprintf("[%d]", i)
			if o, ok := e.(map[string]any); ok && o["name"] != nil {
				key = fmt.Sprintf("[%v]", o["name"])
			}
			m[key] = e
		}
		return m, true
	}
	return nil, false
}
