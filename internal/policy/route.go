package policy

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"celeryhook.example/celeryhook/internal/core"
)

// Kinds of key sources.
const (
	keyPath   = "path"
	keyQuery  = "query"
	keyHeader = "header"
)

var (
	literalPattern   = regexp.MustCompile(`^[A-Za-z0-9._~-]+$`)
	parameterPattern = regexp.MustCompile(`^\{[A-Za-z0-9_]{1,64}\}$`)
)

// parseRoute parses a route. checkRoutes does the checks that involve the
// service, after all sections are parsed.
func (p *parser) parseRoute(s *section, name string) {
	class, _ := core.ParseClass(s.oneOf("class", "lookup", "lookup", "booking", "cancellation", "payment"))
	r := Route{
		Name:       name,
		Method:     s.oneOf("method", "GET", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"),
		Path:       s.required("path"),
		Service:    core.Service(s.required("service")),
		Class:      class,
		Idempotent: s.boolean("idempotent", class == core.ClassLookup),
		MissingID:  MissingID(s.oneOf("missing_id", string(MissingIDAssign), string(MissingIDAssign), string(MissingIDReject))),
	}
	if r.Path != "" {
		if err := checkPath(r.Path); err != nil {
			s.addIssue("path", "%v", err)
			r.Path = ""
		}
	}
	if !r.Idempotent && (r.Method == "GET" || r.Method == "HEAD") {
		s.addIssue("method", "%s is for idempotent requests; the route is not idempotent", r.Method)
	}
	if r.Idempotent && class != core.ClassLookup {
		s.addIssue("idempotent", "a %s runs at most once, so it can't be idempotent", class)
	}
	r.Key = parseKeySource(s, r.Path)
	p.policy.Routes = append(p.policy.Routes, r)
}

func parseKeySource(s *section, path string) KeySource {
	text := s.text("key", "")
	if text == "" {
		return KeySource{}
	}
	kind, name, _ := strings.Cut(text, ":")
	k := KeySource{Kind: kind, Name: name}
	switch {
	case kind != keyPath && kind != keyQuery && kind != keyHeader:
		s.addIssue("key", "%q has not the form path:NAME, query:NAME or header:NAME", text)
	case checkName(name) != nil:
		s.addIssue("key", "%v", checkName(name))
	case kind == keyPath && path != "" && !slices.Contains(strings.Split(path, "/"), "{"+name+"}"):
		s.addIssue("key", "path %q has no segment {%s}", path, name)
	}
	return k
}

// checkPath accepts paths of literal segments and {parameter} segments, which
// excludes ":" and "*", the wildcards of gin's router.
func checkPath(path string) error {
	if path == "/" {
		return nil
	}
	if len(path) > 1024 {
		return fmt.Errorf("%d bytes exceed the limit of 1024", len(path))
	}
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return fmt.Errorf("%q doesn't start with a slash", path)
	}
	var parameters []string
	for segment := range strings.SplitSeq(rest, "/") {
		switch {
		case parameterPattern.MatchString(segment):
			if slices.Contains(parameters, segment) {
				return fmt.Errorf("%q has parameter %s more than once", path, segment)
			}
			parameters = append(parameters, segment)
		case !literalPattern.MatchString(segment) || segment == "." || segment == "..":
			return fmt.Errorf("%q has the segment %q, which is neither a plain name nor a {parameter}", path, segment)
		}
	}
	return nil
}

// conflicts describes, by the index of a route, its conflict with an earlier
// one. Gin's router keeps a tree for each method, in which paths must differ and
// parameters at the same position must have the same name.
func conflicts(routes []Route) map[int]string {
	out := make(map[int]string)
	routeAt := make(map[string]string)
	parameters := make(map[string]parameter)
	for i, r := range routes {
		if r.Path == "" {
			continue
		}
		prefix := r.Method + " "
		for segment := range strings.SplitSeq(strings.TrimPrefix(r.Path, "/"), "/") {
			if strings.HasPrefix(segment, "{") {
				first, ok := parameters[prefix]
				switch {
				case !ok:
					parameters[prefix] = parameter{name: segment, route: r.Name}
				case first.name != segment:
					out[i] = fmt.Sprintf("parameter %s stands where route %q has %s", segment, first.route, first.name)
				}
				segment = "{}"
			}
			prefix += "/" + segment
		}
		if other, ok := routeAt[prefix]; ok && out[i] == "" {
			out[i] = fmt.Sprintf("route %q has the same method and path", other)
		}
		routeAt[prefix] = r.Name
	}
	return out
}

// parameter is the name of a path parameter at one position of the tree, and the
// route that it comes from.
type parameter struct{ name, route string }
