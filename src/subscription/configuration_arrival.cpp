#include "subscription/configuration_arrival.h"

#include <algorithm>
#include <chrono>

namespace pearspar::subscription {
namespace {

using namespace std::chrono_literals;

constexpr Duration late_after = 1s;  // behind a known newer configuration

}  // namespace

std::string_view name_of(ConfigurationSource source) {
  switch (source) {
    case ConfigurationSource::none:
      return "none";
    case ConfigurationSource::leader_update:
      return "leader_update";
    case ConfigurationSource::leader_state:
      return "leader_state";
    case ConfigurationSource::member_answer:
      return "member_answer";
    case ConfigurationSource::provisional_state:
      return "provisional_state";
  }
  return "none";
}

void ConfigurationArrival::on_announced(Time now, catalog::Revision revision, std::uint32_t age_ms) {
  const Time applied_at = now - Duration(std::chrono::milliseconds(age_ms));
  if (revision > announced_.revision)
    announced_ = {revision, applied_at};
  else if (revision == announced_.revision)
    announced_.since = std::min(announced_.since, applied_at);
  if (revision == adopted_.revision) adopted_.since = std::min(adopted_.since, applied_at);
}

void ConfigurationArrival::on_adopted(Time now, catalog::Revision revision, ConfigurationSource source,
                                      Time behind_since) {
  if (revision <= adopted_.revision) return;
  adopted_ = {revision, now};
  if (announced_.revision == revision) adopted_.since = std::min(now, announced_.since);
  source_ = source;
  if (behind_since >= now) return;
  const Duration behind_for = now - behind_since;
  if (behind_for <= late_after || (late_ && late_->behind_for >= behind_for)) return;
  late_ = LateConfiguration{revision, source, behind_for, age(now)};
}

Duration ConfigurationArrival::age(Time now) const {
  if (adopted_.revision == 0) return Duration{};
  return std::max(Duration{}, Duration(now - adopted_.since));
}

}  // namespace pearspar::subscription
