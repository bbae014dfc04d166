package node

import (
	"time"

	"persimmonworks.example/persimmonworks/exchange"
	"persimmonworks.example/persimmonworks/turn"
)

// otherOwners gives the cell of one docket what the owners of the others tell of the
// organisations. It implements cell.OtherOwners.
type otherOwners struct{ *participant }

// Reports implements cell.OtherOwners.
func (o otherOwners) Reports() []turn.Report {
	var reports []turn.Report
	for _, p := range o.allParticipants() {
		if p == o.participant {
			continue
		}
		if r := p.shareReport(); r != nil {
			reports = append(reports, *r)
		}
	}
	return reports
}

// shareReport returns what the owner of the docket has last told of the organisations,
// nil if nothing.
func (p *participant) shareReport() *turn.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.shares
	if p.view.cell != nil {
		r = p.view.cell.ShareReport()
	}
	if r == nil {
		return nil
	}
	told := *r
	told.Docket = p.docket
	return &told
}

// updateShares records what the owner of the docket tells, unless it is outdated.
func (p *participant) updateShares(o exchange.Owner) {
	if o.Shares == nil {
		return
	}
	r := *o.Shares
	r.At = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.Epoch == p.view.epoch {
		p.shares = &r
	}
}

// withShares adds what this process knows of the organisations as an owner. Only owners
// need that, and they greet each other, so it is left out of all other messages.
func (n *Node) withShares(owners []exchange.Owner) []exchange.Owner {
	for i := range owners {
		if v, _ := n.participant(owners[i].Docket).current(); v.cell != nil {
			owners[i].Shares = v.cell.ShareReport()
		}
	}
	return owners
}
