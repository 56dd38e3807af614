#include "announcer.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <chrono>
#include <thread>

namespace standin {

namespace {

constexpr std::chrono::seconds kPeriod { 1 };
constexpr int kTimeoutMs = 500;

} // namespace

Announcer::Announcer(AnnouncerSettings settings, Storage &storage, Faults &faults)
    : m_settings(std::move(settings))
    , m_storage(storage)
    , m_faults(faults)
{
}

void Announcer::run()
{
    for (;;) {
        m_faults.waitForClients();
        announce(m_faults.leaving);
        std::this_thread::sleep_for(kPeriod);
    }
}

bool Announcer::announce(bool leaving)
{
    const std::lock_guard lock(m_mutex);
    for (std::size_t tried = 0; tried < m_settings.entries.size(); ++tried) {
        const Address &entry = m_settings.entries[m_current];
        Socket socket = connectTo(entry, kTimeoutMs);
        if (socket.valid() && socket.sendAll(request(entry, leaving))) {
            const auto status = socket.receiveLine();
            if (status && status->rfind("HTTP/1.1 2", 0) == 0)
                return true;
        }
        m_current = (m_current + 1) % m_settings.entries.size();
    }
    return false;
}

std::string Announcer::request(const Address &entry, bool leaving) const
{
    const Status status = m_storage.status();
    const QJsonObject body {
        { "service", QString::fromStdString(m_settings.service) },
        { "group", QString::fromStdString(m_settings.service) },
        { "upstream", QString::fromStdString(m_settings.id) },
        { "data_centre", QString::fromStdString(m_settings.dataCentre) },
        { "host", QString::fromStdString(m_settings.self.host) },
        { "port", m_settings.self.port },
        { "slots", m_settings.slots },
        { "connection_limit", m_settings.connectionLimit },
        { "role", status.primary ? "primary" : "replica" },
        { "term", static_cast<qint64>(status.term) },
        { "position", static_cast<qint64>(status.position) },
        { "leaving", leaving },
    };
    const std::string json = QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
    return "POST /v1/announcements HTTP/1.1\r\nHost: " + entry.host + ":"
        + std::to_string(entry.port) + "\r\nAuthorization: Bearer " + m_settings.credential
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(json.size())
        + "\r\nConnection: close\r\n\r\n" + json;
}

} // namespace standin
