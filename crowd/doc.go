// Package crowd holds tests in which many clients that keep no limits call one process
// of the program: bodies that stop short of their end, headers that never end,
// connections without calls, answers that nobody reads.
//
// Each test starts the program as a process of its own on loopback, with limits that are
// small enough for a crowd of a few hundred connections, and holds the crowd open. It
// judges what does not depend on the speed of the machine: the process lives, its peak of
// resident memory and its open descriptors stay within its settings, and one ordinary
// call is answered while the crowd still holds its connections.
//
// The tests run one at a time and apart from other load; .ci/test does so.
//
// Usage:
//
//	go test ./crowd -run TestWholeBodiesAtFront -count=1 -v
package crowd
