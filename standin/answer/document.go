// Package answer defines the body that the backend server stand-in returns, so
// that a caller can tell a complete answer to its own request from any other.
package answer

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

const digestBytes = 8

// Document is the body of every answer. The digest covers the other fields.
type Document struct {
	RequestID string `json:"requestId"`
	Service   string `json:"service"`
	Endpoint  string `json:"endpoint"`
	Team      string `json:"team"`
	Path      string `json:"path"`
	BodyBytes int    `json:"bodyBytes"`
	Filler    string `json:"filler"`
	Digest    string `json:"digest"`
}

// Sum returns the digest of the fields other than Digest.
func (d Document) Sum() string {
	sum := sha256.Sum256([]byte(strings.Join([]string{
		d.RequestID, d.Service, d.Endpoint, d.Team, d.Path, strconv.Itoa(d.BodyBytes), d.Filler,
	}, "\n")))
	return hex.EncodeToString(sum[:digestBytes])
}

// Complete reports whether the digest matches the other fields.
func (d Document) Complete() bool {
	return d.Digest == d.Sum()
}
