#include <algorithm>

#include "simulation.h"

namespace shallotlever::fuzz {

namespace {

constexpr std::size_t kMostWaitingWrites = 30;

/// The databases of a group are in different data centres, named by the last letter of their ids.
DataCentreId dataCentreOf(const UpstreamId &id)
{
    return DataCentreId("d" + id.value().substr(id.value().size() - 1));
}

} // namespace

Database *Simulation::findDatabase(const UpstreamId &id)
{
    for (Group &group : m_groups) {
        for (Database &db : group.databases) {
            if (db.id == id)
                return &db;
        }
    }
    throw Violation("the fleet holds an upstream that never announced itself");
}

/// A node that cannot send to the others does not reach databases either.
bool Simulation::reaches(const Host &host, const Database &db) const
{
    const std::vector<bool> &cut = m_cut[host.index];
    return db.up && std::count(cut.begin(), cut.end(), true) < 2;
}

void Simulation::announce(Group &group, Database &db)
{
    Host &host = anyHost();
    if (!host.up)
        return;
    Announcement announcement;
    announcement.upstream = db.id;
    announcement.service = group.service;
    announcement.dataCentre = dataCentreOf(db.id);
    announcement.endpoint = { db.id.value(), 5432 };
    announcement.slots = 5;
    announcement.connectionLimit = kConnectionLimit;
    announcement.role = db.role;
    announcement.point = statusOf(db).point;
    host.heard.insert_or_assign(db.id, std::pair(announcement, clockOf(host)));
}

void Simulation::write(Group &group)
{
    const Host &host = anyHost();
    if (!host.up || !isFresh(host.view.freshness, clockOf(host))
        || group.waiting.size() >= kMostWaitingWrites)
        return;
    const auto view = host.view.fleet.state.view.groups.find(group.service);
    if (view == host.view.fleet.state.view.groups.end() || !view->second.primary)
        return;
    Database *primary = findDatabase(*view->second.primary);
    if (isEvacuated(host.view.replicated.cluster.config, dataCentreOf(primary->id)))
        return;
    if (!reaches(host, *primary))
        return;
    const std::uint64_t id = m_nextWrite++;
    if (const auto point = commit(*primary, id); point && point->term == view->second.term)
        group.waiting.push_back({ id, host.index, *point });
}

/// Acknowledges writes that a majority of the voting set holds, as their node sees the set.
void Simulation::acknowledge(Group &group)
{
    std::erase_if(group.waiting, [&](const Group::Write &write) {
        const Host &host = m_hosts[write.host];
        const auto view = host.view.fleet.state.view.groups.find(group.service);
        if (!host.up || !isFresh(host.view.freshness, clockOf(host))
            || view == host.view.fleet.state.view.groups.end()
            || view->second.term != write.point.term)
            return true;
        const std::set<UpstreamId> &voters = view->second.votingSet;
        const auto holders = std::count_if(voters.begin(), voters.end(), [&](const auto &id) {
            const Database &db = *findDatabase(id);
            return reaches(host, db) && db.term == write.point.term
                && statusOf(db).point.position >= write.point.position;
        });
        if (static_cast<std::size_t>(holders) < majorityOf(voters.size()))
            return false;
        group.acknowledged.push_back(write.id);
        return true;
    });
}

void Simulation::stepDatabases()
{
    for (Group &group : m_groups) {
        for (Database &db : group.databases) {
            if (m_faulty && db.up && chance(3000))
                db.up = false;
            else if (!db.up && (!m_faulty || chance(400)))
                db.up = true;
            if (db.up && chance(100))
                announce(group, db);
            for (const Database &primary : group.databases) {
                if (db.id != primary.id && chance(3))
                    replicate(db, primary, 1 + uniformBelow(m_random, 4));
            }
        }
        if (chance(10))
            write(group);
        acknowledge(group);
    }
}

/// Each group has a primary in office that holds every acknowledged write.
bool Simulation::groupsServe()
{
    const Host *host = controller();
    if (host == nullptr)
        return false;
    return std::all_of(m_groups.begin(), m_groups.end(), [&](const Group &group) {
        const auto state = host->state.cluster.groups.find(group.service);
        if (state == host->state.cluster.groups.end() || !state->second.primary)
            return false;
        const Database &primary = *findDatabase(*state->second.primary);
        return primary.role == UpstreamRole::Primary && primary.term == state->second.term
            && std::all_of(group.acknowledged.begin(), group.acknowledged.end(),
                           [&](std::uint64_t id) { return holdsWrite(primary, id); });
    });
}

bool Simulation::mayWork(const Host &host, const UpstreamInfo &info) const
{
    return isFresh(host.view.freshness, clockOf(host)) && info.state == UpstreamState::Live
        && (m_options.viewOnly
            || !isEvacuated(host.view.replicated.cluster.config, info.dataCentre));
}

void Simulation::useDatabases(const Host &host) const
{
    for (const auto &[service, group] : host.view.fleet.state.view.groups) {
        for (const auto &[id, info] : group.upstreams) {
            if (host.up && mayWork(host, info))
                m_configOracle.works(host.id.value(), info.dataCentre);
        }
    }
}

bool Simulation::evacuated()
{
    const Host *leader = controller();
    if (leader == nullptr)
        return false;
    const std::set<DataCentreId> evacuated = evacuatedDataCentres(leader->state.cluster.config);
    const auto shows = [&](const GroupView &group) {
        bool mayLead = false;
        for (const auto &[id, info] : group.upstreams) {
            const bool leaves = evacuated.contains(info.dataCentre);
            if ((info.state == UpstreamState::Live) == leaves)
                return false;
            mayLead = mayLead || !leaves;
        }
        return !mayLead || (group.primary && !evacuated.contains(dataCentreOf(*group.primary)));
    };
    return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const Host &host) {
        const auto &groups = host.view.fleet.state.view.groups;
        return std::all_of(groups.begin(), groups.end(),
                           [&](const auto &group) { return shows(group.second); });
    });
}

} // namespace shallotlever::fuzz
