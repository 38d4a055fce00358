package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// hollow is what one of these processes does.
type hollow interface {
	answer(q ChildRequest) (ChildResponse, error)
}

// RunHollow is such a process: it reads what it is to be and what it is asked, a JSON object a line, answers with one each, and
// ends when its input does.
func RunHollow(in io.Reader, out io.Writer) error {
	asked, answers := json.NewDecoder(in), json.NewEncoder(out)
	var spec ChildSpec
	if err := asked.Decode(&spec); err != nil {
		return fmt.Errorf("what it is to be: %w", err)
	}
	h, first, err := begin(spec)
	if err != nil {
		answers.Encode(ChildResponse{Err: err.Error()})
		return err
	}
	if err := answers.Encode(first); err != nil {
		return err
	}
	for {
		var q ChildRequest
		if err := asked.Decode(&q); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		a, err := h.answer(q)
		if err != nil {
			a = ChildResponse{Err: err.Error()}
		}
		if err := answers.Encode(a); err != nil {
			return err
		}
	}
}

func begin(s ChildSpec) (hollow, ChildResponse, error) {
	switch s.Role {
	case "routers":
		r, err := newRouters(s)
		return r, ChildResponse{}, err
	case "databases":
		d, err := newDatabases(s)
		if err != nil {
			return nil, ChildResponse{}, err
		}
		return d, ChildResponse{Addrs: d.addrs}, nil
	case "discovery":
		d, err := newDirectory(s.Entries)
		if err != nil {
			return nil, ChildResponse{}, err
		}
		return d, ChildResponse{Addrs: []string{d.addr}, Revision: 1}, nil
	}
	return nil, ChildResponse{}, fmt.Errorf("role: unknown value %q", s.Role)
}

func unixMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }
