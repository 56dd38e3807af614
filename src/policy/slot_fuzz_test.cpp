#include <algorithm>

#include "fuzz_main_test.h"
#include "shallotlever/base/random.h"
#include "shallotlever/policy/slot_allocator.h"

namespace shallotlever {
namespace {

constexpr Duration kStepDuration = 10ms;
constexpr std::size_t kNodes = 6;

/// Connections of one node to the only upstream.
struct Node
{
    Incarnation incarnation { 1 };
    std::uint64_t sequence = 0;
    std::size_t controller = 0;
    GrantNumber applied;
    std::uint32_t share = 0;
    TimePoint expires;
    std::uint32_t open = 0;
    std::uint32_t busy = 0;
    std::uint32_t waiting = 0;
    TimePoint nextReport;
    TimePoint reportsBlockedUntil;
    TimePoint repliesBlockedUntil;
};

struct Message
{
    TimePoint due;
    std::size_t node = 0;
    std::size_t controller = 0;
    TimePoint sent;
    Incarnation incarnation;
    std::optional<SlotReport> report;
    SlotGrant grant;
};

struct Controller
{
    SlotAllocator allocator;
    TimePoint stopTime = TimePoint::max();
};

class FuzzSimulation
{
public:
    FuzzSimulation(std::uint64_t seed, SlotAllocatorFaults faults)
        : m_random(seed)
        , m_faults(faults)
        , m_nodes(kNodes)
    {
        UpstreamInfo info;
        info.id = UpstreamId("u");
        info.connectionLimit = 12 + static_cast<std::uint32_t>(uniformBelow(m_random, 20));
        m_capacity = info.connectionLimit - connectionReserve(info.connectionLimit);
        m_fleet.groups[ServiceId("s")].upstreams[info.id] = info;
        electController();
    }

    Violation step()
    {
        m_now += kStepDuration;
        injectFaults();
        deliver();
        std::uint32_t sum = 0;
        for (std::size_t i = 0; i < kNodes; ++i) {
            work(m_nodes[i]);
            report(i);
            if (m_now < m_nodes[i].expires)
                sum += std::max(m_nodes[i].open, m_nodes[i].share);
        }
        if (sum > m_capacity)
            return std::to_string(sum) + " connections leased of " + std::to_string(m_capacity);
        return std::nullopt;
    }

private:
    bool oneIn(std::uint64_t in) { return uniformBelow(m_random, in) == 0; }
    Duration delay()
    {
        return oneIn(20) ? uniformDuration(m_random, 0ms, 3s)
                         : uniformDuration(m_random, 1ms, 40ms);
    }

    void electController()
    {
        const TimePoint stopTime =
            std::max(m_lastStopTime, m_now) + uniformDuration(m_random, 0ms, 4s);
        m_lastStopTime = stopTime;
        if (!m_controllers.empty())
            m_controllers.back().stopTime = stopTime;
        const ControlTerm term(m_controllers.size() + 1);
        m_controllers.push_back({ makeSlotAllocator(term, stopTime, m_faults) });
        // A controller learns the limits later if all control members have restarted.
        m_controllers.back().allocator.awaitsLimits = true;
        m_limitsKnownAt = oneIn(2) ? m_now : stopTime + uniformDuration(m_random, 0ms, 5s);
    }

    void injectFaults()
    {
        Node &victim = m_nodes[uniformBelow(m_random, kNodes)];
        if (oneIn(200))
            victim.reportsBlockedUntil = m_now + uniformDuration(m_random, 0ms, 5s);
        if (oneIn(200))
            victim.repliesBlockedUntil = m_now + uniformDuration(m_random, 0ms, 5s);
        if (oneIn(300)) {
            const Incarnation next = victim.incarnation.next();
            victim = Node {};
            victim.incarnation = next;
        }
        if (oneIn(800))
            electController();
        if (oneIn(100))
            m_hotNode = uniformBelow(m_random, kNodes);
        if (oneIn(400))
            changeOwners();
        if (m_now >= m_limitsKnownAt && m_controllers.back().allocator.awaitsLimits)
            applyUpstreamLimits(m_controllers.back().allocator, m_fleet);
    }

    /// Restricts the connections to two nodes, or shares them among all nodes again.
    void changeOwners()
    {
        std::vector<NodeId> &owners =
            m_fleet.groups[ServiceId("s")].upstreams[UpstreamId("u")].poolOwners;
        owners.clear();
        const std::size_t first = uniformBelow(m_random, kNodes);
        if (!oneIn(3)) {
            for (std::size_t i = 0; i < 2; ++i)
                owners.push_back(NodeId("n" + std::to_string((first + i) % kNodes)));
        }
        if (m_now >= m_limitsKnownAt)
            applyUpstreamLimits(m_controllers.back().allocator, m_fleet);
    }

