package pg

import (
	"fmt"
	"strings"
	"testing"
)

func TestCommands(t *testing.T) {
	for _, c := range []struct{ sql, want string }{
		{"SELECT 1", "0"},
		{"/* a /* nested */ one */ -- and a line\n BEGIN", "4 simple"},
		{"begin transaction isolation level repeatable read, read only", "4 ro simple"},
		{"START TRANSACTION READ WRITE", "4 rw simple"},
		{"START up", "0"},
		{"begin nonsense", "4"},
		{"SET TRANSACTION READ ONLY", "5 ro simple"},
		{"SET TRANSACTION SNAPSHOT 'x'", "0"},
		{"COMMIT AND CHAIN", "6"},
		{"COMMIT PREPARED 'x'", "0"},
		{"END", "6"},
		{"ABORT", "7"},
		{"ROLLBACK WORK TO SAVEPOINT \"A\"", "9 A"},
		{"rollback to a", "9 a"},
		{"RELEASE SAVEPOINT B", "10 b"},
		{"RELEASE savepoint", "10 savepoint"},
		{"SAVEPOINT x", "8 x"},
		{"SET search_path = a, \"B\"", "1 [[search_path a, \"B\"]]"},
		{"SET Search_Path TO DEFAULT", "1 [[search_path ]]"},
		{"SET LOCAL work_mem TO '4MB'", "1 [[work_mem '4MB']] local"},
		{"SET SESSION wayloft.txn_type = 'x'", "1 [[wayloft.txn_type 'x']]"},
		{"SET session TO 1", "0"}, // no such form: the server says so
		{"SET TIME ZONE INTERVAL '1' HOUR", "1 [[timezone INTERVAL '1' HOUR]]"},
		{"SET TIME ZONE LOCAL", "1 [[timezone ]]"},
		{"SET NAMES 'LATIN1'", "1 [[client_encoding 'LATIN1']]"},
		{"SET ROLE none", "1 [[role none]]"},
		{"SET SESSION AUTHORIZATION bob", "1 [[session_authorization bob]]"},
		{"SET SESSION CHARACTERISTICS AS TRANSACTION ISOLATION LEVEL READ COMMITTED, READ ONLY",
			"1 [[default_transaction_isolation 'read committed'] [default_transaction_read_only on]]"},
		{"SET CONSTRAINTS ALL DEFERRED", "0"},
		{"RESET a.b", "2 a.b"},
		{"RESET ALL", "3"},
		{"DISCARD ALL", "11"},
		{"DISCARD PLANS", "0"},
		{"DEALLOCATE ALL", "12"},
		{"deallocate prepare \"X\"", "12 X"},
		{"SHOW wayloft.txn_type", "13 wayloft.txn_type"},
		{"LISTEN a", "0 LISTEN"},
		{"PREPARE a AS SELECT 1", "0 PREPARE"},
		{"PREPARE TRANSACTION 'a'", "0"},
		{"CREATE TEMP TABLE a (temp int)", "0 a temporary table"},
		{"CREATE TABLE a (temp int)", "0"},
		{"SELECT 1 INTO TEMPORARY a", "0 a temporary table"},
		{"DECLARE c CURSOR WITH HOLD FOR SELECT 1", "0 a cursor WITH HOLD"},
		{"SELECT pg_advisory_lock(1)", "0 an advisory lock"},
		{"SELECT pg_advisory_xact_lock(1), 'pg_advisory_lock'", "0"},
		{"SELECT SET_CONFIG('a', 'b', false)", "0 set_config"},
		{"SELECT $a$ set_config $a$, E'\\' set_config', $1", "0"},
	} {
		got := ParseCommand(c.sql)
		words := []string{fmt.Sprint(int(got.Kind)), got.Name}
		if got.Pairs != nil {
			words = append(words, fmt.Sprint(got.Pairs))
		}
		for word, on := range map[string]bool{"local": got.Local, "ro": got.ReadOnly, "rw": got.ReadWrite} {
			if on {
				words = append(words, word)
			}
		}
		if words = append(words, got.StickyReason); got.Simple {
			words = append(words, "simple")
		}
		if s := strings.Join(strings.Fields(strings.Join(words, " ")), " "); s != c.want {
			t.Errorf("%s: got %s, want %s", c.sql, s, c.want)
		}
	}
}

func TestSplit(t *testing.T) {
	for _, c := range []struct{ sql, want string }{
		{"", ""}, {" -- nothing\n; ;", ""}, {"a", "a"}, {"a;b", "a|b"}, {"a ; ; b;", "a | b"},
		{"'a;b';\"c;d\";$$e;f$$;/* g;h */ i", "'a;b'|\"c;d\"|$$e;f$$|/* g;h */ i"},
		{"E'a\\';b';c", "E'a\\';b'|c"}, {"'a''b;';c", "'a''b;'|c"}, {"$1;$x$;$x$;'open;", "$1|$x$;$x$|'open;"},
		{"x$y$;z", "x$y$|z"},
	} {
		if got := strings.Join(SplitStatements(c.sql), "|"); got != c.want {
			t.Errorf("%s: got %s, want %s", c.sql, got, c.want)
		}
	}
}

// Whatever the text, each of its statements can be told what it is, and none is longer than the text.
func FuzzSplit(f *testing.F) {
	for _, sql := range []string{"a;b", "'", "$$", "/*/*", "SET a", "begin read", `e'\`, "set session", "U&'", "release savepoint"} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		size := 0
		for _, one := range SplitStatements(sql) {
			ParseCommand(one)
			size += len(one)
		}
		if size > len(sql) {
			t.Fatal("more than there was")
		}
		if v := QuoteLiteral(sql); strings.IndexByte(sql, '\\') < 0 && Unquote(v) != sql {
			t.Fatalf("%q is quoted as %q", sql, v)
		}
	})
}
