package reducer

import "github.com/jackdawbridge/jackdawbridge"

const (
	// defaultRetryPermille is the default part of a service's calls, in permille, that
	// a node may send to a second backend server.
	defaultRetryPermille = 200
	// defaultRetryBurst is the default number of retries of a service that may
	// accumulate.
	defaultRetryBurst = 10
	// unansweredPart is the divisor of that part for the retries that the caller's node
	// decides alone, because no answer of the service's node grants or denies them.
	unansweredPart = 2
	// maxBudgets is the maximum number of services with a budget.
	maxBudgets = 4096
)

// retryBudgets limits, for each service, the retries that may reach a backend server
// after another one may have received the request, where the node of that one has not
// decided: it did not answer. Retries of requests that no backend server has received
// add no load there and are not limited.
type retryBudgets struct {
	permille int                               // thousandths of a retry that each call earns
	burst    int                               // maximum balance, in retries
	balances map[jackdawbridge.ServiceName]int // in thousandths of a retry, at most maxBudgets
}

func newRetryBudgets() retryBudgets {
	return retryBudgets{permille: defaultRetryPermille, burst: defaultRetryBurst, balances: make(map[jackdawbridge.ServiceName]int)}
}

// earn credits the budget of a service for the first attempt of a call. The budget of
// a new service is full.
func (b *retryBudgets) earn(service jackdawbridge.ServiceName) {
	balance, ok := b.balances[service]
	if !ok {
		if len(b.balances) >= maxBudgets {
			clear(b.balances) // drops removed services; the others start again with a full budget
		}
		balance = b.burst * 1000
	}
	b.balances[service] = min(balance+b.permille, b.burst*1000)
}

// allows reports whether the budget of a service has a retry left.
func (b *retryBudgets) allows(service jackdawbridge.ServiceName) bool {
	return b.balances[service] >= 1000
}

// spend deducts a retry from the budget of a service.
func (b *retryBudgets) spend(service jackdawbridge.ServiceName) { b.balances[service] -= 1000 }
