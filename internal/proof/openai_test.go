package proof_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"lycheepick/internal/fake/stand"
)

// openai runs the official client library against a node: the list of models, chat with and
// without streaming, completions and an error.
func (pr *procs) openai(args []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	cl := openai.NewClient(option.WithBaseURL("http://"+pr.addr(args[0])+"/v1/"), option.WithAPIKey("key"), option.WithMaxRetries(0))
	models, err := cl.Models.List(ctx)
	if err != nil {
		return err
	}
	if len(models.Data) != 1 || models.Data[0].ID != "small" {
		return fmt.Errorf("models: %+v", models)
	}
	params := openai.ChatCompletionNewParams{
		Model: "small", MaxTokens: openai.Int(25),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("why is the sky <blue> & \"high\"?")},
	}
	want := stand.Answer("why is the sky <blue> & \"high\"?", 25)
	chat, err := cl.Chat.Completions.New(ctx, params)
	if err != nil {
		return err
	}
	if have := chat.Choices[0].Message.Content; have != want || chat.Choices[0].FinishReason != "stop" || chat.Usage.CompletionTokens != 25 {
		return fmt.Errorf("chat: have %q, want %q (%+v)", have, want, chat.Usage)
	}
	stream := cl.Chat.Completions.NewStreaming(ctx, params)
	acc := openai.ChatCompletionAccumulator{}
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		return err
	}
	if have := acc.Choices[0].Message.Content; have != want {
		return fmt.Errorf("streamed chat: have %q, want %q", have, want)
	}
	return pr.openaiCompletions(ctx, &cl)
}

// openaiCompletions checks the legacy completions endpoint and the error for an unknown model.
func (pr *procs) openaiCompletions(ctx context.Context, cl *openai.Client) error {
	params := openai.CompletionNewParams{
		Model: "small", MaxTokens: openai.Int(10), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("once")},
	}
	text, err := cl.Completions.New(ctx, params)
	if err != nil {
		return err
	}
	var want strings.Builder
	for idx := range 10 {
		want.WriteString(stand.Word("once", idx))
	}
	if have := text.Choices[0].Text; have != want.String() {
		return fmt.Errorf("completion: have %q, want %q", have, want.String())
	}
	_, err = cl.Chat.Completions.New(ctx, openai.ChatCompletionNewParams{Model: "nothing"})
	apiErr, ok := err.(*openai.Error) //nolint:errorlint // The library does not wrap it.
	if !ok || apiErr.StatusCode != http.StatusNotFound || apiErr.Code != "no_row" {
		return fmt.Errorf("unknown model: have %w, want status 404 with code no_row", err)
	}
	return nil
}
