// Package suite runs all benches in short form, writes their reports and plots
// into a directory, and a table that compares them with an earlier run.
package suite
