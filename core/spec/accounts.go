package spec

import (
	"fmt"
	"slices"

	"cardamomspool/core/field"
	"cardamomspool/core/keys"
	"cardamomspool/core/plan"
	"cardamomspool/core/strict"
)

type (
	// Accounts is the document of the client accounts of hosts without a fleet. While it is
	// in force, calls of services that are not public need a key.
	Accounts struct {
		// Accounts are the client accounts.
		Accounts []Account `json:"accounts"`
	}

	// Account is a client account: the callers that share keys, a rank and a quota.
	Account struct {
		// Name identifies the account; targets are told of it.
		Name string `json:"name"`
		// Keys are keys in clear. Documents on entry hosts have none.
		Keys []string `json:"keys"`
		// KeyDigests are the digests of further keys.
		KeyDigests []keys.Digest `json:"key_digests"`
		// Rank is the priority of the account's calls, 0 when nil; lower ranks are
		// served first.
		Rank *int `json:"rank,omitempty"`
		// Rate is the quota in calls per second, over all hosts and services; 0 means
		// that there is none.
		Rate float64 `json:"rate"`
		// Burst is the number of calls that the account may make at once beyond Rate.
		Burst float64 `json:"burst"`
	}
)

const (
	// AccountsName is the name of the document of the client accounts among all documents.
	// No service can have it.
	AccountsName = "_accounts"
	// MaxAccountsBytes is the largest document of accounts, in either form: about 1,500
	// accounts with two keys each.
	MaxAccountsBytes = 256 << 10
	// MaxAccountNameBytes bounds the name of an account, which is part of every attempt.
	MaxAccountNameBytes = 128
	// MaxAccountRank is the largest rank of an account.
	MaxAccountRank = 1000
)

// AccountFields describes the fields of the accounts document, as Fields does for services.
var AccountFields = []field.Field{
	{
		Path: "accounts[].name", Label: "Name",
		Help: "Identifies the account; targets are told of it. 1 to 128 characters.",
	},
	{
		Path: "accounts[].keys", Label: "Keys",
		Help: "Keys of the account in clear, visible ASCII characters; no two accounts share one. Entry hosts get their digests.",
	},
	{
		Path: "accounts[].key_digests", Label: "Digests of keys",
		Help: "SHA-256 digests, in base64 without padding, of further keys of the account.",
	},
	{
		Path: "accounts[].rank", Label: "Rank", Low: 0, High: MaxAccountRank,
		Help: "Priority of the account's calls in the hold queue, lower ranks first; 0 when left out, as calls without an account.",
	},
	{
		Path: "accounts[].rate", Label: "Rate", Unit: "calls per second",
		Help: "Quota of the account over all entry hosts and services; 0 for none.",
	},
	{
		Path: "accounts[].burst", Label: "Burst", Unit: "calls",
		Help: "Calls that the account may make at once beyond the rate.",
	},
}

// ValidDocumentName reports whether name is AccountsName or a valid service name.
func ValidDocumentName(name string) bool {
	return name == AccountsName || ValidName(name)
}

// MaxBytes returns the largest size, in bytes, of the document called name.
func MaxBytes(name string) int {
	if name == AccountsName {
		return MaxAccountsBytes
	}
	return MaxDocumentBytes
}

// AccountReference returns an entry for each field of the accounts document.
func AccountReference() []field.Entry {
	return field.Entries(AccountFields, &Accounts{})
}

// ParseAccounts decodes and validates a document of accounts of at most MaxAccountsBytes.
// It returns all faults; the document is valid only when there are none. No fault holds a
// key.
func ParseAccounts(data []byte) (Accounts, strict.Faults) {
	var (
		doc    Accounts
		faults strict.Faults
	)
	if len(data) > MaxAccountsBytes {
		faults.Add(".", "is %d bytes long, must be at most %d", len(data), MaxAccountsBytes)
		return doc, faults
	}
	if faults = strict.Decode(data, &doc); len(faults) > 0 {
		return doc, faults
	}
	return doc, doc.Validate()
}

// Validate returns all faults of the document's values, none when it is valid.
func (a *Accounts) Validate() strict.Faults {
	var f strict.Faults
	if len(a.Accounts) == 0 {
		f.Add("accounts", "must have an account; delete the document to serve calls without keys")
	}
	for i := range a.Accounts {
		a.Accounts[i].validate(&f)
	}
	plan.CheckAccounts(&f, a.Plan())
	if n := len(CanonicalAccounts(a.Digested())); len(f) == 0 && n > MaxAccountsBytes {
		f.Add(".", "is %d bytes long with digests for keys, must be at most %d", n, MaxAccountsBytes)
	}
	return f
}

func (a *Account) validate(f *strict.Faults) {
	at := "accounts[" + a.Name + "]"
	if len(a.Name) > MaxAccountNameBytes {
		f.Add(at+".name", "must have at most %d bytes", MaxAccountNameBytes)
	}
	checkSingleLine(f, at+".name", a.Name)
	for i, key := range a.Keys {
		if !keys.Valid(key) {
			f.Add(fmt.Sprintf("%s.keys[%d]", at, i), "must consist of one or more visible ASCII characters")
		}
	}
	if a.Rank != nil {
		f.CheckRange(at+".rank", *a.Rank, 0, MaxAccountRank)
	}
}

// Plan returns the accounts as a plan has them, with digests for keys.
func (a *Accounts) Plan() []plan.Account {
	list := make([]plan.Account, 0, len(a.Accounts))
	for _, d := range a.Digested().Accounts {
		list = append(list, plan.Account{Name: d.Name, Keys: d.KeyDigests, Rank: d.Rank, Rate: d.Rate, Burst: d.Burst})
	}
	return list
}

// Digested returns a copy of the document with the digests of all keys and no keys in
// clear.
func (a *Accounts) Digested() Accounts {
	next := Accounts{Accounts: slices.Clone(a.Accounts)}
	for i := range next.Accounts {
		d := &next.Accounts[i]
		d.KeyDigests = slices.Clone(d.KeyDigests)
		for _, key := range d.Keys {
			d.KeyDigests = append(d.KeyDigests, keys.Of(key))
		}
		d.Keys = nil
	}
	return next
}

// masked follows the digits of a masked key. No key holds a space, so that a masked document
// that is sent back is refused.
const masked = " (masked)"

// Masked returns a copy of the document in which keys and digests are masked.
func (a *Accounts) Masked() Accounts {
	next := a.Digested()
	for i := range next.Accounts {
		d := &next.Accounts[i]
		for _, k := range d.KeyDigests {
			d.Keys = append(d.Keys, k.Masked()+masked)
		}
		d.KeyDigests = nil
	}
	return next
}

// Shown returns the body of the document called name as operators may see it on a screen:
// that of the accounts is masked, or left out if this version cannot read it.
func Shown(name string, body []byte) []byte {
	if name != AccountsName || len(body) == 0 {
		return body
	}
	doc, faults := ParseAccounts(body)
	if len(faults) > 0 {
		return []byte(`{"unreadable":"this version cannot read the document"}`)
	}
	return CanonicalAccounts(doc.Masked())
}
