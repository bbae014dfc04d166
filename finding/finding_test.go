package finding

import (
	"fmt"
	"testing"
)

func TestListIsSortedAndReportedTogether(t *testing.T) {
	var l List
	if l.Err() != nil {
		t.Fatalf("Err of an empty list = %v", l.Err())
	}
	l.Add(Finding{File: "p.ini", Line: 12, Section: "session", Key: "ttl", Problem: "is 0", Allowed: "above 0"})
	l.Add(Finding{File: "p.ini", Line: 3, Section: "log", Problem: "unknown section"})
	l.Addf("process", "name", "is missing")
	want := "[process] name: is missing\n" +
		"p.ini:3: [log] unknown section\n" +
		"p.ini:12: [session] ttl: is 0; allowed: above 0"
	if got := l.Err().Error(); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	if got := FromError(fmt.Errorf("load: %w", l.Err())); len(got) != 3 || got[0].Section != "process" {
		t.Errorf("FromError(wrapped list) = %v", got)
	}
	if got := FromError(fmt.Errorf("other")); got != nil {
		t.Errorf("FromError(other error) = %v", got)
	}
}
