package scenario

import (
	"fmt"

	"havencart/lab/model"
)

func (p *Player) stopStore(f Fault) error {
	p.installation.StopStore(f.Duration)
	return nil
}

func (p *Player) slowStore(f Fault) error {
	return p.forDurationNoError(f, func() { p.installation.SlowStore(f.Factor) }, func() { p.installation.SlowStore(1) })
}

func (p *Player) failStore(f Fault) error {
	return p.forDurationNoError(f, func() { p.installation.FailStore(f.Factor) }, func() { p.installation.FailStore(0) })
}

func (p *Player) delayDiscovery(f Fault) error {
	return p.forDurationNoError(f, func() { p.installation.DelayDiscovery(f.Offset) }, func() { p.installation.DelayDiscovery(0) })
}

func (p *Player) stopDiscovery(f Fault) error {
	return p.forDurationNoError(f, func() { p.installation.SetDiscoveryDown(true) }, func() { p.installation.SetDiscoveryDown(false) })
}

func (p *Player) limitDiscovery(f Fault) error {
	return p.forDurationNoError(f, func() { p.installation.LimitDiscovery(f.Share) }, func() { p.installation.LimitDiscovery(1) })
}

func (p *Player) resetDiscovery(Fault) error {
	p.installation.ResetDiscovery()
	return nil
}

// networkFault returns the inject function of a fault between two zones. convert returns the NetworkFault without its
// zones.
func networkFault(convert func(Fault) model.NetworkFault) func(*Player, Fault) error {
	return func(p *Player, f Fault) error {
		fault := convert(f)
		fault.From, fault.To = f.Number, f.OtherZone
		end := p.installation.AddNetworkFault(fault)
		p.after(f.Duration, withNilError(end))
		return nil
	}
}

func (p *Player) killFrontEnd(f Fault) error {
	frontEnd, err := p.frontEndIndex(f)
	if err != nil {
		return err
	}
	return p.forDuration(f,
		func() error { return p.installation.KillFrontEnd(frontEnd) },
		func() error { return p.installation.StartFrontEnd(frontEnd) })
}

func (p *Player) restartFrontEnd(f Fault) error {
	frontEnd, err := p.frontEndIndex(f)
	if err != nil {
		return err
	}
	return p.installation.RestartFrontEnd(frontEnd)
}

func (p *Player) stallFrontEnd(f Fault) error {
	frontEnd, err := p.frontEndIndex(f)
	if err != nil {
		return err
	}
	return p.installation.StallFrontEnd(frontEnd, f.Duration)
}

// frontEndIndex returns the index, from 0, of the front end that a fault names by its number, from 1.
func (p *Player) frontEndIndex(f Fault) (int, error) {
	if f.Number > p.installation.FrontEnds() {
		return 0, fmt.Errorf("there is no front end %d", f.Number)
	}
	return f.Number - 1, nil
}
