//go:build race

package toucanbubble

// raceEnabled is true in a build with the race detector.
const raceEnabled = true