    void work(Node &node)
    {
        const bool isHot = &node == &m_nodes[m_hotNode];
        const auto requested = static_cast<std::uint32_t>(uniformBelow(m_random, isHot ? 40 : 3));
        const std::uint32_t allowed = m_now < node.expires ? node.share : 0;
        // Busy connections beyond a reduced share are closed one by one as their work finishes.
        if (node.open > allowed)
            node.open = m_now < node.expires ? node.open - (oneIn(5) ? 1 : 0) : 0;
        else if (requested > node.open)
            node.open = std::min(allowed, node.open + 2);
        node.busy = std::min(requested, node.open);
        node.waiting = requested - node.busy;
    }

    void report(std::size_t index)
    {
        Node &node = m_nodes[index];
        if (m_now < node.nextReport)
            return;
        node.nextReport = m_now + 500ms;
        SlotReport report;
        report.stamp = { NodeId("n" + std::to_string(index)), node.incarnation, ++node.sequence,
                         node.applied };
        report.demands = { { UpstreamId("u"), node.open, node.busy, node.waiting,
                             m_now < node.expires ? node.share : 0 } };
        // Nodes learn of a new controller at different times, and may return to an earlier one.
        if (oneIn(4))
            node.controller = m_controllers.size()
                - (oneIn(4) ? std::min<std::size_t>(m_controllers.size(), 2) : 1);
        send({ m_now + delay(),
               index,
               node.controller,
               m_now,
               node.incarnation,
               std::move(report),
               {} });
    }

    void send(Message message)
    {
        const Node &node = m_nodes[message.node];
        if (!oneIn(20)
            && (message.report ? node.reportsBlockedUntil : node.repliesBlockedUntil) <= m_now)
            m_messages.push_back(std::move(message));
    }

    void deliver()
    {
        std::vector<Message> due;
        std::erase_if(m_messages, [&](Message &m) {
            if (m.due <= m_now)
                due.push_back(m);
            return m.due <= m_now;
        });
        for (Message &message : due)
            message.report ? answer(message) : apply(message);
    }

    void answer(Message &message)
    {
        Controller &controller = m_controllers[message.controller];
        if (m_now >= controller.stopTime)
            return;
        Message reply = message;
        reply.grant = onSlotReport(controller.allocator, *message.report, m_now);
        reply.report.reset();
        reply.due = m_now + delay();
        send(std::move(reply));
    }

    void apply(const Message &message)
    {
        Node &node = m_nodes[message.node];
        const TimePoint expires = message.sent + kShareLeaseDuration;
        if (message.incarnation != node.incarnation || message.grant.number <= node.applied
            || expires <= m_now)
            return;
        node.applied = message.grant.number;
        for (const SlotShare &share : message.grant.shares) {
            const bool live = m_now < node.expires;
            if (message.grant.renewal && !live)
                continue;
            node.share =
                message.grant.renewal ? std::min(node.share, share.connections) : share.connections;
            node.expires = expires;
        }
    }

    Random m_random;
    SlotAllocatorFaults m_faults;
    TimePoint m_now { 10s };
    FleetView m_fleet;
    std::uint32_t m_capacity = 0;
    std::vector<Node> m_nodes;
    std::vector<Controller> m_controllers;
    TimePoint m_lastStopTime;
    /// When the last controller learns the connection limit.
    TimePoint m_limitsKnownAt;
    std::vector<Message> m_messages;
    std::size_t m_hotNode = 0;
};

Violation run(std::uint64_t seed, std::uint64_t steps, const SlotAllocatorFaults &faults)
{
    FuzzSimulation simulation(seed, faults);
    for (std::uint64_t i = 0; i < steps; ++i) {
        if (const Violation found = simulation.step())
            return found;
    }
    return std::nullopt;
}

constexpr std::uint64_t kSteps = 20000;

// Guards against more leased connections than the upstream accepts under partitions, restarts,
// controller changes, and lost, late and reordered messages.
TEST(SlotFuzz, LeasesNeverExceedTheLimit)
{
    const Violation found = fuzzSeeds(run, kSteps, SlotAllocatorFaults {});
    EXPECT_FALSE(found) << *found;
}

class SlotFault : public testing::TestWithParam<SlotAllocatorFaults>
{
};

// Guards against an oracle that does not detect the injected fault.
TEST_P(SlotFault, IsDetected)
{
    EXPECT_TRUE(fuzzSeeds(run, kSteps, GetParam()));
}

INSTANTIATE_TEST_SUITE_P(Faults, SlotFault,
                         testing::Values(SlotAllocatorFaults { .freeBeforeConfirmation = true },
                                         SlotAllocatorFaults { .skipPredecessorWait = true },
                                         SlotAllocatorFaults { .renewTooEarly = true }));

} // namespace
} // namespace shallotlever

int main(int argc, char **argv)
{
    return shallotlever::fuzzMain(argc, argv);
}
