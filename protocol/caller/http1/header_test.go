package http1

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestConnectionFieldsAreNotForwarded(t *testing.T) {
	h := http.Header{
		"Connection": {"close, X-Private"}, "X-Private": {"1"}, "Keep-Alive": {"timeout=5"},
		"Transfer-Encoding": {"chunked"}, "Content-Length": {"3"}, "Upgrade": {"x"}, "X-Kept": {"2"},
	}
	RemoveConnectionFields(h)
	require.Equal(t, http.Header{"X-Kept": {"2"}}, h)
}
