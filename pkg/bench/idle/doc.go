// Package idle measures the memory of a daemon for each idle caller connection.
//
// The callers' ends of the sockets are in this process, too: after startup they
// are reduced to bare sockets, without goroutines and buffers. What such a
// socket costs is measured by itself on connections between two bare ends and
// counted out. The kernel's own memory of a socket is not included.
package idle
