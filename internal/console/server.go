package console

import (
	"context"
	"embed"
	"fmt"
	"html/template"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/google/uuid"

	"celeryhook.example/celeryhook/internal/policy"
)

//go:embed web
var web embed.FS

const (
	// maxPostBytes bounds the body of a posted form. URL encoding may triple the
	// size of a document.
	maxPostBytes = 3*policy.MaxDocumentBytes + 1<<20
	// platformTimeout bounds the requests to the platform for one page.
	platformTimeout = 5 * time.Second
)

// Server is the HTTP handler of the console.
type Server struct {
	policies PolicyStore
	author   string
	csrf     *csrfGuard
	pages    *template.Template
	router   *gin.Engine
}

// New returns a console that submits policies on behalf of author.
func New(policies PolicyStore, author string) *Server {
	gin.SetMode(gin.ReleaseMode)
	s := &Server{
		policies: policies, author: author, csrf: newCSRFGuard(), router: gin.New(),
		pages: template.Must(template.ParseFS(web, "web/*.html")),
	}
	s.router.Use(gin.CustomRecoveryWithWriter(nil, func(c *gin.Context, _ any) {
		s.renderError(c, http.StatusInternalServerError, "an internal error occurred")
	}), s.protect)
	s.router.GET("/", s.handleIndex)
	s.router.GET("/style.css", func(c *gin.Context) { c.FileFromFS("web/style.css", http.FS(web)) })
	s.router.POST("/draft", s.handleDraft)
	s.router.NoRoute(func(c *gin.Context) { s.renderError(c, http.StatusNotFound, "there is no such page") })
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// protect is a middleware that sets security headers and rejects requests with
// a foreign host or origin.
func (s *Server) protect(c *gin.Context) {
	h := c.Writer.Header()
	h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
	h.Set("X-Content-Type-Options", "nosniff")
	h.Set("X-Frame-Options", "DENY")
	h.Set("Referrer-Policy", "same-origin")
	h.Set("Cache-Control", "no-store")
	if err := checkHost(c.Request); err != nil {
		s.renderError(c, http.StatusMisdirectedRequest, err.Error())
		c.Abort()
		return
	}
	if c.Request.Method != http.MethodPost {
		return
	}
	c.Request.Body = http.MaxBytesReader(c.Writer, c.Request.Body, maxPostBytes)
	if err := c.Request.ParseForm(); err != nil {
		s.renderError(c, http.StatusBadRequest, "the form can't be read: "+err.Error())
		c.Abort()
		return
	}
	if err := s.csrf.checkPost(c.Request); err != nil {
		s.renderError(c, http.StatusForbidden, err.Error())
		c.Abort()
	}
}

// page is the data of the templates.
type page struct {
	Title  string
	Token  string
	Draft  draft
	Notice string
	// Faults are the issues of the draft; the templates use this name.
	Faults  policy.Issues
	Groups  []group
	Section sectionForm
	// The fields below are used by the review and result pages.
	ID     string
	Diff   []Line
	Base   Version
	Result Result
}

// group lists the sections of a kind on the overview page. Missing is set if
// the section can be added: the kind has no named sections, and the document
// doesn't contain it.
type group struct {
	Kind     string
	Heading  string
	Hint     string
	Named    bool
	Sections []sectionLink
	Missing  bool
}

type sectionLink struct {
	Title  string
	Label  string
	Faults int
}

func (s *Server) render(c *gin.Context, status int, name string, p page) {
	p.Token = s.csrf.token(c.Writer, c.Request)
	c.Status(status)
	c.Header("Content-Type", "text/html; charset=utf-8")
	if err := s.pages.ExecuteTemplate(c.Writer, name, p); err != nil {
		_ = c.Error(err)
	}
}

func (s *Server) renderError(c *gin.Context, status int, reason string) {
	s.render(c, status, "failed.html", page{Title: "Not done", Notice: reason})
}

func (s *Server) handleIndex(c *gin.Context) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), platformTimeout)
	defer cancel()
	v, err := s.policies.InForce(ctx)
	if err != nil {
		s.renderError(c, http.StatusBadGateway, "the version in force can't be read: "+err.Error())
		return
	}
	s.overview(c, draft{Base: v.Offset, Document: v.Document}, "")
}

