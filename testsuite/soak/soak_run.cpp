#include "soak_run.h"

#include <functional>

#include <QEventLoop>

#include <fmt/format.h>

#include "fault_injection.h"
#include "promotion_checks.h"
#include "statement_checks.h"

namespace shallotlever::soak {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds kStartLimit { 60'000 };
/// From the first operation until a commit of each service is acknowledged: the time that is also
/// given after all processes run again.
constexpr Milliseconds kServiceStartLimit { 15'000 };
/// Between the nodes being ready and the first operation.
constexpr Milliseconds kSettleTime { 2000 };
/// The operations sent in this time decide whether service is back.
constexpr Milliseconds kObservation { 23'000 };
/// The operator reads the configuration repeatedly: a member may answer that it isn't sure.
constexpr Milliseconds kReadBackLimit { 6000 };
constexpr Milliseconds kReadBackInterval { 500 };
constexpr Milliseconds kPollInterval { 50 };

void runEvents(Milliseconds time)
{
    QEventLoop loop;
    QTimer::singleShot(time, &loop, &QEventLoop::quit);
    loop.exec();
}

bool runEventsUntil(Milliseconds limit, const std::function<bool()> &done)
{
    QElapsedTimer timer;
    timer.start();
    while (!done()) {
        if (timer.elapsed() > limit.count())
            return false;
        runEvents(kPollInterval);
    }
    return true;
}

} // namespace

SoakReport runSoak(const SoakOptions &options)
{
    Deployment deployment(options);
    deployment.startNodes();
    deployment.installConfig();
    const std::size_t fronts = deployment.fronts().size();
    const bool started = runEventsUntil(kStartLimit, [&] {
        return deployment.acceptedVersion() > 0 && deployment.readyFronts() == fronts;
    });
    if (!started)
        return { fmt::format("{} of {} fronts ready", deployment.readyFronts(), fronts), {}, {} };
    runEvents(kSettleTime);
    const FaultPlan plan = makeFaultPlan(options);
    const RunTime callersStartedAt = deployment.now();
    deployment.startCallers();
    // Without service before the first fault, a run shows nothing of its effect.
    const bool serves =
        runEventsUntil(kServiceStartLimit, [&] { return deployment.servesAllServices(); });
    const Finding start = judgeStart(deployment, serves, callersStartedAt, kServiceStartLimit);
    if (start.broken) {
        deployment.endCallers();
        return { {}, { start }, describeSeconds(deployment, callersStartedAt) };
    }
    const RunTime origin = deployment.now();
    std::vector<std::string> faults;
    for (const Fault &fault : plan.faults) {
        const RunTime left = origin + fault.at - deployment.now();
        if (left.count() > 0)
            runEvents(left);
        faults.push_back(inject(fault, options, deployment));
    }
    const RunTime end = origin + plan.allBackAt + kObservation;
    runEvents(end - deployment.now());
    deployment.endCallers();
    runEventsUntil(kReadBackLimit, [&] {
        deployment.readConfigBack();
        runEvents(kReadBackInterval);
        return deployment.versionReadBack() >= deployment.acceptedVersion();
    });
    SoakReport report { {}, judge(deployment, plan, origin), describeSeconds(deployment, origin) };
    report.findings.insert(report.findings.begin(), start);
    for (std::string &line : describeCuts(deployment, plan, origin))
        report.details.push_back(std::move(line));
    for (std::string &line : describePromotions(deployment))
        report.details.push_back(std::move(line));
    for (std::string &line : describeStatements(deployment))
        report.details.push_back(std::move(line));
    for (std::string &line : faults)
        report.details.push_back(std::move(line));
    return report;
}

} // namespace shallotlever::soak
