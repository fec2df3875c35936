#include "altavia/member.h"

#include <algorithm>
#include <map>

#include "allocation/allocation.h"
#include "altavia/memory_shares.h"
#include "control_plane/follower_lag.h"
#include "invariants/invariants.h"
#include "logging/log.h"

namespace pearspar::altavia {
namespace {

using namespace std::chrono_literals;
using logging::Level;
using logging::log;

constexpr std::size_t max_connections = 1024;
constexpr std::size_t max_body_bytes = 1 << 20;
constexpr net::Duration start_retry_delay = 300ms;
constexpr net::Duration min_stop_time = 400ms;
constexpr double max_share_of_grace = 0.85;  // while it waits for other members
constexpr net::Duration min_timer_delay = 2ms;

raft::Options core_options(const process_settings::Settings& settings, std::uint64_t seed) {
  raft::Options options;
  options.address = settings.inner_address();
  options.founders = settings.inner_seeds();
  options.seeds = settings.inner_seeds();
  options.first_start = settings.first_start;
  options.fresh_id = seed | 1;
  options.seed = seed;
  return options;
}

control_plane::ControllerOptions controller_options(const process_settings::Settings& settings,
                                                    std::uint64_t seed) {
  control_plane::ControllerOptions options;
  options.pool = {settings.retry_slack, net::Duration(settings.retry_window_s)};
  options.exposure = {settings.exposure_share, settings.exposure_slack};
  options.acknowledged_within = control_plane::Duration(settings.acknowledge_within_ms / 1000);
  options.inner_address = settings.inner_address();
  options.control_address = settings.control_listen_address;
  options.incarnation = seed;
  options.name = settings.node_name;
  options.zone = settings.zone;
  options.heartbeat_interval = control_plane::Duration(settings.heartbeat_interval_ms / 1000);
  return options;
}

control_plane::CallerId caller_of(net::SlotId id) { return std::uint64_t{id.index} << 32 | id.generation; }
net::SlotId connection_of(control_plane::CallerId caller) {
  return {static_cast<std::uint32_t>(caller >> 32), static_cast<std::uint32_t>(caller)};
}

}  // namespace

Member::Member(net::Loop& loop, const process_settings::Settings& settings, std::uint64_t seed)
    : loop_(loop),
      settings_(settings),
      front_(loop,
             [](std::string_view what) {
               log(Level::warning, "control_port", {{"what", what}});
             },
             max_connections, *this, {net::Duration(10), net::Duration(5)}, {16 * 1024, max_body_bytes}),
      links_(loop, *this),
      store_(settings.data_dir),
      member_(links_, store_, core_options(settings, seed), controller_options(settings, seed)) {
  front_.set_memory_bound(settings.memory_bytes(member_shares.clients));
  links_.set_memory_bound(settings.memory_bytes(member_shares.links));
  links_.listen(net::Address::of(settings.inner_address()));
  front_.listen(net::Address::of(settings.control_listen_address));
  start_core();
}

Member::~Member() = default;

// Retried after a delay if the store fails; until then every call is refused.
void Member::start_core() {
  auto error = member_.start(loop_.read_clock());
  restart_at_ = loop_.now() + start_retry_delay;
  if (error) {
    log(Level::error, "store_refused", {{"folder", settings_.data_dir}, {"why", error.message()}});
    return;
  }
  const raft::Core& core = member_.core();
  log(Level::info, "member_started",
      {{"id", core.self()},
       {"term", core.term()},
       {"last", core.log().last()},
       {"committed", core.commit()},
       {"edition", member_.state().revision()},
       {"nodes", member_.controller().view().nodes().all().size()},
       {"retired", member_.controller().view().nodes().retired().size()},
       {"voter", core.log().membership().has(core.self())}});
  logged_rollouts_ = member_.state().rollouts().changed_at();
}

void Member::settings_changed(const process_settings::Settings& settings) {
  settings_.seeds = settings.seeds;
  member_.set_seeds(settings_.inner_seeds());
}

void Member::request_arrived(net::SlotId connection, const http::Message& message) {
  if (message.target == "/pearspar/metrics") {
    clients::Answer answer;
    answer.type = "text/plain; version=0.0.4";
    answer.body = metrics::as_text(samples(), settings_.node_name, settings_.zone);
    return front_.answer(connection, answer);
  }
  if (stopping_) {
    clients::Answer answer;
    answer.status = 503;
    answer.retry_after_s = control_plane::unavailable_retry_after_s;
    return front_.answer(connection, answer);
  }
  member_.call(loop_.read_clock(), caller_of(connection), message.method, message.target,
               message.header("If-Match").value_or(std::string_view()), message.body);
}

void Member::client_left(net::SlotId) {}  // a change may be in progress; its response is discarded

void Member::link_up(transport::LinkId link, const std::string& address) {
  member_.link_up(loop_.read_clock(), link, address);
}
void Member::link_frame(transport::LinkId link, std::string_view frame) {
  member_.link_frame(loop_.read_clock(), link, frame);
}
void Member::link_down(transport::LinkId link) { member_.link_down(link); }

std::vector<metrics::Sample> Member::samples() const {
  const raft::Core& core = member_.core();
  const control_plane::FollowerLag lag = control_plane::follower_lag(
      loop_.read_clock(), member_.controller().followers(), member_.state().revision());
  auto number = [](auto value) { return static_cast<double>(value); };
  std::vector<metrics::Sample> samples = {
      {"altavia_leads", "whether this member leads, its lease holding",
       core.holds_lease(loop_.read_clock()) ? 1.0 : 0.0},
      {"altavia_voter", "whether it counts", core.log().membership().has(core.self()) ? 1.0 : 0.0},
      {"altavia_term", "term", number(core.term())},
      {"altavia_commit", "entries that a majority has on disk", number(core.commit())},
      {"altavia_log_entries", "entries behind the snapshot",
       number(core.log().last() - core.log().snapshot().index)},
      {"altavia_disk_refuses", "whether the last write failed", core.store_failed() ? 1.0 : 0.0},
      {"altavia_disk_refusals_total", "writes that the store refused",
       number(core.counters().refused_writes)},
      {"altavia_log_bytes", "of the entries behind the snapshot", number(core.log().bytes())},
      {"altavia_log_kept_bytes", "of folded entries that a member still lacks",
       number(core.log().retained_bytes())},
      {"altavia_snapshots_sent_total", "begun, to members that lack what the log begins with",
       number(core.counters().snapshot_transfers)},
      {"altavia_snapshots_restarted_total", "whose entries outgrew their bound before they had arrived",
       number(core.counters().snapshot_transfers_restarted)},
      {"altavia_snapshots_taken_total", "of a leader", number(core.counters().snapshots_installed)},
      {"altavia_snapshots_refused_total", "too large, or not what was announced",
       number(core.counters().refused_snapshots)},
      {"altavia_agreement_refused_total", "words that break the agreement's rules",
       number(core.counters().refused_messages)},
      {"altavia_edition", "newest configuration", number(member_.state().revision())},
      {"altavia_configuration_unread", "whether this program cannot read what was taken, and leads no more",
       member_.state().may_serve() ? 0.0 : 1.0},
      {"altavia_calls_held", "control calls not answered yet",
       number(member_.controller().call_limiter().calls())},
      {"altavia_calls_held_bytes", "of those", number(member_.controller().call_limiter().bytes())},
      {"altavia_calls_without_room_total", "control calls refused since too many waited",
       number(member_.controller().call_limiter().refused())},
      {"altavia_nodes", "nodes known", number(member_.controller().view().nodes().all().size())},
      {"altavia_edges", "edges that hold a lease here",
       number(member_.controller().followers().edges(loop_.read_clock()))},
      {"altavia_followers_in_sync", "edges and members in touch that need only changes, at a leader",
       number(lag.in_sync)},
      {"altavia_followers_waiting", "edges and members in touch that wait for a full state, at a leader",
       number(lag.waiting)},
      {"altavia_followers_longest_wait_seconds", "of those, for a full state", lag.longest_wait.count()},
      {"altavia_edges_behind", "edges in touch that have not acknowledged the newest configuration here",
       number(lag.edges_behind)},
      {"altavia_tokens_granted_total", "of the budget that edges share",
       number(member_.controller().pool().granted())},
      {"altavia_tokens_refused_total", "asked for and not there",
       number(member_.controller().pool().refused())},
      {"altavia_allowance_window", "of allowances, that runs",
       number(member_.state().quota_ledger().window())},
      {"altavia_allowance_entries_total", "entries of the log on allowances, proposed here",
       number(member_.controller().quota_allocator().counters().entries)},
      {"altavia_allowance_given_up_total", "edges whose tokens came back since they fell silent",
       number(member_.controller().quota_allocator().counters().given_up)},
      {"altavia_links", "links to other processes", number(links_.count())},
      {"altavia_frames_dropped_total", "frames for which there was no link, or no room",
       number(links_.dropped())},
      {"altavia_accept_failures_total", "links that waited, since no descriptor was free",
       number(links_.accept_failures())},
      {"altavia_link_bytes", "held for links to other processes", number(links_.held_bytes())},
      {"altavia_links_closed_for_memory_total", "links cut off since their bytes had reached their bound",
       number(links_.closed_for_memory())},
      {"altavia_unread_total", "frames that could not be read", number(member_.unreadable_frames())},
      {"altavia_calls_total", "control calls", number(front_.counters().requests)},
      {"altavia_log_lines_dropped_total", "lines that would have waited, or were too many",
       number(logging::dropped_lines())},
      {"altavia_allocations_refused_total", "served from the reserve", number(allocation::refusals())},
      {"altavia_violations_total", "of invariants; never to be more than none",
       number(invariants::violations())},
      {"altavia_caller_bytes", "held for callers' connections", number(front_.held_bytes())},
      {"altavia_refused_for_memory_total", "calls answered 503 since callers' bytes had reached their bound",
       number(front_.counters().refused_for_memory)},
  };
  std::map<rollout::RolloutState, int> rollouts;
  for (const auto& [service, record] : member_.state().rollouts().services())
    if (record.rollout) ++rollouts[record.rollout->state];
  for (const auto& [state, count] : rollouts)
    samples.push_back({"altavia_rollouts",
                       "depots by the state of their newest roll-out",
                       number(count),
                       {{"state", std::string(rollout::name_of(state))}}});
  for (const auto& count : member_.controller().call_log().counts())
    samples.push_back({"altavia_calls_refused_total",
                       "control calls answered 4xx or 5xx, by path and status",
                       number(count.calls),
                       {{"path", std::string(control_plane::name_of(count.path))},
                        {"status", std::to_string(count.status)}}});
  return samples;
}

void Member::log_role_changes() {
  bool unreadable = member_.started() && !member_.state().may_serve();
  if (unreadable != configuration_unreadable_)
    log(unreadable ? Level::error : Level::info, unreadable ? "configuration_not_read" : "configuration_read",
        {{"edition", member_.state().revision()}, {"why", member_.state().fault()}});
  configuration_unreadable_ = unreadable;
  bool is_leader = member_.controller().is_active();
  if (is_leader == was_leader_) return;
  was_leader_ = is_leader;
  log(Level::info, is_leader ? "leads" : "leads_no_more",
      {{"term", member_.core().term()},
       {"edition", member_.state().revision()},
       {"nodes", member_.controller().view().nodes().all().size()}});
}

void Member::log_rollouts() {
  const rollout::RolloutLedger& ledger = member_.state().rollouts();
  if (ledger.changed_at() <= logged_rollouts_) return;
  for (const auto& [service, record] : ledger.services()) {
    if (record.changed_at <= logged_rollouts_ || !record.rollout) continue;
    const rollout::Rollout& rollout = *record.rollout;
    log(Level::info, "rollout",
        {{"depot", service},
         {"edition", rollout.target},
         {"state", rollout::name_of(rollout.state)},
         {"share", rollout.share_permille / 1000.0},
         {"elapsed_s", static_cast<double>(rollout.elapsed_ms) / 1000},
         {"why", rollout.reason}});
  }
  logged_rollouts_ = ledger.changed_at();
}

void Member::log_refused_calls() {
  for (const control_plane::RefusedCall& call : member_.take_refused_calls())
    log(Level::warning, "call_refused",
        {{"method", call.method}, {"path", call.path}, {"status", call.status}, {"answer", call.body}});
}

void Member::log_store_changes() {
  const raft::Core& core = member_.core();
  if (core.store_failed() == store_failing_) return;
  store_failing_ = core.store_failed();
  log(store_failing_ ? Level::error : Level::info, store_failing_ ? "store_refuses" : "store_takes_again",
      {{"folder", settings_.data_dir}, {"refused", core.counters().refused_writes}});
}

void Member::after_turn() {
  const allocation::Activity activity("the log, its store and calls that are due");
  net::Time now = loop_.read_clock();
  if (!member_.started() && now >= restart_at_) start_core();
  for (auto& reply : member_.advance([this] { return loop_.read_clock(); })) {
    clients::Answer answer;
    answer.status = reply.status;
    answer.body = std::move(reply.body);
    if (reply.status == 503) answer.retry_after_s = control_plane::unavailable_retry_after_s;
    front_.answer(connection_of(reply.caller), answer);
  }
  log_refused_calls();
  log_rollouts();
  log_role_changes();
  log_store_changes();
  net::Time due = member_.started() ? member_.due() : restart_at_;
  due_timer_ = loop_.at(std::max(due, now + min_timer_delay), [] {});
}

void Member::stop() {
  if (stopping_) return;
  stopping_ = true;
  stop_earliest_at_ = loop_.now() + min_stop_time;
  stop_latest_at_ = std::max(stop_earliest_at_,
                             loop_.now() + net::Duration(settings_.shutdown_grace_s * max_share_of_grace));
  member_.transfer_leadership(loop_.read_clock());
  log(Level::info, "member_stops", {{"term", member_.core().term()}});
}

}  // namespace pearspar::altavia
