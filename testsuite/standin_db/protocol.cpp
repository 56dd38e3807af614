#include "protocol.h"

#include <sys/socket.h>

#include <map>
#include <thread>

#include "replication.h"

namespace standin {

namespace {

constexpr std::uint32_t kProtocolVersion3 = 196608;
constexpr std::uint32_t kCancelRequest = 80877102;
constexpr std::uint32_t kSslRequest = 80877103;
constexpr std::uint32_t kGssEncRequest = 80877104;
constexpr std::uint32_t kMaxMessageBytes = 64 * 1024 * 1024;
constexpr std::uint32_t kTextTypeOid = 25;
/// Sessions of this user are not counted against the connection limit.
constexpr const char *kControlUser = "shallotlever_control";

std::string int32(std::uint32_t value)
{
    return { static_cast<char>(value >> 24U), static_cast<char>(value >> 16U),
             static_cast<char>(value >> 8U), static_cast<char>(value) };
}

std::string int16(std::size_t value)
{
    return { static_cast<char>(value >> 8U), static_cast<char>(value) };
}

std::string cString(const std::string &text)
{
    return text + '\0';
}

std::string message(char type, const std::string &body)
{
    return type + int32(static_cast<std::uint32_t>(body.size() + 4)) + body;
}

std::string errorMessage(const SqlFailure &failure, const char *severity)
{
    return message('E',
                   "S" + cString(severity) + "V" + cString(severity) + "C" + cString(failure.state)
                       + "M" + cString(failure.message) + '\0');
}

std::string rowDescription(const std::vector<std::string> &columns)
{
    std::string body = int16(columns.size());
    for (const std::string &column : columns) {
        body += cString(column) + int32(0) + int16(0) + int32(kTextTypeOid) + int16(0xffff)
            + int32(0xffffffff) + int16(0);
    }
    return message('T', body);
}

std::string dataRow(const std::vector<SqlValue> &row)
{
    std::string body = int16(row.size());
    for (const SqlValue &value : row) {
        body +=
            value ? int32(static_cast<std::uint32_t>(value->size())) + *value : int32(0xffffffff);
    }
    return message('D', body);
}

/// Reads the fields of one message body; throws SqlFailure on a short body.
class Reader
{
public:
    explicit Reader(std::string body)
        : m_body(std::move(body))
    {
    }
    std::string bytes(std::size_t count)
    {
        if (m_body.size() - m_offset < count)
            throw SqlFailure { "08P01", "message too short" };
        m_offset += count;
        return m_body.substr(m_offset - count, count);
    }
    std::uint32_t number(std::size_t size)
    {
        std::uint32_t value = 0;
        for (const char c : bytes(size))
            value = (value << 8U) | static_cast<unsigned char>(c);
        return value;
    }
    std::string text()
    {
        const auto end = m_body.find('\0', m_offset);
        if (end == std::string::npos)
            throw SqlFailure { "08P01", "string without end" };
        std::string result = bytes(end - m_offset);
        ++m_offset;
        return result;
    }
    bool atEnd() const { return m_offset >= m_body.size(); }

private:
    std::string m_body;
    std::size_t m_offset = 0;
};

std::vector<SqlValue> readBindParams(Reader &reader)
{
    for (std::uint32_t formats = reader.number(2); formats > 0; --formats) {
        if (reader.number(2) != 0)
            throw SqlFailure { "0A000", "binary parameters are not supported" };
    }
    std::vector<SqlValue> params(reader.number(2));
    for (SqlValue &param : params) {
        const std::uint32_t length = reader.number(4);
        if (length != 0xffffffff)
            param = reader.bytes(length);
    }
    return params;
}

/// One client connection after its startup packet.
class ClientConnection
{
public:
    ClientConnection(Server &server, Socket &socket, bool control)
        : m_server(server)
        , m_socket(socket)
        , m_control(control)
        , m_session(server.storage, server.faults, server.slots)
    {
    }

    void greet()
    {
        m_out = message('R', int32(0));
        for (const auto &[name, value] : std::map<std::string, std::string> {
                 { "server_version", "15.0" },
                 { "client_encoding", "UTF8" },
                 { "standard_conforming_strings", "on" },
             })
            m_out += message('S', cString(name) + cString(value));
        m_out += message('K', int32(1) + int32(1));
        ready();
        m_socket.sendAll(m_out);
        m_out.clear();
    }

    /// False at the end of the connection.
    bool serveMessage()
    {
        const auto head = m_socket.receive(5);
        if (!head || (*head)[0] == 'X')
            return false;
        const std::uint32_t length = Reader(head->substr(1)).number(4);
        if (length < 4 || length > kMaxMessageBytes)
            return false;
        auto body = m_socket.receive(length - 4);
        if (!body)
            return false;
        m_server.faults.waitForClients();
        dispatch((*head)[0], Reader(std::move(*body)));
        return !m_dropped && !m_broken;
    }

private:
    void dispatch(char type, Reader reader)
    {
        if (m_skipToSync && type != 'S')
            return;
        try {
            handle(type, reader);
        } catch (const SqlFailure &failure) {
            m_session.markFailed();
            m_out += errorMessage(failure, "ERROR");
            m_skipToSync = type != 'Q';
            if (type == 'Q')
                endOfRequest();
        }
    }

