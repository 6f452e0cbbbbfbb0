package deployment

import (
	"bytes"
	"context"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// keyPrefix precedes all keys of the bundle in the configuration service.
	keyPrefix = "flamingohold/"
	// manifestName is the key that is written last, so that no reader sees a
	// manifest before its chunks.
	manifestName = "manifest"
)

// Publish writes the files of the bundle in the folder to the configuration
// service at the address.
func Publish(ctx context.Context, address, folder string) error {
	names, err := bundleFiles(folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		content, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			return errors.Wrap(err, "read bundle")
		}
		key := keyPrefix + strings.TrimSuffix(filepath.ToSlash(name), ".json")
		if err := put(ctx, "http://"+address+"/v1/kv/"+key, content); err != nil {
			return errors.Wrapf(err, "publish %s at %s", key, address)
		}
	}
	return nil
}

// bundleFiles returns the paths of the files relative to the folder, with the
// manifest last.
func bundleFiles(folder string) ([]string, error) {
	var names []string
	err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		name, err := filepath.Rel(folder, path)
		names = append(names, name)
		return err
	})
	if err != nil {
		return nil, errors.Wrap(err, "list bundle")
	}
	slices.SortFunc(names, func(a, b string) int {
		if isManifest(a) != isManifest(b) {
			return map[bool]int{true: 1, false: -1}[isManifest(a)]
		}
		return strings.Compare(a, b)
	})
	if len(names) == 0 || !isManifest(names[len(names)-1]) {
		return nil, errors.Newf("bundle directory %s contains no manifest", folder)
	}
	return names, nil
}

func isManifest(name string) bool { return strings.TrimSuffix(name, ".json") == manifestName }

func put(ctx context.Context, url string, content []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(content))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return errors.Newf("status %d: %s", response.StatusCode, body)
	}
	return nil
}
