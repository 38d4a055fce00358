package pg

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

var commandNames = map[CommandKind]string{OtherCommand: "OtherCommand", Set: "Set", Reset: "Reset", ResetAll: "ResetAll", Begin: "Begin",
	SetTransaction: "SetTransaction", Commit: "Commit", Rollback: "Rollback", Savepoint: "Savepoint", RollbackTo: "RollbackTo",
	ReleaseSavepoint: "ReleaseSavepoint", DiscardAll: "DiscardAll", Deallocate: "Deallocate", Show: "Show"}

// describeCommand formats the kind of a command and the fields that are set.
func describeCommand(c Command) string {
	words := []string{commandNames[c.Kind], c.Name}
	if c.Settings != nil {
		words = append(words, formatSettings(c.Settings))
	}
	for _, flag := range []struct {
		isSet bool
		name  string
	}{{c.Local, "local"}, {c.ReadOnly, "readonly"}, {c.ReadWrite, "readwrite"}, {c.StickyReason != "", c.StickyReason}, {c.Simple, "simple"}, {c.Chain, "chain"}, {c.CommitsItself, "commits-itself"}} {
		if flag.isSet {
			words = append(words, flag.name)
		}
	}
	return strings.Join(slices.DeleteFunc(words, func(word string) bool { return word == "" }), " ")
}

