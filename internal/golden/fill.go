package golden

import (
	"fmt"
	"reflect"

	"github.com/yarrowgap/yarrowgap/wire"
)

// filledSliceLen is the number of elements of a filled slice.
const filledSliceLen = 2

var rawType = reflect.TypeOf(wire.Raw{})

// Fill sets every field of the value that pointer points to. No field is zero, and no two
// fields are equal, except for booleans. Values of the same type are filled identically.
func Fill(pointer any) {
	f := &filler{}
	f.fill(reflect.ValueOf(pointer).Elem())
}

// filler generates distinct values from a counter.
type filler struct{ count int64 }

func (f *filler) next() int64 {
	f.count++
	return f.count
}

func (f *filler) fill(v reflect.Value) {
	if v.Type() == rawType {
		v.SetBytes(f.nextRaw())
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
		v.Set(reflect.MakeSlice(v.Type(), filledSliceLen, filledSliceLen))
		f.fillElements(v)
	case reflect.Array:
		f.fillElements(v)
	case reflect.Map:
		f.fillMap(v)
	case reflect.Interface:
		v.Set(reflect.ValueOf(f.nextText()))
	default:
		f.fillScalar(v)
	}
}

func (f *filler) fillElements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

// fillMap gives the map one entry, because several would be encoded in random order.
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
		v.SetString(f.nextText())
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(f.next())
	case v.CanUint():
		v.SetUint(uint64(f.next()))
	case v.CanFloat():
		v.SetFloat(float64(f.next()) + 0.5)
	default:
		panic(fmt.Sprintf("golden: cannot fill a %s", v.Type()))
	}
}

func (f *filler) nextText() string { return fmt.Sprintf("text-%d", f.next()) }

// nextRaw returns an encoded value.
func (f *filler) nextRaw() []byte {
	encoded, err := wire.Marshal(f.nextText())
	if err != nil {
		panic(err)
	}
	return encoded
}
