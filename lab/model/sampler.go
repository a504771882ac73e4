package model

// Sampler selects an exact share of the elements of a sequence, evenly spaced. The zero Sampler selects none.
type Sampler struct {
	Share       float64 // share of the elements to select, 0 to 1
	accumulated float64
}

// Next reports whether the next element is selected.
func (s *Sampler) Next() bool {
	s.accumulated += s.Share
	if s.accumulated < 1 {
		return false
	}
	s.accumulated--
	return true
}
