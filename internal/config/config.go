// Package config defines the settings of one process of the daemon parsleypierd: its
// role and name, its location and placement domains, its addresses, the intervals of
// heartbeats, leases and ownership, the load limits, and traces and logs. Parse reads
// them from flags and environment variables (PARSLEYPIER_*), fills in defaults and
// checks them once at the start; they do not change afterwards. Configuration of the
// whole deployment, which can change at run time, is in the manifest. A process in
// hosted mode does not use this package: it reads the settings file of its platform.
package config

import (
	"errors"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"
)

// The roles of a process.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Settings are the settings of one process.
type Settings struct {
	Role string `long:"role" env:"PARSLEYPIER_ROLE" value-name:"ROLE" description:"entry or agent"`
	ID   string `long:"id" env:"PARSLEYPIER_ID" value-name:"NAME" description:"name of the process, unique in the deployment"`

	Place     Place     `group:"Place"`
	Addresses Addresses `group:"Addresses"`
	Intervals Intervals `group:"Intervals"`
	Limits    Limits    `group:"Limits"`
	Watch     Watch     `group:"Traces and logs"`
}

// Place is the location of the process, and the placement domains: that of an agent,
// or those that an entry may own.
type Place struct {
	Region string `long:"region" env:"PARSLEYPIER_REGION" value-name:"NAME" description:"region"`
	Zone   string `long:"zone" env:"PARSLEYPIER_ZONE" value-name:"NAME" description:"availability zone"`
	Rack   string `long:"rack" env:"PARSLEYPIER_RACK" value-name:"NAME" description:"rack of the worker (agent)"`
	Class  string `long:"class" env:"PARSLEYPIER_CLASS" value-name:"NAME" description:"hardware class of the worker (agent)"`
	// Domain is the placement domain of an agent; Domains lists the domains that an
	// entry may own.
	Domain  string   `long:"domain" env:"PARSLEYPIER_DOMAIN" value-name:"NAME" description:"placement domain of the worker (agent)"`
	Domains []string `long:"domains" env:"PARSLEYPIER_DOMAINS" env-delim:"," value-name:"NAME" description:"placement domain that the entry may own; may be given several times (entry)"`
}

// Addresses are the addresses on which the process listens and to which it connects.
type Addresses struct {
	HTTP string `long:"http" env:"PARSLEYPIER_HTTP" default:"127.0.0.1:8080" value-name:"IP:PORT" description:"address of the HTTP API (entry) or of health and metrics (agent)"`
	RPC  string `long:"rpc" env:"PARSLEYPIER_RPC" default:"127.0.0.1:7000" value-name:"IP:PORT" description:"address for the other processes"`
	// The advertised addresses default to the listening addresses if empty.
	AdvertiseHTTP string   `long:"advertise-http" env:"PARSLEYPIER_ADVERTISE_HTTP" value-name:"IP:PORT" description:"HTTP address as others reach it; the address itself if left out"`
	AdvertiseRPC  string   `long:"advertise-rpc" env:"PARSLEYPIER_ADVERTISE_RPC" value-name:"IP:PORT" description:"RPC address as others reach it; the address itself if left out"`
	LocalIP       string   `long:"local-ip" env:"PARSLEYPIER_LOCAL_IP" value-name:"IP" description:"address from which connections start; any if left out"`
	Platform      string   `long:"platform" env:"PARSLEYPIER_PLATFORM" value-name:"URL" description:"table service and object store (entry)"`
	Seeds         []string `long:"seed" env:"PARSLEYPIER_SEEDS" env-delim:"," value-name:"IP:PORT" description:"RPC address of an entry; may be given several times"`
	Worker        string   `long:"worker" env:"PARSLEYPIER_WORKER" value-name:"URL" description:"worker beside the agent (agent)"`
}

