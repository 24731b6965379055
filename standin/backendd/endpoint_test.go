package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/standin/answer"
)

func startEndpoint(t *testing.T, slots, queue int, processingTime time.Duration) *httptest.Server {
	t.Helper()
	e := newEndpoint(endpointSettings{service: "depot", name: "depot-1", slots: slots, queue: queue, processingTime: processingTime})
	server := httptest.NewServer(e.routes())
	t.Cleanup(server.Close)
	return server
}

func post(t *testing.T, url, body string, header ...string) (*http.Response, []byte, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response, content, err
}

// Guards against faults that have no effect: tests of failure handling would pass for
// the wrong reason.
func TestFaultModes(t *testing.T) {
	cases := []struct {
		mode       faultMode
		wantStatus int
		wantError  bool
		wantID     string
	}{
		{mode: modeNone, wantStatus: http.StatusOK, wantID: "mine"},
		{mode: modeError, wantStatus: http.StatusInternalServerError},
		{mode: modeForeign, wantStatus: http.StatusOK, wantID: "none"},
		{mode: modeTruncated, wantError: true},
		{mode: modeReset, wantError: true},
	}
	for _, c := range cases {
		t.Run(string(c.mode), func(t *testing.T) {
			server := startEndpoint(t, 1, 1, time.Millisecond)
			_, _, err := post(t, server.URL+"/control/fault", `{"mode":"`+string(c.mode)+`","share":1}`)
			require.NoError(t, err)
			response, content, err := post(t, server.URL+"/dropoffs", "{}", "X-Request-Id", "mine")
			if c.wantError {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.wantStatus, response.StatusCode)
			if c.wantID == "" {
				return
			}
			var document answer.Document
			require.NoError(t, json.Unmarshal(content, &document))
			require.Equal(t, c.wantID, document.RequestID)
			require.True(t, document.Valid())
		})
	}
}

// Guards against executions that are not counted, and against shed requests that are
// counted as executions.
func TestExecutionCountExcludesShedRequests(t *testing.T) {
	server := startEndpoint(t, 1, 0, 200*time.Millisecond)
	responded := make(chan struct{})
	go func() {
		defer close(responded)
		_, _, _ = post(t, server.URL+"/dropoffs", "{}", "Idempotency-Key", "one")
	}()
	require.Eventually(t, func() bool { return executionsOf(t, server)["one"] == 1 }, 2*time.Second, 5*time.Millisecond)
	response, _, err := post(t, server.URL+"/dropoffs", "{}", "Idempotency-Key", "two")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "true", response.Header.Get("X-Not-Run"))
	<-responded
	require.Equal(t, map[string]int{"one": 1}, executionsOf(t, server))
}

func executionsOf(t *testing.T, server *httptest.Server) map[string]int {
	t.Helper()
	response, err := http.Get(server.URL + "/control/runs")
	require.NoError(t, err)
	defer response.Body.Close()
	var report executionReport
	require.NoError(t, json.NewDecoder(response.Body).Decode(&report))
	return report.Runs
}
