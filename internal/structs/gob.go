package structs

import "encoding/json"

// Quota and JobSpec are encoded as JSON inside gob messages, because gob omits a
// pointer to a zero value. A BorrowingLimit of 0 would arrive as nil, which means
// no limit, and an Idempotent of false as nil, which means the kind's default.

// GobEncode implements gob.GobEncoder.
func (q Quota) GobEncode() ([]byte, error) { return json.Marshal(q) }

// GobDecode implements gob.GobDecoder.
func (q *Quota) GobDecode(data []byte) error {
	*q = Quota{}
	return json.Unmarshal(data, q)
}

// GobEncode implements gob.GobEncoder.
func (s JobSpec) GobEncode() ([]byte, error) { return json.Marshal(s) }

// GobDecode implements gob.GobDecoder.
func (s *JobSpec) GobDecode(data []byte) error {
	*s = JobSpec{}
	return json.Unmarshal(data, s)
}
