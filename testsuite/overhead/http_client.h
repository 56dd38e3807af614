#pragma once

#include <cstdint>
#include <string>

namespace shallotlever::overhead {

struct HttpReply
{
    int status = 0;
    std::string body;
};

/// A blocking keep-alive connection to 127.0.0.1, used by one thread.
class HttpClient
{
public:
    /// Throws std::runtime_error if the connection fails.
    explicit HttpClient(std::uint16_t port);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends one request and reads the whole answer.
    HttpReply post(const std::string &path, const std::string &bearer, const std::string &body);

private:
    HttpReply readReply();

    int m_socket = -1;
    std::string m_buffer;
};

} // namespace shallotlever::overhead
