package table

import "lycheepick/internal/rule/units"

// Index serves the look-ups of requests in one version of the table. It is immutable, so it
// can be read without locks.
type Index struct {
	table     *Table
	rows      map[RowKey]*Row
	customers map[string]units.CustomerID
	models    map[units.CustomerID][]units.TargetID
}

// NewIndex returns the index of tab, which must be valid and must not change afterwards.
func NewIndex(tab *Table) *Index {
	ix := &Index{
		table:     tab,
		rows:      make(map[RowKey]*Row, len(tab.Rows)),
		customers: map[string]units.CustomerID{},
		models:    map[units.CustomerID][]units.TargetID{},
	}
	for _, cu := range tab.Customers {
		for _, sum := range cu.KeyHashes {
			ix.customers[sum] = cu.ID
		}
	}
	listed := map[RowKey]bool{}
	for num := range tab.Rows {
		ro := &tab.Rows[num]
		ix.rows[ro.Key()] = ro
		once := RowKey{Customer: ro.Customer, Target: ro.Target}
		if ro.TargetType == TargetModel && !listed[once] {
			ix.models[ro.Customer] = append(ix.models[ro.Customer], ro.Target)
			listed[once] = true
		}
	}
	return ix
}

// Table returns the table that the index was built from.
func (ix *Index) Table() *Table { return ix.table }

// Row returns the row with a key, or nil.
func (ix *Index) Row(rk RowKey) *Row { return ix.rows[rk] }

// Customer returns the customer that owns an API key and reports whether there is one.
func (ix *Index) Customer(apiKey string) (units.CustomerID, bool) {
	cu, ok := ix.customers[HashKey(apiKey)]
	return cu, ok
}

// Models returns the models that a customer has rows for, in the table's order.
func (ix *Index) Models(cu units.CustomerID) []units.TargetID { return ix.models[cu] }
