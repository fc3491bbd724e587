package peer

import (
	"net/http"
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/peer/peerpb"
)

func tokenToPB(t core.Token) *peerpb.Token {
	return &peerpb.Token{Term: t.Term, Rank: t.Rank, Seq: t.Seq}
}

func tokenFromPB(t *peerpb.Token) core.Token {
	return core.Token{Term: t.GetTerm(), Rank: t.GetRank(), Seq: t.GetSeq()}
}

func rangeToPB(r core.RangeID) *peerpb.RangeID {
	return &peerpb.RangeID{Service: string(r.Service), Number: r.Number, HotKey: r.HotKey}
}

func rangeFromPB(r *peerpb.RangeID) core.RangeID {
	return core.RangeID{Service: core.Service(r.GetService()), Number: r.GetNumber(), HotKey: r.GetHotKey()}
}

func vmsToPB(vms []core.VM) []string {
	out := make([]string, len(vms))
	for i, vm := range vms {
		out[i] = string(vm)
	}
	return out
}

func vmsFromPB(vms []string) []core.VM {
	if len(vms) == 0 {
		return nil
	}
	out := make([]core.VM, len(vms))
	for i, vm := range vms {
		out[i] = core.VM(vm)
	}
	return out
}

func mapToPB(m *core.RangeMap) *peerpb.RangeMap {
	out := &peerpb.RangeMap{
		FailureDomain: string(m.FailureDomain),
		Version:       tokenToPB(m.Version),
		Holder:        string(m.Holder),
	}
	for id, a := range m.Targets {
		out.Targets = append(out.Targets, &peerpb.TargetAssignment{
			Target:    string(id),
			Front:     string(a.Front),
			Witnesses: vmsToPB(a.Witnesses),
			Previous:  vmsToPB(a.Previous),
			Token:     tokenToPB(a.Token),
			Leaving:   a.Leaving,

			Incarnation:      a.Incarnation,
			FrontIncarnation: a.FrontIncarnation,
			PreviousSince:    tokenToPB(a.PreviousSince),
		})
	}
	for id, a := range m.Ranges {
		out.Ranges = append(out.Ranges, &peerpb.RangeAssignment{
			Range:    rangeToPB(id),
			Target:   string(a.Target),
			State:    uint32(a.State),
			MemoryAt: vmsToPB(a.MemoryAt),

			MemorySince: tokenToPB(a.MemorySince),
			FirstFor:    a.FirstFor,
		})
	}
	return out
}

func mapFromPB(m *peerpb.RangeMap) *core.RangeMap {
	out := &core.RangeMap{
		FailureDomain: core.FailureDomain(m.GetFailureDomain()),
		Version:       tokenFromPB(m.GetVersion()),
		Holder:        core.VM(m.GetHolder()),
		Targets:       make(map[core.Target]core.TargetAssignment, len(m.GetTargets())),
		Ranges:        make(map[core.RangeID]core.RangeAssignment, len(m.GetRanges())),
	}
	for _, a := range m.GetTargets() {
		out.Targets[core.Target(a.GetTarget())] = core.TargetAssignment{
			Front:     core.VM(a.GetFront()),
			Witnesses: vmsFromPB(a.GetWitnesses()),
			Previous:  vmsFromPB(a.GetPrevious()),
			Token:     tokenFromPB(a.GetToken()),
			Leaving:   a.GetLeaving(),

			Incarnation:      a.GetIncarnation(),
			FrontIncarnation: a.GetFrontIncarnation(),
			PreviousSince:    tokenFromPB(a.GetPreviousSince()),
		}
	}
	for _, a := range m.GetRanges() {
		out.Ranges[rangeFromPB(a.GetRange())] = core.RangeAssignment{
			Target:   core.Target(a.GetTarget()),
			State:    core.RangeState(a.GetState()),
			MemoryAt: vmsFromPB(a.GetMemoryAt()),

			MemorySince: tokenFromPB(a.GetMemorySince()),
			FirstFor:    a.GetFirstFor(),
		}
	}
	return out
}

func mapVersionsToPB(versions map[core.FailureDomain]core.Token) []*peerpb.MapVersion {
	var out []*peerpb.MapVersion
	for d, v := range versions {
		out = append(out, &peerpb.MapVersion{FailureDomain: string(d), Version: tokenToPB(v)})
	}
	return out
}

func mapVersionsFromPB(versions []*peerpb.MapVersion) map[core.FailureDomain]core.Token {
	out := make(map[core.FailureDomain]core.Token, len(versions))
	for _, v := range versions {
		out[core.FailureDomain(v.GetFailureDomain())] = tokenFromPB(v.GetVersion())
	}
	return out
}

func infoToPB(i membership.Info) *peerpb.Heartbeat {
	return &peerpb.Heartbeat{
		Vm:            string(i.VM),
		FailureDomain: string(i.FailureDomain),
		Address:       i.Address,
		Incarnation:   i.Incarnation,
		Leaving:       i.Leaving,
		Capacity:      i.Capacity,
		LogOffset:     i.LogOffset,
		Maps:          mapVersionsToPB(i.Maps),
	}
}

func infoFromPB(h *peerpb.Heartbeat) membership.Info {
	return membership.Info{
		VM:            core.VM(h.GetVm()),
		FailureDomain: core.FailureDomain(h.GetFailureDomain()),
		Address:       h.GetAddress(),
		Incarnation:   h.GetIncarnation(),
		Leaving:       h.GetLeaving(),
		Capacity:      h.GetCapacity(),
		LogOffset:     h.GetLogOffset(),
		Maps:          mapVersionsFromPB(h.GetMaps()),
	}
}

func headersToPB(h http.Header) []*peerpb.Header {
	var out []*peerpb.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &peerpb.Header{Name: name, Value: v})
		}
	}
	slices.SortFunc(out, func(a, b *peerpb.Header) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

func headersFromPB(headers []*peerpb.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out.Add(h.GetName(), h.GetValue())
	}
	return out
}
