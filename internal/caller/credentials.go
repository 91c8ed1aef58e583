package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"github.com/quetzalstall/quetzalstall/pkg/fault"
	"github.com/quetzalstall/quetzalstall/pkg/fleet"
	"github.com/quetzalstall/quetzalstall/pkg/profile"
)

// identity holds the authenticated organisation of a call, and the configuration that was in force when the call was
// authenticated.
type identity struct {
	organisation fleet.OrganisationID
	config       *profile.Config
}

type identityKey struct{}

// credential is the hash of one token of an organisation.
type credential struct {
	hash         [sha256.Size]byte
	organisation fleet.OrganisationID
}

// credentials maps bearer tokens to organisations. It builds a new table at the first call after a change of the
// configuration.
type credentials struct {
	table atomic.Pointer[credentialTable]
}

// credentialTable groups the hashes of a configuration by their first byte, so that only a few of them are compared in
// full. The first byte of a hash reveals nothing about the token.
type credentialTable struct {
	config  *profile.Config
	buckets [256][]credential
}

func newCredentialTable(config *profile.Config) *credentialTable {
	table := &credentialTable{config: config}
	for id, organisation := range config.Organisations {
		for _, text := range organisation.TokenHashes {
			hash, err := hex.DecodeString(text)
			if err != nil || len(hash) != sha256.Size {
				continue
			}
			entry := credential{organisation: id}
			copy(entry.hash[:], hash)
			table.buckets[hash[0]] = append(table.buckets[hash[0]], entry)
		}
	}
	return table
}

func (credentials *credentials) tableOf(config *profile.Config) *credentialTable {
	table := credentials.table.Load()
	if table == nil || table.config != config {
		table = newCredentialTable(config)
		credentials.table.Store(table)
	}
	return table
}

// identify returns the organisation whose bearer token is in the value of an Authorization header.
func (credentials *credentials) identify(config *profile.Config, header string) (fleet.OrganisationID, *fault.Error) {
	scheme, token, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", fault.New(fault.Unauthenticated, "needs a bearer token").WithField(authorisationHeader)
	}
	hash := sha256.Sum256([]byte(token))
	var found fleet.OrganisationID
	for _, entry := range credentials.tableOf(config).buckets[hash[0]] {
		if subtle.ConstantTimeCompare(entry.hash[:], hash[:]) == 1 {
			found = entry.organisation
		}
	}
	if found == "" {
		return "", fault.New(fault.Unauthenticated, "the token is not known").WithField(authorisationHeader)
	}
	return found, nil
}
