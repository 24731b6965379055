package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayhold/carawayhold/protocol/platform"
)

func startAPI(t *testing.T) (*platform.Client, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(newAPI(newStore(), newInventory(), newFaults()).routes())
	t.Cleanup(server.Close)
	return platform.NewClient(server.URL, platform.WithCallTimeout(500*time.Millisecond)), server
}

func setFaults(t *testing.T, server *httptest.Server, document string) {
	t.Helper()
	response, err := http.Post(server.URL+"/faults", "application/json", strings.NewReader(document))
	require.NoError(t, err)
	response.Body.Close()
	require.Equal(t, http.StatusNoContent, response.StatusCode)
}

// Guards against two conditional writes that both succeed for the same version.
func TestConditionalUpdate(t *testing.T) {
	client, _ := startAPI(t)
	ctx := context.Background()
	first, err := client.Put(ctx, "a/b", 0, []byte("one"))
	require.NoError(t, err)
	_, err = client.Put(ctx, "a/b", 0, []byte("two"))
	require.ErrorIs(t, err, platform.ErrConflict)
	second, err := client.Put(ctx, "a/b", first, []byte("three"))
	require.NoError(t, err)
	require.Greater(t, second, first)
	object, err := client.Get(ctx, "a/b")
	require.NoError(t, err)
	require.Equal(t, "three", string(object.Value))
	_, err = client.Get(ctx, "a/c")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// Guards against a lost response that fails the write too, or that the client does not
// report as an error: the write takes effect and the client gets ErrUnavailable.
func TestLostResponseIsUnavailableAfterWrite(t *testing.T) {
	client, server := startAPI(t)
	ctx := context.Background()
	setFaults(t, server, `{"loseAnswers": 1}`)
	_, err := client.Put(ctx, "a", 0, []byte("one"))
	require.ErrorIs(t, err, platform.ErrUnavailable)
	object, err := client.Get(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, "one", string(object.Value))
}

// Guards against a watch that misses a change or never ends.
func TestWatch(t *testing.T) {
	client, server := startAPI(t)
	ctx := context.Background()
	version, err := client.Put(ctx, "w/a", 0, []byte("one"))
	require.NoError(t, err)
	done := make(chan platform.Listing, 1)
	go func() {
		listing, _ := client.Watch(ctx, "w/", version, 5*time.Second)
		done <- listing
	}()
	_, err = client.Put(ctx, "w/b", 0, []byte("two"))
	require.NoError(t, err)
	listing := <-done
	require.Len(t, listing.Objects, 1)
	require.Equal(t, "w/b", listing.Objects[0].Name)

	setFaults(t, server, `{"silent": true}`)
	_, err = client.Watch(ctx, "w/", listing.StoreVersion, 100*time.Millisecond)
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// Guards against a VM list without the lag of the platform's list.
func TestVMListLags(t *testing.T) {
	start := time.Now()
	i := newInventory()
	i.set([]platform.VM{{Name: "one"}}, start)
	i.set([]platform.VM{{Name: "one"}, {Name: "two"}}, start.Add(time.Minute))
	require.Len(t, i.at(start.Add(30*time.Second)).VMs, 1)
	require.Len(t, i.at(start.Add(61*time.Second)).VMs, 2)
}
