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

func (a *Acceptor) newEngine() *gin.Engine {
	e := gin.New()
	e.HandleMethodNotAllowed = true
	// A redirect would make the caller repeat a request that isn't run.
	e.RedirectTrailingSlash = false
	// Parameters are matched in their escaped form, so that a key may contain
	// an escaped slash.
	e.UseEscapedPath = true
	e.UnescapePathValues = false
	e.NoRoute(a.noRoute("no-route", http.StatusNotFound))
	e.NoMethod(a.noRoute("no-method", http.StatusMethodNotAllowed))
	return e
}

// maxShown bounds how much of a caller's input is repeated in a problem.
const maxShown = 200

func (a *Acceptor) noRoute(reason string, status int) gin.HandlerFunc {
	return func(c *gin.Context) {
		if !a.applied.Load() {
			a.metrics.Count("rejections", "accept", string(core.OutcomeNoOwner))
			writeProblem(c.Writer, problemOf(core.OutcomeNoOwner, "no policy is in force on this VM yet", ""), time.Second)
			return
		}
		what := c.Request.Method + " " + c.Request.URL.EscapedPath()
		a.refuse(c, &fault{reason: reason, status: status, detail: "no route of the policy matches " + what[:min(len(what), maxShown)]}, "")
	}
}

// Apply serves the routes of a policy from now on. A route that the router
// can't hold, such as one that equals an earlier one, is left out, counted and
// logged; all others are served.
func (a *Acceptor) Apply(p *policy.Policy) {
	left := make(map[int]string)
	for {
		e, failed, reason := a.build(p, left)
		if failed < 0 {
			a.engine.Store(e)
			a.applied.Store(true)
			break
		}
		// The router's tree may be damaged, so it is built again without the route.
		left[failed] = reason
	}
	for i, reason := range left {
		a.metrics.Count("routes_left_out")
		a.log.Error(fmt.Errorf("accept: %s", reason), "route of the policy can't be served", "route", p.Routes[i].Name)
	}
}

// build returns a router for all routes but those left out, or the index of
// the first one that the router can't hold, else -1.
func (a *Acceptor) build(p *policy.Policy, left map[int]string) (e *gin.Engine, failed int, reason string) {
	e = a.newEngine()
	for i, r := range p.Routes {
		if _, skip := left[i]; skip {
			continue
		}
		if err := a.add(e, p, r); err != nil {
			return nil, i, err.Error()
		}
	}
	return e, -1, ""
}

func (a *Acceptor) add(e *gin.Engine, p *policy.Policy, r policy.Route) (err error) {
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
	e.Handle(r.Method, path, a.handler(p, r, param))
	return nil
}

// routerPath turns each {name} segment into a parameter that is named by its
// position, since the router refuses two names at the same place. The second
// result gives the router's name for each name.
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
