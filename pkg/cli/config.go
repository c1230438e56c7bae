package cli

// ConfigCommand reads and changes the declared configuration.
type ConfigCommand struct {
	Get     *ConfigGetCommand     `arg:"subcommand:get" help:"print the configuration as INI"`
	Check   *ConfigCheckCommand   `arg:"subcommand:check" help:"check a configuration file without applying it"`
	Apply   *ConfigApplyCommand   `arg:"subcommand:apply" help:"bring a configuration file in force"`
	History *ConfigHistoryCommand `arg:"subcommand:history" help:"list the accepted changes"`
	Revert  *ConfigRevertCommand  `arg:"subcommand:revert" help:"undo all changes after a revision, as a new revision"`
}
