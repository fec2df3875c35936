#include "settings/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace pearspar::settings {
namespace {

constexpr long max_items = 100000;

class Reader {
 public:
  explicit Reader(const Values& values) : values_(values) {}

  bool has(const std::string& path) const { return values_.find(path) != nullptr; }

  const std::string& text(const std::string& path) const { return require(path, Form::text, "a text").text; }

  double number(const std::string& path) const {
    return to_number(path, require(path, Form::number, "a number").text);
  }
  double number_or(const std::string& path, double otherwise) const {
    return has(path) ? number(path) : otherwise;
  }
  Duration duration(const std::string& path) const { return Duration(number(path)); }
  Duration duration_or_zero(const std::string& path) const { return Duration(number_or(path, 0)); }

  long whole(const std::string& path) const {
    double value = number(path);
    if (value != std::floor(value) || std::abs(value) > 2e9)
      throw SettingsError("settings: " + path + " is not a whole number");
    return static_cast<long>(value);
  }

  long count(const std::string& path) const {
    long value = has(path) ? whole(path) : 0;
    if (value < 0 || value > max_items) throw SettingsError("settings: " + path + " is out of range");
    return value;
  }

  bool flag(const std::string& path) const {
    const std::string& value = require(path, Form::flag, "true or false").text;
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw SettingsError("settings: " + path + " is neither true nor false");
  }
  bool flag_or_false(const std::string& path) const { return has(path) && flag(path); }

  std::vector<std::string> list(const std::string& path) const {
    std::vector<std::string> items;
    if (!has(path)) return items;
    std::istringstream in(require(path, Form::list, "a list").text);
    for (std::string item; std::getline(in, item, ',');) items.push_back(item);
    return items;
  }

  // The entry for a class in a list of one number per class.
  double for_class(const std::string& path, std::size_t cls) const {
    std::vector<std::string> items = list(path);
    if (cls >= items.size()) throw SettingsError("settings: " + path + " is too short");
    return to_number(path, items[cls]);
  }

  template <typename T>
  T choice(const std::string& path, const std::map<std::string, T>& choices) const {
    auto found = choices.find(text(path));
    if (found == choices.end())
      throw SettingsError("settings: " + path + " has an unknown value " + text(path).substr(0, 40));
    return found->second;
  }

 private:
  const Values::Value& require(const std::string& path, Form form, const char* what) const {
    const Values::Value* value = values_.find(path);
    if (!value) throw SettingsError("settings: " + path + " is missing");
    if (value->form != Form::any && value->form != form)
      throw SettingsError("settings: " + path + " is not " + what);
    return *value;
  }

  static double to_number(const std::string& path, const std::string& value) {
    double number = 0;
    const char* end = value.data() + value.size();
    auto [stop, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc() || stop != end || !std::isfinite(number))
      throw SettingsError("settings: " + path + " is not a number: " + value.substr(0, 40));
    return number;
  }

  const Values& values_;
};

ClassSettings read_class(const Reader& reader, std::size_t index) {
  std::string at = "classes." + std::to_string(index) + ".";
  ClassSettings cls;
  cls.name = reader.text(at + "name");
  cls.latency_target = reader.duration(at + "aim_s");
  cls.latency_target_per_work = reader.number_or(at + "aim_stretch", 0);
  cls.client_timeout = reader.duration(at + "give_up_s");
  cls.worth = reader.number(at + "worth");
  cls.late_worth = reader.number(at + "late_worth");
  cls.idempotency = reader.choice<Idempotency>(at + "effect", {{"retryable", Idempotency::idempotent},
                                                               {"dedup", Idempotency::deduplicated},
                                                               {"fragile", Idempotency::non_idempotent}});
  cls.dedup_window = reader.duration_or_zero(at + "dedup_window_s");
  cls.min_coverage = reader.for_class("specifics.class_floor", index);
  cls.whole_coverage = reader.for_class("specifics.whole_at", index);
  cls.partial_worth = reader.for_class("specifics.class_partial", index);
  cls.fetch_parts = static_cast<int>(reader.for_class("specifics.fetch_parts", index));
  return cls;
}

TenantSettings read_tenant(const Reader& reader, std::size_t index) {
  std::string at = "projects." + std::to_string(index) + ".";
  return {reader.text(at + "name"), reader.number(at + "quota_per_s"), reader.number(at + "share")};
}

}  // namespace

std::uint64_t Values::fingerprint() const {
  std::uint64_t sum = 14695981039346656037u;  // FNV-1a
  auto add = [&](const std::string& text) {
    for (char c : text) sum = (sum ^ static_cast<unsigned char>(c)) * 1099511628211u;
    sum = (sum ^ 0xff) * 1099511628211u;
  };
  for (const auto& [path, value] : values_) {
    add(path);
    add(value.text);
  }
  return sum;
}

std::optional<std::string> Values::first_difference(const Values& other) const {
  auto a = values_.begin(), b = other.values_.begin();
  while (a != values_.end() && b != other.values_.end()) {
    if (a->first != b->first) return std::min(a->first, b->first);
    if (a->second.text != b->second.text) return a->first;
    ++a, ++b;
  }
  if (a != values_.end()) return a->first;
  if (b != other.values_.end()) return b->first;
  return std::nullopt;
}

