// Package operator implements the operator API of a proxy: plans, confirmations,
// status, endpoints, the audit trail and services. It contains a server to embed
// and a client that fails over between proxies.
//
// A change takes two steps. A plan shows what a document would change and names
// the versions it was computed on. A confirmation sends the plan back with an
// operation id. The server commits it with one conditional update of the object
// config/head, the head, which also contains the audit entry, so that a change and
// its audit entry are written atomically. A confirmation can be repeated at any
// proxy with the same operation id and is applied at most once.
//
// All paths are below /v1. Error responses are a Problem in JSON.
package operator
