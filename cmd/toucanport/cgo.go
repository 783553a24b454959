// Importing C makes the linker link against the system's C library, which the users' platform requires.

package main

import "C"
