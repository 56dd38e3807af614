#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace shallotlever {

/// A file descriptor that is closed with its owner.
class File
{
public:
    File() = default;
    File(File &&other) noexcept;
    File &operator=(File &&other) noexcept;
    ~File();

    /// `flags` as for open(2). Errors name the path.
    static absl::StatusOr<File> open(const std::string &path, int flags);

    absl::Status writeAll(std::string_view bytes);
    absl::Status sync();
    absl::Status truncate(std::uint64_t size);
    /// Unavailable if another process holds the lock.
    absl::Status lock();

private:
    int m_fd = -1;
    std::string m_path;
};

absl::Status syncDirectory(const std::string &path);
absl::StatusOr<std::string> readFile(const std::string &path);
/// Writes a temporary file, syncs it, renames it and syncs the directory, so that `name` holds
/// either nothing, its former content or all of `bytes`.
absl::Status replaceFile(const std::string &directory, const std::string &name,
                         std::string_view bytes);
/// Removes the file and syncs the directory.
absl::Status removeFile(const std::string &directory, const std::string &name);
/// Names of the files that start with `prefix`, sorted. Leftover temporary files are left out.
absl::StatusOr<std::vector<std::string>> listFiles(const std::string &directory,
                                                   const std::string &prefix);

} // namespace shallotlever
