// Package relay lets a proxy reach endpoints through another proxy. The proxy connects to
// the relay with HTTP CONNECT (RFC 9110, section 9.3.6); afterwards bytes are forwarded
// unchanged. A connection that ends with a reset on one side is reset on the other, and the
// relay states the end of the stream of the endpoint explicitly, so that a truncated response
// never looks complete, even if the relay dies.
package relay