Values values_of_lines(const std::string& text) {
  Values values;
  std::istringstream in(text);
  for (std::string line; std::getline(in, line);) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (line.empty()) continue;
    std::size_t equals = line.find('=');
    if (equals == std::string::npos || equals == 0)
      throw SettingsError("settings: a line is not path=value: " + line.substr(0, 80));
    values.set(line.substr(0, equals), line.substr(equals + 1));
  }
  if (values.empty()) throw SettingsError("settings: no lines");
  return values;
}

Settings read_settings(const Values& values) {
  Reader reader(values);
  Settings s;
  s.broker_index = static_cast<int>(reader.whole("me"));
  s.broker_count = static_cast<int>(reader.whole("balancers"));
  s.zone = static_cast<int>(reader.whole("zone"));
  for (long i = 0; i < reader.count("classes.count"); ++i)
    s.classes.push_back(read_class(reader, static_cast<std::size_t>(i)));
  for (long i = 0; i < reader.count("projects.count"); ++i)
    s.tenants.push_back(read_tenant(reader, static_cast<std::size_t>(i)));
  s.over_share_worth = reader.number_or("over_share_worth", 1);
  s.worth_by_work = reader.text("counted_by") == "work";
  s.clients_mark_retries = reader.flag_or_false("callers.marks_retry");
  s.membership_by_subscription = reader.choice<bool>("registry_mode", {{"push", false}, {"ask", true}});

  s.cells = static_cast<int>(reader.whole("specifics.sets"));
  s.cells_per_shard = static_cast<int>(reader.whole("specifics.in_a_row"));
  s.shards = static_cast<int>(reader.whole("specifics.slabs"));
  s.parts_per_call = static_cast<int>(reader.whole("specifics.parts_a_call"));
  if (s.cells < 1 || s.cells_per_shard < 1) throw SettingsError("settings: a layout without cells");
  if (s.parts_per_call < 1) throw SettingsError("settings: calls without parts");
  s.call_cost = reader.duration_or_zero("specifics.call_s");
  s.warm_keys = reader.flag_or_false("specifics.warm_keys");

  s.may_cancel = reader.flag("limits.cancel");
  s.may_probe = reader.flag("limits.probes");
  s.may_message_peers = reader.flag("limits.peers");
  s.may_hedge = reader.flag("limits.second_copies");
  s.may_send_retry_after = reader.flag("limits.retry_after");
  s.max_retry_after = reader.duration_or_zero("limits.max_retry_after_s");
  s.connect_timeout = reader.duration_or_zero("limits.connect_timeout_s");
  s.max_attempts = static_cast<int>(reader.whole("limits.try_limit"));
  s.max_open = static_cast<int>(reader.whole("limits.max_open"));
  s.min_batch_interval = reader.duration_or_zero("quantum_s");

  s.answer_slack = reader.duration_or_zero("safety.answer_slack_s");
  s.drain_grace = reader.duration_or_zero("safety.drain_grace_s");
  s.subscribe_within = reader.duration_or_zero("safety.ask_within_s");
  s.cold_load_multiple = reader.number("safety.fall_multiple");
  s.cold_load_window = reader.duration("safety.fall_s");
  s.cold_start_capacity = reader.number("safety.start_capacity");
  s.warm_up_time = reader.duration("safety.warm_within_s");
  s.has_retry_budget = reader.has("safety.resend_span_s");
  s.retry_budget_base = reader.number_or("safety.min_extra", 0);
  s.retry_budget_ratio = reader.number_or("safety.further_ratio", 0);
  s.retry_budget_window = reader.duration_or_zero("safety.resend_span_s");

  s.report_source = reader.choice<ReportSource>(
      "stats.source",
      {{"silent", ReportSource::none}, {"piggyback", ReportSource::piggyback}, {"pull", ReportSource::pull}});
  const std::map<std::string, ReportField> fields = {
      {"outstanding", ReportField::outstanding}, {"backlog", ReportField::backlog},
      {"utilization", ReportField::utilization}, {"recent_ms", ReportField::recent_ms},
      {"throughput", ReportField::throughput},   {"errors_per_s", ReportField::errors_per_s}};
  for (const std::string& name : reader.list("stats.fields")) {
    auto found = fields.find(name);
    s.report_fields.push_back(found == fields.end() ? ReportField::unknown : found->second);
  }
  s.rating = reader.choice<RatingKind>("weights", {{"silent", RatingKind::none},
                                                   {"nominal", RatingKind::nominal},
                                                   {"rough", RatingKind::rough},
                                                   {"live", RatingKind::live}});
  s.price_probe = reader.number_or("prices.probe", 0);
  s.price_waste = reader.number_or("prices.waste", 0);
  s.price_cross_zone = reader.number_or("prices.cross_zone", 0);
  s.price_late_fail = reader.number_or("prices.late_fail", 0);
  s.price_connection = reader.number_or("prices.connection", 0);
  s.price_handshake = reader.number_or("prices.handshake", 0);
  s.price_peer = reader.number_or("prices.peer", 0);
  return s;
}

BrokerSettings read_broker_settings(const Values& values) {
  Reader reader(values);
  BrokerSettings s;
  s.zones = reader.list("failure_domains");
  s.kinds = reader.list("flavors");
  s.report_fields = reader.list("stats.fields");
  s.calls_per_connection = static_cast<int>(reader.whole("limits.max_streams"));
  if (s.calls_per_connection < 1) throw SettingsError("settings: limits.max_streams is below 1");
  s.idle_close = reader.duration("limits.idle_close_s");
  if (s.idle_close <= Duration{}) throw SettingsError("settings: limits.idle_close_s is not above 0");
  return s;
}

}  // namespace pearspar::settings
