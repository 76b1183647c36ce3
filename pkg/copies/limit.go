package copies

import "github.com/gentiansail/gentiansail/pkg/retry"

// MaxUtilization is the share of a server's slots, and of those of all servers of a service,
// above which no second copy is sent. The rest is kept for first copies, whose arrivals vary.
const MaxUtilization = 0.75

// LimitOptions are the settings of a Limit.
type LimitOptions struct {
	// Ratio is the number of second copies that each request adds to the limit.
	Ratio float64
	// Burst is the number of second copies in addition, over all senders together.
	Burst float64
	// Senders is the number of senders that divide the burst among themselves.
	Senders int
	// MaxCost is the largest cost of a copy; 0 means 1. A sender whose part of the burst is
	// smaller than that saves up to MaxCost, so that it can send a copy at all.
	MaxCost int
}

// Limit bounds the second copies of one sender, so that those of all senders together are at
// most Ratio times their requests plus Burst. It is safe for concurrent use and never blocks.
type Limit struct{ budget *retry.Budget }

// NewLimit returns a limit that holds the sender's part of the burst. A part of less than one
// copy is completed by requests before the first copy is sent.
func NewLimit(o LimitOptions) *Limit {
	part := max(o.Burst, 0) / float64(max(o.Senders, 1))
	return &Limit{budget: retry.NewBudget(retry.Options{Ratio: o.Ratio, Capacity: max(int(part), o.MaxCost, 1), Initial: max(part, minInitial)})}
}

// minInitial stands for an empty budget at the start, since 0 stands for a full one.
const minInitial = 1e-6

// Deposit adds the share of one request.
func (l *Limit) Deposit() { l.budget.Deposit() }

// Withdraw takes one copy from the limit and reports whether the copy may be sent. The cost
// is 1, plus the number of further requests that a run of the request causes.
func (l *Limit) Withdraw(cost int) bool { return l.budget.WithdrawN(cost) }

// Return gives back what Withdraw took for a copy that was not sent.
func (l *Limit) Return(cost int) { l.budget.Return(cost) }
