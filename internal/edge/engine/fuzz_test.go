package engine

import "testing"

func FuzzParseChunk(f *testing.F) {
	f.Add([]byte(`{"token_index":3,"choices":[{"delta":{"content":"a"},"finish_reason":null}]}`))
	f.Add([]byte(`{"token_index":-1,"choices":[{}]}`))
	f.Add([]byte(`[DONE]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		tok, err := parseChunk(raw)
		if err == nil && tok.Index < 0 {
			t.Fatalf("event with index %d was accepted", tok.Index)
		}
	})
}

func FuzzWithExtras(f *testing.F) {
	f.Add([]byte(`{"model":"m","stream":false,"messages":[]}`), "tok")
	f.Add([]byte(`null`), "")
	f.Fuzz(func(t *testing.T, raw []byte, tok string) {
		out, err := withExtras(raw, Extras{ContinueTokens: []string{tok}})
		if err == nil && len(out) == 0 {
			t.Fatal("have an empty body without an error")
		}
	})
}
