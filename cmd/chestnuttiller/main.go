// Command chestnuttiller is the query tier: entry and control VMs, and the operators' command line.
package main

import (
	"os"

	"github.com/chestnuttiller/chestnuttiller/internal/cli"
	_ "github.com/chestnuttiller/chestnuttiller/internal/modules/all"
)

func main() { os.Exit(cli.Main(os.Args[1:])) }
