package scenario

import "havencart/lab/loadgen"

// changeDemand applies start to the clients' demand and, after the fault's duration, end, which reverts the change.
func (p *Player) changeDemand(f Fault, start, end func(*loadgen.Demand)) error {
	return p.forDuration(f,
		func() error { return p.installation.ChangeDemand(start) },
		func() error { return p.installation.ChangeDemand(end) })
}

// changeTenantDemand applies start to the demand of the fault's tenant and, after the fault's duration, end, which
// reverts the change.
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

func (p *Player) changeRate(f Fault) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) { d.RateFactor *= f.Factor },
		func(d *loadgen.Demand) { d.RateFactor /= f.Factor })
}

func (p *Player) changeTimeouts(f Fault) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) { d.TimeoutFactor *= f.Factor },
		func(d *loadgen.Demand) { d.TimeoutFactor /= f.Factor })
}

func (p *Player) changeWork(f Fault) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) { d.WorkFactor *= f.Factor },
		func(d *loadgen.Demand) { d.WorkFactor /= f.Factor })
}

func (p *Player) requestHotFunctions(f Fault) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) {
			d.HotShare = f.Share
			d.HotFunctions = f.Number
			d.HotPeriod++
		},
		func(d *loadgen.Demand) { d.HotShare = 0 })
}

func (p *Player) requestOneTimeFunctions(f Fault) error {
	return p.changeDemand(f,
		func(d *loadgen.Demand) { d.ScanShare = f.Share },
		func(d *loadgen.Demand) { d.ScanShare = 0 })
}

func (p *Player) changeTenantRate(f Fault) error {
	return p.changeTenantDemand(f,
		func(d *loadgen.TenantDemand) { d.RateFactor = f.Factor },
		func(d *loadgen.TenantDemand) { d.RateFactor = 0 })
}

func (p *Player) retryTenantRequests(f Fault) error {
	return p.changeTenantDemand(f,
		func(d *loadgen.TenantDemand) { d.Retries = f.Number },
		func(d *loadgen.TenantDemand) { d.Retries = 0 })
}

func (p *Player) silenceTenant(f Fault) error {
	return p.changeTenantDemand(f,
		func(d *loadgen.TenantDemand) { d.Silent = true },
		func(d *loadgen.TenantDemand) { d.Silent = false })
}

func (p *Player) changeTenantWork(f Fault) error {
	return p.changeTenantDemand(f,
		func(d *loadgen.TenantDemand) { d.WorkFactor = f.Factor },
		func(d *loadgen.TenantDemand) { d.WorkFactor = 0 })
}

func (p *Player) requestTenantOneTimeFunctions(f Fault) error {
	return p.changeTenantDemand(f,
		func(d *loadgen.TenantDemand) { d.ScanShare = f.Share },
		func(d *loadgen.TenantDemand) { d.ScanShare = 0 })
}
