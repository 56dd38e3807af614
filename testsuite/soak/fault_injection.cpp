#include "fault_injection.h"

#include <iterator>

#include <fmt/format.h>

namespace shallotlever::soak {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr Milliseconds kGrace { 6000 };
constexpr Milliseconds kBrokenGrace { 100 };

const char *nameOf(DatabaseFault fault)
{
    switch (fault) {
    case DatabaseFault::DarkPrimary:
        return "dark-primary";
    case DatabaseFault::DarkReplica:
        return "dark-replica";
    case DatabaseFault::LeavingPrimary:
        return "leaving-primary";
    case DatabaseFault::LeavingReplica:
        return "leaving-replica";
    case DatabaseFault::DeafReplica:
        return "deaf-replica";
    }
    return "";
}

const char *nameOf(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::Kill:
    case FaultKind::KillController:
        return "kill";
    case FaultKind::KillAndLoseData:
        return "kill-and-lose-data";
    case FaultKind::Stop:
        return "stop";
    case FaultKind::Freeze:
    case FaultKind::FreezeController:
        return "freeze";
    case FaultKind::InstallConfig:
        return "install-config";
    case FaultKind::Database:
        return nameOf(fault.database);
    case FaultKind::PlatformSlow:
        return "platform-slow";
    case FaultKind::PlatformDown:
        return "platform-down";
    case FaultKind::PlatformCutOff:
    case FaultKind::CutController:
        return "platform-cut-off";
    }
    return "";
}

/// Returns the node.
std::string signalNode(const Fault &fault, const SoakOptions &options, NodeProcess &node)
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
    return node.command().name;
}

/// Returns the database; empty if none was in a state for the fault.
std::string disturbDatabase(const Fault &fault, Deployment &deployment)
{
    const auto group =
        std::next(deployment.groups().begin(), static_cast<std::ptrdiff_t>(fault.service));
    std::string database;
    group->second->call([&](DatabaseGroup &databases) {
        database = databases.inject(fault.database, fault.choice, fault.duration);
    });
    return database;
}

NodeProcess &nodeOf(const Fault &fault, Deployment &deployment)
{
    if (fault.kind == FaultKind::KillController || fault.kind == FaultKind::FreezeController
        || fault.kind == FaultKind::CutController)
        return deployment.controller();
    auto &nodes =
        fault.node.role == NodeRole::Control ? deployment.controlMembers() : deployment.fronts();
    return *nodes[fault.node.index];
}

/// Returns what the fault hit; empty if that is the platform or the operator.
std::string hit(const Fault &fault, const SoakOptions &options, Deployment &deployment)
{
    const RunTime until = deployment.now() + fault.duration;
    switch (fault.kind) {
    case FaultKind::InstallConfig:
        deployment.installConfig();
        return {};
    case FaultKind::Database:
        return disturbDatabase(fault, deployment);
    case FaultKind::PlatformSlow:
        deployment.platform().beSlow(fault.delay, until);
        return {};
    case FaultKind::PlatformDown:
        deployment.platform().beDown(until);
        return {};
    case FaultKind::PlatformCutOff:
        deployment.platform().cutOff(until);
        return {};
    case FaultKind::CutController: {
        const NodeCommand &controller = nodeOf(fault, deployment).command();
        deployment.platform().cutOff(until, controller.host);
        return controller.name;
    }
    default:
        return signalNode(fault, options, nodeOf(fault, deployment));
    }
}

} // namespace

std::string inject(const Fault &fault, const SoakOptions &options, Deployment &deployment)
{
    const RunTime at = deployment.now();
    const std::string target = hit(fault, options, deployment);
    return fmt::format(R"({{"fault":"{}","target":"{}","at_ms":{},"duration_ms":{}}})",
                       nameOf(fault), target, at.count(), fault.duration.count());
}

} // namespace shallotlever::soak
