package main

import (
	"cmp"
	"fmt"
	"runtime/debug"
)

func (p *program) versionCommand() command {
	flags := newCommand("version", "Print the version and the source revision of the program.", `
    flamingohold version`)
	return command{flags, p.version}
}

func (p *program) version() int {
	version, revision, modified := "unknown", "unknown", ""
	info, ok := debug.ReadBuildInfo()
	if ok {
		version = cmp.Or(info.Main.Version, version)
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				revision = s.Value
			case "vcs.modified":
				modified = map[string]string{"true": " modified"}[s.Value]
			}
		}
	}
	_, _ = fmt.Fprintf(p.stdout, "flamingohold %s revision %s%s\n", version, revision, modified)
	return exitSuccess
}
