#include "soak_run.h"

#include <functional>
#include <iterator>

#include <QEventLoop>

#include <fmt/format.h>

#include "promotion_checks.h"

namespace shallotlever::soak {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds kStartLimit { 60'000 };
/// Between the nodes being ready and the first operation.
constexpr Milliseconds kSettleTime { 2000 };
/// The operations sent in this time decide whether service is back.
constexpr Milliseconds kObservation { 23'000 };
/// The operator reads the configuration repeatedly: a member may answer that it isn't sure.
constexpr Milliseconds kReadBackLimit { 6000 };
constexpr Milliseconds kReadBackInterval { 500 };
constexpr Milliseconds kPollInterval { 50 };
constexpr Milliseconds kGrace { 6000 };
constexpr Milliseconds kBrokenGrace { 100 };

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

void signalNode(const Fault &fault, const SoakOptions &options, NodeProcess &node)
{
    switch (fault.kind) {
    case FaultKind::KillAndLoseData:
        node.kill(fault.duration, true);
        break;
    case FaultKind::Stop:
        node.stop(options.broken == BrokenVariant::CutAtStop ? kBrokenGrace : kGrace,
                  fault.duration);
        break;
    case FaultKind::Freeze:
    case FaultKind::FreezeController:
        node.freeze(fault.duration);
        break;
    default:
        node.kill(fault.duration);
        break;
    }
}

void disturbDatabase(const Fault &fault, Deployment &deployment)
{
    const auto group =
        std::next(deployment.groups().begin(), static_cast<std::ptrdiff_t>(fault.service));
    group->second->call([&](DatabaseGroup &databases) {
        databases.inject(fault.database, fault.choice, fault.duration);
    });
}

void inject(const Fault &fault, const SoakOptions &options, Deployment &deployment)
{
    const RunTime until = deployment.now() + fault.duration;
    switch (fault.kind) {
    case FaultKind::InstallConfig:
        deployment.installConfig();
        break;
    case FaultKind::Database:
        disturbDatabase(fault, deployment);
        break;
    case FaultKind::PlatformSlow:
        deployment.platform().beSlow(fault.delay, until);
        break;
    case FaultKind::PlatformDown:
        deployment.platform().beDown(until);
        break;
    case FaultKind::PlatformCutOff:
        deployment.platform().cutOff(until);
        break;
    case FaultKind::CutController:
        deployment.platform().cutOff(until, deployment.controller().command().host);
        break;
    case FaultKind::KillController:
    case FaultKind::FreezeController:
        signalNode(fault, options, deployment.controller());
        break;
    default: {
        auto &nodes = fault.node.role == NodeRole::Control ? deployment.controlMembers()
                                                           : deployment.fronts();
        signalNode(fault, options, *nodes[fault.node.index]);
        break;
    }
    }
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
    const RunTime origin = deployment.now();
    deployment.startCallers();
    for (const Fault &fault : plan.faults) {
        const RunTime left = origin + fault.at - deployment.now();
        if (left.count() > 0)
            runEvents(left);
        inject(fault, options, deployment);
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
    for (std::string &line : describeCuts(deployment, plan, origin))
        report.details.push_back(std::move(line));
    for (std::string &line : describePromotions(deployment))
        report.details.push_back(std::move(line));
    return report;
}

} // namespace shallotlever::soak
