// Package deploy holds the users' deployments.
package deploy

import _ "embed" // embeds the deployments

// Totora is the deployment that the dev command starts without another.
//
//go:embed totora.toml
var Totora []byte
