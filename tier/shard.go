package tier

// Shard is one part of a shard set: the records whose key hash lies between from and to, both
// inclusive. Each of its replicas holds all of them.
type Shard struct {
	id       string
	from     uint64
	to       uint64
	replicas []string
}

// NewShard returns a shard. replicas are the names of the backend servers that hold it,
// preferred ones first.
func NewShard(id string, from, to uint64, replicas ...string) Shard {
	return Shard{id: id, from: from, to: to, replicas: replicas}
}

// ID is the shard's id, unique within its shard map.
func (s Shard) ID() string { return s.id }

// From is the lowest key hash that the shard holds.
func (s Shard) From() uint64 { return s.from }

// To is the highest key hash that the shard holds.
func (s Shard) To() uint64 { return s.to }

// Replicas lists the names of the backend servers that hold the shard, preferred ones first.
func (s Shard) Replicas() []string { return s.replicas }

// Holds reports whether the shard holds records whose key has this hash.
func (s Shard) Holds(hash uint64) bool { return hash >= s.from && hash <= s.to }

func (s Shard) validate(path string, servers map[string]bool, l *problemList) {
	l.check(ValidName(s.id), path+".id", s.id, nameAllowed)
	l.check(s.from <= s.to, path+".from", s.from, "at most to")
	l.check(len(s.replicas) > 0, path+".replicas", s.replicas, "at least one server")
	seen := map[string]bool{}
	for _, r := range s.replicas {
		l.check(servers[r], path+".replicas", r, "the name of a server of this set")
		l.check(!seen[r], path+".replicas", r, "each server once")
		seen[r] = true
	}
}
