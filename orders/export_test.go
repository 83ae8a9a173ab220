package orders

// Settle waits for what is under way.
func (r *Runner) Settle() { r.group.Wait() }

// Giving says that an order is under way; it runs on the control thread.
func (r *Runner) Giving() bool { return r.giving }

// Idle says that nothing is under way; it runs on the control thread.
func (r *Runner) Idle() bool {
	for _, u := range r.upstreams {
		if u.looking {
			return false
		}
	}
	return !r.giving
}
