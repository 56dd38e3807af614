#include "simulation.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace shallotlever::fuzz {

namespace {

constexpr std::size_t kMostDatabases = 5;
/// Entries per step once failures, slow replication among them, are repaired.
constexpr std::size_t kRepairedStep = 256;
constexpr std::size_t kNodes = 4;
constexpr std::size_t kControllers = 2;
/// Simulated time in which a write must be acknowledged after every failure has been repaired.
constexpr Duration kRecoveryTime = 60s;

const ServiceId kService("group");

std::string controllerName(std::size_t index)
{
    return absl::StrCat("controller", index);
}

std::string nodeName(std::size_t index)
{
    return absl::StrCat("node", index);
}

std::string databaseName(std::size_t index)
{
    return absl::StrCat("db", index);
}

struct DecisionRules
{
    GroupState &group;

    bool idle() const { return group.reservedTerm == group.term; }
    bool operator()(const JoinVotingSet &d) const
    {
        return idle() && group.votingSet.insert(d.upstream).second;
    }
    bool operator()(const LeaveVotingSet &d) const
    {
        return idle() && group.primary != d.upstream && group.votingSet.erase(d.upstream) > 0;
    }
    bool operator()(const ReserveTerm &d) const
    {
        const bool accepted = d.term > group.reservedTerm;
        group.reservedTerm = std::max(group.reservedTerm, d.term);
        return accepted;
    }
    bool operator()(const SetPrimary &d) const
    {
        if (d.term != group.reservedTerm || idle() || !group.votingSet.contains(d.upstream))
            return false;
        group.term = d.term;
        group.primary = d.upstream;
        return true;
    }
    /// Only for groups whose databases confirm commits themselves.
    bool operator()(const ChangeMembers &) const { return false; }
};

} // namespace

std::optional<Variant> variantFromName(const std::string &name)
{
    static const std::map<std::string, Variant> kNames {
        { "none", Variant::None },
        { "no_fence", Variant::NoFence },
        { "ack_without_majority", Variant::AckWithoutMajority },
        { "ack_without_lease", Variant::AckWithoutLease },
        { "majority_of_announcing", Variant::MajorityOfAnnouncing },
        { "publish_without_confirm", Variant::PublishWithoutConfirm },
        { "shared_term", Variant::SharedTerm },
        { "read_any_replica", Variant::ReadAnyReplica },
        { "no_voting_barrier", Variant::NoVotingBarrier },
    };
    const auto found = kNames.find(name);
    return found == kNames.end() ? std::nullopt : std::optional(found->second);
}

bool applyDecision(GroupState &group, const GroupDecision &decision)
{
    return std::visit(DecisionRules { group }, decision);
}

Simulation::Simulation(std::uint64_t seed, Variant variant)
    : m_random(seed)
    , m_variant(variant)
    , m_now(TimePoint(Duration(1s)))
{
    const std::size_t databases = 3 + uniformBelow(m_random, kMostDatabases - 2);
    m_failureOneIn = 10U << uniformBelow(m_random, 4);
    m_replicationOneIn = 2U << uniformBelow(m_random, 4);
    for (std::size_t i = 0; i < databases; ++i) {
        const UpstreamId id(databaseName(i));
        m_databases[id].id = id;
    }
    m_databases[UpstreamId(databaseName(0))].role = UpstreamRole::Primary;
    m_group.service = kService;
    m_nodes.resize(kNodes);
    for (std::size_t i = 0; i < kNodes; ++i) {
        m_nodes[i].id = NodeId(nodeName(i));
        m_nodes[i].freshness.incarnation = Incarnation(1);
    }
    m_controllers.resize(kControllers);
    elect();
}

void Simulation::violation(const std::string &text)
{
    m_violations.push_back(
        absl::StrCat("at ", m_now.time_since_epoch().count() / 1000, " ms: ", text));
}

bool Simulation::linked(const std::string &from, const std::string &to) const
{
    return !m_cuts.contains({ from, to });
}

