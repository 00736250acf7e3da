// Package structs defines the types that the processes share: the manifest, jobs,
// the scheduler's snapshot and plan, and the messages of the HTTP API and of RPC.
//
// An entry is a process that serves the HTTP API. The workers are divided into
// domains, and each domain is scheduled by the entry that owns it. An agent is the
// process beside a worker that runs the worker's tasks. A gang is the set of tasks
// of one attempt to run a job, with one task on each of its workers.
package structs

import "time"

// APIVersion is the only manifest format that is accepted.
const APIVersion = "parsleypier/v1"

// Manifest is the configuration in force: client accounts, job kinds,
// hardware, limits and weights.
type Manifest struct {
	APIVersion string `json:"apiVersion"`
	// Deployment is the name of the deployment for display.
	Deployment string `json:"deployment"`
	// Version increases by one with each accepted manifest. It is set on
	// acceptance and ignored in a submitted manifest.
	Version uint64 `json:"version,omitempty"`
	// Parent is the version that this manifest replaces; 0 for the first.
	Parent   uint64     `json:"parent,omitempty"`
	Weights  Weights    `json:"weights"`
	Limits   Limits     `json:"limits,omitzero"`
	Hardware []Hardware `json:"hardware"`
	Accounts []Account  `json:"accounts"`
	Kinds    []Kind     `json:"kinds"`
}

// Weights are the relative weights of completion time and fragmentation in
// scheduling decisions. Only their ratio matters.
type Weights struct {
	Completion    float64 `json:"completion"`
	Fragmentation float64 `json:"fragmentation"`
}

// Limits limits what the system accepts. A zero field means the default.
type Limits struct {
	// MaxWaiting limits the waiting jobs of a domain.
	MaxWaiting int `json:"maxWaiting,omitempty"`
	// MaxPayloadBytes limits the payload of a job.
	MaxPayloadBytes int `json:"maxPayloadBytes,omitempty"`
	// UrgentStartSeconds is the time within which an urgent job inside its
	// account's guarantee must start.
	UrgentStartSeconds float64 `json:"urgentStartSeconds,omitempty"`
}

// Defaults of Limits, and the size limits of results. Results up to
// MaxInlineResultBytes are stored in the job's row, larger ones as objects.
const (
	DefaultMaxWaiting         = 5000
	DefaultMaxPayloadBytes    = 256 << 10
	DefaultUrgentStartSeconds = 9.7
	MaxResultBytes            = 1 << 20
	MaxInlineResultBytes      = 8 << 10
)

// Hardware declares a number of identical workers in one rack.
type Hardware struct {
	Domain string `json:"domain"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	Rack   string `json:"rack"`
	// Class names the hardware generation, such as "new" or "old".
	Class   string `json:"class"`
	Workers int    `json:"workers"`
	WorkerCapacity
}

// WorkerCapacity is the capacity of one worker.
type WorkerCapacity struct {
	// Accelerators is 0 to 64.
	Accelerators int `json:"accelerators"`
	// CoresMilli is in thousandths of a CPU core.
	CoresMilli int `json:"coresMilli"`
	MemoryMB   int `json:"memoryMB"`
	// Slots is the maximum number of concurrent tasks.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections to the worker.
	Connections int `json:"connections"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Domains lists where the account's jobs may run, in order of preference.
	Domains []string `json:"domains"`
	// Guarantee lists shapes that the account can run at any time, all of them
	// together.
	Guarantee []Guarantee `json:"guarantee,omitempty"`
	Quota     Quota       `json:"quota"`
	// Weight is the account's relative share of the capacity beyond all guarantees;
	// 0 means 1.
	Weight float64 `json:"weight,omitempty"`
}

// Guarantee guarantees room for Count gangs of a shape in a domain.
type Guarantee struct {
	// Domain defaults to the account's first domain if empty.
	Domain string `json:"domain,omitempty"`
	Shape  Shape  `json:"shape"`
	// Count defaults to 1 if zero.
	Count int `json:"count,omitempty"`
}

// Quota limits an account.
type Quota struct {
	// Accelerators limits the accelerators that the account uses at a time; 0 means
	// no limit.
	Accelerators int `json:"accelerators,omitempty"`
	// BorrowingLimit limits the accelerators that the account uses beyond its
	// guarantee; nil means no limit.
	BorrowingLimit *int `json:"borrowingLimit,omitempty"`
	// MaxWaiting limits the account's waiting jobs; 0 means the domain's limit.
	MaxWaiting int `json:"maxWaiting,omitempty"`
	// RatePerSecond and Burst limit the account's submissions at each entry; 0
	// means no limit.
	RatePerSecond float64 `json:"ratePerSecond,omitempty"`
	Burst         int     `json:"burst,omitempty"`
}

