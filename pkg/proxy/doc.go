// Package proxy is the shell of a daemon that reaches the members of database
// groups itself: it serves callers, keeps connections to members, and carries
// out what the reducers of core/direct decide. What is spoken with callers,
// members and the platform is in package platform.
package proxy
