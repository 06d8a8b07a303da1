// Package consensus implements the replicated log of the control VMs as a pure step function. Its input is
// messages, ticks, proposals and disk completions; Ready returns messages, writes and committed entries. The
// package does no I/O, reads no clock and takes its randomness from Config, so a test can replay any schedule.
//
// The algorithm is Raft with pre-vote, check-quorum, learners, single-step membership changes that take effect
// when they are appended, and reads that a quorum confirms. Writes are asynchronous: a vote or an
// acknowledgement is sent only after Persisted reports the write that it depends on.
//
// A Node is not safe for concurrent use.
package consensus
