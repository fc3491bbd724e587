package mesh

import (
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/mesh/meshpb"
	"celeryhook.example/celeryhook/internal/quarantine"
)

func evidenceToPB(list []quarantine.Evidence) []*meshpb.CrashEvidence {
	var out []*meshpb.CrashEvidence
	for _, e := range list {
		out = append(out, &meshpb.CrashEvidence{
			Request: e.Request[:], Ended: processesToPB(e.Ended), Excused: processesToPB(e.Excused), AgeMs: e.Age.Milliseconds(),
		})
	}
	return out
}

// evidenceFromPB skips evidence with a fingerprint of another length.
func evidenceFromPB(list []*meshpb.CrashEvidence) []quarantine.Evidence {
	var out []quarantine.Evidence
	for _, e := range list {
		if len(e.Request) != len(quarantine.Fingerprint{}) {
			continue
		}
		out = append(out, quarantine.Evidence{
			Request: quarantine.Fingerprint(e.Request), Ended: processesFromPB(e.Ended), Excused: processesFromPB(e.Excused),
			Age: time.Duration(e.AgeMs) * time.Millisecond,
		})
	}
	return out
}

func processesToPB(list []quarantine.Process) []*meshpb.Process {
	var out []*meshpb.Process
	for _, p := range list {
		out = append(out, &meshpb.Process{Target: string(p.Target), StartedAt: p.StartedAt})
	}
	return out
}

func processesFromPB(list []*meshpb.Process) []quarantine.Process {
	var out []quarantine.Process
	for _, p := range list {
		out = append(out, quarantine.Process{Target: core.Target(p.Target), StartedAt: p.StartedAt})
	}
	return out
}
