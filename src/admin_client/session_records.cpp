// Commands on records kept outside the core: quota counts and snapshots.
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

#include "admin_client/session.h"
#include "control_plane/report.h"

namespace pearspar::admin_client {

using catalog::Fault;
using catalog::Json;

// Lists all quota counts, or those of one holder and its sub-accounts.
int Session::allowance_show(const std::string& holder) {
  AdminReply reply = get("/pearspar/allowance");
  if (reply.status != 200) return report_error(reply);
  if (options_.json && holder.empty()) return show_json(reply.body);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  const char* keys[] = {"window",  "holder",    "kind",     "limit",   "drawn", "unsure",
                        "inDoubt", "givenBack", "repeated", "refused", "out"};
  std::vector<std::vector<std::string>> rows = {{"window", "holder", "kind", "limit", "drawn", "unsure",
                                                 "in doubt", "given back", "repeated", "refused", "out"}};
  const cJSON* line = nullptr;
  cJSON_ArrayForEach(line, cJSON_GetObjectItemCaseSensitive(json.get(), "counts")) {
    std::string of = text_of(line, "holder");
    if (!holder.empty() && of != holder && !of.starts_with(holder + "/")) continue;
    std::vector<std::string>& row = rows.emplace_back();
    for (const char* key : keys) row.push_back(text_of(line, key));
  }
  if (rows.size() == 1)
    return fail(refused, holder.empty() ? "no allowance was drawn on" : holder + ": nothing drawn");
  std::fprintf(out_, "%s", format_table(rows).c_str());
  return good;
}

// Writes one JSON line per count, oldest window first, and a last line with the log position and a digest.
// The file is renamed into place when it is complete.
int Session::allowance_export(const std::string& file) {
  AdminReply reply = get("/pearspar/allowance");
  if (reply.status != 200) return report_error(reply);
  Fault fault;
  Json json = catalog::parse_json(reply.body, fault);
  const cJSON* counts = cJSON_GetObjectItemCaseSensitive(json.get(), "counts");
  std::vector<std::string> lines;
  const cJSON* line = nullptr;
  cJSON_ArrayForEach(line, counts) {
    char* printed = cJSON_PrintUnformatted(line);
    lines.emplace_back(printed);
    cJSON_free(printed);
  }
  // The reply lists the newest window first, and each window by holder and kind.
  std::stable_sort(lines.begin(), lines.end(), [](const std::string& a, const std::string& b) {
    auto window = [](const std::string& text) {
      return std::strtoull(text.c_str() + text.find(':') + 1, nullptr, 10);
    };
    return window(a) < window(b);
  });
  std::string temporary_file = file + ".part";
  std::ofstream out(temporary_file, std::ios::binary | std::ios::trunc);
  std::string contents;
  for (const std::string& count : lines) contents += count + "\n";
  auto digest = control_plane::digest_of(contents);
  out << contents
      << fmt::format(R"({{"signedOff":{{"term":{},"position":{},"window":{},)"
                     R"("lines":{},"digest":"{:016x}{:016x}"}}}})",
                     text_of(json.get(), "term"), text_of(json.get(), "position"),
                     text_of(json.get(), "window"), lines.size(), digest.first, digest.second)
      << "\n";
  out.close();
  if (!out || std::rename(temporary_file.c_str(), file.c_str()) != 0) {
    std::remove(temporary_file.c_str());
    return fail(failed, file + ": cannot be written");
  }
  std::fprintf(out_, "%s: %zu counts up to position %s\n", file.c_str(), lines.size(),
               text_of(json.get(), "position").c_str());
  return good;
}

int Session::snapshot_save(const std::string& file) {
  AdminReply reply = get("/pearspar/snapshot");
  if (reply.status != 200) return report_error(reply);
  // Renamed into place when it is complete.
  std::string temporary_file = file + ".part";
  std::ofstream out(temporary_file, std::ios::binary | std::ios::trunc);
  out << reply.body << "\n";
  out.close();
  if (!out || std::rename(temporary_file.c_str(), file.c_str()) != 0) {
    std::remove(temporary_file.c_str());
    return fail(failed, file + ": cannot be written");
  }
  return snapshot_verify(file);
}

int Session::snapshot_verify(const std::string& file, catalog::ConfigurationPtr* held) {
  std::string text;
  if (!read_file(file, text)) return fail(bad_input, file + ": cannot be read");
  Fault fault;
  Json json = catalog::parse_json(text, fault);
  if (!json) return fail(bad_input, file + ": " + fault.text());
  const cJSON* root = json.get();
  if (text_of(root, "format") != "1")
    return fail(bad_input, file + ": format " + text_of(root, "format") + ", and this program reads 1");
  const cJSON* configuration = cJSON_GetObjectItemCaseSensitive(root, "configuration");
  if (!cJSON_IsString(configuration)) return fail(bad_input, file + ": configuration: is no text");
  std::string configuration_text = configuration->valuestring;
  auto digest = control_plane::digest_of(configuration_text);
  if (fmt::format("{:016x}{:016x}", digest.first, digest.second) != text_of(root, "digest"))
    return fail(bad_input, file + ": digest: does not fit the configuration");
  catalog::ConfigurationPtr read;
  if (!configuration_text.empty() && !(read = catalog::parse_configuration(configuration_text, fault)))
    return fail(bad_input, file + ": configuration: " + fault.text());
  if (std::to_string(read ? read->revision : 0) != text_of(root, "edition"))
    return fail(bad_input, file + ": edition: is not the configuration's");
  if (held) *held = read;
  std::fprintf(out_, "%s: good: edition %s\n", file.c_str(), text_of(root, "edition").c_str());
  return good;
}

// Restores into a core that has no configuration, or an older one.
int Session::snapshot_restore(const std::string& file) {
  catalog::ConfigurationPtr held;
  if (int result = snapshot_verify(file, &held)) return result;
  if (!held) return fail(refused, file + ": holds no configuration");
  catalog::Revision base = 0;
  if (int result = read_current_revision(base))
    return fail(result, "what stands could not be read; nothing was sent");
  int result = put(*held, base);
  if (result == good)
    std::fprintf(out_, "edition %llu is back\n", static_cast<unsigned long long>(held->revision));
  return result;
}

}  // namespace pearspar::admin_client
