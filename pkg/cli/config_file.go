package cli

import (
	"fmt"
	"io"
	"os"

	"limpetspan/core/config"
	"limpetspan/pkg/cli/configfile"
)

// readFile reads and parses a configuration file; "-" is standard input.
func readFile(env *Env, name string) (*config.Document, error) {
	text, err := readText(env, name)
	if err != nil {
		return nil, Usagef("%w", err)
	}
	return configfile.Parse(name, text)
}

func readText(env *Env, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(io.LimitReader(env.Stdin, configfile.MaxSize+1))
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, configfile.MaxSize+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return text, nil
}

// withProgress returns the file's document with the progress of the take-overs
// in force, which files leave out.
func withProgress(file, inForce *config.Document) *config.Document {
	merged := cloneDocument(file)
	for name, takeover := range merged.Takeovers {
		if running := inForce.Takeovers[name]; running != nil {
			merged.Takeovers[name] = takeover.WithProgressOf(running)
		}
	}
	return merged
}
