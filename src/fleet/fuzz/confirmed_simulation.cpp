#include "confirmed_simulation.h"

#include <algorithm>
#include <array>

namespace shallotlever::fuzz {

namespace {

constexpr Duration kTick = 50ms;
constexpr Duration kStatusInterval = 500ms;
/// Time from the platform's receipt of an order until the database leads.
constexpr Duration kPromotionDelay = 200ms;
constexpr Duration kMaxOrderDelay = 400ms;
constexpr Duration kMaxCommitDelay = 1s;
constexpr Duration kRecoveryTimeout = 60s;
const ServiceId kService("s");
const std::array<UpstreamId, 4> kIds { UpstreamId("p"), UpstreamId("a"), UpstreamId("b"),
                                       UpstreamId("c") };

} // namespace

std::optional<ConfirmedVariant> confirmedVariantFromName(const std::string &name)
{
    static const std::map<std::string, ConfirmedVariant> kVariants {
        { "none", ConfirmedVariant::None },
        { "skip_unusable", ConfirmedVariant::SkipUnusable },
        { "unheard_is_absent", ConfirmedVariant::UnheardIsAbsent },
        { "ignore_fence", ConfirmedVariant::IgnoreFence },
    };
    const auto variant = kVariants.find(name);
    return variant == kVariants.end() ? std::nullopt : std::optional(variant->second);
}

ConfirmedSimulation::ConfirmedSimulation(std::uint64_t seed, ConfirmedVariant variant)
    : m_variant(variant)
    , m_random(seed)
{
    const std::size_t size = 2 + uniformBelow(m_random, 3);
    for (std::size_t i = 0; i < size; ++i) {
        ConfirmingDatabase &database = m_group.databases[kIds.at(i)];
        database.process = { kIds.at(i), Incarnation(1) };
        database.term = database.newestTerm = Term(1);
        m_announced[kIds.at(i)] = { Incarnation(1) };
        m_state.members[database.process] = {};
    }
    m_group.confirmingReplicas = size == 4 ? 2 : 1;
    m_group.ignoresFences = variant == ConfirmedVariant::IgnoreFence;
    m_group[kIds[0]].role = UpstreamRole::Primary;
    m_state.service = kService;
    m_state.primary = m_used = m_lastUsed = kIds[0];
    m_state.primaryIncarnation = Incarnation(1);
    m_state.term = m_state.reservedTerm = Term(1);
}

bool ConfirmedSimulation::chance(std::uint64_t perMille)
{
    return m_faulty && uniformBelow(m_random, 1000) < perMille;
}

UpstreamId ConfirmedSimulation::anyDatabase()
{
    auto database = m_group.databases.begin();
    std::advance(database,
                 static_cast<std::ptrdiff_t>(uniformBelow(m_random, m_group.databases.size())));
    return database->first;
}

bool ConfirmedSimulation::keepsLog(const UpstreamId &id)
{
    const bool changing = m_state.reservedTerm > m_state.term;
    return (changing && id == m_state.primary) || uniformBelow(m_random, 20) != 0;
}

void ConfirmedSimulation::injectFailure()
{
    const UpstreamId id = anyDatabase();
    ConfirmingDatabase &database = m_group[id];
    Announced &announced = m_announced[id];
    switch (uniformBelow(m_random, 12)) {
    case 0:
        database.running = false;
        break;
    case 1:
    case 2:
        if (database.running)
            break;
        m_group.restart(id, keepsLog(id));
        announced = { database.process.incarnation };
        break;
    case 3:
        announced.state = UpstreamState::Suspected;
        break;
    case 4:
        announced.leaving = true;
        break;
    case 5:
        announced.state = UpstreamState::Live;
        break;
    case 6:
        if (!m_unreachable.erase(id))
            m_unreachable.insert(id);
        break;
    case 7:
        if (!m_group.cutReplicas.erase(id))
            m_group.cutReplicas.insert(id);
        break;
    case 8:
        announced.state = UpstreamState::Live;
        announced.leaving = false;
        break;
    case 9:
        m_change = {};
        m_memberProgress = {};
        m_statuses.clear();
        m_ownReserved = Term();
        m_electedAt = m_now;
        break;
    default:
        m_unreachable.clear();
        m_group.cutReplicas.clear();
        break;
    }
}

/// Silent databases are suspected. A leaving one ends and is started again.
void ConfirmedSimulation::announceAll()
{
    for (auto &[id, announced] : m_announced) {
        ConfirmingDatabase &database = m_group[id];
        if (!database.running && chance(100))
            announced.state = UpstreamState::Suspected;
        if (announced.leaving && database.running && chance(10))
            database.running = false;
    }
}

ConfirmedInput ConfirmedSimulation::makeInput() const
{
    ConfirmedInput input;
    input.group = m_state;
    for (const auto &[id, announced] : m_announced) {
        ConfirmedMember &member = input.members[id];
        member.state = announced.state;
        member.leaving = announced.leaving;
        member.incarnation = announced.incarnation;
        const auto status = m_statuses.find(id);
        if (status == m_statuses.end() || m_statusOf.at(id) != announced.incarnation)
            continue;
        member.status = status->second.first;
        member.statusAskedAt = status->second.second;
        const bool unusable = announced.leaving || announced.state != UpstreamState::Live;
        if (m_variant == ConfirmedVariant::SkipUnusable && unusable && id != m_state.primary)
            member.status->point = HistoryPoint();
    }
    if (m_variant == ConfirmedVariant::UnheardIsAbsent) {
        input.group.members.clear();
        std::erase_if(input.members, [](const auto &item) { return !item.second.status; });
    }
    input.ownReservedTerm = m_ownReserved;
    input.primaryReleased = m_state.reservedTerm > m_state.term && !m_used;
    input.confirmingReplicas = m_group.confirmingReplicas;
    input.registryComplete = m_now >= m_electedAt + 1s;
    return input;
}

bool ConfirmedSimulation::reaches(const UpstreamId &id)
{
    return m_group[id].running && !m_unreachable.contains(id) && !chance(100);
}

void ConfirmedSimulation::answer(const UpstreamId &id)
{
    if (chance(100))
        return;
    m_statuses[id] = { m_group[id].status(), m_now };
    m_statusOf[id] = m_group[id].process.incarnation;
}

void ConfirmedSimulation::applyDecision(const GroupDecision &decision)
{
    if (const auto *reserve = std::get_if<ReserveTerm>(&decision)) {
        if (reserve->term > m_state.reservedTerm)
            m_state.reservedTerm = m_ownReserved = reserve->term;
    } else if (const auto *set = std::get_if<SetPrimary>(&decision)) {
        if (set->term != m_state.reservedTerm)
            return;
        m_state.term = set->term;
        m_state.primary = set->upstream;
        m_state.primaryIncarnation = set->incarnation;
    } else if (const auto *members = std::get_if<ChangeMembers>(&decision)) {
        m_state.members.insert(members->joining.begin(), members->joining.end());
        for (const MemberId &member : members->leaving)
            m_state.members.erase(member);
    }
}

void ConfirmedSimulation::execute(const ConfirmedAction &action)
{
    if (const auto *query = std::get_if<QueryStatus>(&action)) {
        if (reaches(query->upstream))
            answer(query->upstream);
    } else if (const auto *fence = std::get_if<Fence>(&action)) {
        if (!reaches(fence->upstream))
            return;
        m_group.fence(fence->upstream, fence->term);
        answer(fence->upstream);
    } else if (const auto *stepDown = std::get_if<StepDown>(&action)) {
        if (!reaches(stepDown->upstream))
            return;
        m_group.stepDown(stepDown->upstream, stepDown->term);
        answer(stepDown->upstream);
    } else if (const auto *resume = std::get_if<Resume>(&action)) {
        if (!reaches(resume->upstream))
            return;
        m_group[resume->upstream].fencedTerm = Term();
        answer(resume->upstream);
    } else if (const auto *promote = std::get_if<Promote>(&action)) {
        const Announced &announced = m_announced[promote->upstream];
        m_unusablePromoted += announced.leaving || announced.state != UpstreamState::Live;
        m_orders.push_back({ m_group[promote->upstream].process, promote->term,
                             m_now + uniformDuration(m_random, 0ms, kMaxOrderDelay) });
    } else if (const auto *propose = std::get_if<Propose>(&action)) {
        if (!chance(100))
            applyDecision(propose->decision);
    } else {
        ++m_changes;
    }
}

bool ConfirmedSimulation::advanceOrder(Order &order)
{
    if (m_now < order.dueAt)
        return false;
    const UpstreamId &id = order.process.upstream;
    const bool runs = m_group[id].running && m_group[id].process == order.process;
    if (order.received) {
        if (runs)
            m_group.promote(id);
        return true;
    }
    order.received = true;
    const bool refused = !runs || chance(150);
    m_refusals += refused;
    if (!chance(150))
        onPromoteAnswer(m_change, id, order.epoch,
                        refused ? PromotionOutcome::Refused : PromotionOutcome::Accepted, m_now);
    order.dueAt = m_now + kPromotionDelay;
    return refused;
}

void ConfirmedSimulation::stepPlatform()
{
    std::erase_if(m_orders, [&](Order &order) { return advanceOrder(order); });
    m_group.replicate(m_random);
    // A former primary steps down once it hears of a later one.
    Term newest;
    for (const auto &[id, database] : m_group.databases)
        newest = std::max(newest, database.newestTerm);
    for (auto &[id, database] : m_group.databases) {
        if (database.running && !m_group.cutReplicas.contains(id)
            && uniformBelow(m_random, 20) == 0)
            m_group.stepDown(id, newest);
    }
}

void ConfirmedSimulation::stepNodes()
{
    if (uniformBelow(m_random, 3) == 0) {
        const bool changing = m_state.reservedTerm > m_state.term;
        m_used = changing ? std::nullopt : m_state.primary;
    }
    if (m_used) {
        m_lastUsed = *m_used;
        m_lastUsedAt = m_now;
    }
    // What a node sent before it released the primary may arrive after that.
    if (m_used || (m_now < m_lastUsedAt + kMaxCommitDelay && uniformBelow(m_random, 4) == 0))
        m_group.submit(m_lastUsed);
}

void ConfirmedSimulation::stepController()
{
    if (m_change.phase == ConfirmedPhase::Idle
        && uniformBelow(m_random, kStatusInterval / kTick) == 0) {
        for (const auto &[id, announced] : m_announced)
            execute(QueryStatus { id });
    }
    const ConfirmedInput input = makeInput();
    for (const ConfirmedAction &action : stepConfirmedChange(m_change, input, m_now))
        execute(action);
    MemberInput members;
    members.group = input;
    members.changing = m_change.phase != ConfirmedPhase::Idle;
    for (const auto &[process, record] : m_state.members) {
        if (m_announced[process.upstream].incarnation > process.incarnation)
            members.ended.insert(process);
    }
    if (const auto changes = nextMemberChanges(m_memberProgress, members, m_now))
        applyDecision(*changes);
}

void ConfirmedSimulation::step()
{
    m_now += kTick;
    announceAll();
    stepNodes();
    stepPlatform();
    stepController();
}

void ConfirmedSimulation::stepWithFailures()
{
    m_faulty = true;
    if (chance(60))
        injectFailure();
    step();
}

bool ConfirmedSimulation::healAndRecover()
{
    m_faulty = false;
    m_unreachable.clear();
    m_group.cutReplicas.clear();
    for (auto &[id, database] : m_group.databases) {
        if (!database.running)
            m_group.restart(id, true);
        m_announced[id] = { database.process.incarnation };
    }
    const auto serves = [&] {
        return m_change.phase == ConfirmedPhase::Idle && m_used == m_state.primary && m_used
            && m_group[*m_used].role == UpstreamRole::Primary;
    };
    for (const TimePoint end = m_now + kRecoveryTimeout; m_now < end;) {
        step();
        if (serves() && m_state.term == m_state.reservedTerm)
            return true;
    }
    return false;
}

} // namespace shallotlever::fuzz
