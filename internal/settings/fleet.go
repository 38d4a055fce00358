package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// CouncilFile is the form of a coordinator node's settings.
type CouncilFile struct {
	Council Council `toml:"council"`
}

// Coordinator is one coordinator node. What is not given has a value that suits a fleet of hundreds.
type Council struct {
	Fleet       string            `toml:"fleet"`
	Name        string            `toml:"name"`
	Listen      string            `toml:"listen"`
	Folder      string            `toml:"folder"`
	Join        bool              `toml:"join"` // a coordinator that has begun, by `council add`
	Peers       []CouncilPeer     `toml:"peers"`
	Tick        Duration          `toml:"tick"`
	Keep        int               `toml:"keep"` // entries until the log is cut
	Connections int               `toml:"connections"`
	Record      string            `toml:"record"` // a file of all that became so, for checkers
	Via         map[string]string `toml:"via"`    // other ways to processes, by name
	ClockAhead  Duration          `toml:"clock_ahead"`
}

// CouncilPeer is one of those who begin the coordinator.
type CouncilPeer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}

func strict(text []byte, into any) error {
	d := toml.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	return wrong(d.Decode(into))
}

func address(key, value string) error {
	if _, _, err := net.SplitHostPort(value); err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	return nil
}

// ReadCouncil decodes a coordinator node's file and says what is wrong with it.
func ReadCouncil(text []byte) (*Council, error) {
	f := &CouncilFile{}
	if err := strict(text, f); err != nil {
		return nil, err
	}
	c := &f.Council
	switch {
	case c.Fleet == "" || c.Name == "" || c.Folder == "":
		return nil, errors.New("council: fleet, name and folder must be given")
	case c.Join && len(c.Peers) > 0:
		return nil, errors.New("council: join: one that joins begins nothing, peers must not be given")
	case !c.Join && len(c.Peers) == 0:
		return nil, errors.New("council: peers: must be given, or join = true")
	}
	if err := address("council.listen", c.Listen); err != nil {
		return nil, err
	}
	mine := c.Join
	for n, p := range c.Peers {
		if p.Name == "" {
			return nil, fmt.Errorf("council.peers[%d]: name: must be given", n)
		}
		if err := address(fmt.Sprintf("council.peers[%d].address", n), p.Address); err != nil {
			return nil, err
		}
		mine = mine || p.Name == c.Name
	}
	if !mine {
		return nil, fmt.Errorf("council.peers: %q, this process, is not among them", c.Name)
	}
	for name, addr := range c.Via {
		if err := address("council.via."+name, addr); err != nil {
			return nil, err
		}
	}
	c.Tick = Duration(cmp.Or(float64(c.Tick), 50))
	c.Keep, c.Connections = cmp.Or(c.Keep, 10000), cmp.Or(c.Connections, 4096)
	if c.Tick < 5 || c.Keep < 100 || c.Connections < 16 {
		return nil, errors.New("council: tick of 5ms, keep of 100 and connections of 16 are the least")
	}
	return c, nil
}
