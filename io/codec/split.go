package codec

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Field is a field of a JSON object. Its value is not decoded.
type Field struct {
	Name  string
	Value json.RawMessage
}

// splitter splits a JSON text without decoding the values in it. In contrast to
// encoding/json, it does not limit the depth of the nesting and does not check the
// inside of values, so that one odd value does not affect the others.
type splitter struct {
	text []byte
	at   int
}

// SplitArray returns the elements of a JSON array. It returns nil for null. The
// elements are not validated.
func SplitArray(text []byte) ([]json.RawMessage, error) {
	if isNull(text) {
		return nil, nil
	}
	s := splitter{text: text}
	var elements []json.RawMessage
	err := s.each('[', ']', func() error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	return elements, err
}

// SplitObject returns the fields of a JSON object in their order. The values are
// not validated.
func SplitObject(text []byte) ([]Field, error) {
	s := splitter{text: text}
	var fields []Field
	err := s.each('{', '}', func() error {
		quoted, err := s.value()
		if err != nil {
			return err
		}
		field := Field{}
		if err := json.Unmarshal(quoted, &field.Name); err != nil || quoted[0] != '"' {
			return Malformed.New("field name at byte %d is no string", s.at)
		}
		if s.peek() != ':' {
			return Malformed.New("no colon at byte %d", s.at)
		}
		s.at++
		field.Value, err = s.value()
		fields = append(fields, field)
		return err
	})
	return fields, err
}

// CheckUnique returns an error if a JSON text is no object or has two fields of the
// same name. encoding/json ignores case in field names, and so does CheckUnique.
func CheckUnique(text []byte) error {
	fields, err := SplitObject(text)
	if err != nil {
		return err
	}
	seen := make(map[string]struct{}, len(fields))
	for _, field := range fields {
		name := strings.ToLower(strings.ToUpper(field.Name))
		if _, found := seen[name]; found {
			return Malformed.New("field %.80q occurs twice", field.Name)
		}
		seen[name] = struct{}{}
	}
	return nil
}

// Depth returns how deep the arrays and objects of a JSON text are nested.
func Depth(text []byte) int {
	deepest, depth := 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i) - 1
		case '{', '[':
			depth++
			deepest = max(deepest, depth)
		case '}', ']':
			depth--
		}
	}
	return deepest
}

func isNull(text []byte) bool { return bytes.Equal(bytes.TrimSpace(text), []byte("null")) }

// each calls a function for each part of an array or object, which reads it.
func (s *splitter) each(open, end byte, read func() error) error {
	if s.peek() != open {
		return Malformed.New("no %q at byte %d", open, s.at)
	}
	s.at++
	for first := true; s.peek() != end; first = false {
		if !first {
			if s.peek() != ',' {
				return Malformed.New("neither comma nor %q at byte %d", end, s.at)
			}
			s.at++
		}
		if err := read(); err != nil {
			return err
		}
	}
	s.at++
	if s.peek() != 0 || s.at < len(s.text) {
		return Malformed.New("text after the end at byte %d", s.at)
	}
	return nil
}

// peek skips white space and returns the next byte, or zero at the end.
func (s *splitter) peek() byte {
	for ; s.at < len(s.text); s.at++ {
		switch c := s.text[s.at]; c {
		case ' ', '\t', '\r', '\n':
		default:
			return c
		}
	}
	return 0
}

// value returns the next value without decoding it.
func (s *splitter) value() (json.RawMessage, error) {
	depth := 0
	s.peek()
	for start := s.at; s.at < len(s.text); {
		switch s.text[s.at] {
		case '"':
			s.at = stringEnd(s.text, s.at)
		case '{', '[':
			depth++
			s.at++
			continue
		case '}', ']':
			if depth--; depth >= 0 {
				s.at++
			}
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth > 0 {
				s.at++
			}
		default:
			for s.at < len(s.text) && bytes.IndexByte(delimiters, s.text[s.at]) < 0 {
				s.at++
			}
		}
		if depth > 0 {
			continue
		}
		if s.at == start || s.at > len(s.text) {
			break
		}
		return s.text[start:s.at:s.at], nil
	}
	return nil, Malformed.New("no complete value before byte %d", s.at)
}

// delimiters are the bytes that end a number or a literal.
var delimiters = []byte("{}[]\",: \t\r\n")

// stringEnd returns the index after the string that begins at an index. It is beyond
// the end of the text if the string is not complete.
func stringEnd(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(text) + 1
}
