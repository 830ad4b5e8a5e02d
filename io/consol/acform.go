package consol

import (
	"fmt"
	"maps"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"cardamomspool/core/keys"
	"cardamomspool/core/spec"
	"cardamomspool/core/strict"
)

type (
	// accountsForm holds the client accounts as a browser posts them. It names stored keys by
	// their masks, so that no page holds them in clear.
	accountsForm struct {
		Rows   []accountInput
		Faults strict.Faults
	}

	// accountInput is one account of the form.
	accountInput struct {
		// Index numbers the account in the names of its fields.
		Index int
		// Origin is the name of the account in the revision that the form is based on; empty
		// for a new account.
		Origin string
		// Name, Rank, Rate and Burst are as entered.
		Name, Rank, Rate, Burst string
		// Keys are the stored keys.
		Keys []keyInput
		// NewKeys are further keys, in clear until they are stored.
		NewKeys []string
		// Generate asks for a further key, made by this host.
		Generate bool
		// Remove removes the account.
		Remove bool
		Faults []string
	}

	// keyInput is a stored key and what becomes of it.
	keyInput struct {
		Mask   string
		Action keyAction
	}

	// keyAction says what becomes of a stored key.
	keyAction string
)

const (
	keyKeep     keyAction = "keep"
	keyWithdraw keyAction = "withdraw"
	// keyRotate withdraws the key and adds one that this host makes.
	keyRotate keyAction = "rotate"

	accountsList = "accounts"
	keyField     = ".keys."
)

// storedKey returns the mask of a stored key.
func storedKey(d keys.Digest) string { return d.Masked() }

// accountsFormOf returns the form of a document with a blank account at its end.
func accountsFormOf(doc spec.Accounts) *accountsForm {
	f := new(accountsForm)
	for i := range doc.Accounts {
		f.Rows = append(f.Rows, inputOf(&doc.Accounts[i]))
	}
	f.addBlank()
	return f
}

// inputOf returns the input of an account that stays as it is.
func inputOf(a *spec.Account) accountInput {
	in := accountInput{Origin: a.Name, Name: a.Name, Rate: formatNumber(a.Rate), Burst: formatNumber(a.Burst)}
	if a.Rank != nil {
		in.Rank = strconv.Itoa(*a.Rank)
	}
	for _, key := range a.Keys {
		in.Keys = append(in.Keys, keyInput{storedKey(keys.Of(key)), keyKeep})
	}
	for _, d := range a.KeyDigests {
		in.Keys = append(in.Keys, keyInput{storedKey(d), keyKeep})
	}
	return in
}

// formatNumber returns a number as a form shows it; empty for 0.
func formatNumber(x float64) string {
	if x == 0 {
		return ""
	}
	return strconv.FormatFloat(x, 'f', -1, 64)
}

// addBlank adds a blank account and numbers the accounts.
func (f *accountsForm) addBlank() {
	f.Rows = append(f.Rows, accountInput{})
	for i := range f.Rows {
		f.Rows[i].Index = i
	}
}

// parseAccountsForm returns the form that an operator posted, without blank accounts.
func parseAccountsForm(values url.Values) *accountsForm {
	indices := make(map[int]bool)
	for name := range values {
		if i, ok := rowIndex(name, accountsList); ok {
			indices[i] = true
		}
	}
	f := new(accountsForm)
	for _, i := range slices.Sorted(maps.Keys(indices)) {
		path := rowPath(accountsList, i)
		get := func(field string) string { return strings.TrimSpace(values.Get(path + field)) }
		in := accountInput{
			Origin: values.Get(path + ".origin"), Name: get(".name"), Rank: get(".rank"), Rate: get(".rate"), Burst: get(".burst"),
			NewKeys: splitLines(values[path+".new_keys"]), Generate: values.Has(path + ".generate"), Remove: values.Has(path + ".remove"),
		}
		for _, name := range slices.Sorted(maps.Keys(values)) {
			if mask, ok := strings.CutPrefix(name, path+keyField); ok {
				in.Keys = append(in.Keys, keyInput{mask, keyAction(values.Get(name))})
			}
		}
		if in.Origin != "" || in.Name+in.Rank+in.Rate+in.Burst != "" || len(in.NewKeys) > 0 || in.Generate {
			f.Rows = append(f.Rows, in)
		}
	}
	for i := range f.Rows {
		f.Rows[i].Index = i
	}
	return f
}

// values returns the form as a browser posts it.
func (f *accountsForm) values() url.Values {
	values := url.Values{}
	for i, in := range f.Rows {
		path := rowPath(accountsList, i)
		for field, value := range map[string]string{
			".origin": in.Origin, ".name": in.Name, ".rank": in.Rank, ".rate": in.Rate, ".burst": in.Burst, ".new_keys": strings.Join(in.NewKeys, "\n"),
		} {
			values.Set(path+field, value)
		}
		for _, key := range in.Keys {
			values.Set(path+keyField+key.Mask, string(key.Action))
		}
		if in.Remove {
			values.Set(path+".remove", "on")
		}
	}
	return values
}

// makeKeys makes the keys that the operator has asked for. The form then stands for one
// document however often it is posted.
func (f *accountsForm) makeKeys(newKey func() string) {
	for i := range f.Rows {
		in := &f.Rows[i]
		if in.Generate {
			in.Generate, in.NewKeys = false, append(in.NewKeys, newKey())
		}
		for k := range in.Keys {
			if in.Keys[k].Action == keyRotate {
				in.Keys[k].Action, in.NewKeys = keyWithdraw, append(in.NewKeys, newKey())
			}
		}
	}
}

