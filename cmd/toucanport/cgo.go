// Package main is linked against the system's C library, as the users' platform needs it.
package main

import "C"
