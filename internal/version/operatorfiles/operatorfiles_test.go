package operatorfiles_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/flamingohold/flamingohold/internal/version/account"
	"github.com/flamingohold/flamingohold/internal/version/operatorfiles"
)

const fleetFile = `{"data_centres":[{"name":"zg-a","region":"hr-kont","state":"in_service"}]}`

// write writes the files into a new directory.
func write(t *testing.T, files map[string]string) string {
	directory := t.TempDir()
	for name, content := range files {
		path := filepath.Join(directory, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	}
	return directory
}

// plain returns the file of a plain service.
func plain(name, prefix string) string {
	return `{"name":"` + name + `","kind":"plain","path_prefixes":["` + prefix + `"],"slots":["s-1"],"orders":{"methods":["POST"]}}`
}

// Guards against undetected inconsistencies between files, and against faults
// that are not reported because of other faults.
func TestReadReportsInconsistentFiles(t *testing.T) {
	key := account.HashKey("k")
	directory := write(t, map[string]string{
		"fleet.flamingohold.json":           fleetFile,
		"other/fleet.flamingohold.json":     fleetFile,
		"a/service.flamingohold.json":       plain("a", "/book"),
		"b/service.flamingohold.json":       plain("b", "/bookings"),
		"c/service.flamingohold.json":       strings.Replace(plain("a", "/stock"), `["s-1"]`, `["s-1","s-1"],"data_centres":["zg-b"]`, 1),
		"d/service.flamingohold.json":       `{"name":"d","kind":"plain","path_prefixes":["/d"],"orders":{"methods":["POST"]}}`,
		"e/service.flamingohold.json":       `{"name":`,
		"f/services.flamingohold.json":      `{}`,
		"accounts.flamingohold.json":        `[{"name":"x","key_sha256":"` + key + `"},{"name":"x","key_sha256":"` + key + `"},{"name":"z","key_sha256":"Z"}]`,
		"g/accounts.flamingohold.json":      `[{"name":"y","key_sha256":"` + account.HashKey("") + `"}]`,
		".git/service.flamingohold.json":    `not read`,
		"h/accounts.flamingohold.json.orig": `not read`,
	})
	_, faults, err := operatorfiles.Read(directory)
	require.NoError(t, err)
	var lines []string
	for _, f := range faults {
		line, _, _ := strings.Cut(f.String(), " (")
		lines = append(lines, line)
		require.NotEmpty(t, f.Suggestion)
	}
	require.Equal(t, []string{
		`accounts.flamingohold.json: /2/key_sha256: value "Z" is malformed`,
		`accounts.flamingohold.json: /1/name: another account is also named "x"`,
		`accounts.flamingohold.json: /1/key_sha256: account "x" has the same key`,
		`b/service.flamingohold.json: /path_prefixes/0: prefix "/bookings" overlaps with "/book" of service "a"`,
		`c/service.flamingohold.json: /slots/1: slot "s-1" is repeated`,
		`c/service.flamingohold.json: /name: another service is also named "a"`,
		`c/service.flamingohold.json: /data_centres/0: data centre "zg-b" is unknown`,
		`d/service.flamingohold.json: /slots: requests that run at most once require slots, to which their idempotency keys are mapped`,
		`e/service.flamingohold.json: /: the file is not valid JSON at line 1, column 9: unexpected EOF`,
		`f/services.flamingohold.json: /: file name "services.flamingohold.json" is unknown`,
		`g/accounts.flamingohold.json: /0/key_sha256: the hash is the SHA-256 of an empty key`,
		`other/fleet.flamingohold.json: /: the fleet is also described in fleet.flamingohold.json`,
	}, lines)
}

// Guards against a missing fleet file that silently takes all data centres out
// of service, or that hides other faults.
func TestReadReportsMissingFleet(t *testing.T) {
	_, faults, err := operatorfiles.Read(write(t, map[string]string{
		"a/service.flamingohold.json": plain("a", "/a"), "b/service.flamingohold.json": plain("b", "/a"),
	}))
	require.NoError(t, err)
	require.Len(t, faults, 2)
	require.Contains(t, faults[0].Reason, "overlaps")
	require.Equal(t, "the file is missing", faults[1].Reason)
}

// Guards against faults in the examples.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"stalak_najam", "fjordlam"} {
		files, faults, err := operatorfiles.Read(filepath.Join("../../../examples", name))
		require.NoError(t, err)
		require.Empty(t, faults)
		require.NotEmpty(t, files.Services)
		require.NotEmpty(t, files.Accounts)
	}
}
