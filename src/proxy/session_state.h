#pragma once

#include <map>
#include <string>

#include "statement_messages.h"

namespace shallotlever {

/// Limit of the memory that one session may keep for names, values and definitions, in bytes. Room
/// for three definitions of the maximum size of a message.
constexpr std::size_t kMaxSessionStateBytes = 4U << 20U;

/// What a session has set and prepared.
struct SessionState
{
    SessionVariables variables;
    std::map<std::string, PreparedStatement> prepared;
    /// Memory of all entries.
    std::size_t bytes = 0;
};

/// Sets a session variable. Returns false, and changes nothing, if the session would keep more than
/// kMaxSessionStateBytes.
bool setVariable(SessionState &state, const std::string &name, const std::string &value);
/// Prepares a statement under `name`, in place of an earlier one. As setVariable() at the limit.
bool prepare(SessionState &state, const std::string &name, const PreparedStatement &statement);
void deallocate(SessionState &state, const std::string &name);

} // namespace shallotlever
