// Package manifest decodes, validates, compares and stores the manifest, holds the
// version in force, and distributes new versions between processes. The version in
// force of a process never decreases.
package manifest

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
	"sigs.k8s.io/yaml"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

const (
	// MaxBytes limits the size of an encoded manifest in bytes. A manifest of the size
	// that the system is designed for (3,400 workers in racks of three, 57 accounts
	// with guarantees in all of 27 domains) takes 406 KB of JSON.
	MaxBytes = 4 << 20
	// maxFieldErrors limits the number of errors listed: a malformed manifest of 4 MiB
	// can have a million.
	maxFieldErrors = 100
)

//go:embed schema.json
var schemaJSON []byte

// Schema returns the JSON Schema of the manifest (draft 2020-12).
func Schema() []byte { return slices.Clone(schemaJSON) }

// compiledSchema returns the compiled schema. It panics if the embedded file is
// malformed; the tests ensure that it is not.
var compiledSchema = sync.OnceValue(func() *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		panic(err)
	}
	const url = "manifest.json"
	c := jsonschema.NewCompiler()
	if err := c.AddResource(url, doc); err != nil {
		panic(err)
	}
	return c.MustCompile(url)
})

// Error lists the validation errors of a manifest, up to maxFieldErrors. It wraps a
// *verdict.Error whose message contains all of them.
type Error struct {
	// FieldErrors has an error with the path of the field for each invalid field.
	FieldErrors []verdict.Error
	err         *verdict.Error
}

// Error implements error.
func (e *Error) Error() string { return e.err.Error() }

// Unwrap returns the *verdict.Error.
func (e *Error) Unwrap() error { return e.err }

// FieldErrors returns the field errors of err, or nil if err is not an *Error.
func FieldErrors(err error) []verdict.Error {
	var e *Error
	if errors.As(err, &e) {
		return e.FieldErrors
	}
	return nil
}

// fieldErrors collects validation errors, one for each field path.
type fieldErrors []verdict.Error

func (f *fieldErrors) add(field, format string, args ...any) {
	// Keep one more than is listed, so that the message can say that there are more.
	if len(*f) <= maxFieldErrors && !f.has(field) {
		*f = append(*f, *verdict.Invalid(field, format, args...))
	}
}

func (f fieldErrors) has(field string) bool {
	return slices.ContainsFunc(f, func(e verdict.Error) bool { return e.Field == field })
}

// err returns an *Error, or nil if there are no field errors.
func (f fieldErrors) err() error {
	if len(f) == 0 {
		return nil
	}
	var parts []string
	for i, fieldError := range f {
		if i == maxFieldErrors {
			parts = append(parts, "and more")
			break
		}
		parts = append(parts, strings.TrimPrefix(fieldError.Field+": "+fieldError.Message, ": "))
	}
	e := verdict.Invalid(f[0].Field, "faults in the manifest: %s", strings.Join(parts, "; "))
	return &Error{FieldErrors: f[:min(len(f), maxFieldErrors)], err: e.WithRemedy("correct the fields; an entry serves the schema at GET /v1/schema")}
}

// documentMarker matches the start of a YAML document. At the start of a line it cannot
// be part of a value.
var documentMarker = regexp.MustCompile(`(?m)^---(\s|$)`)

// Decode decodes and validates a manifest in YAML or JSON. Unknown and duplicate fields
// are errors. The error is an *Error or has CodeTooLarge.
func Decode(data []byte) (*structs.Manifest, error) {
	if len(data) > MaxBytes {
		return nil, verdict.Refuse(verdict.CodeTooLarge, "manifest of %d bytes is above the limit of %d bytes", len(data), MaxBytes)
	}
	var f fieldErrors
	if at := documentMarker.FindAllIndex(data, -1); len(at) > 1 || len(at) == 1 && hasContent(data[:at[0][0]]) {
		f.add("", "more than one YAML document")
		return nil, f.err()
	}
	text, err := yaml.YAMLToJSONStrict(data)
	if err != nil {
		f.add("", "%v", err)
		return nil, f.err()
	}
	f.checkSchema(text)
	m := &structs.Manifest{}
	if err := json.Unmarshal(text, m); err != nil {
		if len(f) == 0 {
			f.add(jsonPath(err), "%v", err)
		}
		return nil, f.err()
	}
	if !f.has("") { // an error without a field means that data is not an object
		f.checkReferences(m)
	}
	if err := f.err(); err != nil {
		return nil, err
	}
	normalize(m)
	return m, nil
}

// hasContent reports whether text has a line that is neither empty nor a comment nor a
// YAML directive.
func hasContent(text []byte) bool {
	for line := range bytes.Lines(text) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != '#' && line[0] != '%' {
			return true
		}
	}
	return false
}

// jsonPath returns the path of the field that err is about, or "" if it is not known.
func jsonPath(err error) string {
	var e *json.UnmarshalTypeError
	if errors.As(err, &e) {
		return e.Field
	}
	return ""
}

// Validate runs the checks of Decode on m. The error is nil or an *Error.
func Validate(m *structs.Manifest) error {
	var f fieldErrors
	text, err := json.Marshal(m)
	if err != nil {
		f.add("", "%v", err)
		return f.err()
	}
	f.checkSchema(text)
	f.checkReferences(m)
	return f.err()
}

func (f *fieldErrors) checkSchema(text []byte) {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		f.add("", "%v", err)
		return
	}
	var invalid *jsonschema.ValidationError
	if err := compiledSchema().Validate(doc); errors.As(err, &invalid) {
		f.addLeaves(invalid)
	} else if err != nil {
		f.add("", "%v", err)
	}
}

var printer = sync.OnceValue(func() *message.Printer { return message.NewPrinter(language.English) })

// addLeaves adds an error for each leaf of the tree of causes of a schema error.
func (f *fieldErrors) addLeaves(e *jsonschema.ValidationError) {
	for _, c := range e.Causes {
		f.addLeaves(c)
	}
	if len(e.Causes) > 0 {
		return
	}
	path := fieldPath(e.InstanceLocation)
	switch k := e.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		for _, name := range k.Properties {
			f.add(joinPath(path, name), "unknown field")
		}
	case *kind.Required:
		for _, name := range k.Missing {
			f.add(joinPath(path, name), "required")
		}
	case *kind.Pattern:
		f.add(path, "%.80q is no name: 1 to 63 lower-case letters, digits and inner hyphens", k.Got)
	default:
		f.add(path, "%s", e.ErrorKind.LocalizedString(printer()))
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldPath converts a JSON location to a path such as accounts[2].quota.
func fieldPath(location []string) string {
	var b strings.Builder
	for _, part := range location {
		if _, err := strconv.Atoi(part); err == nil {
			fmt.Fprintf(&b, "[%s]", part)
			continue
		}
		if b.Len() > 0 {
			b.WriteByte('.')
		}
		b.WriteString(part)
	}
	return b.String()
}
