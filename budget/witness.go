package budget

import "sync"

// maxWitnessed is the number of processes from which those that were replaced are
// forgotten.
const maxWitnessed = 1024

type (
	// witness is what this instance has permitted other processes, as one of their
	// witnesses.
	witness struct {
		mu        sync.Mutex
		processes map[string]*witnessed
		// latest is the process of each instance that engaged this one last.
		latest map[string]string
	}

	// witnessed is one process that engaged this instance.
	witnessed struct {
		epoch  int64
		period int64
		// permitted are the programs that the process may grant tokens to, with the period
		// in which it asked.
		permitted map[string]int64
		// revoked are the programs that it may not grant anything to any more.
		revoked    map[string]bool
		revokedAll bool
	}
)

func newWitness() *witness {
	return &witness{processes: make(map[string]*witnessed), latest: make(map[string]string)}
}

// engage makes this instance a witness of the process, which has recorded all grants of
// earlier periods. It returns false for a process that has lost its permission since, or
// has registered again.
func (w *witness) engage(q *EngageRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.processes[q.Process]
	if !ok || q.Epoch > s.epoch {
		w.processes[q.Process] = &witnessed{
			epoch: q.Epoch, period: q.Period, permitted: make(map[string]int64), revoked: make(map[string]bool),
		}
		w.latest[instanceOf(q.Process)] = q.Process
		w.forgetReplaced()
		return true
	}
	if q.Epoch < s.epoch || s.revokedAll {
		return false
	}
	for program, period := range s.permitted {
		if period < q.Period {
			delete(s.permitted, program)
		}
	}
	s.period = max(s.period, q.Period)
	return true
}

// forgetReplaced bounds the memory. A process that is forgotten gets no permission and
// loses none. The caller holds the lock.
func (w *witness) forgetReplaced() {
	if len(w.processes) <= maxWitnessed {
		return
	}
	for process := range w.processes {
		if w.latest[instanceOf(process)] != process {
			delete(w.processes, process)
		}
	}
}

// permit records that the process may grant tokens to the program. It returns false if the
// permission was revoked, or if the process has not engaged this one for the period.
func (w *witness) permit(q *PermitRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.processes[q.Process]
	if !ok || q.Epoch != s.epoch || q.Period < s.period || s.revokedAll || s.revoked[q.Program] {
		return false
	}
	s.permitted[q.Program] = q.Period
	return true
}

// revoke refuses further permission to grant tokens to the program, or to any if it is
// empty, unless the process was given it.
func (w *witness) revoke(q *RevokeRequest) *RevokeReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.processes[q.Process]
	if !ok || q.Epoch != s.epoch {
		return &RevokeReply{}
	}
	if q.Program == "" {
		s.revokedAll = s.revokedAll || len(s.permitted) == 0
		return &RevokeReply{Revoked: s.revokedAll, Permitted: !s.revokedAll}
	}
	if _, permitted := s.permitted[q.Program]; permitted {
		return &RevokeReply{Permitted: true}
	}
	s.revoked[q.Program] = true
	return &RevokeReply{Revoked: true}
}
