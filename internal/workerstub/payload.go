package workerstub

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"time"
)

// Defaults and limits of a payload.
const (
	defaultRun         = 50 * time.Millisecond
	defaultResultBytes = 32
	maxResultBytes     = 4 << 20
)

// Payload says what a simulated task does.
type Payload struct {
	// RunMS is the run time at full speed in milliseconds.
	RunMS int64 `json:"run_ms"`
	// ResultBytes is the length of the result of rank 0; 0 means 32.
	ResultBytes int `json:"result_bytes"`
	// Fail makes every rank fail at its end.
	Fail bool `json:"fail"`
	// ExitRank is the rank that fails halfway through its run time; -1 means none.
	ExitRank int `json:"exit_rank"`
}

// ParsePayload decodes a payload. If it is not a JSON object with valid fields of
// Payload, the task runs for 50 ms and succeeds.
func ParsePayload(data []byte) Payload {
	fallback := Payload{RunMS: defaultRun.Milliseconds(), ResultBytes: defaultResultBytes, ExitRank: -1}
	p := fallback
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&p); err != nil || p.RunMS < 0 || p.ResultBytes < 0 || p.ResultBytes > maxResultBytes {
		return fallback
	}
	if p.ResultBytes == 0 {
		p.ResultBytes = defaultResultBytes
	}
	return p
}

// ExpectedResult returns the result of rank 0 of a gang of size tasks that ran the
// payload for the job.
func ExpectedResult(payload []byte, jobID string, size int) []byte {
	n := ParsePayload(payload).ResultBytes
	sum := sha256.Sum256(payload)
	seed := append(sum[:], jobID...)
	seed = binary.BigEndian.AppendUint32(seed, uint32(size))
	result := make([]byte, 0, n+sha256.Size)
	for block := uint32(0); len(result) < n; block++ {
		sum := sha256.Sum256(binary.BigEndian.AppendUint32(seed, block))
		result = append(result, sum[:]...)
	}
	return result[:n]
}

// checkpoint is the content of a checkpoint: the progress of a task.
type checkpoint struct {
	DoneMS int64 `json:"done_ms"`
}