// Intervals are the intervals and timeouts of heartbeats, leases and ownership.
type Intervals struct {
	Heartbeat    time.Duration `long:"heartbeat" env:"PARSLEYPIER_HEARTBEAT" default:"1s" value-name:"DURATION" description:"interval of heartbeats and of gang lease renewals"`
	SuspectAfter time.Duration `long:"suspect-after" env:"PARSLEYPIER_SUSPECT_AFTER" default:"3s" value-name:"DURATION" description:"silence after which an agent receives no new work"`
	LostAfter    time.Duration `long:"lost-after" env:"PARSLEYPIER_LOST_AFTER" default:"10s" value-name:"DURATION" description:"silence after which an agent's gangs count as lost"`
	Lease        time.Duration `long:"lease" env:"PARSLEYPIER_LEASE" default:"3s" value-name:"DURATION" description:"length of gang and task leases"`
	PrepareTTL   time.Duration `long:"prepare-ttl" env:"PARSLEYPIER_PREPARE_TTL" default:"2s" value-name:"DURATION" description:"life of a reservation that is not committed"`
	Renewal      time.Duration `long:"renewal" env:"PARSLEYPIER_RENEWAL" default:"1s" value-name:"DURATION" description:"interval at which the owner of a domain renews its row"`
	Expiry       time.Duration `long:"expiry" env:"PARSLEYPIER_EXPIRY" default:"3s" value-name:"DURATION" description:"time without renewal after which ownership expires"`
	Poll         time.Duration `long:"poll" env:"PARSLEYPIER_POLL" default:"1s" value-name:"DURATION" description:"interval at which the table is read for owners and the manifest"`
	Recovery     time.Duration `long:"recovery" env:"PARSLEYPIER_RECOVERY" default:"1500ms" value-name:"DURATION" description:"time for which a new owner waits for agents"`
}

// Limits limits the load of the process and how long it waits.
type Limits struct {
	MaxInFlight    int           `long:"max-in-flight" env:"PARSLEYPIER_MAX_IN_FLIGHT" default:"4096" value-name:"N" description:"HTTP requests in progress"`
	MaxWait        time.Duration `long:"max-wait" env:"PARSLEYPIER_MAX_WAIT" default:"60s" value-name:"DURATION" description:"longest wait of an HTTP request"`
	SubmitTimeout  time.Duration `long:"submit-timeout" env:"PARSLEYPIER_SUBMIT_TIMEOUT" default:"12s" value-name:"DURATION" description:"time for the hand-over of a job whose caller waits no longer"`
	DrainTimeout   time.Duration `long:"drain-timeout" env:"PARSLEYPIER_DRAIN_TIMEOUT" default:"60s" value-name:"DURATION" description:"time for a graceful shutdown"`
	RelayThreshold int           `long:"relay-threshold" env:"PARSLEYPIER_RELAY_THRESHOLD" default:"60" value-name:"N" description:"agents of a domain above which entries relay their heartbeats; 0 for no relays (entry)"`
	HeldResultsMiB int           `long:"held-results" env:"PARSLEYPIER_HELD_RESULTS" default:"64" value-name:"MIB" description:"results that an agent holds until they are durable"`
}

// Watch configures traces and logs.
type Watch struct {
	TraceFile     string  `long:"trace-file" env:"PARSLEYPIER_TRACE_FILE" value-name:"FILE" description:"file for spans; - for standard error; none if left out"`
	TraceRatio    float64 `long:"trace-ratio" env:"PARSLEYPIER_TRACE_RATIO" default:"1" value-name:"0..1" description:"share of the traces that begin here and are recorded"`
	TraceLimitMiB int     `long:"trace-limit" env:"PARSLEYPIER_TRACE_LIMIT" default:"256" value-name:"MIB" description:"size at which the trace file ends"`
	Verbosity     int     `long:"verbosity" env:"PARSLEYPIER_VERBOSITY" default:"0" value-name:"N" description:"log verbosity, 0 to 9"`
}

// HelpError is returned by Parse if the arguments ask for help. Message is the help
// text.
type HelpError struct{ Message string }

func (e *HelpError) Error() string { return e.Message }

// Parse reads the settings from the environment and from args, the arguments without
// the program name, and completes and checks them with Check. The error lists every
// invalid setting.
func Parse(args []string) (*Settings, error) {
	s := &Settings{}
	parser := flags.NewNamedParser("parsleypierd", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "entry or agent of a parsleypier deployment"
	if _, err := parser.AddGroup("Settings", "", s); err != nil {
		return nil, err
	}
	rest, err := parser.ParseArgs(args)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		return nil, &HelpError{flagsErr.Message}
	}
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		err = fmt.Errorf("unknown argument %q", rest[0])
	}
	if err := errors.Join(err, s.Check()); err != nil {
		return nil, err
	}
	return s, nil
}
