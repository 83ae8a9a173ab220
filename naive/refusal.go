package naive

import (
	"encoding/json"
	"net/http"
)

const (
	runStateHeader = "Run-State"
	stateNotRun    = "notRun"
	stateUnknown   = "unknown"
)

type (
	errorBody struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Code     string `json:"code"`
		Message  string `json:"message"`
		RunState string `json:"runState"`
	}
)

func refuse(w http.ResponseWriter, status int, code, state string) {
	w.Header().Set(runStateHeader, state)
	writeJSON(w, status, errorBody{Error: errorDetail{Code: code, Message: http.StatusText(status), RunState: state}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
