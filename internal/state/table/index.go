package table

import "lycheepick/internal/rule/units"

// Index answers a request's look-ups in one version of the table. It is built
// once per version and read without locks.
type Index struct {
	table   *Table
	rows    map[RowKey]*Row
	keys    map[string]units.CustomerID
	targets map[units.CustomerID][]units.TargetID
}

// NewIndex builds the look-ups of tab.
func NewIndex(tab *Table) *Index {
	ix := &Index{
		table:   tab,
		rows:    make(map[RowKey]*Row, len(tab.Rows)),
		keys:    map[string]units.CustomerID{},
		targets: map[units.CustomerID][]units.TargetID{},
	}
	for _, cu := range tab.Customers {
		for _, sum := range cu.KeyHashes {
			ix.keys[sum] = cu.ID
		}
	}
	listed := map[RowKey]bool{}
	for num := range tab.Rows {
		ro := &tab.Rows[num]
		ix.rows[ro.Key()] = ro
		once := RowKey{Customer: ro.Customer, Target: ro.Target}
		if ro.TargetType == TargetModel && !listed[once] {
			ix.targets[ro.Customer] = append(ix.targets[ro.Customer], ro.Target)
			listed[once] = true
		}
	}
	return ix
}

// Table returns the table behind the index.
func (ix *Index) Table() *Table { return ix.table }

// Row returns the row for a key, or nil.
func (ix *Index) Row(rk RowKey) *Row { return ix.rows[rk] }

// Customer returns the customer that owns an API key.
func (ix *Index) Customer(apiKey string) (units.CustomerID, bool) {
	cu, ok := ix.keys[HashKey(apiKey)]
	return cu, ok
}

// Models returns the models that a customer has rows for, in the table's order.
func (ix *Index) Models(cu units.CustomerID) []units.TargetID { return ix.targets[cu] }
