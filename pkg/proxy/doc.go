// Package proxy implements a daemon that connects to the members of database
// groups directly: it serves callers, pools connections to members, and carries
// out the effects that the reducers of core/direct return. The protocols spoken
// with callers, members and the platform are in package platform.
package proxy
