// Package admission decides which call trees a service has room for: which rejected calls
// are worth a second try, and which requests are refused at their entry node because a
// service that their calls reach would not carry them to their end. It does no I/O and
// starts no goroutine; time arrives with each call, and state is bounded.
package admission
