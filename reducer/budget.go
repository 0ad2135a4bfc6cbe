package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// retryPermille is the default part of a service's calls, in permille, that a
	// node may send to a second backend server.
	retryPermille = 200
	// retryBurst is the default of how many retries of a service a node may save up.
	retryBurst = 10
	// maxBudgets bounds the services whose budget is kept.
	maxBudgets = 4096
)

// budgets bounds the retries that reach a backend server after another one saw
// the request, for each service. Retries of requests that no backend server saw
// add no load there and are free.
type budgets struct {
	permille int                               // earned by each call
	burst    int                               // retries
	left     map[jackdawbridge.ServiceName]int // in thousandths of a retry, at most maxBudgets
}

func newBudgets() budgets {
	return budgets{permille: retryPermille, burst: retryBurst, left: make(map[jackdawbridge.ServiceName]int)}
}

// earn takes note of the first attempt of a call.
func (b *budgets) earn(service jackdawbridge.ServiceName) {
	left, ok := b.left[service]
	if !ok {
		if len(b.left) >= maxBudgets {
			clear(b.left) // of services that were removed; the others begin anew
		}
		left = b.burst * 1000
	}
	b.left[service] = min(left+b.permille, b.burst*1000)
}

// allows reports whether a retry may be sent.
func (b *budgets) allows(service jackdawbridge.ServiceName) bool { return b.left[service] >= 1000 }

// spend takes note of a retry.
func (b *budgets) spend(service jackdawbridge.ServiceName) { b.left[service] -= 1000 }
