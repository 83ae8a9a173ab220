package prog

// turn is one completed call in memory.
type turn struct {
	callID        string
	requestDigest string
	digest        string
	kind          Kind
	messages      []Message
	answer        Message
	usage         Usage
	promptTokens  int64
	engine        string
	// uncommitted is set until the turn is in the table.
	uncommitted *uncommittedTurn
}

// uncommittedTurn is the part of a turn that is needed until its commit.
type uncommittedTurn struct {
	key      string
	previous string
	value    []byte
	object   *Object
	waiters  []waiter
}

// newTurn builds a turn from a report. Its row depends on the report alone, so
// that every home builds the same row.
func newTurn(r *EndRequest) *turn {
	body := &TurnBody{Messages: r.NewMessages, Answer: r.Answer}
	row := TurnRow{
		Program:       r.Program,
		Turn:          r.Turn,
		Previous:      r.Previous,
		CallID:        r.CallID,
		RequestDigest: r.Digest,
		Attempt:       r.Attempt,
		Relay:         r.Relay,
		Kind:          r.Kind,
		PromptTokens:  r.PromptTokens,
		AnswerTokens:  r.AnswerTokens,
		Engine:        r.Engine,
	}
	p := &uncommittedTurn{key: TurnKey(r.Program, r.Turn), previous: r.Previous}
	if body.size() > maxInlineBytes {
		encoded := mustEncode(body)
		row.BodyDigest = digestOf(encoded)
		row.Object = p.key + "-" + row.BodyDigest
		p.object = &Object{Name: row.Object, Body: encoded}
	} else {
		row.Body = body
	}
	p.value = mustEncode(&row)
	t := turnFromRow(&row, body)
	t.digest = digestOf(p.value)
	t.uncommitted = p
	return t
}

func turnFromRow(row *TurnRow, body *TurnBody) *turn {
	return &turn{
		callID:        row.CallID,
		requestDigest: row.RequestDigest,
		kind:          row.Kind,
		messages:      body.Messages,
		answer:        body.Answer,
		usage:         Usage{Calls: 1, Tokens: row.PromptTokens + row.AnswerTokens},
		promptTokens:  row.PromptTokens,
		engine:        row.Engine,
	}
}

func (t *turn) stored(number int) *Stored {
	return &Stored{
		Turn:         number,
		Kept:         t.uncommitted == nil,
		Answer:       t.answer,
		PromptTokens: t.promptTokens,
		AnswerTokens: t.usage.Tokens - t.promptTokens,
		Engine:       t.engine,
	}
}
