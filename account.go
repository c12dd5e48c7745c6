package samphirepass

import "crypto/sha256"

// AccountName names a client account of a routing document.
type AccountName string

// KeyDigest is the SHA-256 digest of an account's key. Keys are compared by their digests, so that neither a copy of a document in memory nor
// the time of a comparison reveals one.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account declares a client account.
type Account struct {
	Name AccountName
	// Keys are the digests of the keys with which clients of the account identify themselves.
	Keys []KeyDigest
	// Rank orders accounts by importance, 0 first. It takes precedence over the rank of a route if HasRank is set.
	Rank    int
	HasRank bool
	// Quota bounds the requests of the account over all gateways; a rate of 0 means that there is none.
	Quota RateLimit
}
