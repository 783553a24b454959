// Package deploy embeds the users' deployment files.
package deploy

import _ "embed" // for go:embed

// Totora is the deployment file that the dev command uses by default.
//
//go:embed totora.toml
var Totora []byte
