package workerstub

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/parsleypier/parsleypier/internal/structs"
	"github.com/parsleypier/parsleypier/internal/verdict"
	"github.com/parsleypier/parsleypier/internal/workerclient"
)

// maxPollWait limits the wait of a long poll.
const maxPollWait = time.Minute

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	EventStart EventKind = "start"
	EventEnd   EventKind = "end"
	// EventBoot is written to Config.Log only, when the worker starts. All earlier
	// tasks have ended by then.
	EventBoot EventKind = "boot"
)

// Event is the start or end of a task, or the start of the worker. The worker keeps
// the latest events of tasks in memory, as its history, and writes all events to
// Config.Log.
type Event struct {
	// TimeNS is the wall-clock time in nanoseconds since the Unix epoch.
	TimeNS       int64         `json:"time_ns"`
	Event        EventKind     `json:"event"`
	ID           string        `json:"id"`
	JobID        string        `json:"job_id"`
	GangID       string        `json:"gang_id"`
	Fence        structs.Fence `json:"fence,string"`
	Incarnation  int64         `json:"incarnation,string"`
	Rank         int           `json:"rank"`
	Size         int           `json:"size"`
	Accelerators []int         `json:"accelerators"`
	// Outcome is the final state and Message its reason; both are empty for a
	// start.
	Outcome string `json:"outcome,omitempty"`
	Message string `json:"message,omitempty"`
	// Resumed says that the task started from a checkpoint.
	Resumed bool `json:"resumed,omitempty"`
	// DoneMS is the progress in milliseconds of run time at full speed.
	DoneMS int64 `json:"done_ms"`
}

// recordEvent adds an event to the history and writes it to Config.Log. The caller
// must hold w.mu.
func (w *Worker) recordEvent(t *task, kind EventKind, outcome string) {
	e := Event{
		TimeNS: time.Now().UnixNano(), Event: kind, ID: t.req.ID, JobID: t.req.JobID, GangID: t.req.GangID,
		Fence: t.req.Fence, Incarnation: t.req.Incarnation, Rank: t.req.Rank, Size: t.req.Size,
		Accelerators: t.req.Accelerators, Outcome: outcome, Message: t.message, DoneMS: t.done.Milliseconds(),
		Resumed: len(t.req.Checkpoint) > 0,
	}
	w.history = append(w.history, e)
	w.writeToLog(e)
	if len(w.history) > w.cfg.History {
		w.history = w.history[len(w.history)-w.cfg.History:]
	}
}

func (w *Worker) writeToLog(e Event) {
	if w.cfg.Log == nil {
		return
	}
	if err := json.NewEncoder(w.cfg.Log).Encode(e); err != nil {
		panic(err) // a check of an incomplete history would be meaningless
	}
}

// History returns the kept events, oldest first.
func (w *Worker) History() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Event(nil), w.history...)
}

// Handler returns a handler for the worker protocol, POST /debug/mode and GET
// /debug/history.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	get := func(path string, f func(*http.Request) (any, error)) { mux.Handle("GET "+path, w.handlerFor(f)) }
	get(workerclient.PathInfo, func(r *http.Request) (any, error) { return w.Info(r.Context()) })
	get(workerclient.PathStates, w.serveStates)
	get(workerclient.PathUsage, func(r *http.Request) (any, error) {
		u, err := w.Usage(r.Context())
		return workerclient.UsageReply{CoresMilli: u.CoresMilli, MemoryMB: u.MemoryMB, LagMS: u.Lag.Milliseconds()}, err
	})
	mux.Handle("POST "+workerclient.PathFence, post(w, func(ctx context.Context, r workerclient.FenceRequest) (any, error) {
		return struct{}{}, w.Fence(ctx, r.Incarnation)
	}))
	mux.Handle("POST "+workerclient.PathRun, post(w, func(ctx context.Context, r workerclient.RunRequest) (any, error) {
		return struct{}{}, w.Run(ctx, &r)
	}))
	mux.Handle("POST "+workerclient.PathRenew, post(w, func(ctx context.Context, r workerclient.RenewRequest) (any, error) {
		return w.Renew(ctx, &r)
	}))
	mux.Handle("POST "+workerclient.PathCheckpoint, post(w, func(ctx context.Context, r workerclient.TaskRequest) (any, error) {
		data, err := w.Checkpoint(ctx, r)
		return workerclient.CheckpointReply{Checkpoint: data}, err
	}))
	mux.Handle("POST "+workerclient.PathThrottle, post(w, func(ctx context.Context, r workerclient.TaskRequest) (any, error) {
		return struct{}{}, w.Throttle(ctx, r)
	}))
	mux.Handle("POST "+workerclient.PathStop, post(w, func(ctx context.Context, r workerclient.TaskRequest) (any, error) {
		return w.Stop(ctx, r)
	}))
	mux.Handle("POST "+workerclient.PathResult, post(w, func(ctx context.Context, r workerclient.TaskRequest) (any, error) {
		data, err := w.Result(ctx, r, 0)
		return resultBody(data), err
	}))
	mux.HandleFunc("POST /debug/mode", func(rw http.ResponseWriter, req *http.Request) {
		var m Mode
		if err := decode(req, &m); err != nil {
			writeError(rw, err)
			return
		}
		w.SetMode(m)
	})
	mux.HandleFunc("GET /debug/history", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, w.History())
	})
	return mux
}

