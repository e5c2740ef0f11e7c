package adminapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"go.uber.org/zap"

	"github.com/dogwoodhatch/dogwoodhatch/errs"
	"github.com/dogwoodhatch/dogwoodhatch/profile"
)

// Credential is the name of an operator or client and the SHA-256 hash of its token.
type Credential struct {
	Name string
	Hash [sha256.Size]byte
}

// ParseCredential makes a credential from a name and a hexadecimal SHA-256 hash, as
// given in the settings. The error is of kind errs.Invalid.
func ParseCredential(name, hash string) (Credential, error) {
	c := Credential{Name: name}
	raw, err := hex.DecodeString(hash)
	if err != nil || len(raw) != sha256.Size {
		return c, errs.New(errs.Invalid, "give the SHA-256 of the token as 64 hexadecimal digits", "credential %q has a malformed hash", name)
	}
	if !profile.ValidName(name) {
		return c, errs.New(errs.Invalid, "use lower case letters, digits, dots and hyphens", "bad credential name %q", name)
	}
	copy(c.Hash[:], raw)
	return c, nil
}

// authenticated passes requests with a known token on to h and rejects all others
// with status 401.
func (a *api) authenticated(h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		author, ok := a.author(r)
		if !ok {
			a.Log.Warn("admin_refused", zap.String("remote", r.RemoteAddr), zap.String("method", r.Method), zap.String("path", r.URL.Path))
			w.Header().Set("WWW-Authenticate", `Bearer realm="dogwoodhatch"`)
			writeProblem(w, Problem{Status: http.StatusUnauthorized, Title: "no valid credential", Remedy: "send Authorization: Bearer TOKEN"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		if err := h(w, r, author); err != nil {
			writeProblem(w, problemOf(err))
		}
	})
}

// author returns the name of the credential whose token a request carries. It always
// compares with every hash, in constant time, so that timing reveals nothing about
// the hashes.
func (a *api) author(r *http.Request) (string, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", false
	}
	hash := sha256.Sum256([]byte(token))
	found := -1
	for i := range a.Credentials {
		if subtle.ConstantTimeCompare(hash[:], a.Credentials[i].Hash[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return "", false
	}
	return a.Credentials[found].Name, true
}
