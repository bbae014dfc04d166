// Package class defines the classes of work, each of which is scheduled by a
// policy of its own.
//
// Usage:
//
//	c, err := class.Parse("urgent")
package class

import "fmt"

// Class is the class of a request or a task. The zero value is not a valid
// class.
type Class string

// The classes, from the most to the least urgent. Service is for long-running
// tasks that are not expected to end.
const (
	Urgent      Class = "urgent"
	Interactive Class = "interactive"
	Batch       Class = "batch"
	Service     Class = "service"
)

// All lists the classes, most urgent first.
var All = []Class{Urgent, Interactive, Batch, Service}

// Parse returns the class with the given name.
func Parse(name string) (Class, error) {
	for _, c := range All {
		if string(c) == name {
			return c, nil
		}
	}
	return "", fmt.Errorf("class %q is not one of %v", name, All)
}
