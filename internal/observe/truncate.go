package observe

import (
	"fmt"
	"reflect"
	"slices"
	"unicode/utf8"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// maxTextBytes bounds a message and the text of a field. Errors of net/http quote
// what a peer has sent, which may be a whole head.
const maxTextBytes = 1 << 10

// truncatingCore shortens long messages and fields.
type truncatingCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (c truncatingCore) With(fields []zapcore.Field) zapcore.Core {
	return truncatingCore{c.Core.With(truncateFields(fields))}
}

// Check implements zapcore.Core.
func (c truncatingCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c truncatingCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	e.Message = truncate(e.Message)
	return c.Core.Write(e, truncateFields(fields))
}

// truncateFields returns the fields with long texts shortened. It leaves its argument
// unchanged.
func truncateFields(fields []zapcore.Field) []zapcore.Field {
	var shortened []zapcore.Field
	for i, f := range fields {
		text := fieldText(f)
		if len(text) <= maxTextBytes {
			continue
		}
		if shortened == nil {
			shortened = slices.Clone(fields)
		}
		shortened[i] = zap.String(f.Key, truncate(text))
	}
	if shortened == nil {
		return fields
	}
	return shortened
}

// fieldText returns the text of a string, an error or a Stringer, and "" for other
// fields.
func fieldText(f zapcore.Field) string {
	value := reflect.ValueOf(f.Interface)
	switch v := f.Interface.(type) {
	case nil:
		return f.String
	case error, fmt.Stringer:
		if value.Kind() == reflect.Pointer && value.IsNil() {
			return "" // zap writes it as nil
		}
		return fmt.Sprint(v)
	}
	if value.Kind() == reflect.String {
		return value.String()
	}
	return ""
}

// truncate returns the beginning of a text that is too long, and its length.
func truncate(s string) string {
	if len(s) <= maxTextBytes {
		return s
	}
	end := maxTextBytes
	for end > maxTextBytes-utf8.UTFMax && !utf8.RuneStart(s[end]) {
		end--
	}
	return fmt.Sprintf("%s... (%d bytes)", s[:end], len(s))
}
