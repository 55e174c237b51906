package allocator

import (
	carobstilev1 "github.com/carobstile/carobstile/gen/carobstile/v1"
	"github.com/carobstile/carobstile/internal/alloccore"
	"github.com/carobstile/carobstile/internal/core"
)

func requestOf(m *carobstilev1.GrantRequest) alloccore.Request {
	return alloccore.Request{
		Gate: m.GetGate(), RequestID: m.GetRequestId(), Attempt: int(m.GetAttempt()),
		Workspace: m.GetWorkspace(), Weight: int(m.GetWeight()), Priority: int(m.GetPriority()),
		Model: m.GetModel(), Adapter: m.GetAdapter(),
		PromptTokens: int(m.GetPromptTokens()), MaxOutputTokens: int(m.GetMaxOutputTokens()),
		PrefixHashes: m.GetPrefixHashes(), PrefixBlock: int(m.GetPrefixBlockTokens()),
		Deadline: core.Micros(m.GetDeadlineMicros()), MaxWait: core.Micros(m.GetMaxWaitMicros()),
		SuspectCount: int(m.GetSuspectCount()), Excluded: m.GetExcludedEngines(),
	}
}

func heldGrants(in []*carobstilev1.HeldGrant) []alloccore.HeldGrant {
	out := make([]alloccore.HeldGrant, 0, len(in))
	for _, g := range in {
		held := alloccore.HeldGrant{
			GrantID: g.GetGrantId(), RequestID: g.GetRequestId(),
			Priority: int(g.GetPriority()), Workspace: g.GetWorkspace(),
		}
		for _, e := range g.GetEngines() {
			held.Engines = append(held.Engines, alloccore.EngineShare{
				Engine: e.GetName(), Address: e.GetAddress(), Incarnation: e.GetIncarnation(), Tokens: int(e.GetReservedTokens()),
			})
		}
		out = append(out, held)
	}
	return out
}

func grantedResponse(e alloccore.Granted) *carobstilev1.GrantResponse {
	granted := &carobstilev1.Granted{GrantId: e.GrantID, ExpiresMicros: int64(e.Expires)}
	for _, s := range e.Engines {
		granted.Engines = append(granted.Engines, &carobstilev1.GrantedEngine{
			Name: s.Engine, Address: s.Address, Incarnation: s.Incarnation, ReservedTokens: uint32(s.Tokens),
		})
	}
	return &carobstilev1.GrantResponse{Result: &carobstilev1.GrantResponse_Granted{Granted: granted}}
}

// refusalCodes maps the reducer's refusal codes to those of the wire protocol.
var refusalCodes = map[alloccore.RefusalCode]carobstilev1.RefusalCode{
	alloccore.CodeOverloaded:     carobstilev1.RefusalCode_REFUSAL_CODE_OVERLOADED,
	alloccore.CodeNoEngine:       carobstilev1.RefusalCode_REFUSAL_CODE_NO_ENGINE,
	alloccore.CodeNotAllocator:   carobstilev1.RefusalCode_REFUSAL_CODE_NOT_ALLOCATOR,
	alloccore.CodeTooLarge:       carobstilev1.RefusalCode_REFUSAL_CODE_TOO_LARGE,
	alloccore.CodeCrashesServers: carobstilev1.RefusalCode_REFUSAL_CODE_CRASHES_SERVERS,
	alloccore.CodeLeaving:        carobstilev1.RefusalCode_REFUSAL_CODE_LEAVING,
}

func refusal(code alloccore.RefusalCode, wait core.Micros) *carobstilev1.GrantResponse {
	refused := &carobstilev1.Refused{Code: refusalCodes[code], ExpectedWaitMicros: int64(wait)}
	return &carobstilev1.GrantResponse{Result: &carobstilev1.GrantResponse_Refused{Refused: refused}}
}

func outcomeOf(o carobstilev1.Outcome) alloccore.Outcome {
	switch o {
	case carobstilev1.Outcome_OUTCOME_COMPLETE:
		return alloccore.OutcomeComplete
	case carobstilev1.Outcome_OUTCOME_CANCELLED:
		return alloccore.OutcomeCancelled
	case carobstilev1.Outcome_OUTCOME_REFUSED:
		return alloccore.OutcomeRefused
	case carobstilev1.Outcome_OUTCOME_LOST:
		return alloccore.OutcomeLost
	default:
		return alloccore.OutcomeFailed
	}
}

func statusOf(name string, now core.Micros, view alloccore.View) *carobstilev1.PoolStatus {
	out := &carobstilev1.PoolStatus{
		Pool: name, EnginesReady: uint32(view.Ready), Grants: uint32(view.Grants), Queued: uint32(view.Queued),
	}
	for _, e := range view.Engines {
		out.Engines = append(out.Engines, engineStatus(now, e))
	}
	return out
}

func engineStatus(now core.Micros, e alloccore.EngineView) *carobstilev1.EngineStatus {
	out := &carobstilev1.EngineStatus{Name: e.Name}
	if e.Report == nil {
		return out
	}
	load := e.Report.Load
	out.Incarnation, out.State, out.Role = load.Incarnation, string(load.State), string(load.Role)
	for _, m := range load.Models {
		out.Models = append(out.Models, &carobstilev1.LoadedModel{Name: m.Name, Version: m.Version, Adapters: m.Adapters})
	}
	out.KvTokensTotal, out.KvTokensUsed = uint64(load.KVTokensTotal), uint64(load.KVTokensUsed)
	out.QueuedPrefillTokens = uint64(load.QueuedPrefillTokens)
	out.ReportAgeMicros = int64(now - e.Report.Now)
	return out
}
