#include "promotion_checks.h"

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>

namespace shallotlever::soak {

namespace {

/// What the calls for one service have shown so far.
struct FencesSeen
{
    std::uint64_t highest = 0;
    std::map<std::uint64_t, std::string> holders;
};

/// Acknowledged commits that the promoted database lacks.
struct LostCommits
{
    PromotionEffect promotion;
    std::vector<std::string> statements;
    /// Of these, the ones that another database held that wasn't dark.
    std::size_t heldElsewhere = 0;
};

std::vector<PromotionEffect> promotionsOf(const GroupThread &group)
{
    std::vector<PromotionEffect> promotions;
    group.call([&](const DatabaseGroup &databases) { promotions = databases.promotions(); });
    return promotions;
}

bool isHeldElsewhere(const std::string &statement, const PromotionEffect &promotion)
{
    return std::any_of(promotion.logs.begin(), promotion.logs.end(), [&](const auto &entry) {
        return !entry.second.isDark && entry.second.statements.contains(statement);
    });
}

/// Each commit counts at the first promotion that lost it.
std::vector<LostCommits> lostCommits(const Deployment &deployment)
{
    std::vector<LostCommits> losses;
    for (const auto &[service, acknowledged] : deployment.records().acknowledged) {
        std::set<std::string> counted;
        for (const PromotionEffect &promotion : promotionsOf(*deployment.groups().at(service))) {
            LostCommits loss { promotion, {}, 0 };
            const DatabaseLog &log = promotion.logs.at(promotion.database);
            for (const auto &[statement, at] : acknowledged) {
                if (at > promotion.at || log.statements.contains(statement)
                    || !counted.insert(statement).second)
                    continue;
                loss.statements.push_back(statement);
                loss.heldElsewhere += isHeldElsewhere(statement, promotion) ? 1 : 0;
            }
            losses.push_back(std::move(loss));
        }
    }
    return losses;
}

std::string describeCall(const PromotionCall &call)
{
    return fmt::format(
        R"({{"promotion_call":"{}","database":"{}","holder":"{}","fence":{},"arrived_ms":{},"sender_gone":{},"status":{}}})",
        call.service, call.database, call.holder, call.fence, call.arrivedAt.count(),
        call.senderGone, call.status.value_or(0));
}

std::string describeEffect(const LostCommits &loss)
{
    const PromotionEffect &promotion = loss.promotion;
    std::string logs;
    for (const auto &[database, log] : promotion.logs)
        logs += fmt::format(R"({}"{}":"{}{}{}, fence {}")", logs.empty() ? "" : ",", database,
                            log.statements.size(), log.isDark ? ", dark" : "",
                            log.isDraining ? ", leaving" : "", log.fencedTerm);
    return fmt::format(
        R"({{"promoted":"{}","term":{},"at_ms":{},"logs":{{{}}},"lost":{},"held_elsewhere":{}}})",
        promotion.database, promotion.term, promotion.at.count(), logs, loss.statements.size(),
        loss.heldElsewhere);
}

} // namespace

Finding judgeFences(const Deployment &deployment)
{
    const std::vector<PromotionCall> calls = deployment.platform().calls();
    std::map<std::string, FencesSeen> services;
    int lower = 0;
    int lowerOfGone = 0;
    int shared = 0;
    for (const PromotionCall &call : calls) {
        FencesSeen &seen = services[call.service];
        const bool isLower = call.fence < seen.highest;
        lower += isLower ? 1 : 0;
        lowerOfGone += isLower && call.senderGone ? 1 : 0;
        seen.highest = std::max(seen.highest, call.fence);
        const auto [holder, isNew] = seen.holders.try_emplace(call.fence, call.holder);
        shared += !isNew && holder->second != call.holder ? 1 : 0;
    }
    return {
        "one", lower > 0 || shared > 0,
        fmt::format(
            R"("calls":{},"lower_after_higher":{},"of_closed_connections":{},"shared_by_holders":{})",
            calls.size(), lower, lowerOfGone, shared)
    };
}

Finding judgePromotedLogs(const Deployment &deployment)
{
    const std::vector<LostCommits> losses = lostCommits(deployment);
    std::size_t lost = 0;
    std::size_t heldElsewhere = 0;
    for (const LostCommits &loss : losses) {
        lost += loss.statements.size();
        heldElsewhere += loss.heldElsewhere;
    }
    return { "lost_at_promotion", lost > 0,
             fmt::format(R"("promotions":{},"lost":{},"held_elsewhere":{})", losses.size(), lost,
                         heldElsewhere) };
}

Finding judgePrimaries(const Deployment &deployment)
{
    int without = 0;
    for (const auto &[service, group] : deployment.groups())
        group->call(
            [&](const DatabaseGroup &databases) { without += databases.hasPrimary() ? 0 : 1; });
    return { "primaries", without > 0,
             fmt::format(R"("services":{},"without_primary":{})", deployment.groups().size(),
                         without) };
}

std::vector<std::string> describePromotions(const Deployment &deployment)
{
    std::vector<std::string> lines;
    for (const PromotionCall &call : deployment.platform().calls())
        lines.push_back(describeCall(call));
    for (const LostCommits &loss : lostCommits(deployment))
        lines.push_back(describeEffect(loss));
    return lines;
}

} // namespace shallotlever::soak
