//go:build !linux

package httpserver

import "net"

// unreadBytes returns 0, since the number is not known.
func unreadBytes(net.Conn) int { return 0 }

// unsentBytes returns 0, since the number is not known.
func unsentBytes(net.Conn) int { return 0 }
