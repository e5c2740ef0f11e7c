// Package membership keeps the list of all members as a pure state machine
// that is driven by messages and passed time.
//
// Members of one region probe each other at constant cost and spread events by
// gossip, after SWIM (Das, Gupta, Motivala, 2002) with the local health
// multiplier of Lifeguard (Dadgar, Phillips, Currey, 2018). Only nodes of its
// own region declare a member dead, so a cut between regions removes nobody.
// Events reach other regions by a number of sends that does not depend on the
// size of a region. Digests compared with random peers repair what gossip lost.
//
// All traffic draws on a byte budget: when many events compete, they spread
// more slowly and not with more bytes.
package membership
