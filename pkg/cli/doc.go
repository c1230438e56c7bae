// Package cli is the operator program. Each subcommand is one struct in one
// file: its fields are the arguments, tagged for go-arg, and its Run method
// does the work against an Env. It is registered by one line in args.go.
//
// A subcommand must not declare an option that Args already has (--json,
// --store, --prefix, --daemon): go-arg would fill in the global one only. It
// reads them from Env.
package cli
