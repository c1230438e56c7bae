package cli

// TakeoverCommand moves a kind of record from one group and version to another.
type TakeoverCommand struct{}