// resultBody is a response body that is sent as it is, not as JSON, with its
// checksum.
type resultBody []byte

func (w *Worker) serveStates(req *http.Request) (any, error) {
	since, err := strconv.ParseUint(req.URL.Query().Get("since"), 10, 64)
	if err != nil {
		return nil, verdict.Invalid("since", "%v", err)
	}
	ms, err := strconv.ParseInt(req.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || ms < 0 {
		return nil, verdict.Invalid("wait_ms", "must be a number of milliseconds")
	}
	return w.States(req.Context(), since, min(time.Duration(ms)*time.Millisecond, maxPollWait))
}

// post returns a handler that decodes the request body and passes it to f.
func post[T any](w *Worker, f func(context.Context, T) (any, error)) http.Handler {
	return w.handlerFor(func(req *http.Request) (any, error) {
		var body T
		if err := decode(req, &body); err != nil {
			return nil, err
		}
		return f(req.Context(), body)
	})
}

func decode(req *http.Request, body any) error {
	dec := json.NewDecoder(http.MaxBytesReader(nil, req.Body, workerclient.MaxBodyBytes))
	if err := dec.Decode(body); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return verdict.Refuse(verdict.CodeTooLarge, "%v", err)
		}
		return verdict.Refuse(verdict.CodeBadRequest, "%v", err)
	}
	return nil
}

// handlerFor returns a handler that responds with the result of f. Depending on
// the mode, it delays or drops the response.
func (w *Worker) handlerFor(f func(*http.Request) (any, error)) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		body, err := f(req)
		mode := w.currentMode()
		if mode.DelayMS > 0 {
			select {
			case <-time.After(time.Duration(mode.DelayMS) * time.Millisecond):
			case <-req.Context().Done():
			}
		}
		if mode.DropAnswers {
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			writeError(rw, err)
			return
		}
		if data, ok := body.(resultBody); ok {
			sum := sha256.Sum256(data)
			rw.Header().Set(workerclient.HeaderSHA256, hex.EncodeToString(sum[:]))
			rw.Header().Set("Content-Type", "application/octet-stream")
			rw.Header().Set("Content-Length", strconv.Itoa(len(data)))
			rw.Write(data)
			return
		}
		writeJSON(rw, http.StatusOK, body)
	})
}

func writeJSON(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	json.NewEncoder(rw).Encode(body)
}

func writeError(rw http.ResponseWriter, err error) {
	e := verdict.From(err)
	status := http.StatusInternalServerError
	switch e.Code {
	case verdict.CodeBadRequest:
		status = http.StatusBadRequest
	case verdict.CodeNotFound:
		status = http.StatusNotFound
	case verdict.CodeConflict, verdict.CodeStaleEpoch, verdict.CodeTombstoned:
		status = http.StatusConflict
	case verdict.CodeTooLarge:
		status = http.StatusRequestEntityTooLarge
	case verdict.CodeOverloaded, verdict.CodeDraining, verdict.CodeUnavailable:
		status = http.StatusServiceUnavailable
	}
	writeJSON(rw, status, e)
}
