package api

import (
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/yarrowgap/yarrowgap/internal/tuning"
	"github.com/yarrowgap/yarrowgap/wire"
)

// readBody reads a request body of at most wire.MaxBody bytes. It fails with status 413 if the body
// is larger.
func readBody(c echo.Context) ([]byte, error) {
	request := c.Request()
	if request.ContentLength > wire.MaxBody {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, wire.MaxBody+1))
	if err != nil {
		return nil, echo.NewHTTPError(http.StatusBadRequest)
	}
	if len(body) > wire.MaxBody {
		return nil, echo.NewHTTPError(http.StatusRequestEntityTooLarge)
	}
	return body, nil
}

// decodeBody decodes a request body of at most limit bytes into message. It fails with status 400
// if the body is larger or malformed.
func decodeBody(c echo.Context, limit int64, message any) error {
	body, err := io.ReadAll(io.LimitReader(c.Request().Body, limit+1))
	if err != nil || int64(len(body)) > limit || wire.Unmarshal(body, message) != nil {
		return echo.NewHTTPError(http.StatusBadRequest)
	}
	return nil
}

// writeMessage answers with a message in the protocol's encoding.
func writeMessage(c echo.Context, status int, message any) error {
	body, err := wire.Marshal(message)
	if err != nil {
		return err
	}
	return c.Blob(status, wire.ContentType, body)
}

// writeError answers with the protocol's error message.
func writeError(c echo.Context, status int, message string) error {
	return writeMessage(c, status, wire.ErrorReply{Message: message})
}

// closeConnection sets the header that closes the connection after the answer.
func closeConnection(c echo.Context) { c.Response().Header().Set("Connection", "close") }

// setRetryAfter sets the header that tells the client after how many seconds to retry.
func setRetryAfter(c echo.Context) {
	c.Response().Header().Set("Retry-After", strconv.Itoa(tuning.RetryAfterS))
}
