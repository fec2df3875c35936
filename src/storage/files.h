// File operations that a store needs besides LMDB, with durable names.
#pragma once

#include <cstddef>
#include <string>
#include <system_error>

namespace pearspar::storage {

// Creates a directory if it does not exist and syncs its parent.
std::error_code make_directory(const std::string& folder);
bool exists(const std::string& file);
std::error_code remove_file(const std::string& file);  // no error if there is none
std::error_code rename_file(const std::string& from, const std::string& to);
// Makes the creation, renaming and removal of files in the directory durable.
std::error_code sync_directory(const std::string& folder);
// Appends zeros up to a size of `bytes`; returns 0 or an errno value.
int extend_file(int fd, std::size_t bytes);

}  // namespace pearspar::storage
