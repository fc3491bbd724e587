package memory

import (
	"runtime/debug"
	"sync"
)

const (
	// DefaultLimit is the limit in bytes of an account if the memory of the machine
	// isn't known.
	DefaultLimit = 1 << 30
	// runtimeReserve is the part of a machine's memory, in bytes, that the account
	// doesn't cover: the program, the runtime, the state of the duties (33 to 35 MB in
	// docs/CAPACITY.md) and memory that is free but not yet collected.
	runtimeReserve = 56_000_000
	// programReserve is the part, in bytes, that the Go runtime doesn't count: the
	// pages of the program's file.
	programReserve = 24_000_000
	// minShare is the divisor for the least part of the machine's memory that the
	// account and the runtime get on a machine smaller than the reserves.
	minShare = 4
	// largeBytes is the size from which an amount counts as held after its release
	// until the garbage is collected: the garbage of a few large bodies exceeds the
	// memory of a small machine before the runtime collects it.
	largeBytes = 256 << 10
	// bodyReserve is the divisor for the part of the account that bodies leave free. On
	// the smallest machine a body of 64 MiB and unknown length must still fit.
	bodyReserve = 32
)

// Limit returns the limit in bytes of the account of a machine with the given memory
// in bytes, or DefaultLimit if that is 0.
func Limit(machine int64) int64 {
	if machine <= 0 {
		return DefaultLimit
	}
	return max(machine-runtimeReserve, machine/minShare)
}

// RuntimeLimit returns the limit in bytes for the Go runtime on a machine with the
// given memory in bytes.
func RuntimeLimit(machine int64) int64 {
	return max(machine-programReserve, machine/minShare)
}

// Account is the memory that may be held. It is safe for concurrent use.
type Account struct {
	limit int64
	// collect collects the garbage and returns it to the system; a field for the tests.
	collect func()
	// collecting is held while the garbage is collected.
	collecting sync.Mutex
	mu         sync.Mutex
	used       int64
	// garbage is the sum of the large amounts released since the last collection.
	garbage int64
}

// NewAccount returns an account with a limit in bytes.
func NewAccount(limit int64) *Account {
	// Free memory that the process keeps counts for the machine. It may be in pieces that
	// don't fit a large amount.
	return &Account{limit: limit, collect: debug.FreeOSMemory}
}

// Limit returns the limit in bytes.
func (a *Account) Limit() int64 { return a.limit }

// Used returns the bytes that are held.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Take holds n bytes and reports whether they fit. A large amount may collect the
// garbage first.
func (a *Account) Take(n int64) bool {
	if n < largeBytes {
		return a.takeBelow(n, a.limit)
	}
	return a.takeLarge(n, a.limit)
}

// TakeBody is Take for a body or another large part of a request. It leaves a part of the
// account to connections and small heads, so that ordinary requests can still be served.
func (a *Account) TakeBody(n int64) bool {
	limit := a.limit - a.limit/bodyReserve
	if n < largeBytes {
		return a.takeBelow(n, limit)
	}
	return a.takeLarge(n, limit)
}

// TakeSpare holds n bytes if at most half of the account is held with them. It is for
// memory that its holder can do without.
func (a *Account) TakeSpare(n int64) bool { return a.takeBelow(n, a.limit/2) }

func (a *Account) takeBelow(n, limit int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if n > limit-a.used {
		return false
	}
	a.used += n
	return true
}

func (a *Account) takeLarge(n, limit int64) bool {
	taken, collect := a.tryLarge(n, limit)
	if !collect {
		return taken
	}
	a.collecting.Lock()
	defer a.collecting.Unlock()
	// Another goroutine may have collected the garbage meanwhile.
	if taken, collect = a.tryLarge(n, limit); !collect {
		return taken
	}
	a.mu.Lock()
	before := a.garbage
	a.mu.Unlock()
	a.collect()
	a.mu.Lock()
	a.garbage -= before
	a.mu.Unlock()
	taken, _ = a.tryLarge(n, limit)
	return taken
}

// tryLarge reports whether it has taken n bytes, and if not, whether they would fit
// without garbage.
func (a *Account) tryLarge(n, limit int64) (taken, collect bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	free := limit - a.used
	if n > free-a.garbage {
		return false, n <= free
	}
	a.used += n
	return true, false
}

// Give releases n bytes that Take or TakeSpare has returned true for.
func (a *Account) Give(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= n
	if n >= largeBytes {
		a.garbage += n
	}
}

// Charge is what one holder, such as a request, holds of an account. It is safe for
// concurrent use.
type Charge struct {
	account  *Account
	mu       sync.Mutex
	held     []int64
	released bool
}

// NewCharge returns a charge that holds nothing yet.
func (a *Account) NewCharge() *Charge { return &Charge{account: a} }

// Add holds n more bytes and reports whether they fit. It fails after Release.
func (c *Charge) Add(n int64) bool {
	return c.account.Take(n) && c.hold(n)
}

// AddBody is Add for the body of a request, see TakeBody.
func (c *Charge) AddBody(n int64) bool {
	return c.account.TakeBody(n) && c.hold(n)
}

// AddSpare is Add for memory that its holder can do without: it fails if more than half
// of the account were held.
func (c *Charge) AddSpare(n int64) bool {
	return c.account.TakeSpare(n) && c.hold(n)
}

// AddAlways holds n more bytes also if they exceed the limit, so that nothing new fits
// until they are released. It is for what is small and can't be rejected any more.
func (c *Charge) AddAlways(n int64) {
	c.account.mu.Lock()
	c.account.used += n
	c.account.mu.Unlock()
	c.hold(n)
}

// hold records n bytes that were taken.
func (c *Charge) hold(n int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		c.account.Give(n)
		return false
	}
	c.held = append(c.held, n)
	return true
}

// Sub releases an amount that Add was called with. It has no effect after Release.
func (c *Charge) Sub(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, held := range c.held {
		if held == n {
			c.held = append(c.held[:i], c.held[i+1:]...)
			c.account.Give(n)
			return
		}
	}
}

// Reset releases everything. More may be held afterwards.
func (c *Charge) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.giveAll()
}

func (c *Charge) giveAll() {
	for _, n := range c.held {
		c.account.Give(n)
	}
	c.held = c.held[:0]
}

// Release releases everything. Further calls have no effect.
func (c *Charge) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
	c.giveAll()
	c.held = nil
}
