// Temporary directory for a store; removed at the end of the test.
#pragma once

#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdio>
#include <string>

namespace pearspar {

class TempFolder {
 public:
  TempFolder() {
    char name[] = "/tmp/altavia-test-XXXXXX";
    path_ = mkdtemp(name);
  }
  ~TempFolder() {
    std::remove((path_ + "/data.mdb").c_str());
    rmdir(path_.c_str());
  }
  const std::string& path() const { return path_; }
  std::size_t size() const {
    struct stat found {};
    return ::stat((path_ + "/data.mdb").c_str(), &found) == 0 ? static_cast<std::size_t>(found.st_size) : 0;
  }

 private:
  std::string path_;
};

}  // namespace pearspar
