#include "benchlink/settings.h"

#include <charconv>
#include <cmath>
#include <map>
#include <sstream>

#include "benchlink/frame.h"

namespace pearspar::benchlink {
namespace {

constexpr long max_items = 100000;

class Lines {
 public:
  explicit Lines(const std::string& text) {
    std::istringstream in(text);
    for (std::string line; std::getline(in, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      if (line.empty()) continue;
      std::size_t equals = line.find('=');
      if (equals == std::string::npos || equals == 0)
        throw WireError("settings: a line is not path=value: " + line.substr(0, 80));
      values_[line.substr(0, equals)] = line.substr(equals + 1);
    }
    if (values_.empty()) throw WireError("settings: no lines");
  }

  bool has(const std::string& path) const { return values_.count(path) != 0; }

  const std::string& text(const std::string& path) const {
    auto found = values_.find(path);
    if (found == values_.end()) throw WireError("settings: " + path + " is missing");
    return found->second;
  }

  double number(const std::string& path) const { return to_number(path, text(path)); }
  double number_or(const std::string& path, double otherwise) const {
    return has(path) ? number(path) : otherwise;
  }
  Duration span(const std::string& path) const { return Duration(number(path)); }
  Duration span_or_none(const std::string& path) const { return Duration(number_or(path, 0)); }

  long whole(const std::string& path) const {
    double value = number(path);
    if (value != std::floor(value) || std::abs(value) > 2e9)
      throw WireError("settings: " + path + " is not a whole number");
    return static_cast<long>(value);
  }

  long count(const std::string& path) const {
    long value = has(path) ? whole(path) : 0;
    if (value < 0 || value > max_items) throw WireError("settings: " + path + " is out of range");
    return value;
  }

  bool flag(const std::string& path) const {
    const std::string& value = text(path);
    if (value == "true" || value == "1") return true;
    if (value == "false" || value == "0") return false;
    throw WireError("settings: " + path + " is neither true nor false");
  }
  bool flag_or_not(const std::string& path) const { return has(path) && flag(path); }

  std::vector<std::string> list(const std::string& path) const {
    std::vector<std::string> items;
    if (!has(path)) return items;
    std::istringstream in(text(path));
    for (std::string item; std::getline(in, item, ',');) items.push_back(item);
    return items;
  }

  // A list with one number for each class.
  double for_class(const std::string& path, std::size_t cls) const {
    std::vector<std::string> items = list(path);
    if (cls >= items.size()) throw WireError("settings: " + path + " is too short");
    return to_number(path, items[cls]);
  }

  template <typename T>
  T choice(const std::string& path, const std::map<std::string, T>& choices) const {
    auto found = choices.find(text(path));
    if (found == choices.end()) throw WireError("settings: " + path + " has an unknown value " + text(path));
    return found->second;
  }

 private:
  static double to_number(const std::string& path, const std::string& value) {
    double number = 0;
    const char* end = value.data() + value.size();
    auto [stop, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc() || stop != end || !std::isfinite(number))
      throw WireError("settings: " + path + " is not a number: " + value.substr(0, 40));
    return number;
  }

  std::map<std::string, std::string> values_;
};

ClassSettings read_class(const Lines& lines, std::size_t index) {
  std::string at = "classes." + std::to_string(index) + ".";
  ClassSettings cls;
  cls.name = lines.text(at + "name");
  cls.aim = lines.span(at + "aim_s");
  cls.aim_stretch = lines.number_or(at + "aim_stretch", 0);
  cls.give_up = lines.span(at + "give_up_s");
  cls.worth = lines.number(at + "worth");
  cls.late_worth = lines.number(at + "late_worth");
  cls.effect = lines.choice<Effect>(
      at + "effect", {{"retryable", Effect::safe}, {"dedup", Effect::keyed}, {"fragile", Effect::unsafe}});
  cls.dedup_window = lines.span_or_none(at + "dedup_window_s");
  cls.floor = lines.for_class("specifics.class_floor", index);
  cls.need = lines.for_class("specifics.whole_at", index);
  cls.partial = lines.for_class("specifics.class_partial", index);
  cls.fetch_parts = static_cast<int>(lines.for_class("specifics.fetch_parts", index));
  return cls;
}

TenantSettings read_tenant(const Lines& lines, std::size_t index) {
  std::string at = "projects." + std::to_string(index) + ".";
  return {lines.text(at + "name"), lines.number(at + "quota_per_s"), lines.number(at + "share")};
}

}  // namespace

Settings parse_settings(const std::string& text) {
  Lines lines(text);
  Settings s;
  s.self = static_cast<int>(lines.whole("me"));
  s.brokers = static_cast<int>(lines.whole("balancers"));
  s.zone = static_cast<int>(lines.whole("zone"));
  for (long i = 0; i < lines.count("classes.count"); ++i)
    s.classes.push_back(read_class(lines, static_cast<std::size_t>(i)));
  for (long i = 0; i < lines.count("projects.count"); ++i)
    s.tenants.push_back(read_tenant(lines, static_cast<std::size_t>(i)));
  s.over_share_worth = lines.number_or("over_share_worth", 1);
  s.worth_by_work = lines.text("counted_by") == "work";
  s.clients_mark_repeats = lines.flag_or_not("callers.marks_retry");
  s.membership_by_asking = lines.choice<bool>("registry_mode", {{"push", false}, {"ask", true}});

  s.cells = static_cast<int>(lines.whole("specifics.sets"));
  s.cells_per_shard = static_cast<int>(lines.whole("specifics.in_a_row"));
  s.shards = static_cast<int>(lines.whole("specifics.slabs"));
  s.parts_per_call = static_cast<int>(lines.whole("specifics.parts_a_call"));
  if (s.cells < 1 || s.cells_per_shard < 1) throw WireError("settings: a layout without cells");
  if (s.parts_per_call < 1) throw WireError("settings: calls without parts");
  s.call_cost = lines.span_or_none("specifics.call_s");
  s.warm_keys = lines.flag_or_not("specifics.warm_keys");

  s.may_cancel = lines.flag("limits.cancel");
  s.may_probe = lines.flag("limits.probes");
  s.may_tell_peers = lines.flag("limits.peers");
  s.may_copy = lines.flag("limits.second_copies");
  s.may_advise_return = lines.flag("limits.retry_after");
  s.max_return_advice = lines.span_or_none("limits.max_retry_after_s");
  s.connect_timeout = lines.span_or_none("limits.connect_timeout_s");
  s.max_attempts = static_cast<int>(lines.whole("limits.try_limit"));
  s.max_open = static_cast<int>(lines.whole("limits.max_open"));
  s.quantum = lines.span_or_none("quantum_s");

  s.answer_slack = lines.span_or_none("safety.answer_slack_s");
  s.drain_grace = lines.span_or_none("safety.drain_grace_s");
  s.ask_within = lines.span_or_none("safety.ask_within_s");
  s.fall_multiple = lines.number("safety.fall_multiple");
  s.fall_span = lines.span("safety.fall_s");
  s.start_capacity = lines.number("safety.start_capacity");
  s.warm_within = lines.span("safety.warm_within_s");
  s.has_budget = lines.has("safety.resend_span_s");
  s.budget_extra = lines.number_or("safety.min_extra", 0);
  s.budget_ratio = lines.number_or("safety.further_ratio", 0);
  s.budget_span = lines.span_or_none("safety.resend_span_s");

  s.report_source = lines.choice<ReportSource>("stats.source", {{"silent", ReportSource::none},
                                                                {"piggyback", ReportSource::with_answers},
                                                                {"pull", ReportSource::by_probe}});
  const std::map<std::string, ReportField> fields = {
      {"outstanding", ReportField::outstanding}, {"backlog", ReportField::backlog},
      {"utilization", ReportField::utilization}, {"recent_ms", ReportField::recent_ms},
      {"throughput", ReportField::throughput},   {"errors_per_s", ReportField::errors_per_s}};
  for (const std::string& name : lines.list("stats.fields")) {
    auto found = fields.find(name);
    s.report_fields.push_back(found == fields.end() ? ReportField::unknown : found->second);
  }
  s.rating = lines.choice<RatingKind>("weights", {{"silent", RatingKind::none},
                                                  {"nominal", RatingKind::nominal},
                                                  {"rough", RatingKind::rough},
                                                  {"live", RatingKind::live}});
  s.price_probe = lines.number_or("prices.probe", 0);
  s.price_waste = lines.number_or("prices.waste", 0);
  s.price_cross_zone = lines.number_or("prices.cross_zone", 0);
  s.price_late_fail = lines.number_or("prices.late_fail", 0);
  s.price_connection = lines.number_or("prices.connection", 0);
  s.price_handshake = lines.number_or("prices.handshake", 0);
  s.price_peer = lines.number_or("prices.peer", 0);
  return s;
}

}  // namespace pearspar::benchlink
