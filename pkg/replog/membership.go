package replog

import (
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Membership is the set of members of a group. Learners receive the log but do not
// count for elections and commits.
type Membership struct {
	Voters   []Member
	Learners []Member
}

// all returns voters and learners in a fixed order.
func (m Membership) all() []Member {
	return slices.Concat(m.Voters, m.Learners)
}

func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

func (m Membership) isVoter(id Identity) bool { return indexOfIdentity(m.Voters, id) >= 0 }

func (m Membership) isLearner(id Identity) bool { return indexOfIdentity(m.Learners, id) >= 0 }

// without returns a copy of the membership with the identity removed.
func (m Membership) without(id Identity) Membership {
	hasIdentity := func(x Member) bool { return x.Identity == id }
	return Membership{
		Voters:   slices.DeleteFunc(slices.Clone(m.Voters), hasIdentity),
		Learners: slices.DeleteFunc(slices.Clone(m.Learners), hasIdentity),
	}
}

// withLearner returns a copy of the membership with a learner added.
func (m Membership) withLearner(x Member) Membership {
	return Membership{Voters: m.Voters, Learners: sortByIdentity(append(slices.Clone(m.Learners), x))}
}

// withVoter returns a copy of the membership with a learner promoted to voter.
func (m Membership) withVoter(x Member) Membership {
	n := m.without(x.Identity)
	n.Voters = sortByIdentity(append(n.Voters, x))
	return n
}

func (m Membership) validate() error {
	if len(m.Voters) == 0 || len(m.Voters)+len(m.Learners) > maxMembers {
		return merry.Wrap(ErrInvalidMember, merry.AppendMessagef("%d voters, %d learners", len(m.Voters), len(m.Learners)))
	}
	seen := map[string]bool{}
	for _, x := range m.all() {
		if err := x.validate(); err != nil {
			return err
		}
		name, id := "name "+string(x.Name), "identity "+string(x.Identity)
		if seen[name] || seen[id] {
			return merry.Wrap(ErrInvalidMember, merry.AppendMessagef("duplicate name or identity of member %s", x.Name))
		}
		seen[name], seen[id] = true, true
	}
	return nil
}

func (x Member) validate() error {
	if x.Name == "" || x.Identity == "" {
		return merry.Wrap(ErrInvalidMember, merry.AppendMessage("name or identity is empty"))
	}
	if max(len(x.Name), len(x.Identity), len(x.Address)) > maxNameBytes {
		return merry.Wrap(ErrInvalidMember, merry.AppendMessage("name, identity or address is too long"))
	}
	return nil
}

func indexOfIdentity(ms []Member, id Identity) int {
	return slices.IndexFunc(ms, func(m Member) bool { return m.Identity == id })
}

// sortByIdentity orders members by identity, so that equal sets encode to equal bytes.
func sortByIdentity(ms []Member) []Member {
	slices.SortFunc(ms, func(a, b Member) int { return strings.Compare(string(a.Identity), string(b.Identity)) })
	return ms
}
