#include "environment.h"

#include <array>
#include <cstdlib>

#include "shallotlever/upstream/connection.h"

namespace shallotlever {

namespace {

/// All variables listed in the libpq documentation, sections "Environment Variables" and "The
/// Connection Service File".
constexpr std::array kLibpqVariables {
    "PGHOST",
    "PGHOSTADDR",
    "PGPORT",
    "PGDATABASE",
    "PGUSER",
    "PGPASSWORD",
    "PGPASSFILE",
    "PGCHANNELBINDING",
    "PGSERVICE",
    "PGSERVICEFILE",
    "PGSYSCONFDIR",
    "PGOPTIONS",
    "PGAPPNAME",
    "PGSSLMODE",
    "PGREQUIRESSL",
    "PGSSLCOMPRESSION",
    "PGSSLCERT",
    "PGSSLKEY",
    "PGSSLROOTCERT",
    "PGSSLCRL",
    "PGSSLCRLDIR",
    "PGSSLSNI",
    "PGREQUIREPEER",
    "PGSSLMINPROTOCOLVERSION",
    "PGSSLMAXPROTOCOLVERSION",
    "PGGSSENCMODE",
    "PGKRBSRVNAME",
    "PGGSSLIB",
    "PGCONNECT_TIMEOUT",
    "PGCLIENTENCODING",
    "PGTARGETSESSIONATTRS",
    "PGDATESTYLE",
    "PGTZ",
    "PGGEQO",
    "PGLOCALEDIR",
};

} // namespace

const char *findLibpqVariable()
{
    for (const char *name : kLibpqVariables) {
        if (std::getenv(name) != nullptr)
            return name;
    }
    return nullptr;
}

void clearLibpqEnvironment()
{
    for (const char *name : kLibpqVariables)
        unsetenv(name);
}

} // namespace shallotlever
