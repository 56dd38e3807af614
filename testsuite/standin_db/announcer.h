#pragma once

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "faults.h"
#include "net.h"
#include "storage.h"

namespace standin {

struct AnnouncerSettings
{
    std::vector<Address> entries;
    std::string credential;
    std::string id;
    std::string service;
    std::string dataCentre;
    Address self;
    int slots = 0;
    int connectionLimit = 0;
};

/// Announces the database to the first entry VM that answers.
class Announcer
{
public:
    Announcer(AnnouncerSettings settings, Storage &storage, Faults &faults);

    /// Once a second; does not return.
    void run();
    /// Tries each entry VM in turn until one accepts.
    bool announce(bool leaving);

private:
    std::string request(const Address &entry, bool leaving) const;

    const AnnouncerSettings m_settings;
    Storage &m_storage;
    Faults &m_faults;
    std::mutex m_mutex;
    std::size_t m_current = 0;
};

} // namespace standin
