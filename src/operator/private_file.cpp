#include "private_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

namespace shallotlever {

namespace {

constexpr mode_t kOwnerOnly = S_IRUSR | S_IWUSR;

bool writeAll(int descriptor, const std::string &text)
{
    std::size_t written = 0;
    while (written < text.size()) {
        const ssize_t count = ::write(descriptor, text.data() + written, text.size() - written);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

absl::Status write(const std::string &path, const std::string &line, int flags)
{
    const int descriptor = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC | flags, kOwnerOnly);
    if (descriptor < 0)
        return absl::ErrnoToStatus(errno, "cannot create " + path);
    const bool complete = writeAll(descriptor, line + "\n") && ::fsync(descriptor) == 0;
    const int fault = errno;
    ::close(descriptor);
    return complete ? absl::OkStatus() : absl::ErrnoToStatus(fault, "cannot write " + path);
}

} // namespace

absl::Status createPrivateFile(const std::string &path, const std::string &line)
{
    return write(path, line, O_EXCL);
}

absl::Status replacePrivateFile(const std::string &path, const std::string &line)
{
    const std::string temporary = path + ".new";
    ::unlink(temporary.c_str());
    if (const absl::Status status = write(temporary, line, O_EXCL); !status.ok())
        return status;
    if (std::rename(temporary.c_str(), path.c_str()) != 0)
        return absl::ErrnoToStatus(errno, "cannot replace " + path);
    return absl::OkStatus();
}

} // namespace shallotlever
