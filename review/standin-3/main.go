// Command review3 plays the cases of the review: it starts routers and reporters as
// separate processes on loopback addresses, with stand-ins for the platform's store, the
// workers and the clients, and checks one rule from what these have seen.
package main

import (
	"fmt"
	"os"
)

// cases maps the name of a case to its function, which reports whether the rule held.
var cases = map[string]func(b *bed, trouble bool) bool{
	"11": crashInAnswer,
	"12": encodedSlash,
	"13": fullOfIdleChannels,
}

func main() {
	if len(os.Args) == 4 && os.Args[1] == "worker" {
		restartedWorker(os.Args[2], os.Args[3])
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(2)
	}
	b := newBed(os.Args[2])
	held := cases[os.Args[1]](b, os.Getenv("TROUBLE") != "0")
	b.end()
	if !held {
		b.log("the rule was broken")
		os.Exit(1)
	}
	b.log("the rule held")
}
