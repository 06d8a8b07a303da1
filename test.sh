#!/usr/bin/env bash
# Runs the tests of all packages with the race detector. The test cache is off, so that every test runs each time.
# Packages run two at a time, because the integration tests start many processes.
set -euo pipefail
cd "$(dirname "$0")"
# Tests that fail because of a known fault are named in lines that begin with "skip:".
red=$(sed -n 's/^ *skip: *//p' KNOWN-RED.txt | paste -sd '|')
if [ -n "$red" ]; then
	echo "passed over, see KNOWN-RED.txt: $red"
	set -- -skip "^($red)\$" "$@"
fi
exec go test -race -count=1 -p 2 -timeout 15m ./... "$@"
