// Package overload replays a service under more load than it can serve, in virtual time, against
// package placement, and bounds what any placement could have served of the same requests.
package overload
