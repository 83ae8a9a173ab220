package route

import "github.com/buckthorntide/buckthorntide/conf"

type (
	// Status reports whether a service has a usable upstream.
	Status struct {
		Service string `json:"service"`
		Usable  bool   `json:"usable"`
	}

	// Admission reports what a service accepts.
	Admission struct {
		Service string `json:"service"`
		// NewPrograms reports that the service and all its direct and indirect
		// dependencies have a usable upstream. Running programs continue without
		// that.
		NewPrograms bool `json:"newPrograms"`
		// Missing is the first service that is not usable.
		Missing string `json:"missing,omitempty"`
	}

	// admissions traverses the dependencies; visited breaks cycles.
	admissions struct {
		services map[string]*conf.Service
		usable   map[string]bool
	}
)

// Usable returns each service's admission, in the services' order. A service
// without a status counts as usable, since no failure of it is known.
func Usable(services []conf.Service, statuses []Status) []Admission {
	a := admissions{
		services: make(map[string]*conf.Service, len(services)),
		usable:   make(map[string]bool, len(statuses)),
	}
	for i := range services {
		a.services[services[i].Name] = &services[i]
	}
	for _, s := range statuses {
		a.usable[s.Service] = s.Usable
	}
	out := make([]Admission, 0, len(services))
	for i := range services {
		missing := a.missing(services[i].Name, make(map[string]bool))
		out = append(out, Admission{
			Service:     services[i].Name,
			NewPrograms: missing == "",
			Missing:     missing,
		})
	}
	return out
}

func (a *admissions) missing(name string, visited map[string]bool) string {
	if visited[name] {
		return ""
	}
	visited[name] = true
	if usable, known := a.usable[name]; known && !usable {
		return name
	}
	service := a.services[name]
	if service == nil {
		return ""
	}
	for _, d := range service.DependsOn {
		if missing := a.missing(d, visited); missing != "" {
			return missing
		}
	}
	return ""
}
