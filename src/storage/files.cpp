#include "storage/files.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

namespace pearspar::storage {
namespace {

std::error_code last_error() { return {errno, std::generic_category()}; }

}  // namespace

std::error_code make_directory(const std::string& folder) {
  if (::mkdir(folder.c_str(), 0755) != 0) return errno == EEXIST ? std::error_code() : last_error();
  std::size_t slash = folder.find_last_not_of('/');
  slash = folder.rfind('/', slash);
  return sync_directory(slash == folder.npos ? "." : folder.substr(0, slash + 1));
}

// A file that cannot be inspected counts as existing, so that it is not overwritten.
bool exists(const std::string& file) {
  struct stat status {};
  return ::stat(file.c_str(), &status) == 0 || errno != ENOENT;
}

std::error_code remove_file(const std::string& file) {
  return ::unlink(file.c_str()) == 0 || errno == ENOENT ? std::error_code() : last_error();
}

std::error_code rename_file(const std::string& from, const std::string& to) {
  return std::rename(from.c_str(), to.c_str()) == 0 ? std::error_code() : last_error();
}

std::error_code sync_directory(const std::string& folder) {
  int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  // Without permission to open the directory, or on file systems that cannot sync one, names may not be
  // durable.
  if (fd < 0) return errno == EACCES || errno == EPERM ? std::error_code() : last_error();
  std::error_code error;
  if (::fsync(fd) != 0 && errno != EINVAL) error = last_error();
  ::close(fd);
  return error;
}

int extend_file(int fd, std::size_t bytes) {
  struct stat status {};
  if (::fstat(fd, &status) != 0) return errno;
  if (static_cast<std::size_t>(status.st_size) >= bytes) return 0;
  return ::ftruncate(fd, static_cast<off_t>(bytes)) == 0 ? 0 : errno;
}

}  // namespace pearspar::storage
