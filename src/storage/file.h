#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace shallotlever {

/// Owns a file descriptor and closes it on destruction.
class File
{
public:
    File() = default;
    File(File &&other) noexcept;
    File &operator=(File &&other) noexcept;
    ~File();

    /// Takes the flags of open(2). Error messages contain the path.
    static absl::StatusOr<File> open(const std::string &path, int flags);

    absl::Status writeAll(std::string_view bytes);
    absl::Status sync();
    absl::Status truncate(std::uint64_t size);
    /// Takes an exclusive advisory lock; returns Unavailable if another process holds it.
    absl::Status lock();

private:
    int m_fd = -1;
    std::string m_path;
};

absl::Status syncDirectory(const std::string &path);
absl::StatusOr<std::string> readFile(const std::string &path);
/// Replaces or creates the file atomically: writes and syncs a temporary file, renames it to `name`
/// and syncs the directory. After a crash the file is unchanged or contains all of `bytes`.
absl::Status replaceFileAtomically(const std::string &directory, const std::string &name,
                                   std::string_view bytes);
/// Removes the file, if it exists, and syncs the directory.
absl::Status removeFile(const std::string &directory, const std::string &name);
/// Returns the sorted names of the files that start with `prefix`, except temporary files that
/// replaceFileAtomically() left behind.
absl::StatusOr<std::vector<std::string>> listFiles(const std::string &directory,
                                                   const std::string &prefix);

} // namespace shallotlever
