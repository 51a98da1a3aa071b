package golden

import (
	"reflect"
	"testing"

	"github.com/yarrowgap/yarrowgap/wire"
)

type inner struct {
	Text  string
	Count uint64
}

// everyKind has a field of every kind that occurs in messages.
type everyKind struct {
	inner
	Number  int
	Amount  float64
	Flag    bool
	Pointer *float64
	List    []inner
	Runs    [][2]uint64
	ByName  map[string]int
	Any     any
	Raw     wire.Raw
}

func TestFillLeavesNoFieldZeroAndRepeatsNoValue(t *testing.T) {
	var filled, again everyKind
	Fill(&filled)
	Fill(&again)
	if !reflect.DeepEqual(filled, again) {
		t.Errorf("filled differently: %+v, %+v", filled, again)
	}
	value := reflect.ValueOf(filled)
	for i := range value.NumField() {
		if value.Field(i).IsZero() {
			t.Errorf("%s is zero", value.Type().Field(i).Name)
		}
	}
	numbers := []float64{
		float64(filled.Count), float64(filled.Number), filled.Amount, *filled.Pointer,
		float64(filled.List[0].Count), float64(filled.List[1].Count),
		float64(filled.Runs[0][0]), float64(filled.Runs[0][1]), float64(filled.Runs[1][0]), float64(filled.Runs[1][1]),
	}
	seen := map[float64]bool{}
	for _, number := range numbers {
		if seen[number] {
			t.Errorf("%v occurs twice: %+v", number, filled)
		}
		seen[number] = true
	}
	if filled.List[0].Text == filled.List[1].Text || filled.Text == filled.List[0].Text {
		t.Errorf("a text occurs twice: %+v", filled)
	}
}

func TestFillRefusesKindsWithoutValues(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("a channel was filled")
		}
	}()
	Fill(&struct{ Events chan int }{})
}
