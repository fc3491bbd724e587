package app

import (
	"context"
	"fmt"
	"net/http"

	"github.com/gin-gonic/gin"

	"celeryhook.example/celeryhook/internal/coordinate"
	"celeryhook.example/celeryhook/internal/grant"
)

// Status is the JSON document at GET /status on the operators' listener.
type Status struct {
	coordinate.Status
	// Grants are the grants of the targets whose front is this VM.
	Grants []grant.Status `json:"grants"`
}

func (p *Process) serveStatus(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), rpcTimeout)
	defer cancel()
	status, err := p.status(ctx)
	if err != nil {
		c.String(http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	c.JSON(http.StatusOK, status)
}

func (p *Process) status(ctx context.Context) (Status, error) {
	var s Status
	coordinator := make(chan coordinate.Status, 1)
	grants := make(chan []grant.Status, 1)
	if err := p.coordinator.Put(ctx, coordinate.StatusRequested{Reply: coordinator}); err != nil {
		return s, err
	}
	if err := p.grants.Put(ctx, grant.StatusRequested{Reply: grants}); err != nil {
		return s, err
	}
	select {
	case s.Status = <-coordinator:
	case <-ctx.Done():
		return s, fmt.Errorf("app: status of the coordinator: %w", ctx.Err())
	}
	select {
	case s.Grants = <-grants:
	case <-ctx.Done():
		return s, fmt.Errorf("app: status of the grants: %w", ctx.Err())
	}
	return s, nil
}
