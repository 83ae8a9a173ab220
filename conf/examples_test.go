package conf

import (
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

func readExample(t *testing.T, name string) []byte {
	t.Helper()
	source, err := os.ReadFile("../examples/" + name)
	assert.NilError(t, err)
	return source
}

func TestExampleTexts(t *testing.T) {
	tests := []struct {
		file             string
		domains, engines int
		models           string
	}{
		{"morocco.jsonc", 3, 10, "fitting"},
		{"switzerland.jsonc", 4, 10, "agents"},
	}
	for _, tt := range tests {
		t.Run(tt.file, func(t *testing.T) {
			source := readExample(t, tt.file)
			text, err := ParseText(source)
			assert.NilError(t, err)
			assert.Equal(t, len(text.Domains()), tt.domains)
			assert.Equal(t, len(text.Teams), 8)
			models, ok := text.Service(tt.models)
			assert.Assert(t, ok)
			assert.Equal(t, len(models.Upstreams), tt.engines)
			for _, domain := range text.Domains() {
				edited, changed, err := EditDomain(source, domain, true)
				assert.NilError(t, err)
				assert.Assert(t, changed)
				assert.Assert(t, mustParse(t, string(edited)).DomainOut(domain))
			}
		})
	}
}

func TestExampleSettings(t *testing.T) {
	s, err := ParseSettings(readExample(t, "settings.jsonc"))
	assert.NilError(t, err)
	text := mustParse(t, string(readExample(t, "morocco.jsonc")))
	assert.Assert(t, slices.Contains(text.Domains(), s.FailureDomain))
	assert.Equal(t, s.LeaseSlotTTL, DefaultSettings().LeaseSlotTTL)
}
