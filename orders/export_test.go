package orders

// Wait waits until all probes and orders in flight have ended.
func (r *Runner) Wait() { r.group.Wait() }

// Ordering reports whether an order is in flight; it runs on the control thread.
func (r *Runner) Ordering() bool { return r.ordering }

// Idle reports whether no probe or order is in flight; it runs on the control
// thread.
func (r *Runner) Idle() bool {
	for _, u := range r.upstreams {
		if u.probing {
			return false
		}
	}
	return !r.ordering
}
