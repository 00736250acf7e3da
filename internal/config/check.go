package config

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"time"
)

// An urgent job inside its account's guarantee must start within urgentStartLimit
// even if the owner is lost. Until the start, the ownership expires, another entry
// reads the expired row when it next polls the table, the new owner recovers, and
// preempted gangs are stopped within forcedStopTimeout.
const (
	urgentStartLimit  = 9700 * time.Millisecond
	forcedStopTimeout = 3 * time.Second
)

// maxNameBytes limits the length of names, which become parts of table keys.
const maxNameBytes = 63

// settingErrors collects the errors of all settings.
type settingErrors []error

func (errs *settingErrors) add(flag, format string, args ...any) {
	*errs = append(*errs, fmt.Errorf("--%s: %s", flag, fmt.Sprintf(format, args...)))
}

// Check sets the advertised addresses that are empty to the listening addresses, and
// checks all settings. The error lists every invalid setting.
func (s *Settings) Check() error {
	var errs settingErrors
	if s.Role != RoleEntry && s.Role != RoleAgent {
		errs.add("role", "%q is not entry or agent", s.Role)
	}
	s.checkPlace(&errs)
	s.checkAddresses(&errs)
	s.Intervals.check(&errs)
	s.checkLimits(&errs)
	return errors.Join(errs...)
}

// checkPlace checks the ID, the place and the domains.
func (s *Settings) checkPlace(errs *settingErrors) {
	checkName := func(flag, value string, required bool) {
		if value == "" && !required {
			return
		}
		if !validName(value) {
			errs.add(flag, "%q is not a name of 1 to %d letters, digits, - and _", value, maxNameBytes)
		}
	}
	agent := s.Role == RoleAgent
	checkName("id", s.ID, true)
	checkName("region", s.Place.Region, false)
	checkName("zone", s.Place.Zone, true)
	checkName("rack", s.Place.Rack, agent)
	checkName("class", s.Place.Class, false)
	checkName("domain", s.Place.Domain, agent)
	seen := map[string]bool{}
	for _, d := range s.Place.Domains {
		checkName("domains", d, true)
		if seen[d] {
			errs.add("domains", "%q is listed twice", d)
		}
		seen[d] = true
	}
	if agent && len(s.Place.Domains) > 0 {
		errs.add("domains", "is for entries only; an agent uses --domain")
	}
	if s.Role == RoleEntry && s.Place.Domain != "" {
		errs.add("domain", "is for agents only; an entry uses --domains")
	}
}

func validName(name string) bool {
	for i := range len(name) {
		c := name[i]
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}

// checkAddresses sets the empty advertised addresses and checks all addresses.
func (s *Settings) checkAddresses(errs *settingErrors) {
	a := &s.Addresses
	a.AdvertiseHTTP = checkAdvertised(errs, "http", a.HTTP, a.AdvertiseHTTP)
	a.AdvertiseRPC = checkAdvertised(errs, "rpc", a.RPC, a.AdvertiseRPC)
	if a.LocalIP != "" {
		if _, err := netip.ParseAddr(a.LocalIP); err != nil {
			errs.add("local-ip", "%q is not an IP address", a.LocalIP)
		}
	}
	for _, seed := range a.Seeds {
		if !isDialable(seed) {
			errs.add("seed", "%q is not IP:PORT", seed)
		}
	}
	switch s.Role {
	case RoleEntry:
		checkURL(errs, "platform", a.Platform)
	case RoleAgent:
		checkURL(errs, "worker", a.Worker)
		if len(a.Seeds) == 0 {
			errs.add("seed", "an agent needs at least one entry")
		}
	}
}

// checkAdvertised checks the listening and the advertised address, and returns the
// address to advertise. It defaults to the listening address. A process that listens
// on all addresses of the machine must set it.
func checkAdvertised(errs *settingErrors, flag, listen, advertise string) string {
	if host, _, err := net.SplitHostPort(listen); err != nil || host != "" && net.ParseIP(host) == nil {
		errs.add(flag, "%q is not IP:PORT", listen)
		return advertise
	}
	if advertise != "" {
		if !isDialable(advertise) {
			errs.add("advertise-"+flag, "%q is not an IP:PORT that other processes can connect to", advertise)
		}
		return advertise
	}
	if !isDialable(listen) {
		errs.add("advertise-"+flag, "is required, because other processes cannot connect to --%s %q", flag, listen)
	}
	return listen
}

// isDialable reports whether address is an IP:PORT to which other processes can
// connect.
func isDialable(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && !a.Addr().IsUnspecified() && a.Port() != 0
}

func checkURL(errs *settingErrors, flag, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		errs.add(flag, "%q is not a URL such as http://10.0.0.1:9000", value)
	}
}

