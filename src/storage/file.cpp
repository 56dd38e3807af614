#include "file.h"

#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include <absl/strings/str_cat.h>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace shallotlever {
namespace {

constexpr mode_t kFileMode = 0600;
constexpr const char *kTemporarySuffix = ".tmp";

absl::Status systemError(const std::string &path, const std::string &call)
{
    return absl::ErrnoToStatus(errno, absl::StrCat(path, ": ", call));
}

} // namespace

File::File(File &&other) noexcept
    : m_fd(std::exchange(other.m_fd, -1))
    , m_path(std::move(other.m_path))
{
}

File &File::operator=(File &&other) noexcept
{
    std::swap(m_fd, other.m_fd);
    std::swap(m_path, other.m_path);
    return *this;
}

File::~File()
{
    if (m_fd >= 0)
        ::close(m_fd);
}

absl::StatusOr<File> File::open(const std::string &path, int flags)
{
    File file;
    file.m_path = path;
    file.m_fd = ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
    if (file.m_fd < 0)
        return systemError(path, "open");
    return file;
}

absl::Status File::writeAll(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(m_fd, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return systemError(m_path, "write");
        bytes.remove_prefix(static_cast<std::size_t>(written));
    }
    return absl::OkStatus();
}

absl::Status File::sync()
{
    return ::fsync(m_fd) == 0 ? absl::OkStatus() : systemError(m_path, "fsync");
}

absl::Status File::truncate(std::uint64_t size)
{
    return ::ftruncate(m_fd, static_cast<off_t>(size)) == 0 ? absl::OkStatus()
                                                            : systemError(m_path, "truncate");
}

absl::Status File::lock()
{
    if (::flock(m_fd, LOCK_EX | LOCK_NB) == 0)
        return absl::OkStatus();
    if (errno == EWOULDBLOCK)
        return absl::UnavailableError(absl::StrCat(m_path, ": locked by another process"));
    return systemError(m_path, "flock");
}

absl::Status syncDirectory(const std::string &path)
{
    absl::StatusOr<File> directory = File::open(path, O_RDONLY | O_DIRECTORY);
    return directory.ok() ? directory->sync() : directory.status();
}

absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    std::string bytes { std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>() };
    if (!in.is_open() || in.bad())
        return absl::InternalError(absl::StrCat(path, ": read failed"));
    return bytes;
}

absl::Status replaceFileAtomically(const std::string &directory, const std::string &name,
                                   std::string_view bytes)
{
    const std::string path = directory + "/" + name;
    const std::string temporary = path + kTemporarySuffix;
    absl::StatusOr<File> file = File::open(temporary, O_WRONLY | O_CREAT | O_TRUNC);
    if (!file.ok())
        return file.status();
    absl::Status written = file->writeAll(bytes);
    if (written.ok())
        written = file->sync();
    if (!written.ok()) {
        // Frees the space if the disk is full.
        ::unlink(temporary.c_str());
        return written;
    }
    if (::rename(temporary.c_str(), path.c_str()) != 0)
        return systemError(path, "rename");
    return syncDirectory(directory);
}

absl::Status removeFile(const std::string &directory, const std::string &name)
{
    const std::string path = directory + "/" + name;
    // The file is gone already if an earlier attempt removed it and could not sync the directory.
    if (::unlink(path.c_str()) != 0 && errno != ENOENT)
        return systemError(path, "unlink");
    return syncDirectory(directory);
}

absl::StatusOr<std::vector<std::string>> listFiles(const std::string &directory,
                                                   const std::string &prefix)
{
    std::vector<std::string> names;
    std::error_code error;
    for (const auto &entry : std::filesystem::directory_iterator(directory, error)) {
        const std::string name = entry.path().filename().string();
        if (name.starts_with(prefix) && !name.ends_with(kTemporarySuffix))
            names.push_back(name);
    }
    if (error)
        return absl::InternalError(absl::StrCat(directory, ": ", error.message()));
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace shallotlever
