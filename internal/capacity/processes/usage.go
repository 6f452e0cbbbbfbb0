package processes

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ticksPerSecond is the number of units of processor time in /proc that make up a
// second (USER_HZ on Linux).
const ticksPerSecond = 100

// usage is the resource usage of a process.
type usage struct {
	// memory is the anonymous resident memory in bytes.
	memory float64
	// processor is the processor time since the start of the process.
	processor time.Duration
}

// usageOf reads the usage of a process from /proc.
func usageOf(pid int) (usage, error) {
	memory, err := anonymousMemory(pid)
	if err != nil {
		return usage{}, err
	}
	processor, err := processorTime(pid)
	return usage{memory, processor}, err
}

func anonymousMemory(pid int) (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	return parseMemory(string(content))
}

// parseMemory returns the anonymous resident memory in bytes from the content of
// /proc/PID/status.
func parseMemory(text string) (float64, error) {
	for line := range strings.Lines(text) {
		value, ok := strings.CutPrefix(line, "RssAnon:")
		if !ok {
			continue
		}
		kilobytes, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 64)
		return kilobytes * 1024, errors.Wrap(err, "read memory")
	}
	return 0, errors.New("read memory: /proc/PID/status has no RssAnon")
}

func processorTime(pid int) (time.Duration, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return parseProcessorTime(string(content))
}

// parseProcessorTime returns the sum of the user and system time, which are fields
// 14 and 15 of /proc/PID/stat. The name in field 2 may contain spaces and
// parentheses, so it counts fields from the last closing parenthesis.
func parseProcessorTime(text string) (time.Duration, error) {
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	const userField, systemField = 11, 12
	if len(fields) <= systemField {
		return 0, errors.New("read processor time: /proc/PID/stat has too few fields")
	}
	user, userErr := strconv.Atoi(fields[userField])
	system, systemErr := strconv.Atoi(fields[systemField])
	if err := errors.CombineErrors(userErr, systemErr); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}
