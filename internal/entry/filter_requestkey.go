package entry

import (
	"github.com/oklog/ulid/v2"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// maxKeyBytes limits the length of request keys, account names and job IDs.
const maxKeyBytes = 128

// requestKeyFilter reads the request key from the request header.
func (s *Server) requestKeyFilter(next handler) handler {
	return func(x *exchange) error {
		x.submission = &submission{requestKey: x.request.Header.Get(structs.HeaderRequestKey)}
		if err := checkName("header "+structs.HeaderRequestKey, x.submission.requestKey); err != nil {
			return err
		}
		return next(x)
	}
}

// resolveRequestKey sets the request key from the header or the decoded body. If
// neither has one it generates a unique key, so that the request always creates
// a new job. It returns an error if both have one and the keys differ, or if the key
// in the body is not a valid name.
func (sub *submission) resolveRequestKey() error {
	inBody := sub.spec.RequestKey
	if err := checkName("requestKey", inBody); err != nil {
		return err
	}
	switch {
	case sub.requestKey == "" && inBody == "":
		sub.requestKey = ulid.Make().String()
	case sub.requestKey == "":
		sub.requestKey = inBody
	case inBody != "" && inBody != sub.requestKey:
		return verdict.Invalid("requestKey", "differs from the header %s", structs.HeaderRequestKey)
	}
	sub.spec.RequestKey = sub.requestKey
	return nil
}

// checkName returns an error unless name consists of at most maxKeyBytes
// printable ASCII characters without spaces. An empty name is valid.
func checkName(field, name string) error {
	if len(name) > maxKeyBytes {
		return verdict.Invalid(field, "is longer than %d bytes", maxKeyBytes)
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return verdict.Invalid(field, "has a character that is not printable ASCII")
		}
	}
	return nil
}
