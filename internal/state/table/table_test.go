package table_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"lycheepick/internal/state/table"
)

func validTable() *table.Table {
	return &table.Table{
		Seats:     8,
		Customers: []table.Customer{{ID: "bluebonnet", KeyHashes: []string{table.HashKey("one")}}},
		Rows: []table.Row{{
			Customer: "bluebonnet", TargetType: table.TargetModel, Target: "small", Kind: "draft", Weight: 10,
			RequestsPerSecond: 5, TokensPerSecond: 1000, InFlight: 10, FirstToken: 1.1e9, BetweenTokens: 32e6,
			Deadline: 20e9, Idempotent: true, Attempts: 3,
		}},
	}
}

func TestCheckNamesRowFieldValueAndRange(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*table.Table)
		want   string
	}{
		"weight":               {func(tab *table.Table) { tab.Rows[0].Weight = 0 }, "rows[0].weight: have 0, want 1 to 1000"},
		"seats":                {func(tab *table.Table) { tab.Seats = 513 }, "seats: have 513, want 1 to 512"},
		"attempts":             {func(tab *table.Table) { tab.Rows[0].Attempts = 11 }, "rows[0].attempts: have 11, want 1 to 10"},
		"deadline":             {func(tab *table.Table) { tab.Rows[0].Deadline = 1e9 }, "rows[0].deadline: have 1s, want 1.1s to 1h0m0s"},
		"unknown customer":     {func(tab *table.Table) { tab.Rows[0].Customer = "other" }, `rows[0].customer: have "other", want an id listed under customers`},
		"key hash":             {func(tab *table.Table) { tab.Customers[0].KeyHashes[0] = "abc" }, "customers[0].key_hashes[0]: have a value of another shape, want a SHA-256 sum in 64 lower-case hex digits"},
		"duplicate row":        {func(tab *table.Table) { tab.Rows = append(tab.Rows, tab.Rows[0]) }, "rows[1]: have bluebonnet/small/draft, want a key other than that of rows[0]"},
		"target type":          {func(tab *table.Table) { tab.Rows[0].TargetType = "vm" }, `rows[0].target_type: have "vm", want model or service`},
		"model not idempotent": {func(tab *table.Table) { tab.Rows[0].Idempotent = false }, "rows[0].idempotent: have false, want true on a model, whose requests are sent again when a VM is reclaimed"},
		"service tokens":       {func(tab *table.Table) { tab.Rows[0].TargetType = table.TargetService }, "rows[0].tokens_per_second: have 1000, want 0 to 0"},
	} {
		t.Run(name, func(t *testing.T) {
			gm := gomega.NewWithT(t)
			tab := validTable()
			tc.change(tab)
			var have []string
			for _, pr := range tab.Check() {
				have = append(have, pr.String())
			}
			gm.Expect(have).To(gomega.ContainElement(tc.want))
		})
	}
	gomega.NewWithT(t).Expect(validTable().Check()).To(gomega.BeEmpty())
}

func TestDecodeRejectsUnknownFields(t *testing.T) {
	gm := gomega.NewWithT(t)
	raw := string(validTable().Encode())
	_, err := table.Decode([]byte(strings.Replace(raw, `"seats"`, `"seat":1,"seats"`, 1)))
	gm.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("seat")))
	_, err = table.Decode([]byte(raw + "{}"))
	gm.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("after the end")))
	_, err = table.Decode([]byte(strings.Replace(raw, `"20s"`, `20`, 1)))
	gm.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("with a unit")))
}

func ExampleTable_Diff() {
	old, cur := validTable(), validTable()
	cur.Seats = 6
	cur.Rows[0].Weight = 20
	cur.Rows[0].Kind = "note"
	for _, line := range cur.Diff(old) {
		what, _, _ := strings.Cut(line, ": ")
		fmt.Println(what)
	}
	// Output:
	// ~ seats
	// + row bluebonnet/small/note
	// - row bluebonnet/small/draft
}

func FuzzDecode(f *testing.F) {
	f.Add(validTable().Encode())
	f.Add([]byte(`{"seats":1,"customers":[],"rows":[{}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		tab, err := table.Decode(raw)
		if err != nil {
			return
		}
		again, err := table.Decode(tab.Encode())
		if err != nil || again.Hash() != tab.Hash() {
			t.Fatalf("a valid table changed by encoding and decoding: %v", err)
		}
	})
}

func FuzzFoldRead(f *testing.F) {
	rec, _ := json.Marshal(table.NewRecord(validTable(), 0, "op", "", "p1"))
	f.Add(rec)
	f.Fuzz(func(t *testing.T, raw []byte) {
		fo := table.NewFold()
		fo.Read(0, raw)
		if in := fo.InForce(); in != nil && in.Version != 1 {
			t.Fatalf("the first record put version %d in force", in.Version)
		}
	})
}
