package merger

import "cicadagrade.example/tier"

// ShardResult is the result of searching one shard: its reply, or the reason why it is
// missing.
type ShardResult struct {
	shard   string
	miss    tier.MissReason
	records []tier.Record
	count   int
	digest  string
}

// NewShardResult returns the complete reply of a shard.
func NewShardResult(shard string, records []tier.Record) ShardResult {
	return ShardResult{shard: shard, records: records, count: len(records), digest: tier.Digest(records)}
}

// NewReceivedResult returns the reply of a shard as received from another VM, with the
// count and digest that the VM stated.
func NewReceivedResult(shard string, records []tier.Record, count int, digest string) ShardResult {
	return ShardResult{shard: shard, records: records, count: count, digest: digest}
}

// NewMissingShard returns a result with the reason why a shard is missing.
func NewMissingShard(shard string, reason tier.MissReason) ShardResult {
	return ShardResult{shard: shard, miss: reason}
}

// Shard is the id of the shard.
func (r ShardResult) Shard() string { return r.shard }

// Miss is the reason why the shard is missing, empty if it has a reply.
func (r ShardResult) Miss() tier.MissReason { return r.miss }

// Records are the records of the shard.
func (r ShardResult) Records() []tier.Record { return r.records }

// Count is the number of records that the sender stated.
func (r ShardResult) Count() int { return r.count }

// Digest is the digest that the sender stated.
func (r ShardResult) Digest() string { return r.digest }
