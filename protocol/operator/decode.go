package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// decodeStrictly decodes exactly one JSON value and rejects unknown fields.
func decodeStrictly(content []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		return invalid(wrongType.Field, "found a "+wrongType.Value, fmt.Sprintf("a value of type %s", wrongType.Type))
	case err != nil:
		return invalid("", err.Error(), "a JSON object with the documented fields")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return invalid("", "the body goes on after the JSON object", "one JSON object")
	}
	return nil
}
