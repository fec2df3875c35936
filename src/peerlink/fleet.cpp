#include "peerlink/fleet.h"

#include <fmt/format.h>
#include <unistd.h>

#include <array>

#include "config/version.h"
#include "json/json.h"

namespace pearspar::peerlink {
namespace {

// Leaves the rest to the next loop turn, so that clients are served in between.
constexpr int max_datagrams_per_turn = 64;

// Rises with each start: Unix time in milliseconds and the process id, which tells starts in the same
// millisecond apart.
std::uint64_t new_run_id(net::Time now) {
  const auto ms = static_cast<std::uint64_t>(now.time_since_epoch().count() * 1000);
  return ms << 16 | (static_cast<std::uint64_t>(::getpid()) & 0xffff);
}

peers::Self local_member(const options::FleetOptions& options, const std::string& name, const net::Fd& fd,
                         const net::Address& serves, net::Time now) {
  return {name,   new_run_id(now), options.advertise ? *options.advertise : net::local_address(fd),
          serves, options.zone,    options.region,
          version};
}

std::string quoted(std::string_view text) {
  std::string out;
  json::append_quoted(out, text);
  return out;
}

}  // namespace

Fleet::Fleet(net::Loop& loop, log::Logger& log, const options::FleetOptions& options, const std::string& name,
             const net::Address& serves, std::uint64_t seed)
    : loop_(loop),
      log_(log),
      fd_(net::bind_datagrams(options.listen)),
      core_(options.core, local_member(options, name, fd_, serves, loop.now()), seed, loop.now()),
      watch_(loop.watch(fd_.get(), POLLIN, [this](short) { readable(); })) {
  log_.info("fleet: {} run {} takes part in {} at {}, {} seeds", name, core_.self().run, options.core.fleet,
            core_.self().address.text(), options.core.seeds.size());
  flush();
}

void Fleet::readable() {
  std::array<char, 2048> bytes;
  net::Address from;
  bool more = true;
  for (int i = 0; i < max_datagrams_per_turn && more; ++i) {
    const std::size_t got = net::receive_datagram(fd_, bytes.data(), bytes.size(), from, more);
    if (more && got > 0) core_.receive(loop_.now(), from, {bytes.data(), got});
  }
  flush();
}

void Fleet::flush() {
  for (const peers::Datagram& datagram : core_.take_datagrams())
    if (!net::send_datagram(fd_, datagram.to, datagram.bytes)) ++unsent_;
  for (const peers::MemberEvent& event : core_.take_events()) log_event(event);
  log_view();
  const net::Time due = core_.due();
  if (due == net::Time::max()) {
    timer_.reset();
    return;
  }
  timer_ = loop_.at(due, [this] {
    core_.tick(loop_.now());
    flush();
  });
}

void Fleet::log_event(const peers::MemberEvent& event) {
  const std::string identity =
      fmt::format("{} run {} incarnation {}", event.name, event.run, event.incarnation);
  if (event.name == core_.self().name) {
    if (core_.yields())
      log_.error("fleet: {} is also the name of a broker at {}, started later: we are silent", identity,
                 event.by);
    else
      log_.warning("fleet: {}, our name, is no longer used at {}: taking part again", identity, event.by);
    return;
  }
  const std::string previous_state =
      event.known_before ? fmt::format("was {}", peers::name_of(event.before)) : "was unknown";
  const std::string by = event.by == core_.self().name ? "us" : event.by;
  const std::string line =
      fmt::format("fleet: {} is {}, {}: {}, by {}{}", identity, peers::name_of(event.after), previous_state,
                  peers::text_of(event.cause), by,
                  event.accusers > 0 ? fmt::format(", accusers {}", event.accusers) : "");
  if (event.after == peers::State::gone)
    log_.warning("{}", line);
  else
    log_.info("{}", line);
}

// Logs whether the view has settled and whether we may be in the smaller part of a partition.
void Fleet::log_view() {
  const net::Time now = loop_.now();
  const bool settled = core_.settled(now);
  const std::uint64_t digest = core_.digest();
  if (settled != logged_settled_ || (settled && digest != logged_digest_)) {
    if (settled)
      log_.info("fleet: settled, digest {:016x}, {} in force", digest, core_.in_force());
    else
      log_.info("fleet: not settled, digest {:016x}, {} in force", digest, core_.in_force());
    logged_settled_ = settled;
    logged_digest_ = digest;
    const bool smaller = core_.smaller_part();
    if (settled && smaller != logged_smaller_part_) {
      logged_smaller_part_ = smaller;
      if (smaller)
        log_.warning("fleet: we may be in the smaller part of a split, {} in force here", core_.in_force());
      else
        log_.info("fleet: no longer in the smaller part of a split");
    }
  }
  if (core_.counters().held_up != logged_stalls_) {
    logged_stalls_ = core_.counters().held_up;
    log_.warning("fleet: our own loop was held up, {} times by now; health {}", logged_stalls_,
                 core_.health());
  }
}

void Fleet::ready() {
  if (ready_) return;
  ready_ = true;
  core_.ready(loop_.now());
  flush();
}

void Fleet::leave() {
  core_.leave(loop_.now());
  flush();
}

void Fleet::finish() {
  core_.finish(loop_.now());
  flush();
}

bool Fleet::done() const { return core_.finished(loop_.now()); }

bool Fleet::publish(const std::string& key, const std::string& value) {
  const bool fits = core_.publish(loop_.now(), key, value);
  flush();
  return fits;
}

void Fleet::set_discovered_seeds(std::vector<net::Address> seeds) {
  core_.set_discovered_seeds(std::move(seeds));
  flush();
}

std::string Fleet::view_json() {
  const auto view = snapshot();
  const net::Time now = loop_.now();
  std::string out = fmt::format(
      "{{\"self\":{},\"number\":{},\"digest\":\"{:016x}\",\"in_force\":{},\"settled\":{},\"settled_for_ms\":{"
      ":.0f},"
      "\"smaller_part\":{},\"yields\":{},\"health\":{},\"members\":[",
      quoted(view->self), view->number, view->digest, view->in_force, view->settled,
      view->settled ? (now - view->settled_since).count() * 1000 : 0.0, view->smaller_part, view->yields,
      core_.health());
  bool first = true;
  for (const peers::MemberView& member : view->members) {
    out += fmt::format(
        "{}{{\"name\":{},\"run\":{},\"incarnation\":{},\"state\":\"{}\",\"for_ms\":{:.0f},\"address\":\"{}\","
        "\"serves\":\"{}\",\"zone\":{},\"region\":{},\"version\":{},\"records\":{{",
        first ? "" : ",", quoted(member.name), member.run, member.incarnation, peers::name_of(member.state),
        member.since == net::Time{} ? 0.0 : (now - member.since).count() * 1000, member.address.text(),
        member.serves.text(), quoted(member.zone), quoted(member.region), quoted(member.version));
    first = false;
    bool first_record = true;
    for (const auto& [key, record] : member.records) {
      if (record.value.empty()) continue;
      out += fmt::format("{}{}:{}", first_record ? "" : ",", quoted(key), quoted(record.value));
      first_record = false;
    }
    out += "}}";
  }
  return out + "]}";
}

std::string Fleet::counters_json() const {
  const peers::Counters& c = core_.counters();
  return fmt::format(
      "\"in_force\":{},\"health\":{},\"sent\":{},\"sent_bytes\":{},\"received\":{},\"received_bytes\":{},"
      "\"unsent\":{},\"unpaid\":{},\"probes\":{},\"probes_failed\":{},\"asked_others\":{},\"refuted\":{},"
      "\"removed\":{},\"held_up\":{},\"summaries\":{},\"pages\":{},\"startovers\":{},\"outruns\":{},"
      "\"dropped\":{{\"oversized\":{},\"malformed\":{},\"foreign\":{},\"other_format\":{},\"spoilt\":{},"
      "\"wrong_source\":{},\"repeated\":{},\"unproven\":{},\"too_many\":{},\"old_run\":{},\"not_for_us\":{},"
      "\"namesakes\":{},\"wordless\":{},\"table_full\":{},\"shelf_full\":{}}}",
      core_.in_force(), core_.health(), c.sent, c.sent_bytes, c.received, c.received_bytes, unsent_, c.unpaid,
      c.probes, c.probes_failed, c.asked_others, c.refuted, c.removed, c.held_up, c.summaries, c.pages,
      c.startovers, c.outruns, c.oversized, c.malformed, c.foreign, c.other_format, c.spoilt, c.wrong_source,
      c.repeated, c.unproven, c.too_many, c.old_run, c.not_for_us, c.namesakes, c.wordless, c.table_full,
      c.shelf_full);
}

}  // namespace pearspar::peerlink
