#include "shallotlever/session/transaction_id.h"

#include "absl/strings/escaping.h"
#include "mac.h"
#include "shallotlever/session/keys.h"

namespace shallotlever {

namespace {

/// The authentication code is truncated to 128 bits and written as hexadecimal digits.
constexpr std::size_t kAuthenticationCodeDigits = 32;

std::string authenticationCode(std::string_view prefix, const TeamId &team,
                               const SessionSecret &secret)
{
    std::string content("transaction\n");
    content.append(prefix).append("\n").append(team.value());
    return absl::BytesToHexString(computeMac(content, secret)).substr(0, kAuthenticationCodeDigits);
}

} // namespace

TransactionId makeTransactionId(const NodeId &node, const TeamId &team, const SessionSecret &secret)
{
    const std::string prefix = node.value() + "." + randomId();
    return TransactionId(prefix + "." + authenticationCode(prefix, team, secret));
}

bool isAuthenticTransactionId(const TransactionId &id, const TeamId &team,
                              const SessionSecret &secret)
{
    const std::string_view text = id.value();
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return false;
    return macsEqual(text.substr(dot + 1), authenticationCode(text.substr(0, dot), team, secret));
}

} // namespace shallotlever
