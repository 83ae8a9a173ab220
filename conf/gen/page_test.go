package main

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/buckthorntide/buckthorntide/conf"
)

func TestPageIsCurrent(t *testing.T) {
	want, err := Page("..")
	assert.NilError(t, err)
	got, err := os.ReadFile("../../docs/Config.md")
	assert.NilError(t, err)
	assert.Equal(t, string(got), want, "run go generate ./conf")
}

// TestPageListsEveryField finds the fields by reflection, to detect structs in
// files that the generator doesn't read.
func TestPageListsEveryField(t *testing.T) {
	page, err := Page("..")
	assert.NilError(t, err)
	checkFields(t, page, reflect.TypeFor[conf.Settings]())
	checkFields(t, page, reflect.TypeFor[conf.Text]())
}

func checkFields(t *testing.T, page string, s reflect.Type) {
	t.Helper()
	for i := range s.NumField() {
		f := s.Field(i)
		name := "`" + f.Tag.Get("json") + "`"
		assert.Assert(t, strings.Contains(page, "| "+name+" |"), "%s.%s is not on the page", s.Name(), f.Name)
		element := f.Type
		if element.Kind() == reflect.Slice {
			element = element.Elem()
		}
		if element.Kind() == reflect.Struct {
			checkFields(t, page, element)
		}
	}
}

func TestPageFailsWithoutSources(t *testing.T) {
	_, err := Page(t.TempDir())
	assert.ErrorContains(t, err, "settings.go")
}
