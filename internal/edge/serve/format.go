package serve

import (
	"strings"
	"time"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/rule/units"
)

// The response bodies of the OpenAI API, complete and streamed. Content fields are
// pointers where the API distinguishes absent from empty.

type completion struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   units.TargetID `json:"model"`
	Choices []choice       `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
}

type choice struct {
	Index        int       `json:"index"`
	Message      *chatText `json:"message,omitempty"`
	Delta        *chatText `json:"delta,omitempty"`
	Text         *string   `json:"text,omitempty"`
	FinishReason *string   `json:"finish_reason"`
}

type chatText struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     units.Tokens `json:"prompt_tokens"`
	CompletionTokens units.Tokens `json:"completion_tokens"`
	TotalTokens      units.Tokens `json:"total_tokens"`
}

func completeBody(ex *modelExchange, out *flow.Outcome) completion {
	text := strings.Join(out.Tokens, "")
	finish := out.Finish
	ch := choice{FinishReason: &finish}
	body := completion{
		ID: string(ex.request.ID), Object: "text_completion", Created: time.Now().Unix(), Model: ex.request.Row.Target,
		Usage: newUsage(out),
	}
	if ex.chat {
		body.Object = "chat.completion"
		ch.Message = &chatText{Role: "assistant", Content: &text}
	} else {
		ch.Text = &text
	}
	body.Choices = []choice{ch}
	return body
}

func newUsage(out *flow.Outcome) *usage {
	gen := units.Tokens(len(out.Tokens))
	return &usage{PromptTokens: out.Prompt, CompletionTokens: gen, TotalTokens: out.Prompt + gen}
}

// chunkBody returns the body of one stream event. finish is the finish reason, empty on
// all but the last event.
func chunkBody(ex *modelExchange, created int64, text, finish string) completion {
	body := completion{ID: string(ex.request.ID), Object: "text_completion", Created: created, Model: ex.request.Row.Target}
	ch := choice{}
	if finish != "" {
		ch.FinishReason = &finish
	}
	if ex.chat {
		body.Object = "chat.completion.chunk"
		ch.Delta = &chatText{}
		if finish == "" {
			ch.Delta = &chatText{Role: "assistant", Content: &text}
		}
	} else {
		ch.Text = &text
	}
	body.Choices = []choice{ch}
	return body
}
