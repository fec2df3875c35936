// What the commands share: calls to a member, faults, files and tables.
#include "admin_client/session.h"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace pearspar::admin_client {

using catalog::Fault;
using catalog::Json;

std::string text_of(const cJSON* object, const char* key) {
  const cJSON* item = cJSON_GetObjectItemCaseSensitive(object, key);
  if (cJSON_IsString(item)) return item->valuestring;
  if (cJSON_IsBool(item)) return cJSON_IsTrue(item) ? "yes" : "no";
  if (cJSON_IsNumber(item)) return fmt::format("{:.0f}", item->valuedouble);
  return "-";
}

std::string format_table(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows)
    for (std::size_t i = 0; i < row.size(); ++i) {
      if (i >= widths.size()) widths.push_back(0);
      widths[i] = std::max(widths[i], row[i].size());
    }
  std::string out;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i)
      out += i + 1 < row.size() ? fmt::format("{:<{}}  ", row[i], widths[i]) : row[i];
    out += '\n';
  }
  return out;
}

AdminReply Session::get(const std::string& path) {
  return caller_.call({"GET", path, "", "", ""}, net::Duration(options_.timeout_s));
}

int Session::fail(int status, const std::string& what) {
  std::fflush(out_);  // keeps the order where both streams go to one file
  std::fprintf(err_, "altavia: %s\n", what.c_str());
  return status;
}

int Session::show_json(const std::string& body) {
  std::fprintf(out_, body.ends_with('\n') ? "%s" : "%s\n", body.c_str());
  return good;
}

bool Session::read_file(const std::string& file, std::string& text) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream contents;
  if (!in || !(contents << in.rdbuf())) return false;
  text = contents.str();
  return true;
}

catalog::ConfigurationPtr Session::read_config(const std::string& file) {
  std::string text;
  if (!read_file(file, text)) {
    fail(bad_input, file + ": cannot be read");
    return nullptr;
  }
  Fault fault;
  auto read = catalog::parse_configuration(text, fault);
  if (!read) fail(bad_input, file + ": " + fault.text());
  return read;
}

int Session::report_error(const AdminReply& reply) {
  if (reply.status == 0) return fail(failed, reply.fault);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  std::string what = json ? text_of(json.get(), "errorText") : reply.body;
  return fail(reply.status >= 500 ? failed : refused,
              fmt::format("{}: {} {}", reply.from, reply.status, what));
}

}  // namespace pearspar::admin_client
