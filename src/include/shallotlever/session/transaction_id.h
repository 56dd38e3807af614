#pragma once

#include "shallotlever/base/ids.h"
#include "shallotlever/session/token.h"

/// Transaction ids: `<node>.<random>.<authentication code>`. The code lets a node reject ids that
/// the system never issued, before it looks them up or writes records for them.
namespace shallotlever {

TransactionId makeTransactionId(const NodeId &node, const TeamId &team,
                                const SessionSecret &secret);

/// Returns whether the id was issued to this team by a node with the same secret.
bool isAuthenticTransactionId(const TransactionId &id, const TeamId &team,
                              const SessionSecret &secret);

} // namespace shallotlever
