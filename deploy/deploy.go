// Package deploy holds what the operators own: how the program is built and run, and the schema of their file.
package deploy

import _ "embed"

// Schema is the JSON Schema (draft 2020-12) of the operators' file.
//
//go:embed operators.schema.json
var Schema []byte
