#pragma once

#include "runner.h"

namespace shallotlever::load {

struct Runner::Team
{
    TeamLoad load;
    std::size_t index = 0;
    QByteArray authorization;
    ArrivalProcess arrivals;
    RateAccount account;
    std::vector<std::unique_ptr<Session>> sessions;
    double nextArrival = 0;
};

/// One request of the workload, over all its sends.
struct Runner::Call
{
    Team *team = nullptr;
    Session *session = nullptr;
    Kind kind = Kind::Board;
    std::string service;
    /// Unique value of the request; for writes also the id of the row.
    std::string id;
    /// Transactions: id of the second row. OwnRead: the row that is read.
    std::string other;
    std::size_t node = 0;
    double intended = 0;
    bool insideRate = false;
    int attempt = 1;
    /// Transactions: next step.
    int step = 0;
    QString transaction;
    bool mayHaveRun = false;
    /// The tool closed the connection of the last send before the answer.
    bool dropped = false;
    // The last reply.
    QJsonObject answer;
    std::string error;
    std::string outcome;
    bool lost = false;
};

} // namespace shallotlever::load
