package entry

import (
	"fmt"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// Bounds of the numbers in a job. They are far above any declared hardware and
// prevent overflow in sums and durations.
const (
	maxSeconds    = 366 * 24 * 3600
	maxCoresMilli = 10_000_000
	maxMemoryMB   = 100_000_000
	maxPerWorker  = 64 // accelerators
)

// validateFilter decodes the job and validates it against the manifest in force.
func (s *Server) validateFilter(next handler) handler {
	return func(x *exchange) error {
		body, err := x.readBody()
		if err != nil {
			return err
		}
		sub := x.submission
		if sub.spec, err = decodeJob(body); err != nil {
			return err
		}
		if err := sub.resolveRequestKey(); err != nil {
			return err
		}
		if sub.spec.Account == "" {
			sub.spec.Account = x.account
		}
		if x.account != "" && x.account != sub.spec.Account {
			return verdict.Invalid("account", "differs from the header %s", structs.HeaderAccount)
		}
		if err := s.validate(sub); err != nil {
			return err
		}
		x.jobID = structs.JobID(sub.spec.Account, sub.requestKey)
		if x.account == "" {
			x.account = sub.spec.Account
			release, err := s.accountSlots.acquire(x.account)
			if err != nil {
				return err
			}
			defer release()
		}
		return next(x)
	}
}

// validate checks the job against the manifest in force. It sets the domains that
// can hold the job and whether the job is idempotent.
func (s *Server) validate(sub *submission) error {
	m := s.cfg.Manifests.Current()
	if m == nil {
		return verdict.Refuse(verdict.CodeUnavailable, "no manifest is in force yet")
	}
	account := m.Account(sub.spec.Account)
	if account == nil {
		return fieldError("account", verdict.CodeUnknownAccount, "the manifest in force has no account %q", sub.spec.Account)
	}
	kind := m.Kind(sub.spec.Kind)
	if kind == nil {
		return fieldError("kind", verdict.CodeUnknownKind, "the manifest in force has no kind %q", sub.spec.Kind)
	}
	if n, limit := len(sub.spec.Payload), payloadLimit(m); n > limit {
		return fieldError("payload", verdict.CodeTooLarge, "has %d bytes, the limit is %d", n, limit)
	}
	if err := checkDurations(&sub.spec); err != nil {
		return err
	}
	shape := kind.Shape
	if sub.spec.Shape != nil {
		shape = *sub.spec.Shape
		if err := checkShape(shape); err != nil {
			return err
		}
	}
	if err := checkQuota(account, shape); err != nil {
		return err
	}
	sub.idempotent = kind.Idempotent
	if sub.spec.Idempotent != nil {
		sub.idempotent = *sub.spec.Idempotent
	}
	sub.domains = fittingDomains(m, account, kind, shape)
	if len(sub.domains) == 0 {
		return fieldError("shape", verdict.CodeNeverFits, "no hardware declared in the account's domains holds %s", describeShape(shape)).
			WithRemedy("ask for fewer workers or accelerators, or for less adjacency")
	}
	return nil
}

// fieldError returns an error with the verdict NotRun for a field of the request.
func fieldError(field string, code verdict.Code, format string, args ...any) *verdict.Error {
	e := verdict.Refuse(code, format, args...)
	e.Field = field
	return e
}

func checkDurations(spec *structs.JobSpec) error {
	for _, f := range []struct {
		name  string
		value float64
	}{{"runSeconds", spec.RunSeconds}, {"deadlineSeconds", spec.DeadlineSeconds}} {
		if !(f.value >= 0 && f.value <= maxSeconds) {
			return verdict.Invalid(f.name, "is not between 0 and %d seconds", maxSeconds)
		}
	}
	if spec.DeadlineSeconds > 0 && spec.RunSeconds > spec.DeadlineSeconds {
		return fieldError("deadlineSeconds", verdict.CodeDeadline, "the declared run time of %g s does not fit into the deadline of %g s", spec.RunSeconds, spec.DeadlineSeconds)
	}
	return nil
}

func checkShape(s structs.Shape) error {
	for _, f := range []struct {
		name            string
		value, min, max int
	}{
		{"workers", s.Workers, 1, structs.MaxGangWorkers},
		{"accelerators", s.Accelerators, 0, maxPerWorker},
		{"coresMilli", s.CoresMilli, 0, maxCoresMilli},
		{"memoryMB", s.MemoryMB, 0, maxMemoryMB},
	} {
		if f.value < f.min || f.value > f.max {
			return verdict.Invalid("shape."+f.name, "is %d, not between %d and %d", f.value, f.min, f.max)
		}
	}
	if s.Total() > structs.MaxGangAccelerators {
		return verdict.Invalid("shape", "has %d accelerators, a gang holds at most %d", s.Total(), structs.MaxGangAccelerators)
	}
	switch s.Adjacency {
	case "", structs.AdjacentNone, structs.AdjacentWorker, structs.AdjacentRack, structs.AdjacentZone:
		return nil
	}
	return verdict.Invalid("shape.adjacency", "is %q, not none, worker, rack or zone", s.Adjacency)
}

// checkQuota checks the accelerators of the shape against the account's quota, and
// against its guarantees plus the borrowing limit.
func checkQuota(a *structs.Account, shape structs.Shape) error {
	total := shape.Total()
	if q := a.Quota.Accelerators; q > 0 && total > q {
		return fieldError("shape", verdict.CodeOverQuota, "has %d accelerators, the account's quota is %d", total, q)
	}
	if a.Quota.BorrowingLimit == nil {
		return nil
	}
	guaranteed := 0
	for _, g := range a.Guarantee {
		guaranteed += g.Shape.Total() * max(1, g.Count)
	}
	if limit := guaranteed + *a.Quota.BorrowingLimit; total > limit {
		return fieldError("shape", verdict.CodeOverQuota, "has %d accelerators, the account's guarantee and borrowing limit allow %d", total, limit)
	}
	return nil
}

// fittingDomains returns the domains of the account whose declared hardware could
// hold the shape if all of it were idle.
func fittingDomains(m *structs.Manifest, a *structs.Account, k *structs.Kind, shape structs.Shape) []string {
	var fitting []string
	for _, domain := range a.Domains {
		if m.Holds(domain, k, shape) {
			fitting = append(fitting, domain)
		}
	}
	return fitting
}

func describeShape(s structs.Shape) string {
	return fmt.Sprintf("%d workers with %d accelerators each (adjacency %q, %d millicores, %d MB)",
		s.Workers, s.Accelerators, s.Adjacency, s.CoresMilli, s.MemoryMB)
}
