package settings

import (
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Field describes one setting.
type Field struct {
	// Name is the field's name in the settings file, in snake case.
	Name string
	// Help is a description for operators, one line.
	Help string
}

// Fields returns all settings in the order of the fields of Settings.
func Fields() []Field {
	var fields []Field
	for _, f := range reflect.VisibleFields(reflect.TypeFor[Settings]()) {
		fields = append(fields, Field{fieldName(f), f.Tag.Get("help")})
	}
	return fields
}

// Override returns a copy in which values that lookup finds by field name replace
// the current ones. Elements of a list are separated by commas or spaces. The
// error names every field whose value has the wrong type.
func (s *Settings) Override(lookup func(name string) (string, bool)) (*Settings, error) {
	overridden := *s
	target := reflect.ValueOf(&overridden).Elem()
	var failure error
	for _, f := range reflect.VisibleFields(target.Type()) {
		text, ok := lookup(fieldName(f))
		if !ok {
			continue
		}
		if err := assign(target.FieldByIndex(f.Index), text); err != nil {
			failure = errors.CombineErrors(failure, errors.Wrapf(err, "setting %s", fieldName(f)))
		}
	}
	if failure != nil {
		return nil, failure
	}
	return overridden.withDefaults(), nil
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func assign(target reflect.Value, text string) error {
	switch target.Interface().(type) {
	case string:
		target.SetString(text)
	case []string:
		target.Set(reflect.ValueOf(strings.FieldsFunc(text, func(r rune) bool { return r == ',' || r == ' ' })))
	case int:
		value, err := strconv.ParseInt(text, 10, 0)
		if err != nil {
			return err
		}
		target.SetInt(value)
	case uint64:
		value, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return err
		}
		target.SetUint(value)
	default:
		return errors.Newf("field type cannot be set from text")
	}
	return nil
}
