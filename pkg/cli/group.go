package cli

// GroupCommand creates, lists and removes database groups.
type GroupCommand struct{}