    void handle(char type, Reader &reader)
    {
        switch (type) {
        case 'Q':
            simpleQuery(reader.text());
            break;
        case 'P':
            reader.text();
            m_sql = reader.text();
            m_out += message('1', "");
            break;
        case 'B':
            reader.text();
            reader.text();
            m_params = readBindParams(reader);
            m_out += message('2', "");
            break;
        case 'D':
            describe();
            break;
        case 'E':
            execute(m_sql, m_params, false);
            break;
        case 'S':
            m_skipToSync = false;
            endOfRequest();
            break;
        case 'H':
            flush();
            break;
        default:
            throw SqlFailure { "08P01", "unexpected message" };
        }
    }

    void describe()
    {
        const auto columns = m_session.describe(m_sql);
        m_out += columns.empty() ? message('n', "") : rowDescription(columns);
    }

    void simpleQuery(const std::string &sql)
    {
        execute(sql, {}, true);
        endOfRequest();
    }

    void execute(const std::string &sql, const std::vector<SqlValue> &params, bool withColumns)
    {
        const Reply reply = m_session.run(sql, params);
        m_dropped = !m_control && m_server.faults.takeDropBeforeAnswer(sql);
        m_answersStatement = true;
        if (withColumns && !reply.columns.empty())
            m_out += rowDescription(reply.columns);
        for (const auto &row : reply.rows)
            m_out += dataRow(row);
        m_out += reply.tag.empty() ? message('I', "") : message('C', cString(reply.tag));
    }

    void ready() { m_out += message('Z', std::string(1, m_session.transactionStatus())); }

    void endOfRequest()
    {
        ready();
        flush();
    }

    void flush()
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(m_server.faults.roundTripMs));
        m_server.faults.waitForClients();
        if (m_answersStatement && !m_control && !m_dropped) {
            if (const auto limit = m_server.faults.takeDropAfter()) {
                m_out.resize(std::min(m_out.size(), *limit));
                m_broken = true;
            }
        }
        m_answersStatement = false;
        if (!m_dropped && !m_socket.sendAll(m_out))
            m_broken = true;
        m_out.clear();
    }

    Server &m_server;
    Socket &m_socket;
    const bool m_control;
    Session m_session;
    std::string m_sql;
    std::vector<SqlValue> m_params;
    std::string m_out;
    bool m_skipToSync = false;
    bool m_answersStatement = false;
    bool m_dropped = false;
    bool m_broken = false;
};

/// Counts a session for as long as it lives.
class ConnectionCount
{
public:
    ConnectionCount(Faults &faults, bool control)
        : m_faults(faults)
        , m_weight(control ? 0 : 1)
    {
        if (m_weight != 0)
            m_faults.countConnection(m_weight);
    }
    ~ConnectionCount()
    {
        if (m_weight != 0)
            m_faults.countConnection(-m_weight);
    }

private:
    Faults &m_faults;
    const int m_weight;
};

bool isControlUser(Reader &startup)
{
    bool control = false;
    while (!startup.atEnd()) {
        const std::string name = startup.text();
        if (name.empty())
            break;
        control = control || (startup.text() == kControlUser && name == "user");
    }
    return control;
}

void serveClient(Server &server, Socket &socket, Reader startup)
{
    server.faults.waitForClients();
    const bool control = isControlUser(startup);
    const ConnectionCount count(server.faults, control);
    std::this_thread::sleep_for(std::chrono::milliseconds(server.settings.connectDelayMs));
    if (!control && server.faults.connections > server.settings.connectionLimit) {
        socket.sendAll(errorMessage({ "53300", "too many connections" }, "FATAL"));
        return;
    }
    ClientConnection connection(server, socket, control);
    connection.greet();
    while (connection.serveMessage()) { }
}

} // namespace

void serveConnection(Server &server, Socket socket)
{
    for (;;) {
        server.faults.waitWhileFrozen();
        const auto head = socket.receive(4);
        const std::uint32_t length = head ? Reader(*head).number(4) : 0;
        if (length < 8 || length > kMaxMessageBytes)
            return;
        auto body = socket.receive(length - 4);
        if (!body)
            return;
        Reader reader(std::move(*body));
        const std::uint32_t code = reader.number(4);
        if (code == kPeerCode)
            return servePeer(server.storage, server.faults, std::move(socket));
        if (server.faults.refuseConnections || code == kCancelRequest)
            return;
        if (code == kProtocolVersion3)
            return serveClient(server, socket, std::move(reader));
        if ((code != kSslRequest && code != kGssEncRequest) || !socket.sendAll("N"))
            return;
    }
}

} // namespace standin
