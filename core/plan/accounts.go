package plan

import (
	"strings"
	"unicode"

	"cardamomspool/core/keys"
	"cardamomspool/core/strict"
)

// CheckAccounts adds the faults of accounts to f. Keys are not part of the messages.
func CheckAccounts(f *strict.Faults, accounts []Account) {
	names := make(map[string]bool, len(accounts))
	holders := make(map[keys.Digest]string)
	for i := range accounts {
		a := &accounts[i]
		at := "accounts[" + a.Name + "]"
		switch {
		case a.Name == "" || strings.ContainsFunc(a.Name, unicode.IsControl):
			f.Add(at, "must have a name without control characters")
		case names[a.Name]:
			f.Add(at, "is listed twice")
		}
		names[a.Name] = true
		if a.Rate < 0 || a.Burst < 0 {
			f.Add(at, "has the rate %v and the burst %v, must not be negative", a.Rate, a.Burst)
		}
		for _, k := range a.Keys {
			if holder, taken := holders[k]; taken && holder != a.Name {
				f.Add(at+".keys", "has a key of the account %q", holder)
			}
			holders[k] = a.Name
		}
	}
}