// document returns the document that the form stands for as a change of base, and sets the
// faults. The document is valid only if there are none.
func (f *accountsForm) document(base spec.Accounts) spec.Accounts {
	f.Faults = nil
	var doc spec.Accounts
	for i := range f.Rows {
		if in := &f.Rows[i]; !in.Remove {
			doc.Accounts = append(doc.Accounts, in.account(&f.Faults, accountNamed(base, in.Origin)))
		}
	}
	if len(f.Faults) == 0 {
		_, f.Faults = spec.ParseAccounts(spec.CanonicalAccounts(doc))
	}
	for i := range f.Rows {
		in := &f.Rows[i]
		in.Faults = nil
		for _, fault := range f.Faults {
			if rest, ok := strings.CutPrefix(fault.Path, "accounts["+in.Name+"]"); ok {
				in.Faults = append(in.Faults, strings.TrimPrefix(rest+": ", ".")+fault.Problem)
			}
		}
	}
	return doc
}

// account returns the account that the input stands for as a change of the stored one.
func (in *accountInput) account(faults *strict.Faults, stored spec.Account) spec.Account {
	at := "accounts[" + in.Name + "]"
	number := func(field, text string) float64 {
		if text == "" {
			return 0
		}
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
			faults.Add(at+field, "is %q, must be a number", text)
			return 0
		}
		return x
	}
	a := spec.Account{Name: in.Name, Rate: number(".rate", in.Rate), Burst: number(".burst", in.Burst)}
	if in.Rank != "" {
		rank, err := strconv.Atoi(in.Rank)
		if err != nil {
			faults.Add(at+".rank", "is %q, must be a whole number", in.Rank)
		}
		a.Rank = &rank
	}
	for _, key := range stored.Keys {
		if in.keeps(storedKey(keys.Of(key))) {
			a.Keys = append(a.Keys, key)
		}
	}
	for _, d := range stored.KeyDigests {
		if in.keeps(storedKey(d)) {
			a.KeyDigests = append(a.KeyDigests, d)
		}
	}
	a.Keys = append(a.Keys, in.NewKeys...)
	return a
}

// keeps reports whether the stored key with a mask stays. One that the form does not name
// stays.
func (in *accountInput) keeps(mask string) bool {
	return !slices.ContainsFunc(in.Keys, func(k keyInput) bool { return k.Mask == mask && k.Action != keyKeep })
}

// accountNamed returns the account of a document with the given name, or a blank one.
func accountNamed(doc spec.Accounts, name string) spec.Account {
	for _, a := range doc.Accounts {
		if a.Name == name && name != "" {
			return a
		}
	}
	return spec.Account{}
}

// rebase returns the form as a change of current: what the operator has changed of base is as
// entered, and all else as in current. Accounts and keys that current has and base has not
// stay.
func (f *accountsForm) rebase(base, current spec.Accounts) *accountsForm {
	next := new(accountsForm)
	for _, in := range f.Rows {
		before, now := inputOf(new(accountNamed(base, in.Origin))), inputOf(new(accountNamed(current, in.Origin)))
		if in.Origin == "" || now.Origin == "" {
			// The stored keys of an account that was removed are gone.
			if !in.Remove && in.changed(before) {
				in.Origin, in.Keys = "", nil
				next.Rows = append(next.Rows, in)
			}
			continue
		}
		for _, v := range []struct {
			entered            *string
			before, nowInForce string
		}{{&in.Name, before.Name, now.Name}, {&in.Rank, before.Rank, now.Rank}, {&in.Rate, before.Rate, now.Rate}, {&in.Burst, before.Burst, now.Burst}} {
			if *v.entered == v.before {
				*v.entered = v.nowInForce
			}
		}
		for k := range now.Keys {
			if !in.keeps(now.Keys[k].Mask) {
				now.Keys[k].Action = keyWithdraw
			}
		}
		in.Keys = now.Keys
		next.Rows = append(next.Rows, in)
	}
	for i := range current.Accounts {
		name := current.Accounts[i].Name
		if !slices.ContainsFunc(f.Rows, func(in accountInput) bool { return in.Origin == name }) {
			next.Rows = append(next.Rows, inputOf(&current.Accounts[i]))
		}
	}
	next.addBlank()
	return next
}

// changed reports whether the operator has changed the account.
func (in *accountInput) changed(before accountInput) bool {
	return in.Name != before.Name || in.Rank != before.Rank || in.Rate != before.Rate || in.Burst != before.Burst || len(in.NewKeys) > 0 ||
		slices.ContainsFunc(in.Keys, func(k keyInput) bool { return k.Action != keyKeep })
}

// newKeys returns the keys in clear that the form adds, by account.
func (f *accountsForm) newKeys() []string {
	var list []string
	for _, in := range f.Rows {
		for _, key := range in.NewKeys {
			if !in.Remove {
				list = append(list, fmt.Sprintf("%s: %s", in.Name, key))
			}
		}
	}
	return list
}

// accountText is a text field of an account in the form.
type accountText struct{ Path, Label, Value, Help string }

// accountInputs returns the text fields of an account, with the labels and the help of the
// document's fields.
func accountInputs(in accountInput) []accountText {
	var list []accountText
	for _, f := range spec.AccountFields {
		field := strings.TrimPrefix(f.Path, accountsList+"[]")
		value, ok := map[string]string{".name": in.Name, ".rank": in.Rank, ".rate": in.Rate, ".burst": in.Burst}[field]
		if !ok {
			continue
		}
		label := f.Label
		if f.Unit != "" {
			label += " (" + f.Unit + ")"
		}
		list = append(list, accountText{rowPath(accountsList, in.Index) + field, label, value, f.Help})
	}
	return list
}
