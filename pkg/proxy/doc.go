// Package proxy implements a daemon that connects to the members of database
// groups directly: it serves callers, pools connections to members, and carries
// out the effects that the reducers of core/direct return. Package platform has
// the protocols between a daemon and callers, members and the platform.
package proxy
