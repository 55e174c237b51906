package gatecore

import (
	"fmt"
	"testing"

	"github.com/carobstile/carobstile/internal/core"
)

// BenchmarkFrame measures the cost of one token. The cost must not grow with the number of open streams.
func BenchmarkFrame(b *testing.B) {
	for _, open := range []int{1, 100, 10_000} {
		b.Run(fmt.Sprintf("open=%d", open), func(b *testing.B) {
			c := New()
			for h := range open {
				c.Step(RequestArrived{Request: RequestHandle(h), Kind: KindModel, Workspace: "w", Deadline: core.Hour, FirstAttempt: 1})
				c.Step(GrantResult{Request: RequestHandle(h), Attempt: 1, GrantID: "g", Engine: "e"})
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				c.Step(Frame{Request: RequestHandle(i % open), Attempt: 1, Offset: i / open, Text: "word "})
			}
		})
	}
}

// BenchmarkRequest measures a whole request with an answer of one token.
func BenchmarkRequest(b *testing.B) {
	c := New()
	b.ReportAllocs()
	for i := range b.N {
		h := RequestHandle(i)
		c.Step(RequestArrived{Request: h, Kind: KindModel, Workspace: "w", Deadline: core.Hour, FirstAttempt: 1})
		c.Step(GrantResult{Request: h, Attempt: 1, GrantID: "g", Engine: "e"})
		c.Step(StreamOpened{Request: h, Attempt: 1})
		c.Step(Frame{Request: h, Attempt: 1, Text: "word", Finish: "stop"})
		c.Step(AnswerWritten{Request: h})
	}
}
