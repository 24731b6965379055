// Package answer defines the response body of the simulated backend servers. With it a
// caller detects incomplete responses and responses to other requests.
package answer

import (
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
)

const digestBytes = 8

// Document is the body of every successful response. Digest covers the other fields.
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

// Sum computes the digest of all fields other than Digest.
func (d Document) Sum() string {
	sum := sha256.Sum256([]byte(strings.Join([]string{
		d.RequestID, d.Service, d.Endpoint, d.Team, d.Path, strconv.Itoa(d.BodyBytes), d.Filler,
	}, "\n")))
	return hex.EncodeToString(sum[:digestBytes])
}

// Valid reports whether the digest matches the other fields.
func (d Document) Valid() bool {
	return d.Digest == d.Sum()
}
