package api

import (
	"errors"
	"fmt"
	"math"
	"net/url"
	"strconv"

	"github.com/yarrowgap/yarrowgap/internal/reconcile"
)

var errUnknownParameter = errors.New("no such parameter")

// differencesQuery selects a page of the differences that a reconciliation found, of one class or
// of all.
type differencesQuery struct {
	class       reconcile.Class
	skip, limit int
}

// parseDifferencesQuery parses the parameters of a query. An error names the invalid parameter.
func parseDifferencesQuery(params url.Values) (differencesQuery, error) {
	query := differencesQuery{limit: defaultPageSize}
	for name, values := range params {
		if err := query.set(name, values[0]); err != nil {
			return query, fmt.Errorf("%s: %w", name, err)
		}
	}
	return query, nil
}

func (q *differencesQuery) set(name, value string) (err error) {
	switch name {
	case "class":
		q.class, err = parseClass(value)
	case "skip":
		q.skip, err = parseCount(value, 0, math.MaxInt32)
	case "most":
		q.limit, err = parseCount(value, 1, maxPageSize)
	default:
		err = errUnknownParameter
	}
	return err
}

func parseClass(name string) (reconcile.Class, error) {
	class, ok := reconcile.ParseClass(name)
	if !ok {
		return class, fmt.Errorf("there is none called %q", name)
	}
	return class, nil
}

func parseCount(text string, minimum, maximum int) (int, error) {
	count, err := strconv.Atoi(text)
	if err != nil || count < minimum || count > maximum {
		return 0, fmt.Errorf("must be a number from %d to %d, is %q", minimum, maximum, text)
	}
	return count, nil
}
