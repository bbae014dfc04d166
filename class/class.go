// Package class names the classes of work that want unlike policies.
//
// Usage:
//
//	c, err := class.Parse("urgent")
package class

import "fmt"

// Class is the class of a request or a task. The zero value is no class.
type Class string

// Classes, from the most to the least urgent. Service is the class of
// long-running tasks that are not expected to end.
const (
	Urgent      Class = "urgent"
	Interactive Class = "interactive"
	Batch       Class = "batch"
	Service     Class = "service"
)

// All lists the classes, the most urgent first.
var All = []Class{Urgent, Interactive, Batch, Service}

// Parse returns the class of that name.
func Parse(name string) (Class, error) {
	for _, c := range All {
		if string(c) == name {
			return c, nil
		}
	}
	return "", fmt.Errorf("class %q is not one of %v", name, All)
}
