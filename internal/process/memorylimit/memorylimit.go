package memorylimit

import "runtime/debug"

// runtimeShare is the share of the memory at which the runtime collects garbage more
// often. The rest is for the program's text, and for garbage that is created faster
// than it is collected.
const runtimeShare = 0.6

// variable is the runtime's own setting, which takes precedence.
const variable = "GOMEMLIMIT"

// Set sets the limit for a machine with the given memory in bytes. It does nothing if
// the memory is not positive or the environment sets the limit. lookup returns the
// value of an environment variable, as os.LookupEnv does.
func Set(bytes int64, lookup func(string) (string, bool)) {
	if value, _ := lookup(variable); value != "" || bytes <= 0 {
		return
	}
	debug.SetMemoryLimit(int64(float64(bytes) * runtimeShare))
}
