#include "checks.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "promotion_checks.h"
#include "run_logs.h"
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

Finding judgeRecovery(const Deployment &deployment, const RunLogs &logs, const FaultPlan &plan,
                      RunTime origin)
{
    const CallerRecords &records = deployment.records();
    Served before;
    Served after;
    for (const OperationRecord &operation : records.operations) {
        if (operation.sentAt < origin + plan.lastFaultAt && operation.sentAt > origin + kWarmUp)
            before.count(operation);
        else if (operation.sentAt > origin + plan.allBackAt + kRecoveryTime)
            after.count(operation);
    }
    return { "recover", before.atLeastQuarter() && !after.atLeastQuarter(),
             fmt::format(R"("before":{},"served_before":{},"after":{},"served_after":{},{})",
                         before.asked, before.served, after.asked, after.served,
                         describeStalls(logs, { origin + plan.allBackAt, deployment.now() })) };
}

Finding judgeConfig(const Deployment &deployment, const RunLogs &logs, const FaultPlan &plan,
                    RunTime origin)
{
    const bool broken = deployment.versionReadBack() < deployment.acceptedVersion();
    std::string reads;
    for (const auto &[status, count] : deployment.configReads())
        reads += fmt::format(R"({}"{}":{})", reads.empty() ? "" : ",", status, count);
    const Span sinceBack { origin + plan.allBackAt, deployment.now() };
    return { "config", broken,
             fmt::format(R"("accepted":{},"read_back":{},"reads":{{{}}},"back_ms":{},{},{})",
                         deployment.acceptedVersion(), deployment.versionReadBack(), reads,
                         sinceBack.from.count(), describeControl(logs, sinceBack),
                         describeStalls(logs, sinceBack)) };
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

    /// By the log of the node, the statement arrived after the end of its session.
    bool arrivedAfterEnd = false;

    /// Whether the connection ended before the answer to a statement that the node must have read.
    /// A close that had arrived while nothing was outstanding is none, whenever the soak reads it.
    bool wasRead() const
    {
        return received || (!cut.sentAfterEnd && cut.cutAt - cut.sentAt > kReadTime);
    }
};

std::vector<StopCut> stopCuts(Deployment &deployment, const RunLogs &logs, const FaultPlan &plan,
                              RunTime origin)
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
        cuts.push_back({ cut, stop->at, received,
                         logs.nodes.at(cut.host).unansweredStatements.contains(cut.statement) });
    }
    return cuts;
}

/// Where the statements that were cut were lost, and what stood still between the stops and the
/// cuts, as members of a JSON object.
std::string describeLosses(const std::vector<StopCut> &cuts, const RunLogs &logs)
{
    int sentAfterEnd = 0;
    int arrivedAfterEnd = 0;
    ClosedSessions closed;
    std::set<std::string> hosts;
    Span span { RunTime::max(), RunTime(0) };
    for (const StopCut &cut : cuts) {
        sentAfterEnd += cut.cut.sentAfterEnd ? 1 : 0;
        arrivedAfterEnd += cut.arrivedAfterEnd ? 1 : 0;
        hosts.insert(cut.cut.host);
        span.from = std::min(span.from, cut.stoppedAt);
        span.until = std::max(span.until, cut.cut.cutAt);
    }
    for (const std::string &host : hosts) {
        for (const ClosedSessions &stop : logs.nodes.at(host).closedSessions) {
            closed.unread += stop.unread;
            closed.unanswered += stop.unanswered;
        }
    }
    return fmt::format(
        R"("sent_after_end":{},"arrived_after_end":{},"closed_unread":{},"unanswered":{},{})",
        sentAfterEnd, arrivedAfterEnd, closed.unread, closed.unanswered,
        describeStalls(logs, span, hosts));
}

