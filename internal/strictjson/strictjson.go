// Package strictjson decodes JSON documents that people write, and reports every problem at once.
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

// Problem is one thing wrong with a document.
type Problem struct {
	// Path leads to the value at fault, such as profiles[2].limits.max_waiting; empty for the whole document.
	Path string
	// Text says what is wrong and what is allowed.
	Text string
}

// String returns the path and the text.
func (problem Problem) String() string {
	if problem.Path == "" {
		return problem.Text
	}
	return problem.Path + ": " + problem.Text
}

// Problems is an error that lists everything wrong with a document.
type Problems []Problem

// Error returns all problems, one a line.
func (problems Problems) Error() string {
	lines := make([]string, len(problems))
	for i, problem := range problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem at a path.
func (problems *Problems) Add(path, format string, args ...any) {
	*problems = append(*problems, Problem{Path: path, Text: fmt.Sprintf(format, args...)})
}

// CheckRange adds a problem when a value is out of its range.
func (problems *Problems) CheckRange(path string, value, least, most int64) {
	if value < least || value > most {
		problems.Add(path, "%d is not within %d to %d", value, least, most)
	}
}

// CheckDuration adds a problem when a duration is out of its range.
func (problems *Problems) CheckDuration(path string, value, least, most time.Duration) {
	if value < least || value > most {
		problems.Add(path, "%v is not within %v to %v", value, least, most)
	}
}

// Err returns the problems as an error, or nil when there are none.
func (problems Problems) Err() error {
	if len(problems) == 0 {
		return nil
	}
	return problems
}

// Decode reads one JSON document into value, a pointer to a struct. It reports syntax errors, unknown and
// repeated fields, and values of another type; fields of the struct that the document lacks stay as they are.
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

// object keeps the order of the fields, so that problems come in the order of the document.
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
		return nil, fmt.Errorf("text follows the document at byte %d", tokens.InputOffset())
	}
	return tree, nil
}

func parseValue(tokens *json.Decoder) (any, error) {
	token, err := tokens.Token()
	if err != nil {
		return nil, position(tokens, err)
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
			return nil, position(tokens, err)
		}
		value, err := parseValue(tokens)
		if err != nil {
			return nil, err
		}
		fields = append(fields, field{name: name.(string), value: value})
	}
	_, err := tokens.Token()
	return fields, position(tokens, err)
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
	return values, position(tokens, err)
}

func position(tokens *json.Decoder, err error) error {
	if err == nil {
		return nil
	}
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return fmt.Errorf("the document ends early at byte %d", tokens.InputOffset())
	}
	return fmt.Errorf("%v at byte %d", err, tokens.InputOffset())
}

type decoder struct {
	problems *Problems
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

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
		// encoding/json writes an empty slice or map as null.
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
		decoder.problems.Add(path, "needs a string, not %s", kindOf(node))
		return
	}
	if err := into.UnmarshalText([]byte(text)); err != nil {
		decoder.problems.Add(path, "%v", err)
	}
}

func (decoder decoder) setStruct(path string, node any, into reflect.Value) {
	fields, ok := node.(object)
	if !ok {
		decoder.problems.Add(path, "needs an object, not %s", kindOf(node))
		return
	}
	known := fieldsOf(into.Type())
	seen := map[string]bool{}
	for _, field := range fields {
		index, ok := known[field.name]
		switch {
		case !ok:
			decoder.problems.Add(join(path, field.name), "unknown field; known are %s", names(known))
		case seen[field.name]:
			decoder.problems.Add(join(path, field.name), "field is given twice")
		default:
			decoder.set(join(path, field.name), field.value, into.Field(index))
		}
		seen[field.name] = true
	}
}

func (decoder decoder) setSlice(path string, node any, into reflect.Value) {
	values, ok := node.([]any)
	if !ok {
		decoder.problems.Add(path, "needs an array, not %s", kindOf(node))
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
		decoder.problems.Add(path, "needs an object, not %s", kindOf(node))
		return
	}
	result := reflect.MakeMapWithSize(into.Type(), len(fields))
	for _, field := range fields {
		value := reflect.New(into.Type().Elem()).Elem()
		decoder.set(join(path, field.name), field.value, value)
		result.SetMapIndex(reflect.ValueOf(field.name).Convert(into.Type().Key()), value)
	}
	into.Set(result)
}

func (decoder decoder) setScalar(path string, node any, into reflect.Value) {
	if node == nil {
		decoder.problems.Add(path, "needs a %s, not null", into.Kind())
		return
	}
	var text []byte
	switch node := node.(type) {
	case object, []any:
		decoder.problems.Add(path, "needs a %s, not %s", into.Kind(), kindOf(node))
		return
	default:
		text, _ = json.Marshal(node)
	}
	if err := json.Unmarshal(text, into.Addr().Interface()); err != nil {
		decoder.problems.Add(path, "needs a %s, not %s", into.Kind(), text)
	}
}

func fieldsOf(structure reflect.Type) map[string]int {
	fields := map[string]int{}
	for i := range structure.NumField() {
		name, _, _ := strings.Cut(structure.Field(i).Tag.Get("json"), ",")
		if name != "" && name != "-" {
			fields[name] = i
		}
	}
	return fields
}

func names(fields map[string]int) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func kindOf(node any) string {
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
