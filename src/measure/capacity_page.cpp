// The page's tables stand between marks; they are written anew from the figures, or compared with them.
#include <cstdio>
#include <fstream>
#include <sstream>

#include "measure/capacity.h"
#include "measure/capacity_tables.h"

namespace pearspar::measure {
namespace {

constexpr std::string_view begin_mark = "<!-- table ", end_mark = "<!-- end -->";

bool read(const std::string& folder, const char* name, nlohmann::json& into) {
  std::ifstream in(folder + "/" + name);
  into = nlohmann::json::parse(in, nullptr, false);
  if (!into.is_discarded()) return true;
  std::fprintf(stderr, "pearspar-measure-capacity: %s/%s cannot be read\n", folder.c_str(), name);
  return false;
}

bool read(const std::string& folder, Measured& into) {
  return read(folder, "loopback.json", into.loopback) && read(folder, "turns.json", into.turns) &&
         read(folder, "regions.json", into.regions) && read(folder, "loop-epoll.json", into.epoll) &&
         read(folder, "sweep.json", into.sweep);
}

}  // namespace

bool write_points(const std::string& from, const std::string& to) {
  Measured measured;
  if (!read(from, measured)) return false;
  for (const auto& [name, text] : points_of(measured)) std::ofstream(to + "/" + name) << text;
  return true;
}

bool write_page(const std::string& page, const std::string& folder, bool check) {
  Measured measured;
  if (!read(folder, measured)) return false;
  auto tables = tables_of(measured);
  std::ifstream in(page);
  if (!in) {
    std::fprintf(stderr, "pearspar-measure-capacity: %s cannot be read\n", page.c_str());
    return false;
  }
  std::string out, stood;
  const std::string* table = nullptr;
  bool same = true;
  for (std::string line; std::getline(in, line);) {
    if (table && line != end_mark) {
      stood += line + "\n";
      continue;
    }
    if (table) {
      if (check && stood != *table) {
        std::istringstream is(stood), should(*table);
        std::string a, b;
        for (bool more = true; more && a == b;) {
          a.clear(), b.clear();
          more = static_cast<bool>(std::getline(is, a));
          more = static_cast<bool>(std::getline(should, b)) || more;
        }
        std::fprintf(stderr, "%s says: %s\nthe figures say: %s\n", page.c_str(), a.c_str(), b.c_str());
        same = false;
      }
      out += *table;
      table = nullptr;
    }
    out += line + "\n";
    if (!line.starts_with(begin_mark)) continue;
    std::string name = line.substr(begin_mark.size(), line.find(' ', begin_mark.size()) - begin_mark.size());
    auto found = tables.find(name);
    if (found == tables.end()) {
      std::fprintf(stderr, "%s: no table is called %s\n", page.c_str(), name.c_str());
      return false;
    }
    table = &found->second;
    stood.clear();
  }
  if (table) {
    std::fprintf(stderr, "%s: a table has no end\n", page.c_str());
    return false;
  }
  if (check) return same;
  std::ofstream(page) << out;
  return true;
}

}  // namespace pearspar::measure