Finding judgeStops(Deployment &deployment, const RunLogs &logs, const FaultPlan &plan,
                   RunTime origin)
{
    const std::vector<StopCut> cuts = stopCuts(deployment, logs, plan, origin);
    std::vector<StopCut> read;
    std::copy_if(cuts.begin(), cuts.end(), std::back_inserter(read),
                 [](const StopCut &cut) { return cut.wasRead(); });
    std::size_t stops = 0;
    for (const auto &front : deployment.fronts())
        stops += front->plannedStops().size();
    return { "stops", !read.empty(),
             fmt::format(R"("stops":{},"cut":{},"cut_after_read":{},{})", stops, cuts.size(),
                         read.size(), describeLosses(read.empty() ? cuts : read, logs)) };
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

Finding judgeStart(Deployment &deployment, bool served, RunTime callersStartedAt, RunTime limit)
{
    const RunTime now = deployment.now();
    return { kStartCheck, !served,
             fmt::format(R"("waited_ms":{},"limit_ms":{},{})", (now - callersStartedAt).count(),
                         limit.count(),
                         describeStalls(readRunLogs(deployment), { RunTime(0), now })) };
}

std::vector<Finding> judge(Deployment &deployment, const FaultPlan &plan, RunTime origin)
{
    const CallerRecords &records = deployment.records();
    const RunLogs logs = readRunLogs(deployment);
    std::vector<Finding> findings { judgeRecovery(deployment, logs, plan, origin),
                                    judgeConfig(deployment, logs, plan, origin),
                                    judgeCommits(deployment),
                                    judgeFences(deployment),
                                    judgePromotedLogs(deployment),
                                    judgePrimaries(deployment),
                                    judgeStops(deployment, logs, plan, origin),
                                    judgeEnds(deployment),
                                    { "own_writes", records.missedOwnWrites > 0,
                                      fmt::format(R"("missed":{})", records.missedOwnWrites) },
                                    { "answers", records.wrongAnswers > 0,
                                      fmt::format(R"("wrong":{})", records.wrongAnswers) } };
    for (Finding &finding : judgeStatements(deployment))
        findings.push_back(std::move(finding));
    return findings;
}

std::vector<std::string> describeCuts(Deployment &deployment, const FaultPlan &plan, RunTime origin)
{
    const RunLogs logs = readRunLogs(deployment);
    std::vector<std::string> lines;
    for (const StopCut &cut : stopCuts(deployment, logs, plan, origin))
        lines.push_back(fmt::format(
            R"({{"cut":"{}","node":"{}","stop_ms":{},"sent_ms":{},"cut_ms":{},"received":{},)"
            R"("sent_after_end":{},"arrived_after_end":{},{}}})",
            cut.cut.statement, cut.cut.host, cut.stoppedAt.count(), cut.cut.sentAt.count(),
            cut.cut.cutAt.count(), cut.received, cut.cut.sentAfterEnd, cut.arrivedAfterEnd,
            describeStalls(logs, { cut.cut.sentAt, cut.cut.cutAt }, { cut.cut.host })));
    return lines;
}

std::vector<std::string> describeSeconds(const Deployment &deployment, RunTime origin)
{
    struct Second
    {
        Served operations;
        std::map<std::string, int> failures;
    };
    // Whole seconds of the run, so that the stalls fit.
    const std::int64_t firstSecond = origin.count() / 1000;
    std::map<std::int64_t, Second> seconds;
    for (const OperationRecord &operation : deployment.records().operations) {
        Second &second = seconds[operation.sentAt.count() / 1000 - firstSecond];
        second.operations.count(operation);
        if (!operation.failure.empty())
            ++second.failures[operation.failure];
    }
    std::vector<std::string> lines;
    for (const auto &[number, second] : seconds) {
        std::string failures;
        for (const auto &[text, count] : second.failures)
            failures += fmt::format(R"({}"{}":{})", failures.empty() ? "" : ",", text, count);
        const auto stall = deployment.stalls().find(number + firstSecond);
        const RunTime stalled =
            stall == deployment.stalls().end() ? RunTime(0) : stall->second.length;
        lines.push_back(fmt::format(
            R"({{"second":{},"asked":{},"served":{},"stall_ms":{},"failures":{{{}}}}})", number,
            second.operations.asked, second.operations.served, stalled.count(), failures));
    }
    return lines;
}

} // namespace shallotlever::soak
