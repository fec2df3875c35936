// What a store asks of its folder beside LMDB: names that last, a file that is as long as it says.
#pragma once

#include <cstddef>
#include <string>
#include <system_error>

namespace pearspar::storage {

// Made where it is not there; its name lasts then.
std::error_code make_directory(const std::string& folder);
bool exists(const std::string& file);
std::error_code remove_file(const std::string& file);  // none is no fault
std::error_code rename_file(const std::string& from, const std::string& to);
// What was made, renamed or removed in it lasts only then.
std::error_code sync_directory(const std::string& folder);
// Zeros behind its end up to there; 0, or the fault's number.
int extend_file(int fd, std::size_t bytes);

}  // namespace pearspar::storage
