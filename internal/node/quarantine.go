package node

import (
	"context"
	"time"

	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/roster"
)

const (
	// maxEvidencePeers bounds the VMs that get new evidence at once. The others get
	// it within two report intervals from the leader.
	maxEvidencePeers = 32
	// evidenceKey ranks the VMs that get new evidence at once.
	evidenceKey = "evidence"
)

// quarantineClient passes messages of callers' requests to the quarantine duty.
type quarantineClient struct{ n *Process }

// Empty implements ingress.Quarantine.
func (q *quarantineClient) Empty() bool { return q.n.suspects.Load().Empty() }

// Admit implements ingress.Quarantine.
func (q *quarantineClient) Admit(f quarantine.Fingerprint) quarantine.Admission {
	a := q.n.suspects.Load().Admit(q.n.clock(), f)
	switch {
	case a.Held:
		q.n.metrics.Count("quarantine", "held")
	case a.Suspected:
		q.n.metrics.Count("quarantine", "tried")
	}
	return a
}

// Lost implements ingress.Quarantine.
func (q *quarantineClient) Lost(f quarantine.Fingerprint, p quarantine.Process) {
	q.n.quarantineRing.TryPut(quarantine.AttemptLost{Request: f, Process: p})
}

// Answered implements ingress.Quarantine.
func (q *quarantineClient) Answered(f quarantine.Fingerprint) {
	q.n.quarantineRing.TryPut(quarantine.Answered{Request: f})
}

// reportEnded reports the processes that are no longer registered.
func (n *Process) reportEnded(before, after *discovery.View) {
	if before == nil {
		return
	}
	for id, t := range before.Targets {
		if now := after.Targets[id]; now == nil || now.StartedAt != t.StartedAt {
			n.quarantineRing.TryPut(quarantine.ProcessEnded{Process: quarantine.Process{Target: id, StartedAt: t.StartedAt}})
		}
	}
}

func (n *Process) emitQuarantine(ctx context.Context, o quarantine.Output) {
	switch o := o.(type) {
	case quarantine.Event:
		n.metrics.Count("quarantine", "suspected")
		n.log.Info(o.Text, o.Fields...)
	case quarantine.ViewUpdated:
		n.suspects.Store(o.View)
	case quarantine.SendReply:
		o.To <- o.Reply
	case quarantine.SendEvidence:
		n.sendEvidence(ctx, o.Evidence)
	}
}

// sendEvidence sends evidence to other VMs, the leader first.
func (n *Process) sendEvidence(ctx context.Context, evidence []quarantine.Evidence) {
	members := n.members.Load()
	if members == nil {
		return
	}
	var peers []roster.Member
	owners := n.owners.Load()
	if owners != nil {
		if leader, ok := members.Member(owners.Leader.VM); ok {
			peers = append(peers, leader)
		}
	}
	for _, m := range members.Ranked(evidenceKey, "") {
		if owners == nil || m.VM != owners.Leader.VM {
			peers = append(peers, m)
		}
	}
	for _, m := range peers[:min(len(peers), maxEvidencePeers)] {
		if m.VM == n.self.VM {
			continue
		}
		err := n.peers.Submit(ctx, func(ctx context.Context) {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			if err := n.mesh.SendEvidence(callCtx, m, evidence); err != nil {
				n.metrics.Count("evidence_failed")
			}
		})
		if err != nil {
			n.metrics.Count("evidence_failed")
		}
	}
}

// compareEvidence sends a load report to the leader, with this VM's evidence if
// the leader lacked some at the last report, and this VM's observations or nil. It
// returns the leader's digest, if any.
func (n *Process) compareEvidence(
	ctx context.Context, to roster.Member, load ownership.LoadReport, observations *loadview.Report,
) (*loadview.Digest, error) {
	var evidence []quarantine.Evidence
	if n.evidenceDiffers.Swap(false) {
		evidence = n.allEvidence(ctx)
	}
	var digest uint64
	if view := n.suspects.Load(); view != nil {
		digest = view.Digest
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, view, err := n.mesh.ReportWithObservations(callCtx, to, load, evidence, digest, observations)
	if err != nil {
		return nil, err
	}
	n.evidenceDiffers.Store(reply.Different)
	if len(reply.Evidence) > 0 {
		_ = n.quarantineRing.Put(ctx, quarantine.EvidenceReceived{Evidence: reply.Evidence})
	}
	return view, nil
}

// allEvidence returns this VM's evidence.
func (n *Process) allEvidence(ctx context.Context) []quarantine.Evidence {
	const noDigest = 0 // all evidence is wanted
	reply := make(chan quarantine.CompareReply, 1)
	if n.quarantineRing.Put(ctx, quarantine.Compare{Digest: noDigest, Reply: reply}) != nil {
		return nil
	}
	select {
	case r := <-reply:
		return r.Evidence
	case <-ctx.Done():
	case <-time.After(peerTimeout):
	}
	return nil
}
