package config

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"sort"

	"github.com/rotisserie/eris"
)

// ErrDigest means that the content of a stored document does not match its digest.
var ErrDigest = eris.New("config: document does not match its digest")

// Canonical returns the stored encoding of a service: JSON with defaults filled in
// and with the lists sorted whose order has no meaning. Equivalent services have the
// same encoding. Defaults are filled in so that a stored document keeps its meaning
// when a later version changes a default.
func (s Service) Canonical() []byte {
	content, err := json.Marshal(s.normalised())
	if err != nil {
		// Cannot happen: strings, numbers and booleans always encode.
		panic(err)
	}
	return content
}

// Digest returns the digest of the canonical encoding, as the function Digest does.
func (s Service) Digest() string { return Digest(s.Canonical()) }

// Digest returns the digest of a stored document in the format of the index in
// config/head: SHA-256 in unpadded URL-safe base64.
func Digest(content []byte) string {
	sum := sha256.Sum256(content)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// DecodeStored verifies the digest of a document that Canonical encoded and decodes
// it. The error is ErrDigest if the digest does not match. Unknown fields, which a
// later version may have written, are ignored.
func DecodeStored(content []byte, digest string) (Service, error) {
	var service Service
	if got := Digest(content); got != digest {
		return Service{}, eris.Wrapf(ErrDigest, "have %s, want %s", got, digest)
	}
	if err := json.Unmarshal(content, &service); err != nil {
		return Service{}, eris.Wrap(err, "config: stored document is not readable")
	}
	return service, nil
}

// normalised returns a copy with defaults filled in and lists sorted.
func (s Service) normalised() Service {
	s = s.WithDefaults()
	s.Teams = sortedCopy(s.Teams)
	s.Routes = append([]Route{}, s.Routes...)
	for i, r := range s.Routes {
		s.Routes[i].Methods = sortedCopy(r.Methods)
	}
	s.Classes = append([]Class{}, s.Classes...)
	sort.SliceStable(s.Routes, func(i, j int) bool { return s.Routes[i].label() < s.Routes[j].label() })
	sort.SliceStable(s.Endpoints, func(i, j int) bool { return s.Endpoints[i].Name < s.Endpoints[j].Name })
	sort.SliceStable(s.Classes, func(i, j int) bool { return s.Classes[i].Name < s.Classes[j].Name })
	return s
}

// sortedCopy returns nil for an empty list, so that nil and empty lists encode alike.
func sortedCopy(list []string) []string {
	if len(list) == 0 {
		return nil
	}
	list = append([]string{}, list...)
	sort.Strings(list)
	return list
}
