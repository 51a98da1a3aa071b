package golden

import (
	"fmt"
	"reflect"

	"github.com/yarrowgap/yarrowgap/wire"
)

// elements is how many elements a filled slice has.
const elements = 2

var rawType = reflect.TypeOf(wire.Raw{})

// Fill gives every field of the value that pointer points to a value that is not zero
// and, but for booleans, that no other field has. The same type gets the same values.
func Fill(pointer any) {
	f := &filler{}
	f.fill(reflect.ValueOf(pointer).Elem())
}

// filler counts the values that it has given out.
type filler struct{ count int64 }

func (f *filler) next() int64 {
	f.count++
	return f.count
}

func (f *filler) fill(v reflect.Value) {
	if v.Type() == rawType {
		v.SetBytes(f.raw())
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			f.fill(v.Field(i))
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), elements, elements))
		f.fillElements(v)
	case reflect.Array:
		f.fillElements(v)
	case reflect.Map:
		f.fillMap(v)
	case reflect.Interface:
		v.Set(reflect.ValueOf(f.text()))
	default:
		f.fillScalar(v)
	}
}

func (f *filler) fillElements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

// fillMap gives the map one entry: more would be encoded in any order.
func (f *filler) fillMap(v reflect.Value) {
	key := reflect.New(v.Type().Key()).Elem()
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(key)
	f.fill(value)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

func (f *filler) fillScalar(v reflect.Value) {
	switch {
	case v.Kind() == reflect.String:
		v.SetString(f.text())
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(f.next())
	case v.CanUint():
		v.SetUint(uint64(f.next()))
	case v.CanFloat():
		v.SetFloat(float64(f.next()) + 0.5)
	default:
		panic(fmt.Sprintf("golden: no values for %s", v.Type()))
	}
}

func (f *filler) text() string { return fmt.Sprintf("text-%d", f.next()) }

// raw is an encoded value.
func (f *filler) raw() []byte {
	encoded, err := wire.Marshal(f.text())
	if err != nil {
		panic(err)
	}
	return encoded
}
