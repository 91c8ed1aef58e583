// Package strictjson decodes hand-written JSON documents. It rejects unknown and repeated fields, and reports all
// problems of a document instead of only the first.
package strictjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
	"time"
)

// Problem describes one error in a document.
type Problem struct {
	// Path is the path of the wrong value, such as profiles[2].limits.max_waiting. It is empty if the problem concerns
	// the whole document.
	Path string
	// Text describes the error and the values that are allowed.
	Text string
}

// String returns the path and the text, separated by a colon.
func (problem Problem) String() string {
	if problem.Path == "" {
		return problem.Text
	}
	return problem.Path + ": " + problem.Text
}

// Problems is an error that lists all problems of a document.
type Problems []Problem

// Error returns all problems, one per line.
func (problems Problems) Error() string {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem with the given path and formatted text.
func (problems *Problems) Add(path, format string, args ...any) {
	*problems = append(*problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// CheckRange adds a problem if value is less than lowest or greater than highest.
func (problems *Problems) CheckRange(path string, value, lowest, highest int64) {
	if value < lowest || value > highest {
		problems.Add(path, "%d is not within %d to %d", value, lowest, highest)
	}
}

// CheckDuration adds a problem if value is less than shortest or greater than longest.
func (problems *Problems) CheckDuration(path string, value, shortest, longest time.Duration) {
	if value < shortest || value > longest {
		problems.Add(path, "%v is not within %v to %v", value, shortest, longest)
	}
}

// Err returns the problems as an error, or nil if there are none.
func (problems Problems) Err() error {
	if len(problems) == 0 {
		return nil
	}
	return problems
}

// Decode reads one JSON document into value, a pointer to a struct. It reports syntax errors, unknown and repeated
// fields, and values of the wrong type. Fields of the struct that are not in the document keep their values.
func Decode(data []byte, value any) Problems {
	var problems Problems
	tree, err := parse(data)
	if err != nil {
		problems.Add("", "malformed JSON: %v", err)
		return problems
	}
	decoder := decoder{problems: &problems}
	decoder.set("", tree, reflect.ValueOf(value).Elem())
	return problems
}

// object is a JSON object. It keeps the order of the fields, so that problems are reported in document order.
type object []field

type field struct {
	name  string
	value any
}

func parse(data []byte) (any, error) {
	tokens := json.NewDecoder(bytes.NewReader(data))
	tokens.UseNumber()
	tree, err := parseValue(tokens)
	if err != nil {
		return nil, err
	}
	if _, err := tokens.Token(); err != io.EOF {
		return nil, fmt.Errorf("unexpected text after the end of the document at byte %d", tokens.InputOffset())
	}
	return tree, nil
}

func parseValue(tokens *json.Decoder) (any, error) {
	token, err := tokens.Token()
	if err != nil {
		return nil, withOffset(tokens, err)
	}
	switch token {
	case json.Delim('{'):
		return parseObject(tokens)
	case json.Delim('['):
		return parseArray(tokens)
	}
	return token, nil
}

func parseObject(tokens *json.Decoder) (any, error) {
	fields := object{}
	for tokens.More() {
		name, err := tokens.Token()
		if err != nil {
			return nil, withOffset(tokens, err)
		}
		value, err := parseValue(tokens)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field{name: name.(string), value: value})
	}
	_, err := tokens.Token()
	return fields, withOffset(tokens, err)
}

func parseArray(tokens *json.Decoder) (any, error) {
	values := []any{}
	for tokens.More() {
		value, err := parseValue(tokens)
		if err != nil {
			return nil, err
		}
		values = append(values, value)
	}
	_, err := tokens.Token()
	return values, withOffset(tokens, err)
}

// withOffset adds the byte offset of the decoder to an error. It returns nil if the error is nil.
func withOffset(tokens *json.Decoder, err error) error {
	if err == nil {
		return nil
	}
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return fmt.Errorf("unexpected end of the document at byte %d", tokens.InputOffset())
	}
	return fmt.Errorf("%v at byte %d", err, tokens.InputOffset())
}

// decoder assigns parsed values to Go values and collects the problems.
type decoder struct {
	problems *Problems
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

// set assigns node, a parsed JSON value, to the Go value into. It adds a problem for each value that does not fit its
// Go type.
func (decoder decoder) set(path string, node any, into reflect.Value) {
	if into.Kind() == reflect.Pointer {
		if node == nil {
			return
		}
		into.Set(reflect.New(into.Type().Elem()))
		decoder.set(path, node, into.Elem())
		return
	}
	if into.CanAddr() && into.Addr().Type().Implements(textUnmarshaler) {
		decoder.setText(path, node, into.Addr().Interface().(encoding.TextUnmarshaler))
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		decoder.setStruct(path, node, into)
	case reflect.Slice:
		// null is accepted for a slice or a map, since encoding/json encodes a nil slice or map as null.
		if node != nil {
			decoder.setSlice(path, node, into)
		}
	case reflect.Map:
		if node != nil {
			decoder.setMap(path, node, into)
		}
	default:
		decoder.setScalar(path, node, into)
	}
}

func (decoder decoder) setText(path string, node any, into encoding.TextUnmarshaler) {
	text, ok := node.(string)
	if !ok {
		decoder.problems.Add(path, "needs a string, not %s", describeKind(node))
		return
	}
	if err := into.UnmarshalText([]byte(text)); err != nil {
		decoder.problems.Add(path, "%v", err)
	}
}

func (decoder decoder) setStruct(path string, node any, into reflect.Value) {
	fields, ok := node.(object)
	if !ok {
		decoder.problems.Add(path, "needs an object, not %s", describeKind(node))
		return
	}
	known := fieldIndexes(into.Type())
	seen := map[string]bool{}
	for _, field := range fields {
		index, ok := known[field.name]
		switch {
		case !ok:
			decoder.problems.Add(joinPath(path, field.name), "unknown field; known fields are %s", sortedNames(known))
		case seen[field.name]:
			decoder.problems.Add(joinPath(path, field.name), "field is repeated")
		default:
			decoder.set(joinPath(path, field.name), field.value, into.Field(index))
		}
		seen[field.name] = true
	}
}

func (decoder decoder) setSlice(path string, node any, into reflect.Value) {
	values, ok := node.([]any)
	if !ok {
		decoder.problems.Add(path, "needs an array, not %s", describeKind(node))
		return
	}
	slice := reflect.MakeSlice(into.Type(), len(values), len(values))
	for i, value := range values {
		decoder.set(fmt.Sprintf("%s[%d]", path, i), value, slice.Index(i))
	}
	into.Set(slice)
}

func (decoder decoder) setMap(path string, node any, into reflect.Value) {
	fields, ok := node.(object)
	if !ok {
		decoder.problems.Add(path, "needs an object, not %s", describeKind(node))
		return
	}
	result := reflect.MakeMapWithSize(into.Type(), len(fields))
	for _, field := range fields {
		value := reflect.New(into.Type().Elem()).Elem()
		decoder.set(joinPath(path, field.name), field.value, value)
		result.SetMapIndex(reflect.ValueOf(field.name).Convert(into.Type().Key()), value)
	}
	into.Set(result)
}

func (decoder decoder) setScalar(path string, node any, into reflect.Value) {
	if node == nil {
		decoder.problems.Add(path, "needs a value of type %s, not null", into.Kind())
		return
	}
	var text []byte
	switch node := node.(type) {
	case object, []any:
		decoder.problems.Add(path, "needs a value of type %s, not %s", into.Kind(), describeKind(node))
		return
	default:
		text, _ = json.Marshal(node)
	}
	if err := json.Unmarshal(text, into.Addr().Interface()); err != nil {
		decoder.problems.Add(path, "needs a value of type %s, not %s", into.Kind(), text)
	}
}

// fieldIndexes returns the indexes of the struct's fields by their JSON names.
func fieldIndexes(structure reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range structure.NumField() {
		name, _, _ := strings.Cut(structure.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func sortedNames(fields map[string]int) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// describeKind returns the JSON type of a parsed value with an article, such as "an array", for error messages.
func describeKind(node any) string {
	switch node.(type) {
	case nil:
		return "null"
	case object:
		return "an object"
	case []any:
		return "an array"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	}
	return "a number"
}
