// Package operator is the operator API of a proxy: plans, confirmations, status,
// endpoints, the audit trail and services, with a server to embed and a client
// that fails over between proxies.
//
// A change takes two steps. A plan shows what a document would change and names
// the versions it was computed on. A confirmation sends the plan back with an
// operation id. The server commits it with one conditional update of the object
// config/head, which also holds the audit entry, so a change is either wholly in
// the head with its audit entry or not at all. A confirmation can be repeated at
// any proxy with the same operation id and is applied at most once.
//
// All paths are below /v1. Errors are JSON of type Problem.
package operator
