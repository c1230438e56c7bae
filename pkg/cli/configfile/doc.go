// Package configfile reads and writes the declared configuration as an INI
// file, the form in which operators see and edit it.
//
//	revision = 12
//	default_group = parkdb-1
//
//	[group parkdb-1]
//	database = park
//	max_connections = 20
//	slots = 3
//
//	[member parkdb-1 a]
//	addr = 10.0.0.1:5432
//	zone = sapporo-hall
//
//	[kind charge]
//	group = parkdb-1
//	versions = 1, 2
//
//	[takeover listing]
//	state = planned
//	read_sql = "SELECT ..."
//
// revision, if given, is the revision that the file was made from. A value
// with other characters than letters, digits and simple punctuation is quoted
// as in Go; one of several lines may also stand between three double quotes.
// The progress of take-overs is not part of the file.
package configfile
