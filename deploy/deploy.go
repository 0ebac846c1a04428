// Package deploy holds what operators maintain: how the program is built and run, and the JSON Schema of the
// operators' file.
package deploy

import _ "embed"

// Schema is the JSON Schema (draft 2020-12) of the operators' file.
//
//go:embed operators.schema.json
var Schema []byte
