#include "runner.h"

#include <QJsonDocument>

#include "absl/strings/str_cat.h"
#include "runner_impl.h"

namespace shallotlever::load {

namespace {

constexpr std::chrono::milliseconds kTick { 1 };
/// Added to the deadline sent with a request before the tool gives an answer up as lost.
constexpr int kAnswerMarginMs = 1500;
constexpr int kMaxAttempts = 6;
constexpr std::chrono::milliseconds kRepeatPause { 200 };

std::vector<double> cumulative(const std::array<double, kKindCount> &mix)
{
    std::vector<double> sums;
    double sum = 0;
    for (const double weight : mix)
        sums.push_back(sum += weight);
    return sums;
}

QByteArray compact(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

std::uint64_t numberAt(const QJsonObject &answer, int column)
{
    return answer["rows"][0][column].toString().toULongLong();
}

} // namespace

Runner::Runner(Workload workload, std::map<std::string, std::string> keys, RunOptions options)
    : m_workload(std::move(workload))
    , m_keys(std::move(keys))
    , m_options(std::move(options))
    , m_nodes(m_options.ports, m_options.connectionsPerNode)
    , m_random(m_workload.seed)
{
    for (const TeamLoad &load : m_workload.teams) {
        const std::size_t index = m_teams.size();
        // Boards carry no key and take no token, so they come on top of the team's rate.
        const double arrivals = load.ratePerSecond / std::max(requestsPerArrival(load), 0.05);
        m_teams.push_back(std::make_unique<Team>(
            Team { load,
                   index,
                   QByteArray::fromStdString("Bearer " + m_keys[load.id]),
                   ArrivalProcess(arrivals, load.phases, m_workload.seed + 1000 + index),
                   RateAccount(load.ratePerSecond, load.burst),
                   {},
                   0 }));
        for (int i = 0; i < load.sessions; ++i)
            m_teams.back()->sessions.push_back(std::make_unique<Session>());
        m_teams.back()->nextArrival = m_teams.back()->arrivals.next();
    }
}

Runner::~Runner() = default;

void Runner::start(std::function<void()> done)
{
    m_done = std::move(done);
    m_clock.start();
    connect(&m_timer, &QTimer::timeout, this, &Runner::sendDue);
    m_timer.setTimerType(Qt::PreciseTimer);
    m_timer.start(kTick);
}

void Runner::sendDue()
{
    const double time = now();
    for (const auto &team : m_teams) {
        while (team->nextArrival <= std::min(time, m_options.durationSeconds)) {
            startRequest(*team, team->nextArrival);
            team->nextArrival = team->arrivals.next();
        }
    }
    if (time < m_options.durationSeconds || m_open > 0 || m_readingBack)
        return;
    m_timer.stop();
    m_readingBack = true;
    m_statistics.finish(m_options.durationSeconds);
    readBack();
}

Kind Runner::drawKind(const Team &team)
{
    const std::vector<double> sums = cumulative(team.load.mix);
    const double drawn = uniformUnit(m_random) * sums.back();
    const auto found = std::upper_bound(sums.begin(), sums.end(), drawn);
    return static_cast<Kind>(std::min<std::ptrdiff_t>(found - sums.begin(), kKindCount - 1));
}

std::string Runner::newId()
{
    return absl::StrCat("w", m_workload.seed, "-", ++m_nextId);
}

std::size_t Runner::nodeFor(const Team &team)
{
    if (m_options.moveSeconds <= 0)
        return m_nodes.readyAtRandom(m_random);
    return m_nodes.readyFrom(team.index + static_cast<std::size_t>(now() / m_options.moveSeconds));
}

Runner::Session *Runner::takeSession(Team &team)
{
    const std::size_t count = team.sessions.size();
    const std::size_t first = uniformBelow(m_random, count);
    for (std::size_t i = 0; i < count; ++i) {
        Session &session = *team.sessions[(first + i) % count];
        if (!std::exchange(session.busy, true))
            return &session;
    }
    team.sessions.push_back(std::make_unique<Session>(Session { {}, true }));
    return team.sessions.back().get();
}

void Runner::startRequest(Team &team, double intended)
{
    const auto call = std::make_shared<Call>();
    call->team = &team;
    call->kind = drawKind(team);
    call->id = newId();
    call->intended = intended;
    call->node = nodeFor(team);
    ++m_open;
    if (call->kind == Kind::Board) {
        const auto &route = m_workload.routes[uniformBelow(m_random, m_workload.routes.size())];
        call->service = route.service;
        call->other = route.id;
        HttpRequest request;
        request.method = "GET";
        request.path = QByteArray::fromStdString("/v1/open/" + route.id);
        request.timeout = std::chrono::milliseconds(m_workload.deadlineMs + kAnswerMarginMs);
        m_nodes.send(call->node, request, [this, call](const HttpReply &reply) {
            onReply(call, reply, false, &Runner::afterBoard);
        });
        return;
    }
    call->session = takeSession(team);
    call->service = team.load.services[uniformBelow(m_random, team.load.services.size())];
    if (call->kind == Kind::StaleRead)
        startRead(call);
    else if (call->kind == Kind::Transaction)
        startTransaction(call);
    else
        startWrite(call);
}

QJsonArray Runner::readParams(const CallPtr &call) const
{
    return { QString::fromStdString(call->id), QString::fromStdString(call->other) };
}

void Runner::startRead(const CallPtr &call)
{
    QJsonObject body { { "sql",
                         QStringLiteral("SELECT $1 AS echo, count(*) AS n FROM %1 WHERE id = $2")
                             .arg(QLatin1String(kLoadTable)) },
                       { "params", readParams(call) },
                       { "mode", "read" } };
    if (call->kind == Kind::StaleRead)
        body.insert("max_staleness_ms", call->team->load.maxStalenessMs);
    sendCall(call, "statements", compact(body), &Runner::afterRead);
}

void Runner::startOwnRead(const CallPtr &write)
{
    const auto call = std::make_shared<Call>();
    call->team = write->team;
    call->session = write->session;
    call->kind = Kind::OwnRead;
    call->service = write->service;
    call->id = newId();
    call->other = write->id;
    call->intended = now();
    call->node = m_options.moveSeconds > 0 ? write->node : m_nodes.readyFrom(write->node + 1);
    ++m_open;
    call->session->busy = true;
    startRead(call);
}

QByteArray Runner::statementBody(const CallPtr &call, const std::string &row) const
{
    QJsonObject body { { "sql",
                         QStringLiteral("INSERT INTO %1 (id, kind) VALUES ($1, $2) RETURNING id")
                             .arg(QLatin1String(kLoadTable)) },
                       { "params",
                         QJsonArray { QString::fromStdString(row),
                                      QString::fromStdString(std::string(kindName(call->kind))) } },
                       { "mode", "write" } };
    if (!call->transaction.isEmpty())
        body.insert("transaction", call->transaction);
    return compact(body);
}

void Runner::startWrite(const CallPtr &call)
{
    m_checker.registerWrite(call->id, { call->service, call->kind, WriteState::Pending, {} });
    sendCall(call, "statements", statementBody(call, call->id), &Runner::afterWrite);
}

void Runner::startTransaction(const CallPtr &call)
{
    call->other = newId();
    m_checker.registerWrite(call->id,
                            { call->service, call->kind, WriteState::Pending, call->other });
    m_checker.registerWrite(call->other,
                            { call->service, call->kind, WriteState::Pending, call->id });
    transactionStep(call);
}

void Runner::transactionStep(const CallPtr &call)
{
    const QByteArray transaction = "transactions/" + call->transaction.toUtf8();
    switch (call->step) {
    case 0:
        return sendCall(call, "transactions", R"({"mode":"write"})", &Runner::afterStep);
    case 1:
        return sendCall(call, "statements", statementBody(call, call->id), &Runner::afterStep);
    case 2:
        return sendCall(call, "statements", statementBody(call, call->other), &Runner::afterStep);
    default:
        return sendCall(call, transaction + "/commit", "{}", &Runner::afterStep);
    }
}

void Runner::sendCall(const CallPtr &call, const QByteArray &path, const QByteArray &body,
                      Then then)
{
    HttpRequest request;
    request.path = "/v1/services/" + QByteArray::fromStdString(call->service) + "/" + path;
    request.body = body;
    request.timeout = std::chrono::milliseconds(m_workload.deadlineMs + kAnswerMarginMs);
    request.headers = { { "Authorization", call->team->authorization },
                        { "Content-Type", "application/json" },
                        { "Shallotlever-Deadline-Ms", QByteArray::number(m_workload.deadlineMs) } };
    if (!call->session->token.isEmpty())
        request.headers.append({ "Shallotlever-Session", call->session->token });
    if (call->kind == Kind::Idempotent) {
        request.headers.append({ "Idempotency-Key", QByteArray::fromStdString(call->id) });
        call->dropped = call->attempt == 1 && uniformUnit(m_random) < m_workload.lostAnswers;
    }
    request.dropAnswer = call->dropped;
    const bool takesToken = !path.endsWith("/commit");
    if (takesToken)
        call->insideRate = call->team->account.takeAt(now());
    m_nodes.send(call->node, request, [this, call, takesToken, then](const HttpReply &reply) {
        onReply(call, reply, takesToken, then);
    });
}

void Runner::onReply(const CallPtr &call, const HttpReply &reply, bool takesToken, Then then)
{
    call->lost = reply.transport == Transport::Lost;
    call->answer = QJsonDocument::fromJson(reply.body).object();
    call->error.clear();
    call->outcome.clear();
    if (reply.transport != Transport::Answered) {
        const char *lost = call->dropped ? "dropped_by_tool" : "connection_lost";
        call->error = call->lost ? lost : "not_sent";
        call->outcome = call->lost ? "unknown" : "not_run";
    } else if (reply.status != 200) {
        const QJsonObject error = call->answer.value("error").toObject();
        call->error = error["kind"].toString("http_error").toStdString();
        call->outcome = error["outcome"].toString("unknown").toStdString();
    }
    // Transactions that end early are counted by their last request.
    Outcome outcome { call->team->load.id, call->service, call->kind, call->error };
    outcome.replica = call->answer.value("replica").toBool();
    outcome.degraded = call->answer.value("degraded").toBool();
    outcome.repeated = call->answer.value("repeated").toBool();
    // Nobody can tell whether a send that the tool abandoned would have been answered.
    outcome.takesToken = takesToken && !call->dropped;
    outcome.insideRate = call->insideRate;
    outcome.endSeconds = now();
    outcome.latencyMs = (outcome.endSeconds - call->intended) * 1000;
    m_statistics.record(outcome);
    if (call->session != nullptr && call->answer.contains("session"))
        call->session->token = call->answer.value("session").toString().toUtf8();
    (this->*then)(call);
}

void Runner::afterBoard(const CallPtr &call)
{
    const auto rows = static_cast<std::uint64_t>(call->answer.value("rows").toArray().size());
    const auto at = static_cast<int>(call->intended * 1000);
    const auto took = static_cast<int>((now() - call->intended) * 1000);
    m_checker.checkBoard(absl::StrCat(call->other, " at ", at, " ms, took ", took, " ms"), rows,
                         call->error);
    finishCall(call);
}

void Runner::afterRead(const CallPtr &call)
{
    if (call->error.empty()) {
        m_checker.checkEcho(call->id, call->answer.value("rows")[0][0].toString().toStdString());
        if (call->kind == Kind::OwnRead)
            m_checker.checkOwnWrite(call->other, numberAt(call->answer, 1));
    }
    finishCall(call);
}

bool Runner::repeatWrite(const CallPtr &call)
{
    const bool notRun = call->outcome == "not_run";
    const bool mayRepeat = call->kind == Kind::Idempotent ? notRun || call->outcome == "unknown"
                                                          : call->kind == Kind::Write && notRun;
    if (!mayRepeat || call->attempt >= kMaxAttempts)
        return false;
    ++call->attempt;
    QTimer::singleShot(kRepeatPause, this, [this, call] {
        // A repeat by the caller goes through another node.
        call->node = m_nodes.readyFrom(call->node + 1);
        call->intended = now();
        sendCall(call, "statements", statementBody(call, call->id), &Runner::afterWrite);
    });
    return true;
}

void Runner::afterWrite(const CallPtr &call)
{
    call->mayHaveRun = call->mayHaveRun || call->outcome == "unknown";
    if (call->error.empty())
        m_checker.checkEcho(call->id, call->answer.value("rows")[0][0].toString().toStdString());
    else if (repeatWrite(call))
        return;
    settleWrite(call);
}

void Runner::settleWrite(const CallPtr &call)
{
    WriteState state = WriteState::Acknowledged;
    if (!call->error.empty())
        state = call->mayHaveRun ? WriteState::Unknown : WriteState::NotRun;
    m_checker.setState(call->id, state);
    if (call->kind == Kind::Transaction)
        m_checker.setState(call->other, state);
    finishCall(call);
    if (call->error.empty() && uniformUnit(m_random) < call->team->load.readAfterWrite)
        startOwnRead(call);
}

void Runner::afterStep(const CallPtr &call)
{
    constexpr int kCommitStep = 3;
    if (call->error.empty() && call->step < kCommitStep) {
        if (call->step == 0)
            call->transaction = call->answer["transaction"].toString();
        ++call->step;
        call->intended = now();
        transactionStep(call);
        return;
    }
    // A caller that gave up without a rollback would hold its locks until the idle limit.
    if (call->step > 0 && call->step < kCommitStep)
        rollBack(call);
    // Before the commit nothing can have run, however the request ended.
    call->mayHaveRun = call->step == kCommitStep && call->outcome != "not_run";
    settleWrite(call);
}

void Runner::rollBack(const CallPtr &call)
{
    HttpRequest request;
    request.path = "/v1/services/" + QByteArray::fromStdString(call->service) + "/transactions/"
        + call->transaction.toUtf8() + "/rollback";
    request.body = "{}";
    request.timeout = std::chrono::milliseconds(m_workload.deadlineMs + kAnswerMarginMs);
    request.headers = { { "Authorization", call->team->authorization },
                        { "Content-Type", "application/json" },
                        { "Shallotlever-Session", call->session->token } };
    m_nodes.send(call->node, request, [](const HttpReply &) {});
}

void Runner::finishCall(const CallPtr &call)
{
    --m_open;
    if (call->session != nullptr)
        call->session->busy = false;
}

} // namespace shallotlever::load
