package consol

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"cardamomspool/io/admin"
)

type (
	// session is the content of a session cookie.
	session struct {
		// Operator is the name that the operator entered; it is empty without a
		// login.
		Operator string `json:"operator"`
		// Nonce identifies the session; form tokens are derived from it.
		Nonce string `json:"nonce"`
		// Expires is when the session ends.
		Expires time.Time `json:"expires"`
	}

	// signer signs session cookies and form tokens with HMAC-SHA256.
	signer struct {
		key []byte
	}
)

const (
	sessionLifetime  = 12 * time.Hour
	maxOperatorBytes = 64

	// Each signed text begins with its purpose: a session cookie or a form token.
	sessionPurpose = "session|"
	formPurpose    = "form|"
)

// newSigner derives the key from the operator token. Changing the token thus ends
// all sessions, and control hosts with the same token accept each other's sessions.
// Without a token the key is random.
func newSigner(token string) signer {
	if token == "" {
		return signer{key: []byte(rand.Text())}
	}
	return signer{key: signer{key: []byte(token)}.mac("cardamomspool console")}
}

// mac returns the message authentication code of text. The text begins with
// sessionPurpose or formPurpose, so that a form token is never a valid cookie. Only
// newSigner passes a text without a purpose, with another key.
func (s signer) mac(text string) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// encode returns the signed cookie value of a session.
func (s signer) encode(v session) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // A session holds only types that JSON can encode.
	}
	payload := base64.RawURLEncoding.EncodeToString(data)
	return payload + "." + base64.RawURLEncoding.EncodeToString(s.mac(sessionPurpose+payload))
}

// decode returns the session in a cookie value. It reports false when the value
// is malformed, its signature is wrong or the session has expired.
func (s signer) decode(value string, now time.Time) (session, bool) {
	var v session
	payload, signature, _ := strings.Cut(value, ".")
	mac, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil || !hmac.Equal(mac, s.mac(sessionPurpose+payload)) {
		return v, false
	}
	var data []byte
	if data, err = base64.RawURLEncoding.DecodeString(payload); err != nil {
		return v, false
	}
	if err = json.Unmarshal(data, &v); err != nil {
		return v, false
	}
	return v, now.Before(v.Expires)
}

// formToken returns the token against request forgery that forms of the session
// carry in a hidden field.
func (s signer) formToken(v session) string {
	return base64.RawURLEncoding.EncodeToString(s.mac(formPurpose + v.Nonce))
}

// verifyForm reports whether token is the form token of the session.
func (s signer) verifyForm(v session, token string) bool {
	return hmac.Equal([]byte(token), []byte(s.formToken(v)))
}

// cookieName returns the name of the session cookie. It holds the host's name,
// so that the cookies of several control hosts at one IP address differ.
func (c *Console) cookieName() string {
	return "cardamomspool_" + c.host
}

// session returns the session of a request, and false if it has none. If the console
// has no operator token, a GET request without a session starts one.
func (c *Console) session(w http.ResponseWriter, r *http.Request) (session, bool) {
	if cookie, err := r.Cookie(c.cookieName()); err == nil {
		if s, ok := c.signer.decode(cookie.Value, c.now()); ok {
			return s, true
		}
	}
	if c.token != "" || r.Method != http.MethodGet {
		return session{}, false
	}
	return c.startSession(w, ""), true
}

// startSession starts a session and sets its cookie.
func (c *Console) startSession(w http.ResponseWriter, operator string) session {
	s := session{Operator: operator, Nonce: c.newID(), Expires: c.now().Add(sessionLifetime).UTC()}
	http.SetCookie(w, c.cookie(c.signer.encode(s), int(sessionLifetime/time.Second)))
	return s
}

// cookie returns the session cookie with the given value and lifetime in seconds. A
// negative lifetime deletes the cookie.
func (c *Console) cookie(value string, maxAge int) *http.Cookie {
	return &http.Cookie{
		Name: c.cookieName(), Value: value, Path: "/", MaxAge: maxAge,
		HttpOnly: true, SameSite: http.SameSiteStrictMode,
	}
}

// loginForm shows the login page.
func (c *Console) loginForm(w http.ResponseWriter, _ *http.Request) {
	c.render(w, http.StatusOK, "login", loginPage{page: c.page("Log in", session{})})
}

// login checks the operator's name and the token, if the console has one, and starts
// a session.
func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	p := loginPage{page: c.page("Log in", session{}), Operator: strings.TrimSpace(r.PostFormValue("operator"))}
	switch {
	case c.token != "" && !admin.SameToken(strings.TrimSpace(r.PostFormValue("token")), c.token):
		c.log.Warn("operator refused", "remote", r.RemoteAddr, "path", r.URL.Path)
		p.TokenFault = "This is not the operator token."
	case p.Operator == "" || len(p.Operator) > maxOperatorBytes:
		p.OperatorFault = "Give a name of 1 to 64 characters; it is kept in the history of your changes."
	default:
		c.startSession(w, p.Operator)
		c.log.Info("operator logged in", "remote", r.RemoteAddr, "operator", p.Operator)
		http.Redirect(w, r, "/", http.StatusSeeOther)
		return
	}
	c.render(w, http.StatusForbidden, "login", p)
}

// logout deletes the session cookie of the browser. The session itself stays valid
// until it expires.
func (c *Console) logout(w http.ResponseWriter, r *http.Request) {
	http.SetCookie(w, c.cookie("", -1))
	http.Redirect(w, r, "/login", http.StatusSeeOther)
}
