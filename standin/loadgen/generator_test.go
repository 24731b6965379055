package main

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/standin/answer"
)

// Guards against a load generator that counts an incomplete response, or the response to
// a different request, as a success.
func TestClassify(t *testing.T) {
	document := answer.Document{RequestID: "mine", Service: "depot", Path: "/dropoffs"}
	document.Digest = "66f4de3e2a8e8b3c"
	wrongDigest, err := json.Marshal(document)
	require.NoError(t, err)
	valid := []byte(`{"requestId":"mine","service":"s","endpoint":"e","team":"t","path":"p","bodyBytes":0,"filler":"x","digest":"` + digestOf("mine") + `"}`)
	cases := []struct {
		name    string
		status  int
		header  http.Header
		content []byte
		id      string
		want    result
	}{
		{"whole", 200, http.Header{}, valid, "mine", resultWhole},
		{"foreign", 200, http.Header{}, valid, "other", resultForeign},
		{"changed", 200, http.Header{}, wrongDigest, "mine", resultPartial},
		{"cut", 200, http.Header{}, valid[:40], "mine", resultPartial},
		{"refused", 503, http.Header{"Retry-After": {"1"}}, nil, "mine", resultRefused},
		{"failed", 500, http.Header{}, nil, "mine", resultFailed},
		{"not run", 503, http.Header{headerOutcome: {outcomeNotRun}}, nil, "mine", resultNotRun},
		{"unknown", 504, http.Header{headerOutcome: {outcomeUnknown}}, nil, "mine", resultUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := &http.Response{StatusCode: c.status, Header: c.header}
			require.Equal(t, c.want, classify(response, c.content, c.id))
		})
	}
}

func digestOf(id string) string {
	return answer.Document{RequestID: id, Service: "s", Endpoint: "e", Team: "t", Path: "p", Filler: "x"}.Sum()
}
