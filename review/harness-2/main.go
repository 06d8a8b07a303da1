// Command harness2 runs the scripted cases of the second review. It starts the project's program as separate processes
// on loopback addresses, with settings rendered from the templates of the deploy file, and plays the clients, the leafs,
// the operator and the platform.
package main

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"time"
)

// A scenario reports whether the rule was broken. With trouble unset, it runs the same steps without the disruption.
type scenario func(d *deployment, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness2 SCENARIO REPOSITORY CASE_FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, repository, folder string) int {
	play, ok := scenarios[name]
	if !ok {
		var names []string
		for n := range scenarios {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "unknown scenario; known are", strings.Join(names, ", "))
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r, err := newRecorder(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot set up:", err)
		return exitNotRun
	}
	defer r.file.Close()
	d, err := newDeployment(repository, "", r)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot set up:", err)
		return exitNotRun
	}
	defer d.close()
	d.record("scenario %s, disruption %v", name, trouble)
	broken, err := play(d, trouble)
	switch {
	case err != nil:
		d.record("could not run: %v", err)
		return exitNotRun
	case broken:
		d.record("result: the rule was broken")
		return exitBroken
	}
	d.record("result: the rule held")
	return exitHeld
}

// eventually calls check until it returns true or the limit has passed.
func eventually(limit time.Duration, check func() bool) bool {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		if check() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}