void Simulation::send(const std::string &from, const std::string &to, std::function<void()> deliver)
{
    const Duration delay = chance(50) ? uniformDuration(m_random, 100ms, 1500ms)
                                      : uniformDuration(m_random, 1ms, 60ms);
    m_messages.push_back(
        { .at = m_now + delay, .from = from, .to = to, .deliver = std::move(deliver) });
}

void Simulation::deliverMessages()
{
    std::vector<Message> due;
    std::vector<Message> later;
    for (Message &message : m_messages)
        (message.at <= m_now ? due : later).push_back(std::move(message));
    m_messages = std::move(later);
    for (const Message &message : due) {
        if (linked(message.from, message.to))
            message.deliver();
    }
}

void Simulation::injectFailure()
{
    const auto name = [this] {
        switch (uniformBelow(m_random, 3)) {
        case 0:
            return databaseName(uniformBelow(m_random, m_databases.size()));
        case 1:
            return nodeName(uniformBelow(m_random, kNodes));
        default:
            return controllerName(uniformBelow(m_random, kControllers));
        }
    };
    Database &db =
        m_databases.at(UpstreamId(databaseName(uniformBelow(m_random, m_databases.size()))));
    switch (uniformBelow(m_random, 10)) {
    case 0:
        db.up = !db.up;
        // A restarted database may come back in either role; its log and fence are kept.
        // Before the first primary is recorded, nothing else tells which database was primary.
        if (db.up && m_group.primary && chance(2))
            db.role = UpstreamRole::Replica;
        break;
    case 1:
        db.leaving = !db.leaving;
        break;
    case 2:
        elect();
        break;
    case 3: {
        // Isolates one process from all others, sometimes in one direction only.
        const std::string isolated = name();
        for (const auto &[id, other] : m_databases) {
            m_cuts.insert({ isolated, id.value() });
            if (chance(2))
                m_cuts.insert({ id.value(), isolated });
        }
        break;
    }
    case 4:
        // A node keeps its links to the databases, but its view becomes old.
        isolateFromControllers(nodeName(uniformBelow(m_random, kNodes)));
        break;
    case 5:
        m_slow = db.id;
        break;
    case 6:
    case 7:
        m_cuts.insert({ name(), name() });
        break;
    default:
        // A node that has lost the controller often stays so while the databases recover.
        std::erase_if(m_cuts, [this](const auto &cut) {
            return !cut.first.starts_with("controller") || chance(4);
        });
        for (auto &[id, other] : m_databases) {
            other.up = other.up || chance(2);
            other.leaving = other.leaving && chance(2);
        }
    }
}

void Simulation::isolateFromControllers(const std::string &name)
{
    for (std::size_t i = 0; i < kControllers; ++i) {
        m_cuts.insert({ name, controllerName(i) });
        m_cuts.insert({ controllerName(i), name });
    }
}

void Simulation::elect()
{
    m_log.term = m_log.term.next();
    for (Controller &controller : m_controllers)
        controller.leading = false;
    Controller &next = m_controllers[uniformBelow(m_random, kControllers)];
    const FleetLog fleet = next.fleet;
    next = {};
    next.leading = true;
    next.active = true;
    next.term = m_log.term;
    next.since = m_now;
    next.fleet = m_nodes[uniformBelow(m_random, kNodes)].fleet;
    next.registry = seedRegistry(next.fleet.state, {}, m_now);
    next.registry.services.insert(kService);
    next.leases = makeLeaseTable(m_now);
    next.shares = makeShareSet(next.term);
    next.state.config.services[kService] = { kService };
    applyLog(next);
}

void Simulation::stepWithFailures()
{
    m_failing = true;
    if (chance(m_failureOneIn))
        injectFailure();
    tick();
}

void Simulation::tick()
{
    m_now += kTick;
    deliverMessages();
    stepDatabases();
    for (std::size_t i = 0; i < m_nodes.size(); ++i)
        stepNode(i);
    for (std::size_t i = 0; i < m_controllers.size(); ++i)
        stepController(i);
}

