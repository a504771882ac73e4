package scenario

import "havencart/lab/loadgen"

// changeDemand changes what clients ask for and changes it back after the fault's duration.
func (p *Player) changeDemand(f Fault, start, end func(*loadgen.Demand)) error {
	return p.forDuration(f,
		func() error { return p.installation.ChangeDemand(start) },
		func() error { return p.installation.ChangeDemand(end) })
}

// changeTenantDemand changes what one tenant's clients ask for and changes it back after the fault's duration.
func (p *Player) changeTenantDemand(f Fault, start, end func(*loadgen.TenantDemand)) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) { d.ChangeTenant(f.Tenant, start) },
		func(d *loadgen.Demand) { d.ChangeTenant(f.Tenant, end) })
}

func (p *Player) disconnectClients(f Fault) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) { d.DisconnectShare = f.Share },
		func(d *loadgen.Demand) { d.DisconnectShare = 0 })
}

func (p *Player) surge(f Fault) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) { d.RateFactor *= f.Factor },
		func(d *loadgen.Demand) { d.RateFactor /= f.Factor })
}

func (p *Player) changeTimeouts(f Fault) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) { d.TimeoutFactor *= f.Factor },
		func(d *loadgen.Demand) { d.TimeoutFactor /= f.Factor })
}

func (p *Player) heavy(f Fault) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) { d.WorkFactor *= f.Factor },
		func(d *loadgen.Demand) { d.WorkFactor /= f.Factor })
}

func (p *Player) hot(f Fault) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) {
			d.HotShare = f.Share
			d.HotFunctions = f.Number
			d.HotPeriod++
		},
		func(d *loadgen.Demand) { d.HotShare = 0 })
}

func (p *Player) scan(f Fault) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) { d.ScanShare = f.Share },
		func(d *loadgen.Demand) { d.ScanShare = 0 })
}

func (p *Player) flood(f Fault) error {
	return p.changeTenantDemand(f,
		func(d *loadgen.TenantDemand) { d.RateFactor = f.Factor },
		func(d *loadgen.TenantDemand) { d.RateFactor = 0 })
}

func (p *Player) repeat(f Fault) error {
	return p.changeTenantDemand(f,
		func(d *loadgen.TenantDemand) { d.Repeats = f.Number },
		func(d *loadgen.TenantDemand) { d.Repeats = 0 })
}

func (p *Player) silent(f Fault) error {
	return p.changeTenantDemand(f,
		func(d *loadgen.TenantDemand) { d.Silent = true },
		func(d *loadgen.TenantDemand) { d.Silent = false })
}

func (p *Player) heavyOf(f Fault) error {
	return p.changeTenantDemand(f,
		func(d *loadgen.TenantDemand) { d.WorkFactor = f.Factor },
		func(d *loadgen.TenantDemand) { d.WorkFactor = 0 })
}

func (p *Player) scanOf(f Fault) error {
	return p.changeTenantDemand(f,
		func(d *loadgen.TenantDemand) { d.ScanShare = f.Share },
		func(d *loadgen.TenantDemand) { d.ScanShare = 0 })
}
