// Command standin plays one case of the review: it starts the project's own processes and
// stand-ins for clients, workers and the store, and checks a rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases maps the numbers of the cases to their functions. A case returns what broke the
// rule, empty if it held.
var cases = map[string]func(s *system, trouble bool) string{
	"status":   statusCase,
	"term":     termCase,
	"foreign":  foreignCase,
	"reuse":    reuseCase,
	"late":     lateCase,
	"unframed": unframedCase,
}

func main() { os.Exit(play()) }

func play() (code int) {
	// A process that is started while SIGHUP is ignored would inherit that.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	if len(os.Args) == 4 && os.Args[1] == "plain-worker" {
		plainWorker(os.Args[2], os.Args[3])
		return 0
	}
	c, known := cases[os.Args[1]]
	if !known {
		fmt.Println("unknown case", os.Args[1])
		return 2
	}
	rec := newRecord(os.Getenv("RECORD"))
	s := newSystem(rec)
	defer s.close()
	go s.closeEarly()
	defer func() {
		if u, ok := recover().(unable); ok {
			fmt.Println("the case could not run:", u.err)
			code = 2
		}
	}()
	broken := c(s, os.Getenv("TROUBLE") != "0")
	if broken == "" {
		rec.add("the rule held")
		fmt.Println("the rule held")
		return 0
	}
	rec.add("the rule was broken: %s", broken)
	fmt.Println("the rule was broken:", broken)
	return 1
}
