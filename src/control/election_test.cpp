#include <algorithm>
#include <map>
#include <vector>

#include <gtest/gtest.h>

#include "shallotlever/base/random.h"
#include "shallotlever/control/member.h"

namespace shallotlever {
namespace {

constexpr Duration kStep = 1ms;
constexpr Duration kWriteTime = 5ms;
constexpr std::size_t kMembers = 5;

struct RestartCase
{
    const char *name;
    Duration latency;
    Duration startSpread;
    /// Share of messages that are lost.
    std::uint64_t lostPercent = 0;
    /// The member with the lowest id sends but receives nothing.
    bool lowestIsDeaf = false;
    /// Each link is opened at a random time until then. What is sent over it earlier is lost.
    Duration linksOpenWithin = Duration(0);
};

/// A group whose members exchange messages over links with latency and wait for their disks. All of
/// them start with the same log, as after a restart of the whole group.
class RestartedGroup
{
public:
    RestartedGroup(std::uint64_t seed, const RestartCase &restart)
        : m_random(seed)
        , m_links(restart)
    {
        Membership membership;
        for (std::size_t i = 0; i < kMembers; ++i) {
            m_names.emplace_back(std::string(1, static_cast<char>('a' + i)));
            membership.voters.push_back({ m_names[i], MemberIdentity(i + 1) });
        }
        auto snapshot = std::make_shared<ControlSnapshot>();
        snapshot->index = LogIndex(10);
        snapshot->term = ControlTerm(1);
        snapshot->membership = membership;
        for (std::size_t i = 0; i < kMembers; ++i) {
            m_disks[i].identity = MemberIdentity(i + 1);
            m_disks[i].hardState.term = ControlTerm(1);
            m_disks[i].snapshot = snapshot;
            m_startAt[i] =
                m_now + uniformDuration(m_random, Duration(0), restart.startSpread + 1ms);
        }
        if (restart.linksOpenWithin > Duration(0))
            chooseLinkTimes();
    }

    /// Terms used until a member leads, at most until `limit` has passed.
    std::uint64_t termsUntilLeader(Duration limit)
    {
        for (const TimePoint end = m_now + limit; m_now < end; m_now += kStep) {
            for (std::size_t i = 0; i < kMembers; ++i)
                step(i);
            const auto leader = std::find_if(m_members.begin(), m_members.end(), [](const auto &m) {
                return m.second->role() == ControlRole::Leader;
            });
            if (leader != m_members.end())
                return leader->second->term().value() - 1;
        }
        return UINT64_MAX;
    }

private:
    struct Packet
    {
        TimePoint due;
        ControlMessage message;
    };
    struct Write
    {
        TimePoint due;
        std::uint64_t sequence = 0;
    };

    void chooseLinkTimes()
    {
        for (const NodeId &one : m_names) {
            for (const NodeId &other : m_names) {
                if (one < other)
                    m_linkOpensAt[std::minmax(one, other)] =
                        m_now + uniformDuration(m_random, Duration(0), m_links.linksOpenWithin);
            }
        }
    }

    void step(std::size_t i)
    {
        if (m_now < m_startAt[i])
            return;
        if (!m_members.contains(i))
            m_members[i] = *ControlMember::create(m_now, options(i), m_disks[i]);
        ControlMember &member = *m_members[i];
        std::erase_if(m_writes[i], [&](const Write &write) {
            if (write.due <= m_now)
                member.persisted(m_now, write.sequence);
            return write.due <= m_now;
        });
        std::vector<Packet> due;
        std::erase_if(m_packets, [&](const Packet &packet) {
            const bool arrived = packet.due <= m_now && packet.message.to.node == m_names[i];
            if (arrived)
                due.push_back(packet);
            return arrived;
        });
        for (const Packet &packet : due)
            member.receive(m_now, packet.message);
        member.tick(m_now);
        drain(i);
    }

    void drain(std::size_t i)
    {
        ControlMember &member = *m_members[i];
        for (ControlReady r = member.takeReady(m_now); !r.empty(); r = member.takeReady(m_now)) {
            if (!r.write.empty())
                m_writes[i].push_back({ m_now + kWriteTime, r.write.sequence });
            for (const ControlMessage &message : r.messages)
                post(message);
        }
    }

    void post(const ControlMessage &message)
    {
        const bool lost = uniformBelow(m_random, 100) < m_links.lostPercent;
        if (!lost && !isDeaf(message.to.node) && isLinkOpen(message))
            m_packets.push_back({ m_now + m_links.latency, message });
    }

    bool isDeaf(const NodeId &node) const { return m_links.lowestIsDeaf && node == m_names[0]; }

