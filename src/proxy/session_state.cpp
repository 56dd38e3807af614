#include "session_state.h"

namespace shallotlever {

namespace {

/// Memory of an entry besides its name and value, in bytes.
constexpr std::size_t kEntryOverhead = 128;

std::size_t lengthOf(const std::string &value)
{
    return value.size();
}

std::size_t lengthOf(const PreparedStatement &statement)
{
    return statement.shape.size();
}

template <typename Value>
std::size_t entrySize(const std::string &name, const Value &value)
{
    return kEntryOverhead + name.size() + lengthOf(value);
}

/// Replaces the entry if the session then keeps no more than it may.
template <typename Value>
bool replace(SessionState &state, std::map<std::string, Value> &entries, const std::string &name,
             const Value &value)
{
    const auto former = entries.find(name);
    const std::size_t replaced = former == entries.end() ? 0 : entrySize(name, former->second);
    const std::size_t bytes = state.bytes - replaced + entrySize(name, value);
    if (bytes > kMaxSessionStateBytes)
        return false;
    state.bytes = bytes;
    entries.insert_or_assign(name, value);
    return true;
}

} // namespace

bool setVariable(SessionState &state, const std::string &name, const std::string &value)
{
    return replace(state, state.variables, name, value);
}

bool prepare(SessionState &state, const std::string &name, const PreparedStatement &statement)
{
    return replace(state, state.prepared, name, statement);
}

void deallocate(SessionState &state, const std::string &name)
{
    const auto found = state.prepared.find(name);
    if (found == state.prepared.end())
        return;
    state.bytes -= entrySize(name, found->second);
    state.prepared.erase(found);
}

} // namespace shallotlever
