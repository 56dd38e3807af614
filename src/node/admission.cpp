#include "admission.h"

namespace shallotlever {

namespace {

/// Upper limit of a caller's deadline, so that a request does not hold a slot forever.
constexpr std::chrono::milliseconds kMaxDeadline { 60'000 };

Error errorOf(ErrorKind kind, std::string message = {})
{
    return { kind, std::move(message), std::nullopt };
}

const ServiceId *serviceOf(const EdgeRequest &request)
{
    return std::visit(
        [](const auto &typed) -> const ServiceId * {
            if constexpr (requires { typed.service; })
                return &typed.service;
            else
                return nullptr;
        },
        request);
}

bool isWriteRequest(const EdgeRequest &request)
{
    if (const auto *statement = std::get_if<StatementRequest>(&request))
        return statement->mode == AccessMode::Write && !statement->transaction;
    if (const auto *begin = std::get_if<BeginRequest>(&request))
        return begin->mode == AccessMode::Write;
    return false;
}

TimePoint deadlineOf(const CallerContext &caller, const PresetPolicy &policy)
{
    const std::chrono::milliseconds budget = caller.deadline.value_or(policy.defaultDeadline);
    return caller.receivedAt + std::min(budget, kMaxDeadline);
}

bool isOperator(const CallerContext &caller, const NodeSnapshot &snapshot,
                const NodeSecrets &secrets)
{
    const KeyConfig *key = authenticate(caller.bearerKey, snapshot.keys);
    if (key != nullptr)
        return key->role == KeyRole::Operator;
    return secrets.operatorKey && secretMatches(caller.bearerKey, *secrets.operatorKey);
}

Admission admitOperator(const CallerContext &caller, const EdgeRequest &request,
                        const NodeSnapshot &snapshot, const NodeSecrets &secrets,
                        TimePoint freshUntil, TimePoint now)
{
    if (caller.bearerKey.empty())
        return errorOf(ErrorKind::MissingKey);
    if (!isOperator(caller, snapshot, secrets))
        return errorOf(ErrorKind::InvalidKey);
    const bool isChange = std::holds_alternative<ChangeRequest>(request);
    if (isChange && now >= freshUntil)
        return errorOf(ErrorKind::NoController);
    return AdmittedControl {};
}

Admission admitAnnouncement(const CallerContext &caller, const AnnounceRequest &request,
                            const NodeSnapshot &snapshot, TimePoint freshUntil, TimePoint now)
{
    if (caller.bearerKey.empty())
        return errorOf(ErrorKind::MissingKey);
    // Without a lease the controller receives no reports from this node, so the upstream must try
    // another.
    if (now >= freshUntil)
        return errorOf(ErrorKind::ConfigStale);
    const KeyConfig *key = authenticate(caller.bearerKey, snapshot.keys);
    if (key == nullptr || key->role != KeyRole::Upstream)
        return errorOf(ErrorKind::InvalidKey);
    if (key->service != request.announcement.service)
        return errorOf(ErrorKind::NotAllowed, "the credential belongs to another service");
    return AdmittedControl {};
}

Admission admitRoute(const CallerContext &caller, const OpenRouteRequest &request,
                     const NodeSnapshot &snapshot)
{
    const auto route = snapshot.routes.find(request.route);
    if (route == snapshot.routes.end())
        return errorOf(ErrorKind::UnknownRoute);
    const auto service = snapshot.services.find(route->second.service);
    if (service == snapshot.services.end())
        return errorOf(ErrorKind::UnknownService);
    AdmittedWork work;
    work.service = service->second;
    work.route = route->second;
    work.deadline = deadlineOf(caller, snapshot.policy);
    return work;
}

/// Sets the work's session token, a new one if the caller sent none. Returns false if the caller's
/// token is forged or belongs to another team.
bool resolveSession(const CallerContext &caller, const NodeSecrets &secrets, AdmittedWork &work)
{
    if (caller.sessionToken.empty()) {
        work.token = { SessionId(randomId()), work.team, {} };
        return true;
    }
    absl::StatusOr<SessionToken> token = decodeToken(caller.sessionToken, secrets.session);
    if (!token.ok() || token->team != work.team)
        return false;
    work.token = std::move(*token);
    return true;
}

Admission admitCaller(const CallerContext &caller, const EdgeRequest &request,
                      const NodeSnapshot &snapshot, const NodeSecrets &secrets,
                      TimePoint freshUntil, TimePoint now)
{
    if (caller.bearerKey.empty())
        return errorOf(ErrorKind::MissingKey);
    if (now >= freshUntil)
        return errorOf(ErrorKind::ConfigStale);
    const KeyConfig *key = authenticate(caller.bearerKey, snapshot.keys);
    if (key == nullptr || key->role != KeyRole::Caller)
        return errorOf(ErrorKind::InvalidKey);
    const auto team = snapshot.teams.find(key->team);
    if (team == snapshot.teams.end())
        return errorOf(ErrorKind::InvalidKey);
    const ServiceId &id = *serviceOf(request);
    const auto service = snapshot.services.find(id);
    if (service == snapshot.services.end())
        return errorOf(ErrorKind::UnknownService);
    const std::set<ServiceId> &allowed = team->second.config.services;
    if (!allowed.empty() && !allowed.contains(id))
        return errorOf(ErrorKind::NotAllowed);
    if (isWriteRequest(request) && !snapshot.policy.writesAllowed)
        return errorOf(ErrorKind::NotAllowed, "the preset in force refuses writes");
    AdmittedWork work;
    work.service = service->second;
    work.bucket = team->second.bucket;
    work.counters = team->second.counters;
    work.team = key->team;
    work.deadline = deadlineOf(caller, snapshot.policy);
    work.rateWait = snapshot.policy.rateWait;
    if (!resolveSession(caller, secrets, work))
        return errorOf(ErrorKind::InvalidSession);
    return work;
}

} // namespace

Admission admit(const CallerContext &caller, const EdgeRequest &request,
                const NodeSnapshot &snapshot, const NodeSecrets &secrets, TimePoint freshUntil,
                TimePoint now)
{
    if (const auto *route = std::get_if<OpenRouteRequest>(&request))
        return admitRoute(caller, *route, snapshot);
    if (const auto *announce = std::get_if<AnnounceRequest>(&request))
        return admitAnnouncement(caller, *announce, snapshot, freshUntil, now);
    if (serviceOf(request) != nullptr)
        return admitCaller(caller, request, snapshot, secrets, freshUntil, now);
    return admitOperator(caller, request, snapshot, secrets, freshUntil, now);
}

} // namespace shallotlever
