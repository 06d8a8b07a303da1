// Command standin runs one case of the review: it starts the program as separate processes on loopback addresses, together
// with stand-ins for clients, leaves and the operator. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// scenario runs a case. trouble is false if the disruption is to be left out. It returns the breaks of the rule.
type scenario func(c *caseRun) (breaks []string, err error)

type caseRun struct {
	rec     *recorder
	root    string
	trouble bool
	system  *system
}

var scenarios = map[string]scenario{
	"departure":     departure,
	"unstamped":     unstamped,
	"large-bodies":  largeBodies,
	"many-attempts": manyAttempts,
}

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO FOLDER")
		return 2
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	rec, err := newRecorder(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	c := &caseRun{rec: rec, root: root, trouble: os.Getenv("TROUBLE") != "0"}
	rec.logf("scenario %s, disruption: %v", os.Args[1], c.trouble)
	breaks, err := scenarios[os.Args[1]](c)
	if c.system != nil {
		if keep := os.Getenv("KEEP_LOGS"); keep != "" {
			c.system.keepLogs(keep)
		}
		c.system.stop()
	}
	if err != nil {
		rec.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	for _, b := range breaks {
		rec.logf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(breaks) > 0 {
		return 1
	}
	rec.logf("the rule held")
	fmt.Println("held")
	return 0
}
