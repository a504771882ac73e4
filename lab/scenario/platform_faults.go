package scenario

import (
	"fmt"

	"havencart/lab/model"
)

func (p *Player) storeStop(f Fault) error {
	p.installation.StopStore(f.Duration)
	return nil
}

func (p *Player) storeSlow(f Fault) error {
	return p.forDurationDo(f, func() { p.installation.SlowStore(f.Factor) }, func() { p.installation.SlowStore(1) })
}

func (p *Player) storeFail(f Fault) error {
	return p.forDurationDo(f, func() { p.installation.FailStore(f.Factor) }, func() { p.installation.FailStore(0) })
}

func (p *Player) directoryLag(f Fault) error {
	return p.forDurationDo(f, func() { p.installation.DelayDiscovery(f.Offset) }, func() { p.installation.DelayDiscovery(0) })
}

func (p *Player) directoryDown(f Fault) error {
	return p.forDurationDo(f, func() { p.installation.SetDiscoveryDown(true) }, func() { p.installation.SetDiscoveryDown(false) })
}

func (p *Player) directoryPart(f Fault) error {
	return p.forDurationDo(f, func() { p.installation.LimitDiscovery(f.Share) }, func() { p.installation.LimitDiscovery(1) })
}

func (p *Player) directoryBack(Fault) error {
	p.installation.ResetDiscovery()
	return nil
}

// networkFault makes a fault between two zones.
func networkFault(of func(Fault) model.NetworkFault) func(*Player, Fault) error {
	return func(p *Player, f Fault) error {
		fault := of(f)
		fault.From, fault.To = f.Number, f.OtherZone
		end := p.installation.AddNetworkFault(fault)
		p.after(f.Duration, succeeding(end))
		return nil
	}
}

func (p *Player) kill(f Fault) error {
	frontEnd, err := p.frontEndIndex(f)
	if err != nil {
		return err
	}
	return p.forDuration(f,
		func() error { return p.installation.KillFrontEnd(frontEnd) },
		func() error { return p.installation.StartFrontEnd(frontEnd) })
}

func (p *Player) restart(f Fault) error {
	frontEnd, err := p.frontEndIndex(f)
	if err != nil {
		return err
	}
	return p.installation.RestartFrontEnd(frontEnd)
}

func (p *Player) stall(f Fault) error {
	frontEnd, err := p.frontEndIndex(f)
	if err != nil {
		return err
	}
	return p.installation.StallFrontEnd(frontEnd, f.Duration)
}

// frontEndIndex is the index of the front end that a fault names; the names are numbers from 1.
func (p *Player) frontEndIndex(f Fault) (int, error) {
	if f.Number > p.installation.FrontEnds() {
		return 0, fmt.Errorf("there is no front end %d", f.Number)
	}
	return f.Number - 1, nil
}
