package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/buckthorntide/buckthorntide/resume"
	"github.com/buckthorntide/buckthorntide/site"
)

// findVersion determines the software version at which the stream that the caller
// takes up goes on.
func (x *exchange) findVersion() *refusal {
	if !x.route.ResumableStream() || x.call.LastEvent == "" {
		return nil
	}
	if x.route.Conversation {
		// The turn would be kept without its earlier events.
		return &refusal{status: http.StatusServiceUnavailable, reason: "the turn must be sent again from its start"}
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline())
	defer cancel()
	version, source, err := x.proxy.Streams.Find(ctx, x.stream(x.call.Resumes), x.service.Name, x.left())
	x.record.version, x.record.versionSource = version, string(source)
	if err != nil {
		return x.refuseUndecided("the stream can't be taken up: " + err.Error())
	}
	x.versions = []string{version}
	return nil
}

// allowedVersions returns the software versions of the upstreams to which the request
// may be sent next; nil stands for any.
func (x *exchange) allowedVersions(d *delivery) []string {
	if d.versions != nil || !x.route.ResumableStream() {
		return d.versions
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.attemptDeadline(d))
	defer cancel()
	return x.proxy.Streams.Versions(ctx, x.service.Name)
}

// beginStream restricts the rest of the answer to the upstream's software version,
// and remembers the version for a caller that takes the stream up. After an error the caller
// must not get any of it.
func (x *exchange) beginStream(u *site.Upstream, d *delivery) error {
	if !x.route.ResumableStream() {
		return nil
	}
	origin := resume.Origin{Service: x.service.Name, Version: u.SoftwareVersion}
	d.versions = []string{u.SoftwareVersion}
	if listed := x.proxy.Views.View().Upstream(u.Service, u.ID); listed != nil && listed.SoftwareVersion != u.SoftwareVersion {
		// The upstream was started again under its ID; which process sent the event is
		// unknown.
		origin = resume.Origin{Service: x.service.Name, Unknown: true}
		d.versions = []string{}
	}
	x.record.version = origin.Version
	if x.call.LastEvent != "" {
		return nil
	}
	return x.proxy.Streams.Began(x.stream(x.call.ID), origin, x.left())
}

func (x *exchange) stream(id string) resume.Stream {
	return resume.Stream{Team: x.teamName(), ID: id}
}

// left returns the time until the caller stops waiting, or 0 if that is unknown.
func (x *exchange) left() time.Duration {
	if x.call.Timeout <= 0 {
		return 0
	}
	return max(time.Nanosecond, time.Until(x.callerDeadline))
}
