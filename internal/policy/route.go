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
	literalForm   = regexp.MustCompile(`^[A-Za-z0-9._~-]+$`)
	parameterForm = regexp.MustCompile(`^\{[A-Za-z0-9_]{1,64}\}$`)
)

// parseRoute reads a route; what depends on its service is checked once all
// services are known.
func (p *parser) parseRoute(s *section, name string) {
	class, _ := core.ParseClass(s.oneOf("class", "lookup", "lookup", "booking", "cancellation", "payment"))
	r := Route{
		Name:       name,
		Method:     s.oneOf("method", "GET", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"),
		Path:       s.required("path"),
		Service:    core.Service(s.required("service")),
		Class:      class,
		Idempotent: s.yes("idempotent", class == core.ClassLookup),
		MissingID:  MissingID(s.oneOf("missing_id", string(MissingIDAssign), string(MissingIDAssign), string(MissingIDRefuse))),
	}
	if r.Path != "" {
		if err := checkPath(r.Path); err != nil {
			s.fault("path", "%v", err)
			r.Path = ""
		}
	}
	if !r.Idempotent && (r.Method == "GET" || r.Method == "HEAD") {
		s.fault("method", "%s is for idempotent requests; the route is not idempotent", r.Method)
	}
	if r.Idempotent && class != core.ClassLookup {
		s.fault("idempotent", "a %s runs at most once, so it can't be idempotent", class)
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
		s.fault("key", "%q has not the form path:NAME, query:NAME or header:NAME", text)
	case checkName(name) != nil:
		s.fault("key", "%v", checkName(name))
	case kind == keyPath && path != "" && !slices.Contains(strings.Split(path, "/"), "{"+name+"}"):
		s.fault("key", "path %q has no segment {%s}", path, name)
	}
	return k
}

// checkPath allows literal segments and segments that are one parameter. The
// wildcards of gin's router, ":" and "*", can't occur.
func checkPath(path string) error {
	if path == "/" {
		return nil
	}
	if len(path) > 1024 {
		return fmt.Errorf("it has %d bytes, at most 1024 are allowed", len(path))
	}
	rest, ok := strings.CutPrefix(path, "/")
	if !ok {
		return fmt.Errorf("%q doesn't start with a slash", path)
	}
	var parameters []string
	for segment := range strings.SplitSeq(rest, "/") {
		switch {
		case parameterForm.MatchString(segment):
			if slices.Contains(parameters, segment) {
				return fmt.Errorf("%q has parameter %s more than once", path, segment)
			}
			parameters = append(parameters, segment)
		case !literalForm.MatchString(segment) || segment == "." || segment == "..":
			return fmt.Errorf("%q has the segment %q, which is neither a plain name nor a {parameter}", path, segment)
		}
	}
	return nil
}

// conflicts returns for each route, by its index, the route that it can't be
// held together with in gin's router, which keeps a tree for each method:
// paths must differ, and parameters at the same place must have the same name.
func conflicts(routes []Route) map[int]string {
	out := make(map[int]string)
	whole := make(map[string]string)
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
		if other, ok := whole[prefix]; ok && out[i] == "" {
			out[i] = fmt.Sprintf("route %q has the same method and path", other)
		}
		whole[prefix] = r.Name
	}
	return out
}

// parameter is the name that a path parameter has at one place of the tree.
type parameter struct{ name, route string }
