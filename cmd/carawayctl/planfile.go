package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/carawayhold/carawayhold/config"
)

// planFile is the file that plan writes and confirm reads. It contains the operation
// id, so that confirming the same file repeatedly, for example after exit code 5,
// applies the plan at most once.
type planFile struct {
	Operation string      `json:"operation"`
	Plan      config.Plan `json:"plan"`
}

// read returns the content of a file, or of standard input for "-".
func (p *program) read(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(p.stdin)
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError(err.Error())
	}
	return content, nil
}

func (p *program) readPlanFile(path string) (planFile, error) {
	var file planFile
	content, err := p.read(path)
	if err != nil {
		return file, err
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return file, usageError(fmt.Sprintf("%s is not a plan file: %v; want the output of carawayctl plan --out", path, err))
	}
	return file, nil
}

func writePlanFile(path string, file planFile) error {
	var content bytes.Buffer
	if err := writeJSON(&content, file); err != nil {
		return err
	}
	if err := os.WriteFile(path, content.Bytes(), 0o600); err != nil {
		return usageError(err.Error())
	}
	return nil
}
