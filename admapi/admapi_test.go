package admapi_test

import (
	"encoding/json"
	"fmt"

	"github.com/buckthorntide/buckthorntide/admapi"
)

func ExampleErrorResponse() {
	p := admapi.Problem{
		Code:          admapi.CodeConflict,
		Message:       "revision 8 is newer than your base 7",
		Next:          "fetch revision 8, repeat your edit, and apply again",
		NewerRevision: 8,
	}
	body, _ := json.Marshal(admapi.ErrorResponse{Error: p})
	fmt.Println(p.Code.Status())
	fmt.Println(string(body))
	// Output:
	// 409
	// {"error":{"code":"conflict","message":"revision 8 is newer than your base 7","next":"fetch revision 8, repeat your edit, and apply again","newerRevision":8}}
}

func ExampleDomainPath() {
	fmt.Println(admapi.DomainPath("rack/1 a"))
	// Output: /admin/v1/domains/rack%2F1%20a
}
