package platformstub

import (
	"bytes"
	"context"

	"github.com/parsleypier/parsleypier/internal/platformclient"
	"github.com/parsleypier/parsleypier/internal/verdict"
)

// InProcess returns a client that calls the server without a network, with the
// same faults. It is for tests in a synctest bubble, where a goroutine that is
// blocked in network I/O keeps the fake clock from advancing.
func (s *Server) InProcess() *InProcess { return &InProcess{s: s} }

// InProcess implements platformclient.Table and platformclient.Objects.
type InProcess struct{ s *Server }

var (
	_ platformclient.Table   = (*InProcess)(nil)
	_ platformclient.Objects = (*InProcess)(nil)
)

// outcomeError returns the error for an outcome, or nil if the request was served
// before ctx ended.
func outcomeError(ctx context.Context, result outcome, write bool) error {
	switch {
	case result == dropped && write, ctx.Err() != nil && write && result == served:
		return verdict.New(verdict.MayHaveRun, verdict.CodePlatformUnavailable, "no answer")
	case result != served || ctx.Err() != nil:
		return verdict.Refuse(verdict.CodePlatformUnavailable, "out of service")
	}
	return nil
}

// Get implements platformclient.Table.
func (c *InProcess) Get(ctx context.Context, key string) (platformclient.Row, error) {
	var row platformclient.Row
	var ok bool
	result := c.s.do(ctx, true /* table */, false /* write */, func(bool) {
		row, ok = c.s.contents.rows[key]
		c.s.counters.RowsRead++
	})
	if err := outcomeError(ctx, result, false); err != nil {
		return platformclient.Row{}, err
	}
	if !ok {
		return row, verdict.Refuse(verdict.CodeNotFound, "row %s", key)
	}
	row.Value = bytes.Clone(row.Value)
	return row, nil
}

// List implements platformclient.Table.
func (c *InProcess) List(ctx context.Context, prefix, after string, limit int) ([]platformclient.Row, error) {
	var rows []platformclient.Row
	result := c.s.do(ctx, true /* table */, false /* write */, func(bool) {
		rows, _ = c.s.contents.list(prefix, after, limit)
		c.s.counters.RowsRead += int64(len(rows))
	})
	return rows, outcomeError(ctx, result, false)
}

// Commit implements platformclient.Table.
func (c *InProcess) Commit(ctx context.Context, txn platformclient.Txn) (map[string]uint64, error) {
	if err := checkTxn(txn); err != nil {
		return nil, verdict.Refuse(verdict.CodeBadRequest, "%v", err)
	}
	var versions map[string]uint64
	var conflicts []platformclient.Check
	result := c.s.do(ctx, true /* table */, true /* write */, func(lost bool) { versions, conflicts = c.s.apply(txn, lost) })
	if err := outcomeError(ctx, result, true); err != nil {
		return nil, err
	}
	if conflicts != nil {
		return nil, platformclient.NewConflict(conflicts)
	}
	return versions, nil
}

// PutObject implements platformclient.Objects.
func (c *InProcess) PutObject(ctx context.Context, name string, data []byte) error {
	result := c.s.do(ctx, false /* table */, true /* write */, func(bool) {
		c.s.contents.objects[name] = bytes.Clone(data)
		c.s.counters.ObjectsWritten++
	})
	return outcomeError(ctx, result, true)
}

// GetObject implements platformclient.Objects.
func (c *InProcess) GetObject(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	var ok bool
	result := c.s.do(ctx, false /* table */, false /* write */, func(bool) {
		data, ok = c.s.contents.objects[name]
		c.s.counters.ObjectsRead++
	})
	if err := outcomeError(ctx, result, false); err != nil {
		return nil, err
	}
	if !ok {
		return nil, verdict.Refuse(verdict.CodeNotFound, "object %s", name)
	}
	return bytes.Clone(data), nil
}
