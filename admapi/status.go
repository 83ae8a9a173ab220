package admapi

import "net/http"

// Status returns the HTTP status that goes with the code.
func (c Code) Status() int {
	switch c {
	case CodeBadInput:
		return http.StatusBadRequest
	case CodeFaults:
		return http.StatusUnprocessableEntity
	case CodeConflict:
		return http.StatusConflict
	case CodeUnauthorised:
		return http.StatusUnauthorized
	case CodeNotFound:
		return http.StatusNotFound
	case CodeUnavailable:
		return http.StatusServiceUnavailable
	case CodeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}
