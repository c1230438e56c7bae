package admission

import "time"

// configurationWait is how long a caller waits at most for a daemon's first configuration. The
// statement timeout is not known before; with the shortest one in use, 800 ms, some of it is left
// for the caller's statement.
const configurationWait = 600 * time.Millisecond

// ConfigurationWait returns how long a caller waits that connects to a daemon without a
// configuration, age after the daemon's start. It is 0 if the start has lasted so long that the
// configuration will probably not arrive in time.
func ConfigurationWait(age time.Duration) time.Duration {
	if OutageExceedsWait(age, configurationWait) {
		return 0
	}
	return configurationWait
}
