package archive

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonworks.example/persimmonworks/provider"
	"persimmonworks.example/persimmonworks/standin"
)

type record struct{ N int }

// A record can be loaded until it expires. Expiry must delete the record
// together with its rows and objects, and nothing that was stored later.
func TestArchive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Store[record]{Table: &standin.Table{}, Objects: &standin.Objects{}}
		ctx := t.Context()
		epoch := time.Unix(1_700_000_000, 0)
		batches := rapid.IntRange(1, 2*indexPageSize).Draw(t, "batches")
		size := rapid.IntRange(1, 4).Draw(t, "size")
		for b := range batches {
			var items []Item[record]
			for i := range size {
				id := fmt.Sprintf("%d-%d", b, i)
				if _, err := s.Table.Commit(ctx, provider.Create("key/"+id, []byte("x"))); err != nil {
					t.Fatal(err)
				}
				if err := s.Objects.Put(ctx, "spec/"+id, []byte("x")); err != nil {
					t.Fatal(err)
				}
				items = append(items, Item[record]{ID: id, Record: record{b}, Rows: []string{"key/" + id}, Objects: []string{"spec/" + id}})
			}
			if err := s.Put(ctx, epoch.Add(time.Duration(b)*time.Hour), items); err != nil {
				t.Fatal(err)
			}
		}
		cut := rapid.IntRange(0, batches).Draw(t, "cut")
		expired := 0
		for {
			n, err := s.Expire(ctx, epoch.Add(time.Duration(cut)*time.Hour))
			if err != nil {
				t.Fatal(err)
			}
			if n == 0 {
				break
			}
			expired += n
		}
		if expired != cut {
			t.Fatalf("%d batches expired, want %d", expired, cut)
		}
		for b := range batches {
			for i := range size {
				id := fmt.Sprintf("%d-%d", b, i)
				got, err := s.Load(ctx, id)
				_, rowErr := s.Table.Get(ctx, "key/"+id)
				_, objectErr := s.Objects.Get(ctx, "spec/"+id)
				if b < cut {
					if !errors.Is(err, provider.ErrNotFound) || !errors.Is(rowErr, provider.ErrNotFound) || !errors.Is(objectErr, provider.ErrNotFound) {
						t.Fatalf("%s after its expiry: %v, %v, %v", id, err, rowErr, objectErr)
					}
					continue
				}
				if err != nil || got.N != b || rowErr != nil || objectErr != nil {
					t.Fatalf("%s before its expiry: %v, %v, %v, %v", id, got, err, rowErr, objectErr)
				}
			}
		}
	})
}
