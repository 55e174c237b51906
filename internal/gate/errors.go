package gate

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/carobstile/carobstile/internal/gatecore"
)

// apiError is the error object of the caller API.
type apiError struct {
	Message string             `json:"message"`
	Type    string             `json:"type"`
	Code    gatecore.Code      `json:"code"`
	Param   *string            `json:"param"`
	Run     gatecore.RunStatus `json:"run"`
}

// problem is a failure and the name of the invalid request parameter, if any.
type problem struct {
	gatecore.Failure
	param string
}

// notRun returns a problem for a request of which no byte has reached a backend server.
func notRun(code gatecore.Code, message string) *problem {
	return &problem{Failure: gatecore.Failure{Code: code, Message: message, Run: gatecore.RunStatusNotRun}}
}

func (p *problem) withParam(param string) *problem {
	p.param = param
	return p
}

func (p *problem) body() []byte {
	e := apiError{Message: p.Message, Type: "server_error", Code: p.Code, Run: p.Run}
	if p.Code.Status() < http.StatusInternalServerError {
		e.Type = "invalid_request_error"
	}
	if p.Code == gatecore.CodeOverloaded {
		e.Type = "rate_limit_error"
	}
	if p.param != "" {
		e.Param = &p.param
	}
	body, err := json.Marshal(struct {
		Error apiError `json:"error"`
	}{e})
	if err != nil { // strings always marshal
		return nil
	}
	return body
}

func (p *problem) write(w http.ResponseWriter) {
	body := p.body()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Code.Status())
	_, _ = w.Write(body) // the caller may have disconnected
}
