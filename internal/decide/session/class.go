package session

import "wayloft/internal/pg"

// routerSettingPrefix is the name prefix of the router's own settings, which clients set and members never receive.
const routerSettingPrefix = "wayloft."

// RequestAttributes classify a request.
type RequestAttributes struct {
	Label        *pg.Statement // the statement's comment; nil if it has none
	RequestClass string
	Tenant       string
	Unclassified bool // no request class is given: the request is not idempotent and goes to the primary
}

// RequestAttributes classifies the request that begins with the current unit: by its label, else by the settings of the session, else
// by the policy of its pool.
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

// readOnly reports whether the transaction is declared read-only, explicitly or by default_transaction_read_only.
func (s *Session) readOnly() bool {
	byDefault := isTrue(pg.Unquote(s.setting("default_transaction_read_only")))
	first := s.firstCommand
	if first == nil || first.Kind != pg.Begin && first.Kind != pg.SetTransaction {
		return byDefault
	}
	return first.ReadOnly || byDefault && !first.ReadWrite
}

// isTrue reports whether a setting's value means true.
func isTrue(value string) bool {
	return value == "on" || value == "true" || value == "yes" || value == "1"
}

// setting returns the value that the client has set, as written in the statement; "" if it has set none.
func (s *Session) setting(name string) string {
	value, _ := s.current.client.Get(name)
	return value
}

// RouterSetting returns the value of one of the router's own settings, by its name without the prefix.
func (s *Session) RouterSetting(name string) string {
	return pg.Unquote(s.setting(routerSettingPrefix + name))
}
