// Package workerclient is the client of a worker's HTTP protocol, described in
// docs/api-worker.md. Every call has a deadline. Errors are *verdict.Error values
// that say whether the request may have taken effect.
package workerclient

import (
	"math/bits"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// Limits of the protocol.
const (
	// MaxCheckpointBytes limits the checkpoint of one task, so that the
	// checkpoints of a gang of 64 fit in one RPC message of 8 MiB.
	MaxCheckpointBytes = 64 << 10
	// MaxBodyBytes limits a request body.
	MaxBodyBytes = 8 << 20
)

// Paths of the protocol.
const (
	PathInfo       = "/v1/info"
	PathFence      = "/v1/fence"
	PathRun        = "/v1/tasks/run"
	PathRenew      = "/v1/tasks/renew"
	PathStates     = "/v1/tasks/states"
	PathCheckpoint = "/v1/tasks/checkpoint"
	PathThrottle   = "/v1/tasks/throttle"
	PathStop       = "/v1/tasks/stop"
	PathResult     = "/v1/tasks/result"
	PathUsage      = "/v1/usage"
)

// HeaderSHA256 is the header with the SHA-256 checksum of a result, in hex.
const HeaderSHA256 = "X-Result-Sha256"

// Tokens are part of every request about a task; the worker rejects stale ones.
// JSON encodes them as decimal strings because they may exceed 2^53.
type Tokens struct {
	Incarnation int64         `json:"incarnation,string"`
	Fence       structs.Fence `json:"fence,string"`
}

// Info describes a worker.
type Info struct {
	// Boot identifies the worker's process. It changes when the worker restarts
	// and has lost its tasks.
	Boot string `json:"boot"`
	// Incarnation is the highest agent incarnation that the worker was fenced to.
	Incarnation int64 `json:"incarnation,string"`
	// HighestFence is the highest fencing token that the worker has received.
	HighestFence structs.Fence `json:"highest_fence,string"`
	Accelerators int           `json:"accelerators"`
	CoresMilli   int           `json:"cores_milli"`
	MemoryMB     int           `json:"memory_mb"`
	Slots        int           `json:"slots"`
}

// FenceRequest raises the worker's incarnation.
type FenceRequest struct {
	Incarnation int64 `json:"incarnation,string"`
}

// RunRequest starts a task. A request that repeats the ID and tokens of a running
// task has no further effect.
type RunRequest struct {
	Tokens
	ID     string `json:"id"`
	JobID  string `json:"job_id"`
	GangID string `json:"gang_id"`
	// Accelerators are the indices of the task's accelerators on the worker.
	Accelerators []int  `json:"accelerators"`
	CoresMilli   int    `json:"cores_milli"`
	MemoryMB     int    `json:"memory_mb"`
	Kind         string `json:"kind"`
	Rank         int    `json:"rank"`
	Size         int    `json:"size"`
	Payload      []byte `json:"payload,omitempty"`
	Checkpoint   []byte `json:"checkpoint,omitempty"`
	LeaseMS      int64  `json:"lease_ms"`
}

// RenewRequest renews the leases of tasks.
type RenewRequest struct {
	Incarnation int64    `json:"incarnation,string"`
	IDs         []string `json:"ids"`
	LeaseMS     int64    `json:"lease_ms"`
}

// TaskStatus is the state of a task.
type TaskStatus struct {
	ID      string            `json:"id"`
	State   structs.TaskState `json:"state"`
	Message string            `json:"message,omitempty"`
}

// RenewReply has the state of each requested task that the worker knows.
type RenewReply struct {
	Boot  string       `json:"boot"`
	Tasks []TaskStatus `json:"tasks"`
}

// StatesReply has the tasks whose state changed after the requested version.
type StatesReply struct {
	Boot string `json:"boot"`
	// Incarnation is the one that the worker is fenced to. A change of it also
	// increases the version.
	Incarnation int64        `json:"incarnation,string"`
	Version     uint64       `json:"version"`
	Tasks       []TaskStatus `json:"tasks"`
}

// TaskRequest identifies a task for a checkpoint, throttle, stop or result call.
type TaskRequest struct {
	Tokens
	ID string `json:"id"`
	// Hold suspends the task after its checkpoint.
	Hold bool `json:"hold,omitempty"`
	// Percent is the speed that a throttle call sets, from 0 to 100.
	Percent int `json:"percent,omitempty"`
}

// CheckpointReply contains a checkpoint.
type CheckpointReply struct {
	Checkpoint []byte `json:"checkpoint"`
}

// UsageReply has the resources that the worker's tasks use.
type UsageReply struct {
	CoresMilli int `json:"cores_milli"`
	MemoryMB   int `json:"memory_mb"`
	// LagMS is the age of the measurements, in milliseconds.
	LagMS int64 `json:"lag_ms"`
}

// SetBits returns the positions of the set bits of mask, in ascending order.
func SetBits(mask uint64) []int {
	list := make([]int, 0, bits.OnesCount64(mask))
	for ; mask != 0; mask &= mask - 1 {
		list = append(list, bits.TrailingZeros64(mask))
	}
	return list
}