// handleDraft handles a posted form. The name of the pressed button selects
// the action.
func (s *Server) handleDraft(c *gin.Context) {
	form := c.Request.PostForm
	base, err := strconv.ParseUint(form.Get("base"), 10, 64)
	if err != nil {
		s.renderError(c, http.StatusBadRequest, "the form has no version that it is based on")
		return
	}
	d := draft{Base: base, Document: strings.ReplaceAll(form.Get("document"), "\r\n", "\n")}
	switch {
	case form.Has("open"):
		s.section(c, d, form.Get("open"), nil)
	case form.Has("save"):
		s.save(c, d, form.Get("save"), form)
	case form.Has("add"):
		s.add(c, d, form.Get("add"), form)
	case form.Has("remove"):
		doc := parseDocument(d.Document)
		doc.remove(form.Get("remove"))
		s.overview(c, draft{Base: d.Base, Document: doc.String()}, "Removed ["+form.Get("remove")+"].")
	case form.Has("review"):
		s.review(c, d)
	case form.Has("submit"):
		s.submit(c, d, form.Get("id"))
	default:
		s.overview(c, d, "")
	}
}

func (s *Server) overview(c *gin.Context, d draft, notice string) {
	issues := validate(d.Document)
	doc := parseDocument(d.Document)
	p := page{Title: "Policy", Draft: d, Notice: notice, Faults: issues}
	for _, name := range kindOrder {
		k := kinds[name]
		g := group{Kind: name, Heading: k.Heading, Hint: k.Hint, Named: k.named}
		for _, title := range doc.titles() {
			kindName, label, _ := strings.Cut(title, " ")
			if kindName == name {
				g.Sections = append(g.Sections, sectionLink{Title: title, Label: label, Faults: countIssues(issues, title)})
			}
		}
		g.Missing = !k.named && len(g.Sections) == 0
		p.Groups = append(p.Groups, g)
	}
	s.render(c, http.StatusOK, "overview.html", p)
}

func countIssues(issues policy.Issues, section string) int {
	n := 0
	for _, issue := range issues {
		if issue.Section == section {
			n++
		}
	}
	return n
}

func (s *Server) section(c *gin.Context, d draft, title string, rejected map[string]string) {
	issues := validate(d.Document)
	form, ok := newSectionForm(parseDocument(d.Document), title, issues, rejected)
	if !ok {
		s.overview(c, d, "There is no section ["+title+"].")
		return
	}
	for key, reason := range rejected {
		form.Faults = append(form.Faults, fmt.Sprintf("%s was not changed: %s", key, reason))
	}
	s.render(c, http.StatusOK, "section.html", page{Title: "[" + title + "]", Draft: d, Section: form})
}

func (s *Server) save(c *gin.Context, d draft, title string, form url.Values) {
	doc := parseDocument(d.Document)
	edited := doc.find(title)
	if edited == nil {
		s.overview(c, d, "There is no section ["+title+"].")
		return
	}
	rejected := applyForm(edited, form)
	d.Document = doc.String()
	if len(rejected) > 0 || countIssues(validate(d.Document), title) > 0 {
		s.section(c, d, title, rejected)
		return
	}
	s.overview(c, d, "Changed ["+title+"] in the draft. Nothing is in force until it is submitted.")
}

func (s *Server) add(c *gin.Context, d draft, kindName string, form url.Values) {
	title := kindName
	if kinds[kindName].named {
		title += " " + strings.TrimSpace(form.Get("name."+kindName))
	}
	doc := parseDocument(d.Document)
	if err := doc.add(title); err != nil {
		s.overview(c, d, "Not added: "+err.Error()+".")
		return
	}
	d.Document = doc.String()
	s.section(c, d, title, nil)
}

// review shows the document and its changes before it can be submitted.
func (s *Server) review(c *gin.Context, d draft) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), platformTimeout)
	defer cancel()
	v, err := s.policies.InForce(ctx)
	if err != nil {
		s.renderError(c, http.StatusBadGateway, "the version in force can't be read: "+err.Error())
		return
	}
	p := page{Title: "Review", Draft: d, Base: v, Faults: validate(d.Document), Diff: s.policies.Diff(v.Document, d.Document), ID: uuid.NewString()}
	if v.Offset != d.Base {
		p.Notice = fmt.Sprintf("Version %d has come into force since this draft was begun on version %d. "+
			"The difference below is to version %d; check that it doesn't undo what others changed.", v.Offset, d.Base, v.Offset)
		p.Draft.Base = v.Offset
	}
	s.render(c, http.StatusOK, "review.html", p)
}

func (s *Server) submit(c *gin.Context, d draft, id string) {
	if _, err := uuid.Parse(id); err != nil {
		s.renderError(c, http.StatusBadRequest, "the form has no id of the submission")
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), platformTimeout)
	defer cancel()
	r := s.policies.Submit(ctx, Submission{ID: id, Author: s.author, Base: d.Base, Document: d.Document})
	p := page{Title: "Submission " + string(r.Fate), Draft: d, ID: id, Result: r}
	if r.Fate == OutcomeConflict {
		p.Diff = s.policies.Diff(r.Version.Document, d.Document)
	}
	s.render(c, http.StatusOK, "result.html", p)
}
