package cluster

import (
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// workerZones returns the distinct availability zones of the workers.
func (c *Cluster) workerZones() []string {
	var zones []string
	for _, w := range c.opts.Workers {
		if !slices.Contains(zones, w.Zone) {
			zones = append(zones, w.Zone)
		}
	}
	return zones
}

// command returns the program and arguments of a process by its name. Entries are
// spread over the workers' availability zones.
func (c *Cluster) command(name string) (program string, args []string) {
	kind := strings.TrimRight(name, "0123456789")
	ip := c.IP(name)
	switch kind {
	case "platform":
		return "platform-stub", append([]string{"--listen=" + ip + ":" + platformPort}, c.opts.PlatformArgs...)
	case "worker":
		n, _ := strconv.Atoi(name[len(kind):])
		return "worker-stub", append(workerCapacityArgs(c.opts.Workers[n-1]), "--listen="+ip+":"+workerPort, "--history="+c.HistoryFile(name))
	case SharedWorkersName:
		args = workerCapacityArgs(c.opts.Workers[0])
		for i := range c.opts.Workers {
			args = append(args, "--listen="+c.IP(WorkerName(i+1))+":"+workerPort)
		}
		return "worker-stub", args
	}
	args = []string{
		"--role=" + kind, "--id=" + name, "--local-ip=" + ip, "--region=" + c.opts.Workers[0].Region,
		"--http=" + ip + ":" + httpPort, "--rpc=" + ip + ":" + rpcPort,
	}
	if c.opts.Traces {
		args = append(args, "--trace-file="+filepath.Join(c.opts.Dir, name+".trace"))
	}
	if kind == "entry" {
		n, _ := strconv.Atoi(name[len(kind):])
		zones := c.workerZones()
		return "parsleypierd", append(args, "--platform="+c.URL(PlatformName), "--domains="+c.opts.Domain, "--zone="+zones[(n-1)%len(zones)])
	}
	n, _ := strconv.Atoi(name[len(kind):])
	w := c.opts.Workers[n-1]
	args = append(args, "--domain="+c.opts.Domain, "--zone="+w.Zone, "--rack="+w.Rack, "--class="+w.Class,
		"--worker="+c.URL(WorkerName(n)))
	for i := range c.opts.Entries {
		args = append(args, "--seed="+c.IP(EntryName(i+1))+":"+rpcPort)
	}
	return "parsleypierd", args
}

func workerCapacityArgs(w Worker) []string {
	return []string{
		"--accelerators=" + strconv.Itoa(w.Accelerators),
		"--cores-milli=" + strconv.Itoa(w.CoresMilli),
		"--memory-mb=" + strconv.Itoa(w.MemoryMB),
		"--slots=" + strconv.Itoa(w.Slots),
	}
}
