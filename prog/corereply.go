package prog

func (c *Core) reply(t Ticket, r Reply) {
	if t == 0 {
		return
	}
	r.Ticket = t
	c.actions = append(c.actions, Action{Reply: &r})
}

func (c *Core) replyOpen(t Ticket, r *OpenReply)   { c.reply(t, Reply{Open: r}) }
func (c *Core) replyBegin(t Ticket, r *BeginReply) { c.reply(t, Reply{Begin: r}) }
func (c *Core) replyEnd(t Ticket, r *EndReply)     { c.reply(t, Reply{End: r}) }
func (c *Core) replyClose(t Ticket, r *CloseReply) { c.reply(t, Reply{Close: r}) }

func (c *Core) refuseBegin(t Ticket, reason Reason) {
	c.stats.Refusals++
	c.replyBegin(t, &BeginReply{Refusal: refuse(reason)})
}

// refuseEnd refuses a report that cannot be recorded; the call itself ran.
func (c *Core) refuseEnd(t Ticket, reason Reason) {
	retry := retryable(reason) || reason == ReasonTurn || reason == ReasonUnknownProgram
	c.replyEnd(t, &EndReply{Refusal: &Refusal{Reason: reason, RunState: Ran, Retryable: retry}})
}

func (c *Core) refusePending(p pendingRequest, reason Reason) {
	switch {
	case p.open != nil:
		c.replyOpen(p.ticket, &OpenReply{Refusal: refuse(reason)})
	case p.begin != nil:
		c.refuseBegin(p.ticket, reason)
	case p.end != nil:
		c.refuseEnd(p.ticket, reason)
	case p.close != nil:
		c.replyClose(p.ticket, &CloseReply{Refusal: refuse(reason)})
	}
}
