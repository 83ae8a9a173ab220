package route

import "strconv"

// RequestID names one attempt of a call towards an upstream.
func RequestID(call string, attempt int) string {
	return call + "." + strconv.Itoa(attempt)
}
