package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// taskFolder has a folder for each thread of this process, on Linux.
const taskFolder = "/proc/self/task"

// cpuWaits holds for each thread of a process how long it has been ready to run without a CPU since it exists, by the accounts of
// the operating system. It is empty where the system keeps none.
type cpuWaits map[string]time.Duration

func readCPUWaits(folder string) cpuWaits {
	threads, err := os.ReadDir(folder)
	if err != nil {
		return nil // Only Linux has the folder.
	}
	waits := cpuWaits{}
	for _, t := range threads {
		data, err := os.ReadFile(filepath.Join(folder, t.Name(), "schedstat"))
		if err != nil {
			continue // The thread has ended, or the kernel was built without these accounts.
		}
		var ran, waited time.Duration // The file gives nanoseconds.
		if _, err := fmt.Sscan(string(data), &ran, &waited); err == nil {
			waits[t.Name()] = waited
		}
	}
	return waits
}

// longestSince returns the longest time that one thread has waited since an earlier reading.
func (w cpuWaits) longestSince(earlier cpuWaits) time.Duration {
	var longest time.Duration
	for thread, waited := range w {
		longest = max(longest, waited-earlier[thread])
	}
	return longest
}
