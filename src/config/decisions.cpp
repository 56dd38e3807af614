#include "changes.h"

#include <absl/strings/str_cat.h>

namespace shallotlever {
namespace {

absl::Status refuse(const std::string &field, const std::string &problem)
{
    return absl::InvalidArgumentError(absl::StrCat(field, ": ", problem));
}

/// Refuses changes of the voting set during a change of primary, which counts its majority over the
/// voting set at its start. Majorities of two voting sets are certain to overlap only if the sets
/// differ by at most one member.
absl::Status checkNoPrimaryChange(const GroupState &group)
{
    if (group.reservedTerm > group.term)
        return refuse("service", "a change of primary is under way");
    return absl::OkStatus();
}

absl::StatusOr<std::string> perform(GroupState &group, const JoinVotingSet &decision)
{
    if (const absl::Status status = checkNoPrimaryChange(group); !status.ok())
        return status;
    if (decision.upstream.empty())
        return refuse("upstream", "must not be empty");
    if (!group.votingSet.insert(decision.upstream).second)
        return refuse("upstream", "already in the voting set");
    return absl::StrCat("upstream \"", decision.upstream.value(), "\" joined the voting set, now ",
                        group.votingSet.size(), " members");
}

absl::StatusOr<std::string> perform(GroupState &group, const LeaveVotingSet &decision)
{
    if (const absl::Status status = checkNoPrimaryChange(group); !status.ok())
        return status;
    if (group.primary == decision.upstream)
        return refuse("upstream", "is the primary in office");
    if (group.votingSet.erase(decision.upstream) == 0)
        return refuse("upstream", "not in the voting set");
    return absl::StrCat("upstream \"", decision.upstream.value(), "\" left the voting set, now ",
                        group.votingSet.size(), " members");
}

absl::StatusOr<std::string> perform(GroupState &group, const ReserveTerm &decision)
{
    if (decision.term <= group.reservedTerm) {
        return refuse("term",
                      absl::StrCat("term ", decision.term.value(),
                                   " is not above the reserved term ", group.reservedTerm.value()));
    }
    group.reservedTerm = decision.term;
    return absl::StrCat("reserved term ", decision.term.value(),
                        " for a change of primary: ", decision.reason);
}

absl::StatusOr<std::string> perform(GroupState &group, const SetPrimary &decision)
{
    if (decision.term != group.reservedTerm) {
        return refuse("term",
                      absl::StrCat("term ", decision.term.value(), " is not the reserved term ",
                                   group.reservedTerm.value()));
    }
    if (decision.term == group.term)
        return refuse("term", "already has a primary");
    // The voting set is empty if the databases confirm commits themselves.
    if (!group.votingSet.empty() && !group.votingSet.contains(decision.upstream))
        return refuse("upstream", "not in the voting set");
    group.term = decision.term;
    group.primary = decision.upstream;
    group.primaryIncarnation = decision.incarnation;
    return absl::StrCat("upstream \"", decision.upstream.value(), "\" is primary at term ",
                        decision.term.value());
}

absl::StatusOr<std::string> perform(GroupState &group, const ChangeMembers &decision)
{
    if (!decision.leaving.empty()) {
        if (const absl::Status status = checkNoPrimaryChange(group); !status.ok())
            return status;
    }
    std::string text = "members";
    for (const auto &[member, record] : decision.joining) {
        group.members.insert_or_assign(member, record);
        absl::StrAppend(&text, " +", member.upstream.value(), "/", member.incarnation.value());
    }
    for (const MemberId &member : decision.leaving) {
        group.members.erase(member);
        absl::StrAppend(&text, " -", member.upstream.value(), "/", member.incarnation.value());
    }
    return absl::StrCat(text, ", now ", group.members.size());
}

} // namespace

absl::StatusOr<std::string> applyDecision(ClusterState &state, const GroupDecision &decision)
{
    return std::visit(
        [&state](const auto &d) -> absl::StatusOr<std::string> {
            if (!state.config.services.contains(d.service))
                return refuse("service",
                              absl::StrCat("unknown service \"", d.service.value(), "\""));
            GroupState &group = state.groups[d.service];
            group.service = d.service;
            auto text = perform(group, d);
            if (text.ok())
                *text = absl::StrCat("service \"", d.service.value(), "\": ", *text);
            return text;
        },
        decision);
}

} // namespace shallotlever
