package route

import "strconv"

// RequestID returns the request ID that an upstream receives for one attempt of
// a call.
func RequestID(call string, attempt int) string {
	return call + "." + strconv.Itoa(attempt)
}
