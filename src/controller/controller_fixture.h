#pragma once

#include <gtest/gtest.h>

#include "shallotlever/controller/controller.h"

/// What the tests of the controller have in common.
namespace shallotlever {

inline const TimePoint kStart(100s);

inline NodeReport report(const char *node, std::uint64_t incarnation, std::uint64_t number)
{
    NodeReport r;
    r.node = NodeId(node);
    r.incarnation = Incarnation(incarnation);
    r.number = number;
    return r;
}

/// A controller whose predecessor gave leases to processes of the nodes a and b.
class ControllerNodeRecords : public testing::Test
{
protected:
    ControllerNodeRecords()
    {
        m_state = initialState();
        m_state.cluster.nodes = { { NodeId("a"), Incarnation(1) },
                                  { NodeId("b"), Incarnation(1) } };
        m_controller = makeController(ControlTerm(2), m_state, FleetLog(), 1, kStart, true);
    }

    bool reportGetsLease(const NodeReport &r)
    {
        return onNodeReport(m_controller, r, m_now).has_value();
    }

    bool waitsForPredecessor() const
    {
        return configInForce(m_controller.leases, ConfigVersion(), m_now).waitsForPredecessor;
    }

    void commitRecords()
    {
        const ControllerActions actions = advanceController(m_controller, m_state, m_now);
        for (const RecordNode &record : actions.records) {
            const LogIndex index = m_state.cluster.index.next();
            const ChangeResult result = applyCommand(m_state, record, index, 0);
            onCommandApplied(m_controller, m_state, record, result, index, m_now);
        }
    }

    void applyInstall(const InstallConfig &install)
    {
        const LogIndex index = m_state.cluster.index.next();
        const ChangeResult result = applyCommand(m_state, install, index, 0);
        onCommandApplied(m_controller, m_state, install, result, index, m_now);
    }

    ReplicatedState m_state;
    ControllerState m_controller;
    TimePoint m_now = kStart + 10ms;
};

} // namespace shallotlever
