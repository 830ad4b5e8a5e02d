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
	// session is what a signed cookie says of an operator.
	session struct {
		// Operator is the name that the operator gave; may be empty.
		Operator string `json:"operator"`
		// Nonce tells sessions apart; forms are bound to it.
		Nonce string `json:"nonce"`
		// Expires is when the session ends.
		Expires time.Time `json:"expires"`
	}

	// signer signs sessions and forms with a key.
	signer struct {
		key []byte
	}
)

const (
	sessionLength  = 12 * time.Hour
	maxOperator    = 64
	sessionPurpose = "session|"
	formPurpose    = "form|"
)

// newSigner derives the key from the operator token, so that a new token ends
// all sessions and all control hosts with the same token share them. Without
// a token the key is random.
func newSigner(token string) signer {
	if token == "" {
		return signer{key: []byte(rand.Text())}
	}
	return signer{key: signer{key: []byte(token)}.sum("cardamomspool console")}
}

func (s signer) sum(text string) []byte {
	h := hmac.New(sha256.New, s.key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// seal returns the value of the cookie for a session.
func (s signer) seal(v session) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // A session holds only types that can be written as JSON.
	}
	payload := base64.RawURLEncoding.EncodeToString(data)
	return payload + "." + base64.RawURLEncoding.EncodeToString(s.sum(sessionPurpose+payload))
}

// open returns the session in a cookie's value. It reports false when the
// signature is wrong or the session has ended.
func (s signer) open(value string, now time.Time) (session, bool) {
	var v session
	payload, signature, _ := strings.Cut(value, ".")
	given, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil || !hmac.Equal(given, s.sum(sessionPurpose+payload)) {
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

// formToken returns the hidden value that a form of the session carries.
func (s signer) formToken(v session) string {
	return base64.RawURLEncoding.EncodeToString(s.sum(formPurpose + v.Nonce))
}

func (s signer) checkForm(v session, given string) bool {
	return hmac.Equal([]byte(given), []byte(s.formToken(v)))
}

func (c *Console) cookieName() string {
	return "cardamomspool_" + c.host
}

// session returns the session of a request. Without a token everyone gets
// one.
func (c *Console) session(w http.ResponseWriter, r *http.Request) (session, bool) {
	if cookie, err := r.Cookie(c.cookieName()); err == nil {
		if s, ok := c.signer.open(cookie.Value, c.now()); ok {
			return s, true
		}
	}
	if c.token != "" || r.Method != http.MethodGet {
		return session{}, false
	}
	return c.begin(w, ""), true
}

// begin starts a session and sets its cookie.
func (c *Console) begin(w http.ResponseWriter, operator string) session {
	s := session{Operator: operator, Nonce: c.newID(), Expires: c.now().Add(sessionLength).UTC()}
	http.SetCookie(w, c.cookie(c.signer.seal(s), int(sessionLength/time.Second)))
	return s
}

func (c *Console) cookie(value string, maxAge int) *http.Cookie {
	return &http.Cookie{
		Name: c.cookieName(), Value: value, Path: "/", MaxAge: maxAge,
		HttpOnly: true, SameSite: http.SameSiteStrictMode,
	}
}

func (c *Console) loginForm(w http.ResponseWriter, _ *http.Request) {
	c.render(w, http.StatusOK, "login", loginPage{page: c.page("Log in", session{})})
}

// login checks the token and starts a session.
func (c *Console) login(w http.ResponseWriter, r *http.Request) {
	p := loginPage{page: c.page("Log in", session{}), Operator: strings.TrimSpace(r.PostFormValue("operator"))}
	switch {
	case c.token != "" && !admin.SameToken(strings.TrimSpace(r.PostFormValue("token")), c.token):
		c.log.Warn("operator refused", "remote", r.RemoteAddr, "path", r.URL.Path)
		p.TokenFault = "This is not the operator token."
	case p.Operator == "" || len(p.Operator) > maxOperator:
		p.OperatorFault = "Give a name of 1 to 64 characters; it is kept in the history of your changes."
	default:
		c.begin(w, p.Operator)
		c.log.Info("operator logged in", "remote", r.RemoteAddr, "operator", p.Operator)
		http.Redirect(w, r, "/", http.StatusSeeOther)
		return
	}
	c.render(w, http.StatusForbidden, "login", p)
}

func (c *Console) logout(w http.ResponseWriter, r *http.Request) {
	http.SetCookie(w, c.cookie("", -1))
	http.Redirect(w, r, "/login", http.StatusSeeOther)
}