// Urgency is the priority class of a job kind.
type Urgency string

// The urgencies, most urgent first.
const (
	Urgent   Urgency = "urgent"
	Standard Urgency = "standard"
	Batch    Urgency = "batch"
)

// Kind is a job kind.
type Kind struct {
	Name    string  `json:"name"`
	Urgency Urgency `json:"urgency"`
	// Idempotent jobs may run more than once.
	Idempotent bool `json:"idempotent"`
	// Checkpointable jobs can be stopped at a checkpoint and resumed.
	Checkpointable bool `json:"checkpointable"`
	// Shape is the default for jobs that declare no shape.
	Shape Shape `json:"shape"`
	// RunSeconds is the default for jobs that declare no run time.
	RunSeconds float64 `json:"runSeconds"`
	// Classes lists suitable hardware classes, best first; empty means all.
	Classes []string `json:"classes,omitempty"`
	// Attempts limits the attempts of an idempotent job; 0 means DefaultAttempts.
	Attempts int `json:"attempts,omitempty"`
	// ResultBytes is the maximum size of a result; 0 means MaxResultBytes.
	ResultBytes int `json:"resultBytes,omitempty"`
}

// DefaultAttempts is the default limit of attempts of an idempotent job.
const DefaultAttempts = 3

// Adjacency says how close the accelerators of a gang must be.
type Adjacency string

// The adjacency requirements. Each implies the one listed before it, except that
// AdjacentZone does not imply AdjacentRack.
const (
	// AdjacentNone allows any accelerators.
	AdjacentNone Adjacency = "none"
	// AdjacentWorker requires consecutive accelerators in each worker.
	AdjacentWorker Adjacency = "worker"
	// AdjacentRack requires consecutive accelerators in each worker and all workers
	// in one rack.
	AdjacentRack Adjacency = "rack"
	// AdjacentZone requires consecutive accelerators in each worker and all workers
	// in one zone.
	AdjacentZone Adjacency = "zone"
)

// MaxGangWorkers and MaxGangAccelerators limit the size of a gang.
const (
	MaxGangWorkers      = 64
	MaxGangAccelerators = 512
)

// Shape is the resource request of a gang. Each of its workers provides the same.
type Shape struct {
	// Workers is the number of distinct workers, 1 to MaxGangWorkers.
	Workers int `json:"workers"`
	// Accelerators is the number on each worker, 0 to 64.
	Accelerators int       `json:"accelerators"`
	Adjacency    Adjacency `json:"adjacency,omitempty"`
	// CoresMilli and MemoryMB are needed on each worker.
	CoresMilli int `json:"coresMilli,omitempty"`
	MemoryMB   int `json:"memoryMB,omitempty"`
}

// Total returns the number of accelerators on all workers.
func (s Shape) Total() int { return s.Workers * s.Accelerators }

// Seconds converts a number of seconds to a Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Account returns the account with the name, or nil.
func (m *Manifest) Account(name string) *Account {
	for i := range m.Accounts {
		if m.Accounts[i].Name == name {
			return &m.Accounts[i]
		}
	}
	return nil
}

// Kind returns the job kind with the name, or nil.
func (m *Manifest) Kind(name string) *Kind {
	for i := range m.Kinds {
		if m.Kinds[i].Name == name {
			return &m.Kinds[i]
		}
	}
	return nil
}

// Holds reports whether a job of the kind and shape fits on the hardware that is
// declared for the domain, if all of it is free.
func (m *Manifest) Holds(domain string, k *Kind, shape Shape) bool {
	// The suitable workers by rack or zone, as the adjacency requires; under the
	// key "" if the gang may use workers of the whole domain.
	workers := map[string]int{}
	for i := range m.Hardware {
		h := &m.Hardware[i]
		if h.Domain != domain || !suitable(h, k, shape) {
			continue
		}
		group := ""
		switch shape.Adjacency {
		case AdjacentRack:
			group = h.Region + "/" + h.Zone + "/" + h.Rack
		case AdjacentZone:
			group = h.Region + "/" + h.Zone
		}
		workers[group] += h.Workers
		if workers[group] >= shape.Workers {
			return true
		}
	}
	return false
}

// suitable reports whether each worker of the hardware meets the shape's needs
// for one worker.
func suitable(h *Hardware, k *Kind, shape Shape) bool {
	classMatches := len(k.Classes) == 0
	for _, c := range k.Classes {
		classMatches = classMatches || c == h.Class
	}
	return classMatches && h.Slots != 0 && h.Accelerators >= shape.Accelerators &&
		h.CoresMilli >= shape.CoresMilli && h.MemoryMB >= shape.MemoryMB
}
