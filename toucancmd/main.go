// Package toucancmd is the command line.
package toucancmd

// Main runs the command line and returns the exit code.
func Main(_ []string) int {
	return 0
}
