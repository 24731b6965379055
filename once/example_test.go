package once_test

import (
	"fmt"
	"time"

	"github.com/carawayhold/carawayhold/once"
)

func Example() {
	now := time.UnixMilli(1_800_000_000_000)
	invariants := once.NewInvariants(nil)
	key := once.NewKey("lager", "Bearer x", "graz", "pallet-7")
	fingerprint := once.NewFingerprint("POST", "/reservations", []byte(`{"pallets":2}`))
	id := once.NewClaimID("proxy-1", 1)
	claim := once.NewClaim(id, key, fingerprint, now.Add(time.Second), invariants)

	// The claim is recorded before the request is sent.
	partition := once.NewPartition("lager", once.PartitionOf(key, 64), 64, invariants)
	result, _ := partition.Apply(now, once.Batch{Claims: []once.ClaimRequest{{
		Key: key, Fingerprint: fingerprint, Claim: id, Claimant: "proxy-1", RetentionMillis: 86_400_000,
	}}})
	fmt.Println("claim:", result.Claims[0].Kind)
	value, _ := result.Next.Encode() // written by a conditional update
	_ = claim.Grant()

	// The backend runs the request and its response is recorded.
	_ = claim.BeginSend(now)
	_ = claim.MarkAnswered(once.NewResponse(201, nil, []byte("reserved")))
	settlement, _ := claim.Settlement(24*time.Hour, now)
	partition, _ = once.DecodePartition(value, "lager", once.PartitionOf(key, 64), 64, invariants)
	result, _ = partition.Apply(now, once.Batch{Settlements: []once.Settlement{settlement}})

	// A resubmission gets the recorded response.
	resubmitted := once.NewClaimID("proxy-2", 1)
	result, _ = result.Next.Apply(now, once.Batch{Claims: []once.ClaimRequest{{
		Key: key, Fingerprint: fingerprint, Claim: resubmitted, Claimant: "proxy-2", RetentionMillis: 86_400_000,
	}}})
	fmt.Printf("resubmission: %s %s\n", result.Claims[0].Kind, result.Claims[0].Response.Body)
	// Output:
	// claim: granted
	// resubmission: answered reserved
}
