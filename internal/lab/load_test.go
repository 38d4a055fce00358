package lab

import (
	"strings"
	"testing"
	"time"

	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/pg"
)

func startCluster(t *testing.T, configure func(*pgserver.Server)) *Cluster {
	t.Helper()
	cluster, err := StartCluster(1, 0, configure)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

// Successful responses are counted with their latencies, and none is reported as an error.
func TestLoad_Responses(t *testing.T) {
	cluster := startCluster(t, nil)
	for name, load := range map[string]Load{
		"statement":   {Request: CommentedQuery},
		"plain":       {Request: PlainQuery},
		"transaction": {Request: TransactionQueries, ReadyCount: 3},
	} {
		load.Addr, load.Clients, load.Duration = cluster.Servers[0].Addr, 2, 100*time.Millisecond
		result, err := load.Run()
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if result.Rate <= 0 || result.P50 <= 0 || result.Max < result.P50 || result.Rejected+result.Failed > 0 || len(result.Codes) > 0 {
			t.Errorf("%s: %+v", name, result)
		}
	}
}

// Error responses are counted by SQLSTATE, and rejected responses separately from failed ones.
func TestLoad_ErrorsInResponses(t *testing.T) {
	cluster := startCluster(t, nil)
	result, err := Load{Addr: cluster.Servers[0].Addr, Clients: 1, Duration: 50 * time.Millisecond,
		Request: func(_, _ int) []byte { return pg.AppendQuery(nil, "COMMIT; BEGIN; nonsense") }}.Run()
	if err != nil {
		t.Fatal(err)
	}
	failed := int64(0)
	for code, count := range result.Codes {
		if code != pg.TooManyConnections {
			failed += count
		}
	}
	if failed == 0 || result.Failed != failed || result.Rejected != 0 {
		t.Errorf("%+v", result)
	}
	result = (&loadRun{latencies: newLatencies(), codes: map[string]int64{pg.TooManyConnections: 3, "42601": 2}}).result(time.Second, 5, 0)
	if result.Rejected != 3 || result.Failed != 2 {
		t.Errorf("%+v", result)
	}
	if line := result.String(); !strings.Contains(line, "rejected 3  failed 2") || !strings.Contains(line, "42601 x2  53300 x3") {
		t.Error(line)
	}
}

// A load whose clients can't connect returns an error.
func TestLoad_NoConnection(t *testing.T) {
	address, err := freeAddress()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := (Load{Addr: address, Clients: 1, Request: PlainQuery}).Run(); err == nil || !strings.Contains(err.Error(), "client 0: ") {
		t.Error(err)
	}
}
