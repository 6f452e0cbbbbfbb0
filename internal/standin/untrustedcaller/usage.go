package untrustedcaller

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Usage is what a process uses of its machine.
type Usage struct {
	// PeakBytes is the largest resident memory since the start of the process, in
	// bytes, and ResidentBytes the present one.
	PeakBytes, ResidentBytes int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// UsageOf returns the usage of the process. It returns an error if the process does
// not run.
func UsageOf(pid int) (Usage, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return Usage{}, errors.Wrapf(err, "read the status of process %d", pid)
	}
	var u Usage
	for line := range strings.Lines(string(content)) {
		switch fields := strings.Fields(line); {
		case len(fields) < 2:
		case fields[0] == "State:" && fields[1] == "Z":
			return Usage{}, errors.Newf("process %d has exited", pid)
		case fields[0] == "VmHWM:":
			u.PeakBytes = kilobytes(fields[1])
		case fields[0] == "VmRSS:":
			u.ResidentBytes = kilobytes(fields[1])
		}
	}
	if u.PeakBytes == 0 {
		return Usage{}, errors.Newf("status of process %d has no VmHWM", pid)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.Descriptors = len(open)
	return u, errors.Wrapf(err, "read the descriptors of process %d", pid)
}

func kilobytes(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n << 10
}
