package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// decodeStrict decodes a TOML text and rejects unknown keys. Its error names the line and key at fault.
func decodeStrict(text []byte, into any) error {
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	return locateError(decoder.Decode(into))
}

// locateError turns an error of the TOML library into one that begins with its line and key.
func locateError(err error) error {
	var unknown *toml.StrictMissingError
	var invalid *toml.DecodeError
	switch {
	case errors.As(err, &unknown) && len(unknown.Errors) > 0:
		line, _ := unknown.Errors[0].Position()
		return fmt.Errorf("line %d: %s: no such key", line, strings.Join(unknown.Errors[0].Key(), "."))
	case errors.As(err, &invalid):
		line, _ := invalid.Position()
		text := strings.TrimPrefix(invalid.Error(), "toml: ")
		if key := strings.Join(invalid.Key(), "."); key != "" {
			return fmt.Errorf("line %d: %s: %s", line, key, text)
		}
		return fmt.Errorf("line %d: %s", line, text)
	}
	return err
}
