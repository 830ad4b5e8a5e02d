package keys

type (
	// Account is what a call takes over from the client account that makes it.
	Account struct {
		// Name identifies the account.
		Name string
		// Rank replaces the rank of the route; nil keeps that.
		Rank *int
		// Keys are the digests of the account's keys.
		Keys []Digest
	}

	// Table finds the account of a key. It is immutable and safe for concurrent use.
	// The zero value has no accounts.
	Table struct {
		accounts map[Digest]*Account
	}
)

// NewTable returns a table of accounts, which must not change while the table is in
// use. No two accounts may share a key.
func NewTable(accounts []Account) *Table {
	n := 0
	for i := range accounts {
		n += len(accounts[i].Keys)
	}
	t := &Table{accounts: make(map[Digest]*Account, n)}
	for i := range accounts {
		for _, k := range accounts[i].Keys {
			t.accounts[k] = &accounts[i]
		}
	}
	return t
}

// Find returns the account that holds the key with the given digest, nil if there is
// none.
func (t *Table) Find(d Digest) *Account {
	return t.accounts[d]
}
