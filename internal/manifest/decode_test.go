package manifest

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func readExample(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func mustDecode(t testing.TB, data []byte) *structs.Manifest {
	t.Helper()
	m, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// Guards against examples that are invalid, and against examples whose hardware differs
// from that of the two users.
func TestExamples(t *testing.T) {
	for _, name := range []string{"al-wusta.yaml", "andrade.yaml"} {
		m := mustDecode(t, readExample(t, name))
		workers, zones, racks := 0, map[string]bool{}, []int{}
		for _, h := range m.Hardware {
			workers += h.Workers
			zones[h.Zone] = true
			racks = append(racks, h.Workers)
		}
		if workers != 11 || len(zones) != 3 || !slices.Equal(racks, []int{3, 3, 3, 2}) || len(m.Accounts) != 4 || len(m.Kinds) != 4 {
			t.Errorf("%s: %d workers, zones %v, racks %v", name, workers, zones, racks)
		}
		text, err := json.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		if again := mustDecode(t, text); !reflect.DeepEqual(m, again) {
			t.Errorf("%s: the manifest differs after a round trip through JSON", name)
		}
	}
}

// Guards against example guarantees that do not fit when a worker is lost. The largest
// shapes are placed first, each on the first workers with room for it.
func TestExampleGuaranteesSurviveOneLoss(t *testing.T) {
	for _, name := range []string{"al-wusta.yaml", "andrade.yaml"} {
		m := mustDecode(t, readExample(t, name))
		var shapes []structs.Shape
		for _, a := range m.Accounts {
			for _, g := range a.Guarantee {
				shapes = append(shapes, slices.Repeat([]structs.Shape{g.Shape}, max(g.Count, 1))...)
			}
		}
		slices.SortStableFunc(shapes, func(a, b structs.Shape) int { return b.Total() - a.Total() })
		for lost := range 11 {
			var free []structs.WorkerCapacity
			var rack []string
			for _, h := range m.Hardware {
				free = append(free, slices.Repeat([]structs.WorkerCapacity{h.WorkerCapacity}, h.Workers)...)
				rack = append(rack, slices.Repeat([]string{h.Rack}, h.Workers)...)
			}
			free[lost] = structs.WorkerCapacity{}
			for _, s := range shapes {
				if !placeShape(s, free, rack) {
					t.Errorf("%s: %+v does not fit without worker %d", name, s, lost)
				}
			}
		}
	}
}

// placeShape takes the capacity for a shape from the first workers of one rack that have
// room for it, and reports whether there are any.
func placeShape(s structs.Shape, free []structs.WorkerCapacity, rack []string) bool {
	for first := range free {
		var members []int
		for i := first; i < len(free) && len(members) < s.Workers; i++ {
			f := free[i]
			if rack[i] == rack[first] && f.Accelerators >= s.Accelerators && f.CoresMilli >= s.CoresMilli && f.MemoryMB >= s.MemoryMB && f.Slots > 0 {
				members = append(members, i)
			}
		}
		if len(members) < s.Workers {
			continue
		}
		for _, i := range members {
			free[i].Accelerators -= s.Accelerators
			free[i].CoresMilli -= s.CoresMilli
			free[i].MemoryMB -= s.MemoryMB
			free[i].Slots--
		}
		return true
	}
	return false
}

// Guards against an error that reports only the first invalid field or a wrong field.
func TestDecodeReportsAllFieldErrors(t *testing.T) {
	base := string(readExample(t, "al-wusta.yaml"))
	replace := func(pairs ...string) string { return strings.NewReplacer(pairs...).Replace(base) }
	for _, tc := range []struct {
		name, text string
		fields     []string
	}{
		{"unknown fields and ranges", replace("runSeconds: 45", "runSeconds: 0\n  runsecs: 3", "weight: 3", "wieght: 3"),
			[]string{"accounts[0].wieght", "accounts[1].wieght", "kinds[0].runSeconds", "kinds[0].runsecs"}},
		{"references", replace("domains: [muscat]", "domains: [muscat, sohar]", "classes: [old, new]", "classes: [old, old]"),
			[]string{"accounts[0].domains[1]", "accounts[1].domains[1]", "accounts[2].domains[1]", "accounts[3].domains[1]", "kinds[1].classes[1]"}},
		{"duplicate names", replace("name: workshop", "name: scooter-rental", "name: rebuild-plan", "name: pack-diagnostics"),
			[]string{"accounts[3].name", "kinds[3].name"}},
		{"shapes", replace("workers: 2, accelerators: 8, adjacency: rack, coresMilli: 32000, memoryMB: 131072}\n", "workers: 0, accelerators: -1, adjacency: near, coresMilli: 0, memoryMB: 1}\n"),
			[]string{"kinds[2].shape.accelerators", "kinds[2].shape.adjacency", "kinds[2].shape.workers"}},
		{"guarantee above quota", replace("quota: {accelerators: 24", "quota: {accelerators: 7"), []string{"accounts[3].quota.accelerators"}},
		{"types", replace("idempotent: true", "idempotent: perhaps", "deployment: al-wusta", "deployment: [1]"),
			[]string{"deployment", "kinds[0].idempotent", "kinds[1].idempotent", "kinds[2].idempotent"}},
		{"missing fields", replace("  urgency: urgent\n", "", "apiVersion: parsleypier/v1\n", ""), []string{"apiVersion", "kinds[0].urgency"}},
		{"duplicate field", base + "\ndeployment: other\n", []string{""}},
		{"two documents", base + "\n---\n" + base, []string{""}},
		{"rack in two zones", replace("rack: c1", "rack: b1"), []string{"hardware[2].zone"}},
		{"case of a field", replace("deployment:", "Deployment:"), []string{"Deployment", "deployment"}},
		{"empty", "", []string{""}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Decode([]byte(tc.text))
			var fields []string
			for _, f := range FieldErrors(err) {
				fields = append(fields, f.Field)
				if !strings.Contains(err.Error(), f.Message) {
					t.Errorf("the message does not contain %q", f.Message)
				}
			}
			slices.Sort(fields)
			if !slices.Equal(fields, tc.fields) || verdict.Of(err) != verdict.NotRun {
				t.Errorf("fields %q, want %q\n%v", fields, tc.fields, err)
			}
		})
	}
	if _, err := Decode(make([]byte, MaxBytes+1)); !verdict.HasCode(err, verdict.CodeTooLarge) {
		t.Errorf("too large: %v", err)
	}
}

// Guards against a schema that lacks a field of the Go type or has an additional one.
func TestSchemaMatchesType(t *testing.T) {
	var root map[string]any
	if err := json.Unmarshal(Schema(), &root); err != nil {
		t.Fatal(err)
	}
	compareSchema(t, root, root, reflect.TypeFor[structs.Manifest](), "manifest")
}

func compareSchema(t *testing.T, root, schema map[string]any, typ reflect.Type, path string) {
	if ref, ok := schema["$ref"].(string); ok {
		schema = root["$defs"].(map[string]any)[strings.TrimPrefix(ref, "#/$defs/")].(map[string]any)
	}
	types := map[reflect.Kind]string{reflect.Int: "integer", reflect.Uint64: "integer", reflect.Float64: "number",
		reflect.Bool: "boolean", reflect.String: "string", reflect.Slice: "array", reflect.Struct: "object"}
	if typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	got := schema["type"]
	if list, ok := got.([]any); ok {
		got = list[0]
	}
	if schema["enum"] == nil && schema["const"] == nil && got != types[typ.Kind()] {
		t.Errorf("%s: schema has type %v, Go has %v", path, got, typ)
	}
	switch typ.Kind() {
	case reflect.Slice:
		compareSchema(t, root, schema["items"].(map[string]any), typ.Elem(), path+"[]")
	case reflect.Struct:
		if schema["additionalProperties"] != false {
			t.Errorf("%s: schema allows unknown fields", path)
		}
		left := maps.Clone(schema["properties"].(map[string]any))
		for _, f := range reflect.VisibleFields(typ) {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if f.Anonymous {
				continue
			}
			property, ok := left[name].(map[string]any)
			if !ok {
				t.Errorf("%s.%s: not in the schema", path, name)
				continue
			}
			compareSchema(t, root, property, f.Type, path+"."+name)
			delete(left, name)
		}
		for name := range left {
			t.Errorf("%s.%s: only in the schema", path, name)
		}
	}
}

// Guards against a borrowing limit of 0 that becomes unlimited when it is sent to another
// process: gob omits a pointer to a zero value.
func TestDeltaKeepsZeroLimitOverGob(t *testing.T) {
	m := mustDecode(t, readExample(t, "al-wusta.yaml"))
	m.Version = 1
	zero := 0
	m.Accounts[0].Quota.BorrowingLimit = &zero
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(Diff(nil, m)); err != nil {
		t.Fatal(err)
	}
	var d structs.ManifestDelta
	if err := gob.NewDecoder(&buf).Decode(&d); err != nil {
		t.Fatal(err)
	}
	got, err := Patch(nil, &d)
	if err != nil || !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v, %v", got.Accounts[0].Quota, err)
	}
}
