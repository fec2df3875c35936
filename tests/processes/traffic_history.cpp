// The history of all requests, and the rules that it is judged by.
#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <set>
#include <sstream>

#include "processes/traffic.h"

namespace pearspar::processes {
namespace {

constexpr double in_touch_s = 4;         // as the operators' pages count it
constexpr double gone_after_s = 0.5;     // a client that left must be known by then
constexpr double busy_machine_s = 0.25;  // what threads of this process may be late by
constexpr double late_after_s = 0.5;     // past a request's deadline
constexpr double drain_s = 3;
constexpr double grace_s = 4;  // of the edges' settings
constexpr double last_sixth = grace_s * 5 / 6;
constexpr double taken_within_s = 3;  // of a SIGTERM: what comes later may be cut
constexpr int few = 3;
constexpr std::size_t record_bytes = 16;
constexpr std::size_t top = 20;
constexpr int most_tries = 2;  // of every route
constexpr int not_found = 404;

std::string header(const std::string& head, const std::string& name) {
  std::istringstream lines(head);
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(": ");
    if (colon != line.npos && line.substr(0, colon) == name) return line.substr(colon + 2);
  }
  return {};
}

std::vector<std::string> split(const std::string& list) {
  std::vector<std::string> parts;
  std::istringstream in(list);
  for (std::string part; std::getline(in, part, ',');) {
    part.erase(0, part.find_first_not_of(' '));
    parts.push_back(part);
  }
  return parts;
}

bool promises_not_run(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

std::string hashed(const std::string& text, std::uint64_t salt) {
  return fmt::format("{:016x}", XXH3_64bits_withSeed(text.data(), text.size(), salt));
}

}  // namespace

std::string records_of(const std::string& stamp) {
  std::string body;
  for (std::uint64_t i = 0; i < 12; ++i) body += hashed(stamp, i);
  return body;
}

std::string bytes_of(const std::string& stamp) {
  const std::uint64_t size = XXH3_64bits(stamp.data(), stamp.size());
  std::string body;
  // Mostly short, now and then more than a socket takes at once.
  for (std::uint64_t i = 0; i < (size % 16 == 0 ? 4000 : size % 40); ++i) body += hashed(stamp, i);
  return body;
}

void TrafficHistory::sent(const ClientTry& attempt) {
  std::lock_guard lock(mutex_);
  tries_[attempt.id] = attempt;
}

void TrafficHistory::sent_whole(const std::string& id) {
  std::lock_guard lock(mutex_);
  tries_[id].all_sent = true;
  tries_[id].whole_at = now();
}

void TrafficHistory::left(const std::string& id) {
  std::lock_guard lock(mutex_);
  tries_[id].left_at = now();
}

void TrafficHistory::closed(const std::string& id) {
  std::lock_guard lock(mutex_);
  tries_[id].ended_at = now();
}

void TrafficHistory::answered(const std::string& id, int status, const std::string& head,
                              const std::string& body) {
  std::lock_guard lock(mutex_);
  ClientTry& attempt = tries_[id];
  attempt.status = status;
  attempt.ended_at = now();
  if (!attempt.probes) judge_.client(attempt.path, status);
  auto mixed = [&](const std::string& what) {
    fault_of(id, "MIXED", fmt::format("{} {} at {}: {}", attempt.path, id, attempt.edge, what));
  };
  const std::string stamp = header(head, "Postmark"), parts = header(head, "Part-Postmarks");
  const bool comes_and_goes = ProbeRoute::of_path(attempt.path).has_value();
  const bool gathered = comes_and_goes ? !parts.empty() : may_be_gathered(attempt.path);
  if (status < 200 || status > 299) {
    if (!stamp.empty() && (!stamped_.count(stamp) || stamped_.at(stamp) != id))
      mixed("a failure bears the stamp of another answer");
    return;
  }
  if (header(head, "Request-Id") != id) return mixed("the answer names another request");
  if (!gathered) {
    if (!stamped_.count(stamp) || stamped_.at(stamp) != id) return mixed("its stamp is not of this request");
    if (body != (may_be_gathered(attempt.path) ? records_of(stamp) : bytes_of(stamp)))
      mixed(fmt::format("the body is not the server's, {} bytes", body.size()));
    return;
  }
  std::vector<std::string> records;
  std::set<std::string> services;
  for (const std::string& part : split(parts)) {
    if (!stamped_.count(part) || stamped_.at(part) != id)
      return mixed("a part's stamp is not of this request");
    if (!services.insert(part.substr(0, part.find('.'))).second) return mixed("two parts of one service");
    const std::string all = records_of(part);
    for (std::size_t at = 0; at < all.size(); at += record_bytes)
      records.push_back(all.substr(at, record_bytes));
  }
  std::sort(records.rbegin(), records.rend());
  records.resize(std::min(records.size(), top));
  std::string wanted;
  for (const std::string& record : records) wanted += record;
  const std::string missing = header(head, "Missing-Parts");
  if (services.size() + static_cast<std::size_t>(std::atoi(missing.c_str())) != 2)
    return mixed("parts and missing parts are not the set of shards");
  if (body != wanted) mixed("the body is not the greatest records of its parts");
}

std::size_t TrafficHistory::arrived(const Arrival& arrival) {
  std::lock_guard lock(mutex_);
  arrivals_.push_back(arrival);
  stamped_[arrival.stamp] = arrival.id;
  return arrivals_.size() - 1;
}

void TrafficHistory::stopped(std::size_t arrival) {
  std::lock_guard lock(mutex_);
  arrivals_[arrival].stopped_at = std::min(arrivals_[arrival].stopped_at, now());
}

void TrafficHistory::left_service(const std::string& server) {
  std::lock_guard lock(mutex_);
  left_service_[server] = now();
}

void TrafficHistory::troubled(const std::string& edge, double from, double until) {
  std::lock_guard lock(mutex_);
  troubled_[edge].emplace_back(from, until);
}

void TrafficHistory::told_to_end(const std::string& edge, double at) {
  std::lock_guard lock(mutex_);
  ends_[edge].push_back(at);
}

bool TrafficHistory::calm(const std::string& edge, double from, double until) const {
  const auto found = troubled_.find(edge);
  if (found == troubled_.end()) return true;
  return std::none_of(found->second.begin(), found->second.end(), [&](const auto& span) {
    return span.first < until && span.second + in_touch_s > from;
  });
}

const ClientTry* TrafficHistory::find(const std::string& id) const {
  const auto found = tries_.find(id);
  return found == tries_.end() ? nullptr : &found->second;
}

void TrafficHistory::settle_kinds(const std::vector<Change>& changes) {
  std::map<std::string, double> last_arrival;
  for (const Arrival& arrival : arrivals_) last_arrival[arrival.id] = arrival.at;
  for (auto& [id, attempt] : tries_) {
    const auto route = ProbeRoute::of_path(attempt.path);
    if (!route || route->is_safe()) continue;
    ++once_;
    const auto arrived = last_arrival.find(id);
    const double handled_at = arrived == last_arrival.end() ? attempt.sent_at : arrived->second;
    attempt.safe = !is_in_force(*route, changes, attempt.sent_at, handled_at);
    if (!attempt.safe) ++unrepeatable_;
  }
  summary_ +=
      fmt::format("{} on routes that became unsafe, {} of them once they were; ", once_, unrepeatable_);
}

void TrafficHistory::judge_arrivals() {
  std::map<std::pair<std::string, std::string>, int> by_service;
  std::map<std::string, int> ran;
  for (const Arrival& arrival : arrivals_) {
    const ClientTry* attempt = find(arrival.id);
    if (!attempt) {
      fault_of(arrival.id, "UNASKED",
               fmt::format("{} ran {}, which no client sent", arrival.server, arrival.id));
      continue;
    }
    if (arrival.method != attempt->method || arrival.path != attempt->path || arrival.body != attempt->body)
      fault_of(arrival.id, "UNASKED",
               fmt::format("{} got {} changed: {} {}, {} bytes of {}", arrival.server, arrival.id,
                           arrival.method, arrival.path, arrival.body.size(), attempt->body.size()));
    if (++by_service[{arrival.id, arrival.service}] == most_tries + 1)
      fault_of(arrival.id, "BUDGET",
               fmt::format("{} came to {} more often than its route's tries", arrival.id, arrival.service));
    if (arrival.ran && ++ran[arrival.id] == 2 && !attempt->safe)
      fault_of(arrival.id, "TWICE", fmt::format("{} may not be repeated and ran twice", arrival.id));
    if (arrival.ran && !attempt->safe && promises_not_run(attempt->status))
      fault_of(arrival.id, "REFUSED", fmt::format("{} was answered {} and ran", arrival.id, attempt->status));
    const double over = arrival.at + arrival.deadline_s - (attempt->sent_at + attempt->deadline_s);
    if (over > late_after_s && attempt->all_sent && calm(attempt->edge, attempt->sent_at, arrival.at))
      fault_of(arrival.id, "DEADLINE",
               fmt::format("{} was handed {:.2f} s more than its client had", arrival.id, over));
    const auto left = left_service_.find(arrival.server);
    if (left != left_service_.end() && arrival.at > left->second + drain_s + busy_machine_s &&
        calm(attempt->edge, left->second, arrival.at))
      fault_of(arrival.id, "DRAIN",
               fmt::format("{} got {} {:.2f} s after its leave was acknowledged", arrival.server, arrival.id,
                           arrival.at - left->second));
  }
}

// Clients that closed their connection: nothing new is sent for them, and work that may be repeated ends.
void TrafficHistory::judge_departures() {
  int late = 0, lasting = 0, still = 0;
  std::string example, late_one;
  for (const Arrival& arrival : arrivals_) {
    const ClientTry* attempt = find(arrival.id);
    if (!attempt || attempt->left_at == never) continue;
    const double known = attempt->left_at + gone_after_s + busy_machine_s;
    if (!calm(attempt->edge, attempt->sent_at, known)) continue;
    if (arrival.at > known) ++late, late_one = arrival.id;
    if (!attempt->safe || arrival.at > attempt->left_at) continue;
    if (arrival.at + std::min(arrival.work_s, arrival.deadline_s) <= known) continue;
    ++lasting;
    if (arrival.stopped_at <= known) continue;
    ++still;
    example = arrival.id;
  }
  summary_ += fmt::format("left {} lasting {} still {} late {}; ",
                          std::count_if(tries_.begin(), tries_.end(),
                                        [](const auto& each) { return each.second.left_at != never; }),
                          lasting, still, late);
  if (late > few)
    fault_of(late_one, "GONE", fmt::format("{} requests were sent after their client had left", late));
  if (lasting >= 4 && still * 4 > lasting)
    fault_of(example, "GONE",
             fmt::format("{} of {} requests were worked on after their client had left, as {}", still,
                         lasting, example));
}

// When its edge was told to end, where that was around this try; else negative. A try that had ended by then
// was not cut by it.
double TrafficHistory::told_to_end_before(const ClientTry& attempt) const {
  const auto ends = ends_.find(attempt.edge);
  if (ends == ends_.end()) return -1;
  for (const double at : ends->second) {
    const bool near = attempt.sent_at > at - in_touch_s && attempt.sent_at < at + taken_within_s;
    if (near && attempt.ended_at >= at) return at;
  }
  return -1;
}

// How tries ended: nothing that was passed on to a sound server is left without an answer.
void TrafficHistory::judge_ends() {
  std::map<std::string, const Arrival*> sound;
  for (const Arrival& arrival : arrivals_)
    if (arrival.sound && arrival.ran) sound[arrival.id] = &arrival;
  std::set<std::string> failed_at_a_shard;
  for (const Arrival& arrival : arrivals_)
    if (!arrival.sound || !arrival.ran || arrival.work_s >= arrival.deadline_s)
      failed_at_a_shard.insert(arrival.id);
  int lost = 0, served = 0, at_work_to_the_end = 0;
  std::map<std::string, int> unanswered;  // by edge
  std::map<int, int> by_status;
  for (const auto& [id, attempt] : tries_) {
    if (attempt.left_at != never) continue;
    ++by_status[attempt.status];
    if (attempt.status >= 200 && attempt.status < 300) ++served;
    if (!attempt.all_sent) continue;
    const double due = attempt.sent_at + attempt.deadline_s + late_after_s + busy_machine_s;
    const bool was_calm = calm(attempt.edge, attempt.sent_at, std::min(attempt.ended_at, due));
    if (was_calm && attempt.ended_at > due) ++unanswered[attempt.edge];
    // The server did its part: whole bytes in good order, inside the time that it was given.
    const bool lacks_a_shard = may_need_all_shards(attempt.path) && failed_at_a_shard.count(id) != 0;
    if (was_calm && attempt.status == 502 && !lacks_a_shard && sound.count(id) &&
        sound[id]->work_s < sound[id]->deadline_s)
      fault_of(id, "ANSWER",
               fmt::format("{} {} got 502 though {} answered it", attempt.path, id, sound[id]->server));
    if (attempt.status != 0 || attempt.ended_at == never || !sound.count(id)) continue;
    const double told = told_to_end_before(attempt);
    const bool ending = told >= 0;
    // Not counted: the server was still at work in the last sixth of the grace.
    const double worked_until = sound[id]->at + std::min(sound[id]->work_s, sound[id]->deadline_s);
    if (ending && attempt.sent_at <= told + taken_within_s && worked_until > told + last_sixth) {
      ++at_work_to_the_end;
      continue;
    }
    if (ending || was_calm) {
      ++lost;
      if (ending || lost == few + 1)
        fault_of(
            id, "LOST",
            fmt::format(
                "{} {} was passed on to a sound server by {} and its connection closed "
                "without an answer after {:.2f} s{}",
                attempt.path, id, attempt.edge, attempt.ended_at - attempt.sent_at,
                ending ? fmt::format(", {:.2f} s after it was told to end", attempt.ended_at - told) : ""));
    }
  }
  for (const auto& [edge, count] : unanswered)
    if (count > few)
      judge_.fault("CONFIG", fmt::format("{} requests had no answer of {} half a second past their deadline",
                                         count, edge));
  summary_ += fmt::format(
      "{} tries, {} arrivals, {} served, {} without an answer, {} cut in the last sixth of a grace, statuses",
      tries_.size(), arrivals_.size(), served, lost, at_work_to_the_end);
  for (const auto& [status, count] : by_status) summary_ += fmt::format(" {}:{}", status, count);
}

void TrafficHistory::close(const std::vector<Change>& changes) {
  std::lock_guard lock(mutex_);
  settle_kinds(changes);
  judge_arrivals();
  judge_departures();
  judge_ends();
}

std::vector<ProbeOutcome> TrafficHistory::probe_outcomes() const {
  std::lock_guard lock(mutex_);
  std::vector<ProbeOutcome> outcomes;
  for (const Arrival& arrival : arrivals_) {
    const ClientTry* attempt = find(arrival.id);
    if (attempt && attempt->probes && arrival.ran)
      outcomes.push_back(
          {arrival.id, attempt->edge, attempt->path, attempt->sent_at, arrival.at, arrival.service});
  }
  for (const auto& [id, attempt] : tries_)
    if (attempt.probes && attempt.status == not_found)
      outcomes.push_back({id, attempt.edge, attempt.path, attempt.sent_at, attempt.ended_at, std::nullopt});
  return outcomes;
}

void TrafficHistory::add_verdict(const ConfigurationVerdict& verdict) {
  std::lock_guard lock(mutex_);
  for (const ConfigurationVerdict::Late& late : verdict.late) fault_of(late.id, "CONFIG", late.what);
  summary_ += "; " + verdict.summary();
}

void TrafficHistory::fault_of(const std::string& id, const std::string& rule, const std::string& what) {
  judge_.fault(rule, what);
  if (std::find(named_.begin(), named_.end(), id) == named_.end()) named_.push_back(id);
}

std::string TrafficHistory::told_of(const std::string& id) const {
  std::string text = id + "\n";
  const ClientTry* attempt = find(id);
  if (attempt)
    text += fmt::format(
        "  client: {} {} at {}, {} bytes of body, deadline {:.3f} s, {}{}sent from {:.3f} until {:.3f}, left "
        "{:.3f}, ended {:.3f} with {}\n",
        attempt->method, attempt->path, attempt->edge, attempt->body.size(), attempt->deadline_s,
        attempt->kept ? "on a kept connection, " : "",
        attempt->behind.empty() ? std::string() : "behind " + attempt->behind + ", ", attempt->sent_at,
        attempt->whole_at, attempt->left_at, attempt->ended_at, attempt->status);
  for (const Arrival& arrival : arrivals_) {
    if (arrival.id != id) continue;
    text += fmt::format(
        "  {} ({}): {} {} from {} at {:.3f}, {} bytes of body, handed {:.3f} s, works {:.3f} s until {:.3f}, "
        "ran {}, sound {}\n",
        arrival.server, arrival.service, arrival.method, arrival.path, arrival.connection, arrival.at,
        arrival.body.size(), arrival.deadline_s, arrival.work_s, arrival.stopped_at, arrival.ran,
        arrival.sound);
  }
  return text;
}

std::string TrafficHistory::evidence() const {
  std::lock_guard lock(mutex_);
  std::string text;
  for (const std::string& id : named_) {
    text += told_of(id);
    const ClientTry* attempt = find(id);
    if (attempt && !attempt->behind.empty()) text += told_of(attempt->behind);
  }
  for (const auto& [edge, spans] : troubled_)
    for (const auto& [from, until] : spans)
      text += fmt::format("{} was in trouble from {:.3f} until {:.3f}\n", edge, from, until);
  return text;
}

std::string TrafficHistory::summary() const {
  std::lock_guard lock(mutex_);
  return summary_;
}

}  // namespace pearspar::processes
