package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	stepModel stepKind = iota
	stepPlain
	stepChild

	minTurns         = 2
	maxTurns         = 5
	minSystemTokens  = 400
	maxSystemTokens  = 1200
	minPromptTokens  = 60
	maxPromptTokens  = 240
	minAnswerTokens  = 8
	maxAnswerTokens  = 16
	maxPause         = 60 * time.Millisecond
	plainProbability = 0.4
	childProbability = 0.2
	childTurns       = 2
	wholeProbability = 0.25
	copyProbability  = 0.1

	// turnsPerProgram and callsPerProgram are the means of what is drawn.
	turnsPerProgram = (minTurns+maxTurns)/2.0 + childProbability*childTurns
	callsPerProgram = turnsPerProgram + plainProbability
)

type (
	stepKind int

	// step is one call of a program, after a pause.
	step struct {
		kind         stepKind
		pause        time.Duration
		promptTokens int
		answerTokens int
		// stream asks for the answer as server-sent events.
		stream bool
		// copyKey puts the caller's key into a second header, too.
		copyKey bool
		// poison makes the call crash each engine that runs it.
		poison bool
		child  *plan
	}

	// plan is a program as its caller will run it.
	plan struct {
		name  string
		team  int
		at    time.Duration
		steps []step
	}
)

// newPlans draws the programs of all teams over the duration, by arrival.
func newPlans(seed uint64, load load) []plan {
	var plans []plan
	for i, team := range load.teams {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		at := time.Duration(0)
		for n := 0; ; n++ {
			at += time.Duration(random.ExpFloat64() / team.programsPerSecond * float64(time.Second))
			if at >= load.duration {
				break
			}
			plans = append(plans, newPlan(random, fmt.Sprintf("t%d.%d", i, n), i, at))
		}
	}
	slices.SortFunc(plans, func(a, b plan) int { return int(a.at - b.at) })
	return plans
}

func newPlan(random *rand.Rand, name string, team int, at time.Duration) plan {
	p := plan{name: name, team: team, at: at}
	turns := between(random, minTurns, maxTurns)
	for i := range turns {
		s := newTurn(random)
		if i == 0 {
			s.promptTokens = between(random, minSystemTokens, maxSystemTokens)
			s.pause = 0
		}
		p.steps = append(p.steps, s)
	}
	if random.Float64() < plainProbability {
		p.steps = append(p.steps, step{kind: stepPlain, pause: newPause(random), copyKey: random.Float64() < copyProbability})
	}
	if random.Float64() < childProbability {
		p.steps = slices.Insert(p.steps, 1, newChild(random, name, team))
	}
	return p
}

func newChild(random *rand.Rand, name string, team int) step {
	child := plan{name: name + ".sub", team: team}
	for range childTurns {
		child.steps = append(child.steps, newTurn(random))
	}
	return step{kind: stepChild, child: &child}
}

func newTurn(random *rand.Rand) step {
	return step{
		kind:         stepModel,
		pause:        newPause(random),
		promptTokens: between(random, minPromptTokens, maxPromptTokens),
		answerTokens: between(random, minAnswerTokens, maxAnswerTokens),
		stream:       random.Float64() >= wholeProbability,
		copyKey:      random.Float64() < copyProbability,
	}
}

func newPause(random *rand.Rand) time.Duration {
	return time.Duration(random.Int64N(int64(maxPause)))
}

func between(random *rand.Rand, low, high int) int {
	return low + random.IntN(high-low+1)
}

// ideal returns how long the program takes with no queueing and a warm cache.
func (p plan) ideal() time.Duration {
	sum := time.Duration(0)
	for _, s := range p.steps {
		sum += s.pause
		switch s.kind {
		case stepModel:
			sum += seconds(float64(s.promptTokens)/prefillPerSecond + float64(s.answerTokens)/decodePerSecond)
		case stepChild:
			sum += s.child.ideal()
		}
	}
	return sum
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