func TestParseCommand(t *testing.T) {
	for _, c := range []struct{ sql, want string }{
		{"SELECT 1", "OtherCommand"},
		{"/* a /* nested */ one */ -- and a line\n BEGIN", "Begin simple"},
		{"begin transaction isolation level repeatable read, read only", "Begin readonly simple"},
		{"START TRANSACTION READ WRITE", "Begin readwrite simple"},
		{"START up", "OtherCommand"},
		{"begin nonsense", "Begin"},
		{"begin not deferrable isolation level read uncommitted, read write", "Begin readwrite simple"},
		{"BEGIN ISOLATION", "Begin"}, // a server rejects this and the next ones
		{"BEGIN ISOLATION LEVEL", "Begin"},
		{"BEGIN ISOLATION LEVEL READ", "Begin"},
		{"BEGIN TRANSACTION NOT", "Begin"},
		{"BEGIN TRANSACTION LEVEL SERIALIZABLE", "Begin"},
		{"SET TRANSACTION READ", "SetTransaction"},
		{"SET TRANSACTION READ ONLY", "SetTransaction readonly simple"},
		{"SET TRANSACTION SNAPSHOT 'x'", "OtherCommand"},
		{"COMMIT AND CHAIN", "Commit chain"},
		{"ROLLBACK WORK AND CHAIN", "Rollback chain"},
		{"COMMIT AND NO CHAIN", "Commit"},
		{"COMMIT PREPARED 'x'", "OtherCommand commits-itself"},
		{"/* id=1 */ CALL p()", "OtherCommand commits-itself"},
		{"DO $$ BEGIN COMMIT; END $$", "OtherCommand commits-itself"},
		{"END", "Commit"},
		{"ABORT", "Rollback"},
		{"ROLLBACK WORK TO SAVEPOINT \"A\"", "RollbackTo A"},
		{"rollback to a", "RollbackTo a"},
		{"RELEASE SAVEPOINT B", "ReleaseSavepoint b"},
		{"RELEASE savepoint", "ReleaseSavepoint savepoint"},
		{"SAVEPOINT x", "Savepoint x"},
		{"SET search_path = a, \"B\"", "Set [[search_path a, \"B\"]]"},
		{"SET Search_Path TO DEFAULT", "Set [[search_path ]]"},
		{"SET LOCAL work_mem TO '4MB'", "Set [[work_mem '4MB']] local"},
		{"SET SESSION wayloft.txn_type = 'x'", "Set [[wayloft.txn_type 'x']]"},
		{"SET session TO 1", "OtherCommand"}, // a server rejects it
		{"SET TIME ZONE INTERVAL '1' HOUR", "Set [[timezone INTERVAL '1' HOUR]]"},
		{"SET TIME ZONE LOCAL", "Set [[timezone ]]"},
		{"SET NAMES 'LATIN1'", "Set [[client_encoding 'LATIN1']]"},
		{"SET ROLE none", "Set [[role none]]"},
		{"SET SESSION AUTHORIZATION bob", "Set [[session_authorization bob]]"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION ISOLATION LEVEL READ COMMITTED, READ ONLY",
			"Set [[default_transaction_isolation 'read committed'] [default_transaction_read_only on]]"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION NOT DEFERRABLE READ WRITE",
			"Set [[default_transaction_deferrable off] [default_transaction_read_only off]]"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY, unknown", "Set [[default_transaction_read_only on]]"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION", "OtherCommand"}, // a server rejects this and the next ones
		{"SET SESSION CHARACTERISTICS AS TRANSACTION SERIALIZABLE", "OtherCommand"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION ISOLATION LEVEL", "OtherCommand"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION READ", "OtherCommand"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION NOT", "OtherCommand"},
		{"SET CONSTRAINTS ALL DEFERRED", "OtherCommand"},
		{"SET wayloft.txn_type TO", "OtherCommand"}, // a server rejects this and the next ones
		{"SET wayloft.txn_type =  -- nothing", "OtherCommand"},
		{"RESET", "OtherCommand"},
		{"DEALLOCATE", "OtherCommand"},
		{"DEALLOCATE PREPARE", "OtherCommand"},
		{"RESET a.b", "Reset a.b"},
		{"RESET ALL", "ResetAll"},
		{"DISCARD ALL", "DiscardAll"},
		{"DISCARD PLANS", "OtherCommand"},
		{"DEALLOCATE ALL", "Deallocate"},
		{"deallocate prepare \"X\"", "Deallocate X"},
		{"SHOW wayloft.txn_type", "Show wayloft.txn_type"},
		{"LISTEN a", "OtherCommand LISTEN"},
		{"PREPARE a AS SELECT 1", "OtherCommand PREPARE"},
		{"PREPARE TRANSACTION 'a'", "OtherCommand commits-itself"},
		{"CREATE TEMP TABLE a (temp int)", "OtherCommand a temporary table"},
		{"CREATE TABLE a (temp int)", "OtherCommand"},
		{"SELECT 1 INTO TEMPORARY a", "OtherCommand a temporary table"},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", "OtherCommand a cursor WITH HOLD"},
		{"SELECT pg_advisory_lock(1)", "OtherCommand an advisory lock"},
		{"SELECT pg_advisory_xact_lock(1), 'pg_advisory_lock'", "OtherCommand"},
		{"SELECT SET_CONFIG('a', 'b', false)", "OtherCommand set_config"},
		{"SELECT $a$ set_config $a$, E'\\' set_config', $1", "OtherCommand"},
	} {
		if got := describeCommand(ParseCommand(c.sql)); got != c.want {
			t.Errorf("%s: got %s, want %s", c.sql, got, c.want)
		}
	}
}

func TestSplitStatements(t *testing.T) {
	for _, c := range []struct{ sql, want string }{
		{"", ""}, {" -- nothing\n; ;", ""}, {"a", "a"}, {"a;b", "a|b"}, {"a ; ; b;", "a | b"},
		{"'a;b';\"c;d\";$$e;f$$;/* g;h */ i", "'a;b'|\"c;d\"|$$e;f$$|/* g;h */ i"},
		{"E'a\\';b';c", "E'a\\';b'|c"}, {"'a''b;';c", "'a''b;'|c"}, {"$1;$x$;$x$;'open;", "$1|$x$;$x$|'open;"},
		{"x$y$;z", "x$y$|z"}, {"$1$;a$1$", "$1$|a$1$"},
	} {
		if got := strings.Join(SplitStatements(c.sql), "|"); got != c.want {
			t.Errorf("%s: got %s, want %s", c.sql, got, c.want)
		}
	}
}

// FuzzSplitStatements checks that the statements of any text are no longer in total than the text, that ParseCommand accepts each of them
// and a Set has a setting, and that Unquote reverses QuoteLiteral for text without backslashes.
func FuzzSplitStatements(f *testing.F) {
	for _, sql := range []string{"a;b", "'", "$$", "/*/*", "SET a", "begin read", `e'\`, "set session", "set session characteristics as transaction", "U&'", "release savepoint"} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		size := 0
		for _, statement := range SplitStatements(sql) {
			if c := ParseCommand(statement); c.Kind == Set && len(c.Settings) == 0 {
				t.Fatalf("%q sets nothing", statement)
			}
			size += len(statement)
		}
		if size > len(sql) {
			t.Fatalf("statements of %d bytes in a text of %d bytes", size, len(sql))
		}
		if literal := QuoteLiteral(sql); strings.IndexByte(sql, '\\') < 0 && Unquote(literal) != sql {
			t.Fatalf("%q is quoted as %q", sql, literal)
		}
	})
}

// formatSettings formats settings as the test cases expect them: [[name value] [name value]].
func formatSettings(settings []Setting) string {
	var pairs [][2]string
	for _, setting := range settings {
		pairs = append(pairs, [2]string{setting.Name, setting.Value})
	}
	return fmt.Sprint(pairs)
}
