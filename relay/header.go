package relay

import (
	"bytes"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// hopByHopHeaders are hop-by-hop header fields, which are never forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// credentialHeaders carry a caller's key or cookies and are never forwarded.
var credentialHeaders = []string{
	"Authorization", "X-Api-Key", "Api-Key", "Cookie",
}

// CleanHeader returns the caller's header fields that may be forwarded to an
// upstream: no hop-by-hop fields, no credentials and no field that contains the
// caller's key.
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

// ContainsKey reports whether the text contains the key in any letter case, also
// percent-encoded. It returns false for an empty key.
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

// BodyContainsKey reports whether the body contains the key byte for byte. It
// returns false for an empty key.
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
	for _, h := range credentialHeaders {
		if strings.EqualFold(h, name) {
			return true
		}
	}
	return IsHopByHop(name, in)
}

// IsHopByHop reports whether the field is a hop-by-hop field of the header, by
// standard or because the Connection field lists it.
func IsHopByHop(name string, in http.Header) bool {
	for _, h := range hopByHopHeaders {
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

// keepAliveTimeout returns how long the sender of the header keeps an idle connection
// open. It is the longest duration if the Keep-Alive field doesn't tell.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, field := range header.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(field, ",") {
			name, value, _ := strings.Cut(parameter, "=")
			if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
				continue
			}
			// 31 bits of seconds fit into a duration.
			if seconds, err := strconv.ParseUint(strings.Trim(value, " \t\""), 10, 31); err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return math.MaxInt64
}
