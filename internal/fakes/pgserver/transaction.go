package pgserver

import (
	"maps"
	"strings"

	"wayloft/internal/pg"
)

// localPrefix marks the entry for a setting that SET LOCAL has changed. The entry's value is "=" and the value set by an earlier SET in the
// same transaction, or empty if there was none.
const localPrefix = "local:"

// Settings that RESET ALL leaves as they are.
const (
	roleSetting          = "role"
	authorizationSetting = "session_authorization"
)

// runCommand runs a transaction or session command.
func (c *connection) runCommand(command pg.Command) {
	switch command.Kind {
	case pg.Begin:
		c.begin(command)
	case pg.SetTransaction:
		c.readOnly = command.ReadOnly
		c.writeTag("SET")
	case pg.Commit, pg.Rollback:
		c.endTransaction(command.Kind == pg.Rollback || c.status == failedStatus)
	case pg.Savepoint:
		c.savepoints = append(c.savepoints, savepoint{command.Name, maps.Clone(c.settings), len(c.writes)})
		c.writeTag("SAVEPOINT")
	case pg.RollbackTo, pg.ReleaseSavepoint:
		c.endSavepoint(command)
	case pg.Set:
		c.set(command)
	case pg.Reset:
		c.reset(command.Name)
		c.writeTag("RESET")
	case pg.ResetAll:
		c.resetAll()
		c.writeTag("RESET")
	case pg.DiscardAll:
		if c.status != idleStatus {
			c.fail("25001", "DISCARD ALL cannot run inside a transaction block")
			return
		}
		c.reset(authorizationSetting)
		c.resetAll()
		clear(c.prepared)
		clear(c.sqlPrepared)
		c.writeTag("DISCARD ALL")
	case pg.Deallocate:
		c.deallocate(command.Name)
	}
}

// withRole adds what a SET SESSION AUTHORIZATION does to the role: a new authorization sets it to none, the default one to its default.
func withRole(settings []pg.Setting) (all []pg.Setting) {
	for _, setting := range settings {
		if setting.Name == authorizationSetting {
			role := pg.Setting{Name: roleSetting}
			if setting.Value != "" {
				role.Value = "none"
			}
			all = append(all, role)
		}
		all = append(all, setting)
	}
	return all
}

// reset resets a setting to its value at the start of the session. Together with the session authorization the role is reset.
func (c *connection) reset(name string) {
	if name == authorizationSetting {
		c.reset(roleSetting)
	}
	if value, set := c.startup[name]; set {
		c.settings[name] = value
	} else {
		delete(c.settings, name)
	}
}

// resetAll resets all settings but the role and the session authorization.
func (c *connection) resetAll() {
	previous := c.settings
	c.settings = maps.Clone(c.startup)
	for _, name := range []string{roleSetting, authorizationSetting} {
		if value, set := previous[name]; set {
			c.settings[name] = value
		}
	}
}

// addInTransaction adds n to the number of open transactions.
func (c *connection) addInTransaction(n int) {
	c.server.mu.Lock()
	c.server.inTransaction += n
	c.server.mu.Unlock()
}

func (c *connection) begin(command pg.Command) {
	if c.status == idleStatus {
		c.status, c.implicit, c.readOnly = transactionStatus, false, command.ReadOnly
		c.savepoints, c.writes = []savepoint{{settings: maps.Clone(c.settings)}}, nil
		c.addInTransaction(1)
	}
	c.writeTag("BEGIN")
}

// endTransaction commits the transaction or rolls it back.
func (c *connection) endTransaction(rollBack bool) {
	if c.status == idleStatus {
		c.endImplicit(rollBack)
		return
	}
	if c.status, c.readOnly = idleStatus, false; rollBack {
		c.staged = stagedChange{}
		c.rollBackTo(0)
		c.writeTag("ROLLBACK")
	} else {
		c.endLocalSettings()
		if c.commitWrites() {
			c.writeTag("COMMIT")
		}
	}
	c.savepoints, c.writes = nil, nil
	c.addInTransaction(-1)
}

