package peertest

import (
	"fmt"
	"os"
	"sync/atomic"
)

// portBase is one less than the first port that FreeAddress returns.
const portBase = 20000

var lastAddress atomic.Int64

// FreeAddress returns an address to listen on. Its IP address is a loopback address that only this process uses, because
// a port that was found free on 127.0.0.1 and released can be taken as the source port of a connection before it is
// used.
func FreeAddress() string {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 128+pid>>16&0x3f, pid>>8&0xff, pid&0xff)
	return fmt.Sprintf("%s:%d", ip, portBase+lastAddress.Add(1))
}
