package process

import (
	"persimmonworks.example/persimmonworks/event"
	"persimmonworks.example/persimmonworks/ingress"
	"persimmonworks.example/persimmonworks/intake"
)

// Intake bounds what clients hold at the interfaces of a process.
type Intake struct {
	Callers   *ingress.Interface
	Processes *ingress.Interface
	Readiness *ingress.Interface
}

// NewIntake returns the bounds that follow from the settings.
func NewIntake(s *Settings, log event.Emitter, m ingress.Meter) Intake {
	descriptors := s.Descriptors
	if descriptors == 0 {
		descriptors = ingress.Descriptors()
	}
	d := intake.Divide(s.MemoryMB, descriptors)
	return Intake{
		Callers:   &ingress.Interface{Name: "callers", Limits: d.Callers, Log: log, Meter: m},
		Processes: &ingress.Interface{Name: "processes", Limits: d.Processes, Log: log, Meter: m},
		Readiness: &ingress.Interface{Name: "readiness", Limits: d.Readiness, Log: log, Meter: m},
	}
}

// All lists the interfaces.
func (i Intake) All() []*ingress.Interface {
	return []*ingress.Interface{i.Callers, i.Processes, i.Readiness}
}
