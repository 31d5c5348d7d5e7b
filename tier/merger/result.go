package merger

import "cicadagrade.example/tier"

// ShardResult is what a part of a search has of one shard: the whole reply
// or the reason why it is missing.
type ShardResult struct {
	shard   string
	miss    tier.MissReason
	records []tier.Record
	count   int
	digest  string
}

// NewShardResult returns the whole reply of a shard.
func NewShardResult(shard string, records []tier.Record) ShardResult {
	return ShardResult{shard: shard, records: records, count: len(records), digest: tier.Digest(records)}
}

// NewReceivedResult returns the reply of a shard as it came from another VM,
// with the count and digest that were stated there.
func NewReceivedResult(shard string, records []tier.Record, count int, digest string) ShardResult {
	return ShardResult{shard: shard, records: records, count: count, digest: digest}
}

// NewMissingShard returns a result that says why a shard is missing.
func NewMissingShard(shard string, reason tier.MissReason) ShardResult {
	return ShardResult{shard: shard, miss: reason}
}

// Shard is the id of the shard.
func (r ShardResult) Shard() string { return r.shard }

// Miss is why the shard is missing, or empty.
func (r ShardResult) Miss() tier.MissReason { return r.miss }

// Records are the records of the shard.
func (r ShardResult) Records() []tier.Record { return r.records }

// Count is how many records the sender stated.
func (r ShardResult) Count() int { return r.count }

// Digest is the digest that the sender stated.
func (r ShardResult) Digest() string { return r.digest }
