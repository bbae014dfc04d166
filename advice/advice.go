package advice

import (
	"context"

	"persimmonworks.example/persimmonworks/docket"
)

// Permit allows a worker to run the tasks of a step.
type Permit struct {
	Worker string
	Ticket string
}

// Advisor asks the advisory service which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, step docket.StepID, workers []string) ([]Permit, error)
}
