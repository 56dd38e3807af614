#pragma once

#include "shallotlever/base/ids.h"
#include "shallotlever/session/token.h"

/// Ids of transactions: `<node>.<random>.<authentication code>`. The code keeps callers from
/// making the system look up, and record, ids that it never gave out.
namespace shallotlever {

TransactionId makeTransactionId(const NodeId &node, const TeamId &team,
                                const SessionSecret &secret);

/// Whether the id was given to this team by a node with the same secret.
bool isGenuineTransactionId(const TransactionId &id, const TeamId &team,
                            const SessionSecret &secret);

} // namespace shallotlever
