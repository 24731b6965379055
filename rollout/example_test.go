package rollout_test

import (
	"fmt"
	"time"

	"github.com/carawayhold/carawayhold/rollout"
)

func Example() {
	// The server that an operator is connected to computes the writes of a
	// confirmed plan.
	held := rollout.Head{}
	commit, _ := held.Commit(rollout.Change{
		Operator:  "ada",
		Operation: "op-1",
		Versions:  map[string]string{"lager": ""},
		Documents: map[string][]byte{"lager": []byte(`{"name":"lager"}`)},
		Summary:   "add lager",
	}, time.UnixMilli(1_800_000_000_000))
	for _, w := range commit.CreateOnly() {
		fmt.Println("create", w.Name)
	}

	// A proxy applies the head once every document matches its digest.
	head, _ := rollout.DecodeHead(commit.HeadValue())
	holder := rollout.NewHolder()
	candidate, _ := holder.Stage(head)
	fmt.Println("incomplete:", holder.Apply(candidate) != nil)
	for _, w := range commit.CreateOnly() {
		_ = candidate.AddDocument(w.Name, w.Value)
	}
	_ = holder.Apply(candidate)
	fmt.Println("revision", holder.Revision())
	// Output:
	// create config/doc/lager/1-op-1
	// incomplete: true
	// revision 1
}
