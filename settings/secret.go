package settings

import (
	"fmt"

	"marjoramlug.example/marjoramlug/validation"
)

// Lookup returns the value of an environment variable and whether it is set.
type Lookup func(name string) (string, bool)

// ResolveSecrets sets the tokens and PEM texts for which the file names
// environment variables. Variables that are unset or empty are faults.
func (f *File) ResolveSecrets(lookup Lookup) error {
	var faults validation.Faults
	if f.Entry != nil {
		for i := range f.Entry.Tokens {
			t := &f.Entry.Tokens[i]
			faults = append(faults, resolve(lookup, fmt.Sprintf("entry.tokens[%d].env", i), t.Env, &t.Value)...)
		}
		faults = append(faults, f.Entry.TLS.resolve("entry.tls", lookup)...)
	}
	if f.Agent != nil {
		faults = append(faults, f.Agent.TLS.resolve("agent.tls", lookup)...)
	}
	return joinFaults(faults, nil)
}

func (t *TLS) resolve(path string, lookup Lookup) validation.Faults {
	var faults validation.Faults
	for _, s := range t.sources() {
		faults = append(faults, resolve(lookup, path+"."+s.key+"_env", s.env, s.value)...)
	}
	return faults
}

func resolve(lookup Lookup, path, name string, value *string) validation.Faults {
	if name == "" {
		return nil
	}
	found, ok := lookup(name)
	if !ok || found == "" {
		return validation.Faults{{Path: path, Value: name, Expected: "the name of an environment variable that is set"}}
	}
	*value = found
	return nil
}

// pemSource is one PEM text of TLS: its key in the settings, the field for its
// value and the environment variable that holds it, if any.
type pemSource struct {
	key   string
	value *string
	env   string
}

func (t *TLS) sources() []pemSource {
	return []pemSource{
		{"ca", &t.CA, t.CAEnv},
		{"cert", &t.Cert, t.CertEnv},
		{"key", &t.Key, t.KeyEnv},
	}
}
