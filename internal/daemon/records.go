package daemon

import (
	"context"
	"encoding/json"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// records reads durable job records from the platform. It implements
// entry.Records.
type records struct {
	table   platformclient.Table
	objects platformclient.Objects
}

// Job returns the record of a job with its complete and verified result. Error
// codes: not_found, platform_unavailable, internal.
func (r records) Job(ctx context.Context, id string) (*structs.Job, error) {
	row, err := r.table.Get(ctx, structs.JobRowKey(id))
	if err != nil {
		return nil, err
	}
	var job structs.Job
	if err := json.Unmarshal(row.Value, &job); err != nil {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "row %s: %v", row.Key, err)
	}
	if job.Result == nil {
		return &job, nil
	}
	if job.Result.Data == nil && job.Result.Object != "" {
		if job.Result.Data, err = r.objects.GetObject(ctx, job.Result.Object); err != nil {
			return nil, verdict.From(err).WithVerdict(job.Verdict)
		}
	}
	if err := job.Result.Check(); err != nil {
		return nil, err
	}
	return &job, nil
}
