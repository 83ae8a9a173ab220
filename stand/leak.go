package stand

import (
	"bytes"
	"net/http"
	"strings"
)

// keyPrefix starts every caller's key.
const keyPrefix = "btk_"

// leaksKey says whether a caller's key stands in any header or in the body.
func leaksKey(header http.Header, body []byte) bool {
	if bytes.Contains(body, []byte(keyPrefix)) {
		return true
	}
	for _, values := range header {
		for _, value := range values {
			if strings.Contains(value, keyPrefix) {
				return true
			}
		}
	}
	return false
}
