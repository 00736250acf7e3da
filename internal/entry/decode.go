package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// decodeJob decodes a job submission. See decodeStrict for the errors.
func decodeJob(body []byte) (structs.JobSpec, error) {
	var spec structs.JobSpec
	return spec, decodeStrict(body, &spec)
}

// decodeStrict decodes a JSON document into v. Unknown fields, repeated fields
// and data after the document are errors. Every error has the code bad_request
// and the verdict NotRun.
func decodeStrict(body []byte, v any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return verdict.Refuse(verdict.CodeBadRequest, "there is data after the JSON document")
	}
	if name := repeatedField(body); name != "" {
		return verdict.Invalid(name, "is given twice")
	}
	return nil
}

func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return verdict.Invalid(typeErr.Field, "is a JSON %s, not a %s", typeErr.Value, typeErr.Type)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return verdict.Invalid(strings.Trim(name, `"`), "is not a field of the request")
	}
	return verdict.Refuse(verdict.CodeBadRequest, "the body is not valid JSON: %v", err)
}

// repeatedField returns the path of the first field that occurs twice in an
// object, or "" if there is none. The body must be valid JSON. Names are compared
// without regard to case because encoding/json decodes names that differ only in
// case into the same field.
func repeatedField(body []byte) string {
	type level struct {
		seen map[string]bool // nil in an array
		name string          // the field that is being decoded
	}
	var stack []level
	dec := json.NewDecoder(bytes.NewReader(body))
	// expectName says that the next token is a field name.
	for expectName := false; ; {
		token, err := dec.Token()
		if err != nil {
			return ""
		}
		top := len(stack) - 1
		switch t := token.(type) {
		case json.Delim:
			switch t {
			case '{':
				stack = append(stack, level{seen: map[string]bool{}})
			case '[':
				stack = append(stack, level{})
			default:
				stack = stack[:top]
			}
			expectName = len(stack) > 0 && stack[len(stack)-1].seen != nil
			continue
		case string:
			if expectName {
				folded := strings.ToLower(t)
				if stack[top].seen[folded] {
					return fieldPath(t, len(stack), func(i int) string { return stack[i].name })
				}
				stack[top].seen[folded], stack[top].name = true, t
				expectName = false
				continue
			}
		}
		expectName = len(stack) > 0 && stack[top].seen != nil
	}
}

// fieldPath joins the field names of the enclosing objects and name with dots.
// Arrays have no name and are left out.
func fieldPath(name string, depth int, at func(int) string) string {
	var b strings.Builder
	for i := range depth - 1 {
		if n := at(i); n != "" {
			fmt.Fprintf(&b, "%s.", n)
		}
	}
	return b.String() + name
}
