package apiclient

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/parsleypier/parsleypier/internal/structs"
)

// Manifest returns a version of the manifest; 0 means the one in force.
func (c *Client) Manifest(ctx context.Context, version uint64) (*structs.Manifest, error) {
	q := url.Values{}
	if version > 0 {
		q.Set("version", strconv.FormatUint(version, 10))
	}
	out := &structs.Manifest{}
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/manifest", query: q, repeatable: true})
	return out, decode(resp, err, out)
}

// CheckManifest validates a manifest document without applying it. Errors:
// bad_request, inadmissible.
func (c *Client) CheckManifest(ctx context.Context, document []byte) (*structs.CheckResponse, error) {
	out := &structs.CheckResponse{}
	resp, err := c.do(ctx, request{method: http.MethodPost, path: "/v1/manifest/check", body: document, repeatable: true})
	return out, decode(resp, err, out)
}

// ApplyManifest puts a manifest document in force as the successor of version
// parent, or of the parent in the document if parent is nil. After an error with
// MayHaveRun, compare the manifest in force with the document. Errors:
// bad_request, inadmissible, conflict.
func (c *Client) ApplyManifest(ctx context.Context, document []byte, parent *uint64) (*structs.CheckResponse, error) {
	q := url.Values{}
	if parent != nil {
		q.Set("parent", strconv.FormatUint(*parent, 10))
	}
	out := &structs.CheckResponse{}
	resp, err := c.do(ctx, request{method: http.MethodPost, path: "/v1/manifest", query: q, body: document})
	return out, decode(resp, err, out)
}

// ManifestHistory returns up to limit accepted manifests, newest first.
func (c *Client) ManifestHistory(ctx context.Context, limit int) (*structs.HistoryResponse, error) {
	q := url.Values{}
	if limit > 0 {
		q.Set("limit", strconv.Itoa(limit))
	}
	out := &structs.HistoryResponse{}
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/manifest/history", query: q, repeatable: true})
	return out, decode(resp, err, out)
}

// View returns a view, whose name is workers, queue, accounts or status, of a
// domain or, if domain is empty, of all.
func (c *Client) View(ctx context.Context, name, domain string) (*structs.ViewResponse, error) {
	q := url.Values{}
	setIfNotEmpty(q, "domain", domain)
	out := &structs.ViewResponse{}
	resp, err := c.do(ctx, request{method: http.MethodGet, path: "/v1/" + name, query: q, repeatable: true})
	return out, decode(resp, err, out)
}
