#pragma once

#include <vector>

#include "database_group.h"
#include "options.h"

namespace shallotlever::soak {

enum class FaultKind : std::uint8_t {
    Kill,
    KillAndLoseData,
    Stop,
    Freeze,
    InstallConfig,
    /// Of the controller at that moment.
    KillController,
    FreezeController,
    /// Between the controller at that moment and the platform.
    CutController,
    Database,
    PlatformSlow,
    PlatformDown,
    PlatformCutOff,
};

enum class NodeRole : std::uint8_t { Control, Front };

struct NodeRef
{
    NodeRole role = NodeRole::Control;
    std::size_t index = 0;
};

struct Fault
{
    /// Since the start of the callers.
    RunTime at { 0 };
    FaultKind kind = FaultKind::Kill;
    NodeRef node;
    /// Kill, Stop: until the process starts again. Others: until it is over.
    std::chrono::milliseconds duration { 0 };
    /// PlatformSlow: from the arrival of a call to its effect.
    std::chrono::milliseconds delay { 0 };
    DatabaseFault database = DatabaseFault::DarkPrimary;
    std::size_t service = 0;
    /// Selects one of the replicas.
    std::size_t choice = 0;
};

/// What is done to the nodes and when; ordered by time.
struct FaultPlan
{
    std::vector<Fault> faults;
    /// When the last fault begins, and when everything runs again.
    RunTime lastFaultAt { 0 };
    RunTime allBackAt { 0 };
};

/// The plan that follows from the options, the seed included.
FaultPlan makeFaultPlan(const SoakOptions &options);

/// Whether the fault comes unannounced to the process.
bool isUnplanned(FaultKind kind);

} // namespace shallotlever::soak
