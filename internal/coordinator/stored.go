package coordinator

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/raftnode"
	"wayloft/internal/storage"
)

// Names of the values in the store. The log records are Raft entries, numbered by their index.
const (
	hardStateValue    = "hard"
	snapshotValue     = "snapshot"
	incarnationsValue = "met"
)

// errEntryIndex means that a log entry's index differs from the number of the record that holds it.
var errEntryIndex = errors.New("entry index does not match the record number")

// ReadStored reads the data of a coordinator node from its store. A decoding error names the value or entry.
func ReadStored(store *storage.Store) (raftnode.Stored, *raftnode.KnownIncarnations, error) {
	var stored raftnode.Stored
	records, values, err := store.Read()
	if err != nil {
		return stored, nil, err
	}
	incarnations := raftnode.NewKnownIncarnations()
	if encoded := values[incarnationsValue]; encoded != nil {
		if err := cbor.Unmarshal(encoded, &incarnations.Known); err != nil {
			return stored, nil, fmt.Errorf("%s: %w", incarnationsValue, err)
		}
	}
	if encoded := values[hardStateValue]; encoded != nil {
		stored.HardState = &raftpb.HardState{}
		if err := proto.Unmarshal(encoded, stored.HardState); err != nil {
			return stored, nil, fmt.Errorf("hard state: %w", err)
		}
	}
	if encoded := values[snapshotValue]; encoded != nil {
		stored.Snapshot = &raftpb.Snapshot{}
		if err := proto.Unmarshal(encoded, stored.Snapshot); err != nil {
			return stored, nil, fmt.Errorf("%s: %w", snapshotValue, err)
		}
	}
	for _, record := range records {
		entry, err := decodeEntry(record)
		if err != nil {
			return stored, nil, fmt.Errorf("log entry %d: %w", record.Number, err)
		}
		stored.Entries = append(stored.Entries, entry)
	}
	return stored, incarnations, nil
}

func decodeEntry(record storage.Record) (*raftpb.Entry, error) {
	entry := &raftpb.Entry{}
	if err := proto.Unmarshal(record.Bytes, entry); err != nil {
		return nil, err
	}
	if entry.GetIndex() != record.Number {
		return nil, errEntryIndex
	}
	return entry, nil
}

// WriteDecision stores the contents of a Save or Compact decision, and returns once they are on disk. The error matches
// storage.ErrUnavailable if it is not known whether they are.
func WriteDecision(store *storage.Store, decision raftnode.Decision) error {
	batch := storage.Batch{Values: map[string][]byte{}, CompactBelow: decision.CompactBelow}
	if decision.HardState != nil {
		if err := putValue(batch, hardStateValue, decision.HardState); err != nil {
			return err
		}
	}
	if decision.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := putValue(batch, snapshotValue, decision.Snapshot); err != nil {
			return err
		}
		// A snapshot in a Save decision is the initial one or comes from another node, so the stored entries don't belong to it.
		batch.ReplaceLog = decision.Action == raftnode.Save
	}
	for _, entry := range decision.Entries {
		encoded, err := proto.Marshal(entry)
		if err != nil {
			return fmt.Errorf("log entry %d: %w", entry.GetIndex(), err)
		}
		batch.Records = append(batch.Records, storage.Record{Number: entry.GetIndex(), Bytes: encoded})
	}
	return store.Write(batch)
}

// putValue encodes a value and adds it to a batch.
func putValue(batch storage.Batch, name string, value proto.Message) error {
	encoded, err := proto.Marshal(value)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	batch.Values[name] = encoded
	return nil
}
