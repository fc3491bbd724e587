package app

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gin-gonic/gin"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/route"
)

// Explanation states where requests with a key are routed and why.
type Explanation struct {
	VM            core.VM            `json:"vm"`
	Service       core.Service       `json:"service"`
	Key           string             `json:"key"`
	Hash          string             `json:"hash"`
	Range         string             `json:"range,omitempty"`
	FailureDomain core.FailureDomain `json:"failure_domain,omitempty"`
	Target        core.Target        `json:"target,omitempty"`
	Front         core.VM            `json:"front,omitempty"`
	FrontAddress  string             `json:"front_address,omitempty"`
	MapVersion    string             `json:"map_version,omitempty"`
	// Outcome is set if a request would be rejected now.
	Outcome core.Outcome `json:"outcome,omitempty"`
	Why     string       `json:"why"`
}

func (p *Process) serveExplain(c *gin.Context) {
	key, service := c.Query("key"), core.Service(c.Query("service"))
	if key == "" || service == "" {
		c.JSON(http.StatusBadRequest, gin.H{"error": "the query needs key and service"})
		return
	}
	e, err := p.explain(c.Request.Context(), service, key)
	if err != nil {
		c.JSON(http.StatusServiceUnavailable, gin.H{"error": err.Error()})
		return
	}
	c.JSON(http.StatusOK, e)
}

// explain looks up a key in the same way as a request. For a service that isn't
// sharded by key, the key is used as a request id.
func (p *Process) explain(ctx context.Context, service core.Service, key string) (Explanation, error) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	hash := core.HashKey(key)
	reply := make(chan route.Decision, 1)
	request := core.Request{ID: core.RequestID(key), Attempt: 1, Service: service, KeyHash: hash}
	if err := p.routes.PutBlocking(ctx, route.Lookup{Request: request, Reply: reply}); err != nil {
		return Explanation{}, fmt.Errorf("app: explain: %w", err)
	}
	e := Explanation{VM: p.settings.VM, Service: service, Key: key, Hash: fmt.Sprintf("%016x", hash)}
	select {
	case d := <-reply:
		e.setDecision(d)
		return e, nil
	case <-ctx.Done():
		return Explanation{}, fmt.Errorf("app: explain: %w", ctx.Err())
	}
}

func (e *Explanation) setDecision(d route.Decision) {
	if d.Outcome != "" {
		e.Outcome, e.Why = d.Outcome, d.Detail
		return
	}
	e.Range, e.FailureDomain, e.Target = d.Range.String(), d.FailureDomain, d.Target
	e.Front, e.FrontAddress, e.MapVersion = d.Front, d.Address, d.MapVersion.String()
	rangeReason := fmt.Sprintf("the hash falls into numbered range %s", e.Range)
	if d.Range.HotKey != 0 {
		rangeReason = "the key is hot and has a range of its own"
	}
	e.Why = fmt.Sprintf("%s; rendezvous hashing by capacity places the range in failure domain %s; "+
		"its map, version %s, gives the range to target %s and the target to VM %s as its front",
		rangeReason, e.FailureDomain, e.MapVersion, e.Target, e.Front)
}