func (i *Intervals) check(errs *settingErrors) {
	for _, d := range []struct {
		flag  string
		value time.Duration
	}{
		{"heartbeat", i.Heartbeat}, {"suspect-after", i.SuspectAfter}, {"lost-after", i.LostAfter}, {"lease", i.Lease},
		{"prepare-ttl", i.PrepareTTL}, {"renewal", i.Renewal}, {"expiry", i.Expiry}, {"poll", i.Poll}, {"recovery", i.Recovery},
	} {
		if d.value < 10*time.Millisecond || d.value > time.Minute {
			errs.add(d.flag, "%v is not between 10ms and 1m", d.value)
		}
	}
	// With at least two intervals, a single lost message does not make an agent suspect
	// and does not let a lease or the ownership expire.
	for _, p := range []struct {
		flag            string
		value, interval time.Duration
		intervalFlag    string
	}{
		{"suspect-after", i.SuspectAfter, i.Heartbeat, "heartbeat"}, {"lease", i.Lease, i.Heartbeat, "heartbeat"},
		{"expiry", i.Expiry, i.Renewal, "renewal"},
	} {
		if p.value < 2*p.interval {
			errs.add(p.flag, "%v is less than twice --%s", p.value, p.intervalFlag)
		}
	}
	if i.LostAfter < i.SuspectAfter || i.LostAfter < i.Lease {
		errs.add("lost-after", "%v is less than --suspect-after or --lease: a gang could be started again while it still runs", i.LostAfter)
	}
	if sum := i.Expiry + i.Poll + i.Recovery + forcedStopTimeout; sum > urgentStartLimit {
		errs.add("expiry", "with --poll, --recovery and %v for a forced stop it adds up to %v, but urgent jobs must start within %v", forcedStopTimeout, sum, urgentStartLimit)
	}
}

// checkLimits checks Limits and Watch.
func (s *Settings) checkLimits(errs *settingErrors) {
	l, w := &s.Limits, &s.Watch
	if l.MaxInFlight < 2 || l.MaxInFlight > 1<<16 {
		errs.add("max-in-flight", "%d is not between 2 and 65536", l.MaxInFlight)
	}
	if l.MaxWait < time.Second || l.MaxWait > time.Hour {
		errs.add("max-wait", "%v is not between 1s and 1h", l.MaxWait)
	}
	if takeover := s.Intervals.Expiry + s.Intervals.Poll + s.Intervals.Recovery; l.SubmitTimeout < takeover {
		errs.add("submit-timeout", "%v is less than the %v that a takeover can take", l.SubmitTimeout, takeover)
	}
	// The load balancer needs 3s, and waiting requests receive their response in the
	// last second.
	if l.DrainTimeout < 4*time.Second {
		errs.add("drain-timeout", "%v is less than 4s: the load balancer needs 3s to notice the shutdown", l.DrainTimeout)
	}
	if l.RelayThreshold < 0 || l.RelayThreshold > 10_000 {
		errs.add("relay-threshold", "%d is not between 0 and 10000", l.RelayThreshold)
	}
	if l.HeldResultsMiB < 1 || l.HeldResultsMiB > 1024 {
		errs.add("held-results", "%d is not between 1 and 1024", l.HeldResultsMiB)
	}
	if !(w.TraceRatio >= 0 && w.TraceRatio <= 1) {
		errs.add("trace-ratio", "%v is not between 0 and 1", w.TraceRatio)
	}
	if w.TraceLimitMiB < 1 {
		errs.add("trace-limit", "%d is less than 1", w.TraceLimitMiB)
	}
	if w.Verbosity < 0 || w.Verbosity > 9 {
		errs.add("verbosity", "%d is not between 0 and 9", w.Verbosity)
	}
}
