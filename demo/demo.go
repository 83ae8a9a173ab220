// Package demo runs a few programs through three instances on loopback and
// reports what happened in a few lines.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/buckthorntide/buckthorntide/caller"
	"github.com/buckthorntide/buckthorntide/stand"
)

const (
	model        = "demo-model"
	turns        = 3
	programs     = 4
	answerTokens = 24
	readyTimeout = 15 * time.Second
	readyPoll    = 50 * time.Millisecond
)

// errMixed says that an answer does not fit the program's own history.
const errMixed = errors.ConstError("an answer does not fit its program's history")

type (
	// Instance is one running instance as a caller sees it.
	Instance struct {
		Name    string
		Address string
	}

	// Demo is a set of running instances and what callers need to use them.
	Demo struct {
		Instances []Instance
		// Key is a team's key.
		Key string
		// Service is the stand-in of the plain service.
		Service *stand.Service
		Out     io.Writer
	}

	// conversation is a program as its caller knows it.
	conversation struct {
		program  string
		messages []stand.Message
	}
)

// Run runs the programs and the reservation, and writes the report.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.awaitReady(ctx); err != nil {
		return err
	}
	d.print("%d instances are ready.", len(d.Instances))
	for i := range programs {
		if err := d.runProgram(ctx, i); err != nil {
			return errors.Annotatef(err, "program %d", i+1)
		}
	}
	if err := d.reserveTwice(ctx); err != nil {
		return err
	}
	return d.refuseWrongKey(ctx)
}

// awaitReady waits until every instance tells the balancer that it is ready.
func (d *Demo) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, i := range d.Instances {
		client := caller.NewClient(i.Address, "")
		for {
			answer, err := client.Do(ctx, caller.Request{Method: http.MethodGet, Path: "/healthz"})
			if err == nil && answer.Status == http.StatusOK {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Errorf("instance %s did not become ready", i.Name)
			case <-time.After(readyPoll):
			}
		}
		client.Close()
	}
	return nil
}

// runProgram runs a program with a sub-agent, each turn through another
// instance, and checks every answer against the history that it must rest on.
func (d *Demo) runProgram(ctx context.Context, number int) error {
	client := d.client(number)
	defer client.Close()
	program, err := client.OpenProgram(ctx, "")
	if err != nil {
		return err
	}
	root := &conversation{program: program}
	for turn := range turns {
		if err := d.turn(ctx, root, number+turn, fmt.Sprintf("Question %d", turn+1)); err != nil {
			return err
		}
	}
	child, err := client.OpenProgram(ctx, program)
	if err != nil {
		return err
	}
	agent := &conversation{program: child}
	if err := d.turn(ctx, agent, number+1, "A sub-agent's question"); err != nil {
		return err
	}
	d.print("Program %d: %d turns and a sub-agent, every answer whole and on its own history.", number+1, turns)
	return client.CloseProgram(ctx, program)
}

func (d *Demo) turn(ctx context.Context, c *conversation, instance int, question string) error {
	client := d.client(instance)
	defer client.Close()
	chat := caller.ChatRequest{
		Model:     model,
		Messages:  []caller.Message{{Role: "user", Content: question}},
		MaxTokens: answerTokens,
	}
	reply, err := client.Complete(ctx, c.program, "", chat)
	if err != nil {
		return err
	}
	c.messages = append(c.messages, stand.Message{Role: "user", Content: question})
	if reply.Text != stand.AnswerText(c.program, c.messages, answerTokens) {
		return errors.Annotatef(errMixed, "%q", reply.Text)
	}
	c.messages = append(c.messages, stand.Message{Role: "assistant", Content: reply.Text})
	return nil
}

// reserveTwice sends one reservation through two instances.
func (d *Demo) reserveTwice(ctx context.Context) error {
	var bodies []string
	for i := range 2 {
		client := d.client(i)
		answer, err := client.Do(ctx, caller.Request{
			Method: http.MethodPost,
			Path:   "/v1/services/booking/reserve",
			CallID: "demo-reservation",
			Body:   stand.Message{Role: "user", Content: "Reserve the blue one"},
		})
		client.Close()
		if err != nil {
			return errors.Annotate(err, "reservation")
		}
		bodies = append(bodies, string(answer.Body))
	}
	runs := d.Service.Stats().Runs
	if runs != 1 || bodies[0] != bodies[1] {
		return errors.Errorf("the reservation ran %d times", runs)
	}
	d.print("Reservation: sent through two instances, run once, both callers got the same answer.")
	return nil
}

func (d *Demo) refuseWrongKey(ctx context.Context) error {
	client := caller.NewClient(d.Instances[0].Address, "btk_"+"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")
	defer client.Close()
	_, err := client.OpenProgram(ctx, "")
	var refused *caller.RefusedError
	if !errors.As(err, &refused) || refused.RunState != "notRun" {
		return errors.Errorf("a wrong key was not refused: %v", err)
	}
	d.print("Wrong key: refused as %q, not run.", refused.Code)
	return nil
}

func (d *Demo) client(i int) *caller.Client {
	return caller.NewClient(d.Instances[i%len(d.Instances)].Address, d.Key)
}

func (d *Demo) print(format string, args ...any) {
	_, _ = fmt.Fprintf(d.Out, format+"\n", args...)
}
