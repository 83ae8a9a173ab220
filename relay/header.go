package relay

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
)

// hopHeaders are meant for one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callerHeaders carry a caller's key or cookies and are never passed on.
var callerHeaders = []string{
	"Authorization", "X-Api-Key", "Api-Key", "Cookie",
}

// CleanHeader returns the caller's header fields that an upstream may see: no
// hop-by-hop fields, no credentials, and no field that the key was copied into.
func CleanHeader(in http.Header, key string) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if isDropped(name, in) || ContainsKey(name, key) || anyContainsKey(values, key) {
			continue
		}
		out[name] = values
	}
	return out
}

// ContainsKey tells whether the text holds the key, also when the text is
// percent-encoded. It is false for an empty key.
func ContainsKey(text, key string) bool {
	if key == "" {
		return false
	}
	if containsFold(text, key) {
		return true
	}
	decoded, err := url.QueryUnescape(text)
	return err == nil && containsFold(decoded, key)
}

// BodyContainsKey tells whether a body holds the key as it is.
func BodyContainsKey(body []byte, key string) bool {
	return key != "" && bytes.Contains(body, []byte(key))
}

func containsFold(text, key string) bool {
	return strings.Contains(strings.ToLower(text), strings.ToLower(key))
}

func anyContainsKey(values []string, key string) bool {
	for _, v := range values {
		if ContainsKey(v, key) {
			return true
		}
	}
	return false
}

func isDropped(name string, in http.Header) bool {
	for _, h := range callerHeaders {
		if strings.EqualFold(h, name) {
			return true
		}
	}
	return IsHop(name, in)
}

// IsHop tells whether the field of the header is meant for one connection
// only.
func IsHop(name string, in http.Header) bool {
	for _, h := range hopHeaders {
		if strings.EqualFold(h, name) {
			return true
		}
	}
	for _, field := range in.Values("Connection") {
		for listed := range strings.SplitSeq(field, ",") {
			if strings.EqualFold(strings.TrimSpace(listed), name) {
				return true
			}
		}
	}
	return false
}