// endImplicit ends the implicit transaction at a COMMIT or ROLLBACK outside of a transaction block.
func (c *connection) endImplicit(rollBack bool) {
	if rollBack {
		c.rollBackTo(0)
	} else if !c.commitWrites() {
		rollBack = true
	}
	c.writes, c.savepoints = nil, []savepoint{{settings: maps.Clone(c.settings)}}
	c.writeTag(map[bool]string{true: "ROLLBACK", false: "COMMIT"}[rollBack])
}

// endLocalSettings restores the settings changed by SET LOCAL at the end of a transaction.
func (c *connection) endLocalSettings() {
	for key := range c.settings {
		name, local := strings.CutPrefix(key, localPrefix)
		if !local {
			continue
		}
		if before, had := c.savepoints[0].settings[name]; c.settings[key] != "" {
			c.settings[name] = c.settings[key][1:]
		} else if had {
			c.settings[name] = before
		} else {
			delete(c.settings, name)
		}
		delete(c.settings, key)
	}
}

// endSavepoint rolls back to a savepoint or releases it. An unknown savepoint is an error.
func (c *connection) endSavepoint(command pg.Command) {
	for n := len(c.savepoints) - 1; n > 0; n-- {
		if c.savepoints[n].name != command.Name {
			continue
		}
		if command.Kind == pg.RollbackTo {
			c.rollBackTo(n)
			c.savepoints = c.savepoints[:n+1]
			c.status = transactionStatus
			c.writeTag("ROLLBACK")
		} else {
			c.savepoints = c.savepoints[:n]
			c.writeTag("RELEASE")
		}
		return
	}
	c.fail("3B001", "savepoint does not exist")
}

func (c *connection) set(command pg.Command) {
	for _, pair := range withRole(command.Settings) {
		name, text := pair.Name, pair.Value
		if strings.HasPrefix(name, "no_such") {
			c.fail("42704", "unrecognized configuration parameter")
			return
		}
		value := pg.Unquote(text)
		if text == "" {
			value = c.startup[name]
		}
		if command.Local && c.status != transactionStatus {
			continue
		}
		if key := localPrefix + name; command.Local {
			c.saveBeforeLocal(key, name)
		} else {
			delete(c.settings, key)
		}
		if value == "" && text == "" {
			delete(c.settings, name)
		} else {
			c.settings[name] = value
		}
	}
	c.writeTag("SET")
}

// saveBeforeLocal records the value to restore after the transaction, before the first SET LOCAL changes a setting.
func (c *connection) saveBeforeLocal(key, name string) {
	if _, saved := c.settings[key]; saved {
		return
	}
	c.settings[key] = ""
	if value, set := c.settings[name]; set && value != c.savepoints[0].settings[name] {
		c.settings[key] = "=" + value
	}
}

func (c *connection) deallocate(name string) {
	if name == "" {
		clear(c.prepared)
		clear(c.sqlPrepared)
		c.writeTag("DEALLOCATE ALL")
	} else if _, had := c.sqlPrepared[name]; had {
		delete(c.sqlPrepared, name)
		c.writeTag("DEALLOCATE")
	} else {
		c.fail(pg.InvalidSQLStatementName, "prepared statement does not exist")
	}
}

// commitWrites commits the transaction's rows and staged change. If the commit fails, it writes an error, which replaces the buffered
// responses of an implicit transaction, and returns false.
func (c *connection) commitWrites() bool {
	staged := c.staged
	c.staged = stagedChange{}
	if c.server.Cluster.shared == nil {
		if len(c.writes) > 0 {
			c.writePosition(c.server.Cluster.commit(c.writes))
		}
		return true
	}
	if len(c.writes) == 0 && staged == (stagedChange{}) {
		return true
	}
	at, err := c.server.Cluster.apply(c.writes, staged)
	if err != nil {
		if c.implicit {
			c.out = c.out[:min(c.implicitStart, len(c.out))]
		}
		c.fail(pg.ReadOnlySQLTransaction, err.Error())
		return false
	}
	if at > 0 {
		c.writePosition(at)
	}
	return true
}

// rollBackTo restores the settings and discards the writes since the savepoint with index n.
func (c *connection) rollBackTo(n int) {
	if n < len(c.savepoints) {
		c.settings = maps.Clone(c.savepoints[n].settings)
		c.writes = c.writes[:c.savepoints[n].writes]
	}
}
