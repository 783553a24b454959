// Command toucanport is the serving system in one binary.
package main

import (
	"os"

	"toucanport/toucancmd"
)

func main() {
	os.Exit(toucancmd.Main(os.Args[1:]))
}
