package cli

// SchemaCommand declares, lists and retires schema versions.
type SchemaCommand struct{}
