#pragma once

#include <cstdint>
#include <string>

namespace shallotlever::overhead {

struct KeepAliveReply
{
    int status = 0;
    std::string body;
};

/// A blocking keep-alive connection to 127.0.0.1, used by one thread.
class KeepAliveClient
{
public:
    /// Throws std::runtime_error if the connection fails.
    explicit KeepAliveClient(std::uint16_t port);
    ~KeepAliveClient();
    KeepAliveClient(const KeepAliveClient &) = delete;
    KeepAliveClient &operator=(const KeepAliveClient &) = delete;

    /// Sends one request and reads the whole answer.
    KeepAliveReply post(const std::string &path, const std::string &bearer,
                        const std::string &body);

private:
    KeepAliveReply readReply();

    int m_socket = -1;
    std::string m_buffer;
};

} // namespace shallotlever::overhead
