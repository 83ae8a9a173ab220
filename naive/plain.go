package naive

import (
	"bytes"
	"io"
	"net/http"

	"github.com/buckthorntide/buckthorntide/conf"
)

// plain passes the call on to the service's next upstream, headers included.
func (i *Instance) plain(w http.ResponseWriter, r *http.Request, _ string) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	upstreams := i.upstreams(conf.KindPlain, r.PathValue("service"))
	if err != nil || len(upstreams) == 0 {
		refuse(w, http.StatusServiceUnavailable, "noUpstream", stateNotRun)
		return
	}
	url := "http://" + i.pick(upstreams) + "/" + r.PathValue("path")
	out, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(body))
	if err != nil {
		refuse(w, http.StatusBadRequest, "badRequest", stateNotRun)
		return
	}
	out.Header = r.Header.Clone()
	out.Header.Del("Authorization")
	response, err := i.client.Do(out)
	if err != nil {
		refuse(w, http.StatusBadGateway, "upstreamFailed", stateUnknown)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.WriteHeader(response.StatusCode)
	_, _ = io.Copy(w, response.Body)
}

// upstreams returns the addresses of the services of the kind and, unless it is
// empty, the name.
func (i *Instance) upstreams(kind conf.ServiceKind, name string) []string {
	var addresses []string
	for _, service := range i.config.Text.Services {
		if service.Kind != kind || name != "" && service.Name != name {
			continue
		}
		for _, upstream := range service.Upstreams {
			if !i.config.Share.isOut(upstream.FailureDomain) {
				addresses = append(addresses, upstream.Address)
			}
		}
	}
	return addresses
}

func (i *Instance) pick(addresses []string) string {
	return addresses[int(i.next.Add(1))%len(addresses)]
}
