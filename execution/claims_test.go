package execution

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/dogwoodhatch/dogwoodhatch/call"
)

func memberNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("node-%03d", i))
	}
	return names
}

// naiveHolders is the reference implementation of Holders: it sorts all members by
// score.
func naiveHolders(key string, members []string, k int) []string {
	var all []scoredMember
	for _, m := range members {
		s := scoredMember{m, memberScore(new(xxhash.Digest), key, m)}
		if !slices.Contains(all, s) {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, compareMembers)
	names := []string{}
	for _, s := range all[:min(k, len(all))] {
		names = append(names, s.name)
	}
	return names
}

func TestHoldersAgreeWithNaiveSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOf(rapid.SampledFrom(memberNames(20))).Draw(t, "members")
		k := rapid.IntRange(0, 5).Draw(t, "k")
		key := rapid.String().Draw(t, "key")
		got, want := Holders(key, members, k), naiveHolders(key, members, k)
		if !slices.Equal(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestViewsThatDifferByLessThanKShareAHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const k = 3
		members := memberNames(rapid.IntRange(k, 30).Draw(t, "members"))
		changed := rapid.IntRange(0, k-1).Draw(t, "changed")
		removed := rapid.IntRange(0, changed).Draw(t, "gone")
		other := slices.Clone(members[removed:])
		for i := range changed - removed {
			other = append(other, fmt.Sprintf("new-%d", i))
		}
		key := rapid.String().Draw(t, "key")
		first := Holders(key, members, k)
		for _, h := range Holders(key, other, k) {
			if slices.Contains(first, h) {
				return
			}
		}
		t.Fatal("the two views share no holder of the key")
	})
}

func TestKeysSpreadEvenly(t *testing.T) {
	const keys, members = 9000, 30
	count := map[string]int{}
	for i := range keys {
		count[Holders(fmt.Sprint("key", i), memberNames(members), 1)[0]]++
	}
	for m, n := range count {
		if n < keys/members/2 || n > keys/members*2 {
			t.Errorf("%s holds %d of %d keys", m, n, keys)
		}
	}
}

// At most one submission of a key is executed, despite restarts of the holder,
// clock skew, dropped claims and releases of submissions that were not executed.
func TestKeyRunsForOneSubmissionOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := ClaimsConfig{Retention: time.Minute, ClockSkew: 2 * time.Second, MaxClaims: 3}
		now := epoch
		claims := NewClaims(cfg, now.Add(-time.Hour))
		minted := map[string]time.Time{}
		ran := map[string]call.ID{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			key := fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "key"))
			submission := attemptID(rapid.IntRange(0, 2).Draw(t, "submission"))
			if _, ok := minted[key]; !ok {
				skew := rapid.Int64Range(-int64(cfg.ClockSkew), int64(cfg.ClockSkew)).Draw(t, "skew")
				minted[key] = now.Add(time.Duration(skew))
			}
			switch rapid.IntRange(0, 9).Draw(t, "op") {
			case 0:
				claims = NewClaims(cfg, now)
			case 1:
				claims.RefuseUnheld(now)
			case 2:
				if ran[key] != submission {
					claims.Release("shop", key, submission, now)
				}
			default:
				granted, reason := claims.Claim("shop", key, submission, minted[key], now)
				if granted != (reason == call.ReasonNone) {
					t.Fatalf("granted %v with reason %q", granted, reason)
				}
				if !granted {
					continue
				}
				if first, ok := ran[key]; ok && first != submission {
					t.Fatalf("key %s was granted to %v and %v", key, first, submission)
				}
				if rapid.Bool().Draw(t, "runs") {
					ran[key] = submission
				}
			}
			if claims.Len() > cfg.MaxClaims {
				t.Fatalf("%d claims", claims.Len())
			}
		}
	})
}

func TestClaimReasons(t *testing.T) {
	c := NewClaims(DefaultClaimsConfig(), epoch)
	now := epoch.Add(time.Minute)
	for _, tc := range []struct {
		key        string
		submission int
		minted     time.Time
		granted    bool
		reason     call.Reason
	}{
		{"a", 1, now, true, call.ReasonNone},
		{"a", 1, now, true, call.ReasonNone},
		{"a", 2, now, false, call.ReasonKeyHeld},
		{"b", 2, epoch.Add(time.Second), false, call.ReasonKeyUnproved},
		{"c", 2, time.Time{}, false, call.ReasonKeyUnproved},
		{"d", 2, now.Add(time.Hour), false, call.ReasonKeyUnproved},
	} {
		granted, reason := c.Claim("shop", tc.key, attemptID(tc.submission), tc.minted, now)
		if granted != tc.granted || reason != tc.reason {
			t.Errorf("key %s: got %v %q, want %v %q", tc.key, granted, reason, tc.granted, tc.reason)
		}
	}
	if granted, _ := c.Claim("other", "a", attemptID(2), now, now); !granted {
		t.Error("services share keys")
	}
}

func TestMintedAt(t *testing.T) {
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	want := time.Unix(id.Time().UnixTime()).Truncate(time.Millisecond)
	if got, ok := MintedAt(id.String()); !ok || !got.Equal(want) {
		t.Errorf("got %v %v, want %v", got, ok, want)
	}
	for _, key := range []string{"", "order-17", uuid.NewString()} {
		if _, ok := MintedAt(key); ok {
			t.Errorf("key %q carries no time, but MintedAt returned one", key)
		}
	}
}
