package replication

// sequence numbers operations from 1 and tracks the highest number up to which all have finished. Operations may finish in any order.
type sequence struct {
	last     uint64
	floor    uint64 // all operations up to this number have finished
	finished map[uint64]struct{}
}

func (s *sequence) begin() uint64 {
	s.last++
	return s.last
}

func (s *sequence) finish(n uint64) {
	if n != s.floor+1 {
		if s.finished == nil {
			s.finished = make(map[uint64]struct{})
		}
		s.finished[n] = struct{}{}
		return
	}
	s.floor = n
	for len(s.finished) > 0 {
		if _, ok := s.finished[s.floor+1]; !ok {
			return
		}
		s.floor++
		delete(s.finished, s.floor)
	}
}