    bool isLinkOpen(const ControlMessage &message) const
    {
        const auto opens = m_linkOpensAt.find(std::minmax(message.from.node, message.to.node));
        return opens == m_linkOpensAt.end() || m_now >= opens->second;
    }

    ControlOptions options(std::size_t i)
    {
        ControlOptions options;
        options.node = m_names[i];
        options.peers = m_names;
        options.seed = m_random();
        return options;
    }

    Random m_random;
    RestartCase m_links;
    TimePoint m_now { 1h };
    std::vector<NodeId> m_names;
    std::map<std::size_t, RecoveredState> m_disks;
    std::map<std::size_t, TimePoint> m_startAt;
    std::map<std::pair<NodeId, NodeId>, TimePoint> m_linkOpensAt;
    std::map<std::size_t, std::unique_ptr<ControlMember>> m_members;
    std::map<std::size_t, std::vector<Write>> m_writes;
    std::vector<Packet> m_packets;
};

class RestartOfAllMembers : public testing::TestWithParam<RestartCase>
{
};

// Guards against a restart of all members that takes several terms: members promise their votes to
// each of several candidates that start within the time of a round trip, or requests are lost.
TEST_P(RestartOfAllMembers, ElectsLeaderInOneTerm)
{
    constexpr std::uint64_t kSeeds = 200;
    constexpr std::uint64_t kMaxSplitElections = kSeeds / 50;
    std::uint64_t split = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        RestartedGroup group(seed, GetParam());
        split += group.termsUntilLeader(10s) > 1 ? 1 : 0;
    }
    EXPECT_LE(split, kMaxSplitElections);
}

// Guards against another election timeout for a request that was lost, or that came before a member
// could vote.
TEST_P(RestartOfAllMembers, ElectsLeaderWithinOneTimeout)
{
    constexpr std::uint64_t kSeeds = 200;
    constexpr std::uint64_t kMaxLateElections = kSeeds / 50;
    // Pre-vote and vote, the longest of them with two repetitions.
    constexpr Duration kElectionExchange = 500ms;
    const Duration limit = GetParam().startSpread + kMaxElectionTimeout + kElectionExchange;
    std::uint64_t late = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        RestartedGroup group(seed, GetParam());
        late += group.termsUntilLeader(limit) == UINT64_MAX ? 1 : 0;
    }
    EXPECT_LE(late, kMaxLateElections);
}

INSTANTIATE_TEST_SUITE_P(Links, RestartOfAllMembers,
                         testing::Values(RestartCase { "SameRegion", 1ms, 200ms },
                                         RestartCase { "Regions", 20ms, 200ms },
                                         RestartCase { "RegionsAtOnce", 20ms, 0ms },
                                         RestartCase { "SlowLinks", 40ms, 200ms },
                                         RestartCase { "BusyMembers", 100ms, 200ms },
                                         RestartCase { "LinksBeingOpened", 20ms, 200ms, 25, false,
                                                       1s }),
                         [](const auto &info) { return info.param.name; });

// Every second message is lost.
INSTANTIATE_TEST_SUITE_P(LossyLinks, RestartOfAllMembers,
                         testing::Values(RestartCase { "HalfLost", 20ms, 200ms, 50 }),
                         [](const auto &info) { return info.param.name; });

class RestartWithDeafMember : public testing::TestWithParam<RestartCase>
{
};

// Guards against a candidate that receives no replies and keeps the others from being elected by
// asking for their votes again and again.
TEST_P(RestartWithDeafMember, ElectsLeaderOneTimeoutLater)
{
    constexpr std::uint64_t kSeeds = 200;
    constexpr std::uint64_t kMaxLateElections = kSeeds / 50;
    constexpr Duration kElectionExchange = 500ms;
    const Duration limit = GetParam().startSpread + 2 * kMaxElectionTimeout + kElectionExchange;
    std::uint64_t late = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        RestartedGroup group(seed, GetParam());
        late += group.termsUntilLeader(limit) == UINT64_MAX ? 1 : 0;
    }
    EXPECT_LE(late, kMaxLateElections);
}

INSTANTIATE_TEST_SUITE_P(Links, RestartWithDeafMember,
                         testing::Values(RestartCase { "SameRegion", 1ms, 200ms, 0, true },
                                         RestartCase { "Regions", 20ms, 200ms, 0, true },
                                         RestartCase { "SlowLinks", 40ms, 200ms, 0, true },
                                         RestartCase { "BusyMembers", 100ms, 200ms, 0, true }),
                         [](const auto &info) { return info.param.name; });

} // namespace
} // namespace shallotlever
