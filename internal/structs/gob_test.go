package structs

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"
)

// Guards against pointers to false or 0 that gob drops, so that the receiver
// takes the field as unset.
func TestGobKeepsPointersToZeroValues(t *testing.T) {
	zero, no := 0, false
	type message struct {
		Quota Quota
		Args  SubmitArgs
	}
	in := message{
		Quota: Quota{Accelerators: 8, BorrowingLimit: &zero},
		Args:  SubmitArgs{Domain: "muscat", Spec: JobSpec{Account: "a", Idempotent: &no, Checkpointable: &no, Payload: []byte{0, 1}}},
	}
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(in); err != nil {
		t.Fatal(err)
	}
	var out message
	if err := gob.NewDecoder(&buf).Decode(&out); err != nil || !reflect.DeepEqual(in, out) {
		t.Errorf("sent %+v, received %+v, error %v", in, out, err)
	}
}
