package model

// Portion picks exactly a share of what comes, spread evenly.
type Sampler struct {
	Share       float64
	accumulated float64
}

// Next says whether the next one is picked.
func (p *Sampler) Next() bool {
	if p.accumulated += p.Share; p.accumulated < 1 {
		return false
	}
	p.accumulated--
	return true
}
