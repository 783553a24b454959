// Command toucanport runs the serving system: entry, sidecar and operators' commands in one binary.
package main

import (
	"os"

	"toucanport/toucancmd"
)

func main() {
	os.Exit(toucancmd.Main(os.Args[1:]))
}
