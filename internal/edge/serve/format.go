package serve

import (
	"strings"
	"time"

	"lycheepick/internal/edge/flow"
	"lycheepick/internal/rule/units"
)

// The bodies of the OpenAI format, whole and streamed. Content fields are pointers
// where the format tells absent from empty.

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

func wholeBody(ex *exchange, out *flow.Outcome) completion {
	text := strings.Join(out.Tokens, "")
	finish := out.Finish
	ch := choice{FinishReason: &finish}
	body := completion{
		ID: string(ex.job.ID), Object: "text_completion", Created: time.Now().Unix(), Model: ex.job.Row.Target,
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

// chunkBody is one event of a stream. finish is empty on all but the last.
func chunkBody(ex *exchange, created int64, text, finish string) completion {
	body := completion{ID: string(ex.job.ID), Object: "text_completion", Created: created, Model: ex.job.Row.Target}
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