void Simulation::healAndRecover()
{
    m_failing = false;
    m_cuts.clear();
    m_slow = UpstreamId();
    for (auto &[id, db] : m_databases) {
        db.up = true;
        db.leaving = false;
    }
    const std::uint64_t first = m_nextWrite;
    const TimePoint deadline = m_now + kRecoveryTime;
    while (m_now < deadline && m_violations.empty()) {
        tick();
        if (!m_acked.empty() && m_acked.rbegin()->first >= first)
            break;
    }
    // A broken variant must be detected by a rule that it breaks, not by standing still.
    const bool recovered = !m_acked.empty() && m_acked.rbegin()->first >= first;
    if (!recovered && m_variant == Variant::None)
        violation(absl::StrCat("no write is acknowledged after all failures were repaired; ",
                               describe()));
    checkOffice();
}

std::string Simulation::describe() const
{
    std::string text =
        absl::StrCat("term ", m_group.term.value(), " reserved ", m_group.reservedTerm.value(),
                     " primary ", m_group.primary ? m_group.primary->value() : "none", " set");
    for (const UpstreamId &member : m_group.votingSet)
        absl::StrAppend(&text, " ", member.value());
    for (const auto &[id, db] : m_databases) {
        absl::StrAppend(&text, "; ", id.value(), " term ", db.term.value(), " fenced ",
                        db.fenced.value(), " length ", db.log.size(),
                        db.role == UpstreamRole::Primary ? " primary" : "");
    }
    for (const Controller &controller : m_controllers) {
        absl::StrAppend(&text, "; controller term ", controller.term.value(),
                        controller.leading ? " leading" : "", controller.active ? " active" : "",
                        " phase ", static_cast<int>(controller.change.phase), " at ",
                        controller.change.term.value());
    }
    return text;
}

void Simulation::stepDatabases()
{
    for (auto &[id, db] : m_databases) {
        for (const auto &[other, primary] : m_databases) {
            const bool reachable =
                linked(id.value(), other.value()) && linked(other.value(), id.value());
            if (id != other && reachable && chance(m_replicationOneIn))
                replicate(db, primary, replicationStep(id));
        }
        if (db.up && m_now >= m_nextAnnouncement[id])
            announce(db);
    }
}

std::size_t Simulation::replicationStep(const UpstreamId &replica)
{
    if (!m_failing)
        return kRepairedStep;
    if (replica == m_slow)
        return chance(10) ? 1 : 0;
    return uniformBelow(m_random, 2ULL * m_replicationOneIn);
}

void Simulation::announce(Database &db)
{
    m_nextAnnouncement[db.id] = m_now + Duration(1s);
    const UpstreamStatus status = statusOf(db);
    HeardAnnouncement heard;
    heard.announcement = { .upstream = db.id,
                           .service = kService,
                           .dataCentre = DataCentreId("a"),
                           .endpoint = { .host = "10.0.0.1", .port = 5432 },
                           .slots = 4,
                           .connectionLimit = 8,
                           .role = status.role,
                           .point = status.point,
                           .leaving = db.leaving };
    const std::size_t node = uniformBelow(m_random, kNodes);
    send(db.id.value(), nodeName(node), [this, node, heard] {
        m_nodes[node].heard.push_back(heard);
        m_nodes[node].heardAt.push_back(m_now);
    });
}

void Simulation::checkPromotion(const UpstreamId &id, Term term)
{
    const auto [held, isNew] = m_promoted.try_emplace(term, id);
    if (!isNew && held->second != id)
        violation(absl::StrCat("term ", term.value(), " has two primaries"));
}

void Simulation::checkOffice()
{
    if (!m_group.primary)
        return;
    const Database &office = m_databases.at(*m_group.primary);
    for (const auto &[write, point] : m_acked) {
        if (point.term < m_group.term && !holdsWrite(office, write)) {
            violation(absl::StrCat("acknowledged write ", write, " of term ", point.term.value(),
                                   " is missing at the primary of term ", m_group.term.value()));
            return;
        }
    }
}

} // namespace shallotlever::fuzz
