package console

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/url"
)

const (
	cookieName = "celeryhook-console"
	tokenField = "token"
)

// csrfGuard protects forms against cross-site request forgery. A POST needs a
// token that only pages of this console contain, and must have this console's
// origin.
type csrfGuard struct {
	secret      []byte
	crossOrigin *http.CrossOriginProtection
}

func newCSRFGuard() *csrfGuard {
	secret := make([]byte, sha256.Size)
	_, _ = rand.Read(secret) // never returns an error, see crypto/rand
	return &csrfGuard{secret: secret, crossOrigin: http.NewCrossOriginProtection()}
}

// token returns the token of the browser's session. It starts a session if
// there is none.
func (g *csrfGuard) token(w http.ResponseWriter, r *http.Request) string {
	session := ""
	if c, err := r.Cookie(cookieName); err == nil && len(c.Value) == 2*sha256.Size {
		session = c.Value
	} else {
		session = hex.EncodeToString(randomBytes())
		http.SetCookie(w, &http.Cookie{Name: cookieName, Value: session, Path: "/", HttpOnly: true, SameSite: http.SameSiteStrictMode})
	}
	return g.sign(session)
}

func randomBytes() []byte {
	b := make([]byte, sha256.Size)
	_, _ = rand.Read(b)
	return b
}

func (g *csrfGuard) sign(session string) string {
	mac := hmac.New(sha256.New, g.secret)
	mac.Write([]byte(session))
	return hex.EncodeToString(mac.Sum(nil))
}

var (
	errOrigin = errors.New("the form doesn't come from this console")
	errToken  = errors.New("the form is too old or doesn't come from this console; go back to the start")
	errHost   = errors.New("the console is reached by its IP address or as localhost only")
)

// checkHost rejects requests for host names other than localhost, to prevent
// DNS rebinding: a hostile site could resolve its name to this address.
func checkHost(r *http.Request) error {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if _, err := netip.ParseAddr(host); err != nil && host != "localhost" {
		return errHost
	}
	return nil
}

// checkPost rejects a POST that doesn't come from a page of this console.
func (g *csrfGuard) checkPost(r *http.Request) error {
	if err := g.crossOrigin.Check(r); err != nil {
		return errOrigin
	}
	origin, err := url.Parse(r.Header.Get("Origin"))
	if r.Header.Get("Origin") != "" && (err != nil || origin.Host != r.Host) {
		return errOrigin
	}
	if r.Header.Get("Origin") == "" && r.Header.Get("Sec-Fetch-Site") != "same-origin" {
		return errOrigin
	}
	c, err := r.Cookie(cookieName)
	if err != nil || !hmac.Equal([]byte(g.sign(c.Value)), []byte(r.PostFormValue(tokenField))) {
		return errToken
	}
	return nil
}
