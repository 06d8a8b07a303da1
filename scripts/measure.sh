#!/usr/bin/env bash
# Runs the measurements of docs/MEASUREMENTS.md again and prints them as one table: both users, each fault, with the
# baseline and with the policies. Takes about ten minutes; run it on an otherwise idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."
duration=${DURATION:-6s}
binary=$(mktemp -d)/chestnuttiller
trap 'rm -rf "$(dirname "$binary")"' EXIT
go build -o "$binary" ./cmd/chestnuttiller
round() { "$binary" demo --compare --duration "$duration" --row "$@" 2>/dev/null || echo "| failed: $* |"; }
echo '| user | fault | load | policies | p50 ms | p99 ms | p999 ms | urgent p99 ms | coverage | offered/s | goodput/s | good | extra load | violations |'
echo '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |'
for user in sfax hanbit; do
	for fault in none stragglers lost-replica zone-cut rolling-index; do
		round --user "$user" --fault "$fault" --load-factor 0.5
	done
	for load in 1 2; do
		round --user "$user" --fault none --load-factor "$load"
	done
done
