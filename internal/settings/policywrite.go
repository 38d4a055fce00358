package settings

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/pelletier/go-toml/v2"

	"wayloft/internal/decide/policy"
)

// policyFile is the TOML structure of a policy file.
type policyFile struct {
	OverQuotaWeight *float64      `toml:"over_share_value,omitempty"`
	RequestClasses  []policyClass `toml:"txn_types,omitempty"`
	Tenants         []Tenant      `toml:"tenants,omitempty"`
}

type policyClass struct {
	Name           string   `toml:"name"`
	PriorityWeight *float64 `toml:"value,omitempty"`
	LateWeight     *float64 `toml:"late_value,omitempty"`
}

// WritePolicy encodes a document in the form that ReadPolicy decodes. Its error names the first field that can't be written, such as a
// strict one.
func WritePolicy(document policy.Document) ([]byte, error) {
	var file policyFile
	classes := map[string]*policyClass{}
	for _, field := range slices.Sorted(maps.Keys(document)) {
		table, name, key, _ := policy.SplitField(field)
		number, err := strconv.ParseFloat(document[field], 64)
		class, _ := policy.Classify(field)
		if err != nil || class != policy.ClassLenient {
			return nil, fmt.Errorf("%s = %q: this build can't write this field to a policy file", field, document[field])
		}
		switch table {
		case keyTenants:
			file.Tenants = append(file.Tenants, Tenant{Name: name, Rate: number})
		case "":
			file.OverQuotaWeight = &number
		default:
			if classes[name] == nil {
				classes[name] = &policyClass{Name: name}
			}
			classes[name].set(key, number)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(classes)) {
		file.RequestClasses = append(file.RequestClasses, *classes[name])
	}
	return toml.Marshal(file)
}

func (c *policyClass) set(key string, number float64) {
	if key == keyValue {
		c.PriorityWeight = &number
	} else {
		c.LateWeight = &number
	}
}
