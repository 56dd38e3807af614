#include "checks.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "promotion_checks.h"
#include "statement_checks.h"

namespace shallotlever::soak {

namespace {

using Milliseconds = std::chrono::milliseconds;

/// After all processes run again, operations must be served.
constexpr Milliseconds kRecoveryTime { 15'000 };
/// Operations at the start are not counted: the nodes open their first connections.
constexpr Milliseconds kWarmUp { 2000 };
/// Around an unplanned fault, statements may be cut.
constexpr Milliseconds kCalmBefore { 6000 };
/// A node has read a statement that was sent so long before the cut.
constexpr Milliseconds kReadTime { 200 };
/// A stop counts until its grace period has passed and a second more.
constexpr Milliseconds kStopWindow { 7000 };

struct Served
{
    int asked = 0;
    int served = 0;

    void count(const OperationRecord &operation)
    {
        ++asked;
        served += operation.failure.empty() ? 1 : 0;
    }
    bool atLeastQuarter() const { return asked > 0 && served * 4 >= asked; }
};

Finding judgeRecovery(const CallerRecords &records, const FaultPlan &plan, RunTime origin)
{
    Served before;
    Served after;
    for (const OperationRecord &operation : records.operations) {
        if (operation.sentAt < origin + plan.lastFaultAt && operation.sentAt > origin + kWarmUp)
            before.count(operation);
        else if (operation.sentAt > origin + plan.allBackAt + kRecoveryTime)
            after.count(operation);
    }
    return { "recover", before.atLeastQuarter() && !after.atLeastQuarter(),
             fmt::format(R"("before":{},"served_before":{},"after":{},"served_after":{})",
                         before.asked, before.served, after.asked, after.served) };
}

Finding judgeConfig(const Deployment &deployment)
{
    const bool broken = deployment.versionReadBack() < deployment.acceptedVersion();
    return { "config", broken,
             fmt::format(R"("accepted":{},"read_back":{})", deployment.acceptedVersion(),
                         deployment.versionReadBack()) };
}

Finding judgeCommits(const Deployment &deployment)
{
    std::size_t acknowledged = 0;
    std::size_t missing = 0;
    for (const auto &[service, statements] : deployment.records().acknowledged) {
        std::set<std::string> committed;
        deployment.groups().at(service)->call(
            [&](const DatabaseGroup &databases) { committed = databases.committed(); });
        acknowledged += statements.size();
        missing += static_cast<std::size_t>(
            std::count_if(statements.begin(), statements.end(),
                          [&](const auto &entry) { return !committed.contains(entry.first); }));
    }
    return { "commits", missing > 0,
             fmt::format(R"("acknowledged":{},"missing":{})", acknowledged, missing) };
}

bool isNearUnplannedFault(const CutRecord &cut, const FaultPlan &plan, RunTime origin)
{
    return std::any_of(plan.faults.begin(), plan.faults.end(), [&](const Fault &fault) {
        const RunTime from = origin + fault.at - Milliseconds(1);
        const RunTime until = origin + fault.at + fault.duration + kCalmBefore;
        return isUnplanned(fault.kind) && cut.cutAt >= from && cut.sentAt <= until;
    });
}

std::optional<PlannedStop> stopAround(const CutRecord &cut, Deployment &deployment)
{
    for (const auto &front : deployment.fronts()) {
        for (const PlannedStop &stop : front->plannedStops()) {
            if (stop.host == cut.host && cut.cutAt >= stop.at && cut.cutAt <= stop.at + kStopWindow)
                return stop;
        }
    }
    return std::nullopt;
}

/// A statement that was cut around an announced stop.
struct StopCut
{
    CutRecord cut;
    RunTime stoppedAt { 0 };
    /// A database received the statement.
    bool received = false;

    /// Whether the node must have read the statement.
    bool wasRead() const { return received || cut.cutAt - cut.sentAt > kReadTime; }
};

std::vector<StopCut> stopCuts(Deployment &deployment, const FaultPlan &plan, RunTime origin)
{
    std::vector<StopCut> cuts;
    for (const CutRecord &cut : deployment.records().cuts) {
        const std::optional<PlannedStop> stop = stopAround(cut, deployment);
        if (!stop || isNearUnplannedFault(cut, plan, origin))
            continue;
        bool received = false;
        deployment.groups().at(cut.service)->call([&](const DatabaseGroup &databases) {
            received = databases.received(cut.statement);
        });
        cuts.push_back({ cut, stop->at, received });
    }
    return cuts;
}

Finding judgeStops(Deployment &deployment, const FaultPlan &plan, RunTime origin)
{
    const std::vector<StopCut> cuts = stopCuts(deployment, plan, origin);
    const auto read =
        std::count_if(cuts.begin(), cuts.end(), [](const StopCut &cut) { return cut.wasRead(); });
    std::size_t stops = 0;
    for (const auto &front : deployment.fronts())
        stops += front->plannedStops().size();
    return { "stops", read > 0,
             fmt::format(R"("stops":{},"cut":{},"cut_after_read":{})", stops, cuts.size(), read) };
}

Finding judgeEnds(Deployment &deployment)
{
    int ends = 0;
    int killedAfterGrace = 0;
    for (auto *nodes : { &deployment.controlMembers(), &deployment.fronts() }) {
        for (const auto &node : *nodes) {
            ends += node->unplannedEnds();
            killedAfterGrace += static_cast<int>(
                std::count_if(node->plannedStops().begin(), node->plannedStops().end(),
                              [](const PlannedStop &stop) { return stop.killedAfterGrace; }));
        }
    }
    return { "ends", ends > 0,
             fmt::format(R"("by_themselves":{},"killed_after_grace":{})", ends, killedAfterGrace) };
}

} // namespace

std::vector<Finding> judge(Deployment &deployment, const FaultPlan &plan, RunTime callersStartedAt)
{
    const CallerRecords &records = deployment.records();
    std::vector<Finding> findings { judgeRecovery(records, plan, callersStartedAt),
                                    judgeConfig(deployment),
                                    judgeCommits(deployment),
                                    judgeFences(deployment),
                                    judgePromotedLogs(deployment),
                                    judgePrimaries(deployment),
                                    judgeStops(deployment, plan, callersStartedAt),
                                    judgeEnds(deployment),
                                    { "own_writes", records.missedOwnWrites > 0,
                                      fmt::format(R"("missed":{})", records.missedOwnWrites) },
                                    { "answers", records.wrongAnswers > 0,
                                      fmt::format(R"("wrong":{})", records.wrongAnswers) } };
    for (Finding &finding : judgeStatements(deployment))
        findings.push_back(std::move(finding));
    return findings;
}

std::vector<std::string> describeCuts(Deployment &deployment, const FaultPlan &plan,
                                      RunTime callersStartedAt)
{
    std::vector<std::string> lines;
    for (const StopCut &cut : stopCuts(deployment, plan, callersStartedAt))
        lines.push_back(fmt::format(
            R"({{"cut":"{}","node":"{}","stop_ms":{},"sent_ms":{},"cut_ms":{},"received":{}}})",
            cut.cut.statement, cut.cut.host, cut.stoppedAt.count(), cut.cut.sentAt.count(),
            cut.cut.cutAt.count(), cut.received));
    return lines;
}

std::vector<std::string> describeSeconds(const Deployment &deployment, RunTime callersStartedAt)
{
    struct Second
    {
        Served operations;
        std::map<std::string, int> failures;
    };
    // Whole seconds of the run, so that the stalls fit.
    const std::int64_t origin = callersStartedAt.count() / 1000;
    std::map<std::int64_t, Second> seconds;
    for (const OperationRecord &operation : deployment.records().operations) {
        Second &second = seconds[operation.sentAt.count() / 1000 - origin];
        second.operations.count(operation);
        if (!operation.failure.empty())
            ++second.failures[operation.failure];
    }
    std::vector<std::string> lines;
    for (const auto &[number, second] : seconds) {
        std::string failures;
        for (const auto &[text, count] : second.failures)
            failures += fmt::format(R"({}"{}":{})", failures.empty() ? "" : ",", text, count);
        const auto stall = deployment.stalls().find(number + origin);
        const RunTime stalled = stall == deployment.stalls().end() ? RunTime(0) : stall->second;
        lines.push_back(fmt::format(
            R"({{"second":{},"asked":{},"served":{},"stall_ms":{},"failures":{{{}}}}})", number,
            second.operations.asked, second.operations.served, stalled.count(), failures));
    }
    return lines;
}

} // namespace shallotlever::soak
