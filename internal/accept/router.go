package accept

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/policy"
)

func (h *Handler) newRouter() *gin.Engine {
	e := gin.New()
	e.HandleMethodNotAllowed = true
	// A redirect would make the caller resend a request that wasn't run.
	e.RedirectTrailingSlash = false
	// Parameters are matched in their escaped form, so that a key may contain
	// an escaped slash.
	e.UseEscapedPath = true
	e.UnescapePathValues = false
	e.NoRoute(h.noRoute("no-route", http.StatusNotFound))
	e.NoMethod(h.noRoute("no-method", http.StatusMethodNotAllowed))
	return e
}

// maxEchoedBytes bounds how much of the request a problem repeats.
const maxEchoedBytes = 200

func (h *Handler) noRoute(reason string, status int) gin.HandlerFunc {
	return func(c *gin.Context) {
		if !h.policyApplied.Load() {
			h.metrics.Count("rejections", "accept", string(core.OutcomeNoOwner))
			writeProblem(c.Writer, newProblem(core.OutcomeNoOwner, "no policy is in force on this VM yet", ""), time.Second)
			return
		}
		request := c.Request.Method + " " + c.Request.URL.EscapedPath()
		h.reject(c, &requestError{reason: reason, status: status, detail: "no route of the policy matches " + request[:min(len(request), maxEchoedBytes)]}, "")
	}
}

// Apply replaces the routes in force by those of a policy. A route that the
// router rejects, such as a duplicate, is skipped, counted and logged; all
// others are served.
func (h *Handler) Apply(p *policy.Policy) {
	skipped := make(map[int]string)
	for {
		e, failed, reason := h.build(p, skipped)
		if failed < 0 {
			h.router.Store(e)
			h.policyApplied.Store(true)
			break
		}
		// The failed insertion may have left the tree inconsistent, so the router
		// is built again without the route.
		skipped[failed] = reason
	}
	for i, reason := range skipped {
		h.metrics.Count("routes_left_out")
		h.log.Error(fmt.Errorf("accept: %s", reason), "route of the policy skipped", "route", p.Routes[i].Name)
	}
}

// build returns a router for all routes except the skipped ones and -1, or the
// index of the first route that the router rejects and the reason.
func (h *Handler) build(p *policy.Policy, skipped map[int]string) (e *gin.Engine, failed int, reason string) {
	e = h.newRouter()
	for i, r := range p.Routes {
		if _, skip := skipped[i]; skip {
			continue
		}
		if err := h.addRoute(e, p, r); err != nil {
			return nil, i, err.Error()
		}
	}
	return e, -1, ""
}

func (h *Handler) addRoute(e *gin.Engine, p *policy.Policy, r policy.Route) (err error) {
	path, params, err := routerPath(r.Path)
	if err != nil {
		return err
	}
	param := params[r.Key.Name]
	if r.Key.Kind == "path" && param == "" {
		return fmt.Errorf("path %q has no {%s}", r.Path, r.Key.Name)
	}
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%s %q: %v", r.Method, r.Path, v)
		}
	}()
	e.Handle(r.Method, path, h.routeHandler(p, r, param))
	return nil
}

// routerPath turns each {name} segment into a parameter that is named after its
// position, since the router rejects two parameter names at the same position.
// The second result maps each name to the router's parameter name.
func routerPath(path string) (string, map[string]string, error) {
	segments := strings.Split(path, "/")
	params := make(map[string]string)
	for i, s := range segments {
		if len(s) > 2 && s[0] == '{' && s[len(s)-1] == '}' {
			name := "p" + strconv.Itoa(i)
			params[s[1:len(s)-1]] = name
			segments[i] = ":" + name
			continue
		}
		if strings.ContainsAny(s, ":*{}") {
			return "", nil, fmt.Errorf("path %q: segment %q contains one of : * { }", path, s)
		}
		segments[i] = (&url.URL{Path: s}).EscapedPath()
	}
	return strings.Join(segments, "/"), params, nil
}
