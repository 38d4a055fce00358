package session

import "wayloft/internal/pg"

// routerSettingPrefix begins the names of the router's own settings, which clients set and members never receive.
const routerSettingPrefix = "wayloft."

// RequestAttributes classify a request.
type RequestAttributes struct {
	Label        *pg.Statement // the comment of the statement; nil: none
	RequestClass string
	Tenant       string
	Unclassified bool // nothing names a request class: the request is not idempotent, and goes to the primary
}

// RequestAttributes classifies the request that begins with the present unit: by its label, else by the session's settings, else by its
// pool.
func (s *Session) RequestAttributes() RequestAttributes {
	if s.firstCommand != nil && s.firstCommand.Label != nil {
		label := s.firstCommand.Label
		return RequestAttributes{Label: label, RequestClass: label.RequestClass, Tenant: label.Tenant}
	}
	tenant := s.RouterSetting("tenant")
	if class := s.RouterSetting("txn_type"); class != "" {
		return RequestAttributes{RequestClass: class, Tenant: tenant}
	}
	if s.readOnly() && s.policy.ReadClass != "" {
		return RequestAttributes{RequestClass: s.policy.ReadClass, Tenant: tenant}
	}
	return RequestAttributes{RequestClass: s.policy.WriteClass, Tenant: tenant, Unclassified: s.policy.WriteClass == ""}
}

// readOnly reports whether the transaction is declared read only.
func (s *Session) readOnly() bool {
	byDefault := isTrue(pg.Unquote(s.setting("default_transaction_read_only")))
	first := s.firstCommand
	if first == nil || first.Kind != pg.Begin && first.Kind != pg.SetTransaction {
		return byDefault
	}
	return first.ReadOnly || byDefault && !first.ReadWrite
}

// isTrue reports whether a server reads a value as true.
func isTrue(value string) bool {
	return value == "on" || value == "true" || value == "yes" || value == "1"
}

// setting returns the value that the client has set, as it was written; "" if it has set none.
func (s *Session) setting(name string) string {
	value, _ := s.current.client.Get(name)
	return value
}

// RouterSetting returns the value of a setting of the router's own, by its name without the prefix.
func (s *Session) RouterSetting(name string) string {
	return pg.Unquote(s.setting(routerSettingPrefix + name))
}
