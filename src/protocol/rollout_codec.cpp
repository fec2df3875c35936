#include "protocol/rollout_codec.h"

#include <algorithm>
#include <map>
#include <utility>

namespace pearspar::protocol {
namespace {

using rollout::FinishRollout;
using rollout::RecordVersions;
using rollout::ReserveCalls;
using rollout::RolloutCommand;
using rollout::RolloutState;
using rollout::SetShare;
using rollout::StartRollout;

constexpr std::size_t max_fields = 32;
constexpr std::size_t max_versions = 256;
constexpr std::size_t max_commands = 8192;
constexpr std::size_t max_votes = 256;
constexpr std::size_t max_counts = 4096;
constexpr std::size_t max_buckets = 128;

// The first field of each command.
enum class CommandTag : std::uint64_t { record = 1, start, reserve, share, finish };

void put(Packer& packer, const std::vector<std::string>& texts) {
  packer.array(texts.size());
  for (const std::string& text : texts) packer.text(text);
}
std::vector<std::string> get_texts(Unpacker& in) {
  std::vector<std::string> texts;
  std::size_t count = in.enter(max_versions);
  for (std::size_t i = 0; i < count && in.good(); ++i) texts.push_back(in.text());
  in.leave();
  return texts;
}

void begin(Packer& packer, CommandTag tag, std::size_t fields, const std::string& service) {
  packer.array(fields + 2);
  packer.number(static_cast<std::uint64_t>(tag));
  packer.text(service);
}

struct CommandPacker {
  Packer& packer;
  void operator()(const RecordVersions& command) const {
    begin(packer, CommandTag::record, 1, command.service);
    put(packer, command.versions);
  }
  void operator()(const StartRollout& command) const {
    begin(packer, CommandTag::start, 3, command.service);
    packer.text(command.target);
    packer.number(command.over_ms);
    put(packer, command.old_versions);
  }
  void operator()(const ReserveCalls& command) const {
    begin(packer, CommandTag::reserve, 4, command.service);
    packer.number(command.number);
    packer.number(command.calls);
    packer.number(command.requests);
    packer.number(command.elapsed_ms);
  }
  void operator()(const SetShare& command) const {
    begin(packer, CommandTag::share, 4, command.service);
    packer.number(command.number);
    packer.number(command.permille);
    packer.number(command.elapsed_ms);
    packer.text(command.reason);
  }
  void operator()(const FinishRollout& command) const {
    begin(packer, CommandTag::finish, 4, command.service);
    packer.number(command.number);
    packer.number(static_cast<std::uint64_t>(command.state));
    packer.number(command.elapsed_ms);
    packer.text(command.reason);
  }
};

RolloutState get_state(Unpacker& in) {
  std::uint64_t state = in.number();
  if (state > static_cast<std::uint64_t>(RolloutState::returned)) in.fail();
  return static_cast<RolloutState>(state);
}

// Nothing for a command that only a newer program knows.
std::optional<RolloutCommand> get_command(Unpacker& in) {
  auto tag = static_cast<CommandTag>(in.number());
  std::string service = in.text();
  switch (tag) {
    case CommandTag::record: {
      RecordVersions command{std::move(service), {}};
      command.versions = get_texts(in);
      return command;
    }
    case CommandTag::start: {
      StartRollout command{std::move(service), {}, 0, {}};
      command.target = in.text();
      command.over_ms = in.number();
      command.old_versions = get_texts(in);
      return command;
    }
    case CommandTag::reserve: {
      ReserveCalls command{std::move(service), 0, 0, 0, 0};
      command.number = in.number();
      command.calls = in.number();
      command.requests = in.number();
      command.elapsed_ms = in.number();
      return command;
    }
    case CommandTag::share: {
      SetShare command{std::move(service), 0, 0, 0, {}};
      command.number = in.number();
      command.permille = static_cast<std::uint32_t>(std::min<std::uint64_t>(in.number(), UINT32_MAX));
      command.elapsed_ms = in.number();
      command.reason = in.text();
      return command;
    }
    case CommandTag::finish: {
      FinishRollout command{std::move(service), 0, RolloutState::returned, 0, {}};
      command.number = in.number();
      command.state = get_state(in);
      command.elapsed_ms = in.number();
      command.reason = in.text();
      return command;
    }
  }
  return std::nullopt;
}

void put(Packer& packer, const rollout::Rollout& each) {
  packer.array(9);
  packer.number(each.number);
  packer.text(each.target);
  packer.number(each.over_ms);
  packer.number(static_cast<std::uint64_t>(each.state));
  packer.number(each.share_permille);
  packer.number(each.reserved_calls);
  packer.number(each.requests);
  packer.number(each.elapsed_ms);
  packer.text(each.reason);
}
rollout::Rollout get_rollout(Unpacker& in) {
  rollout::Rollout each;
  in.enter(max_fields);
  each.number = in.number();
  each.target = in.text();
  each.over_ms = in.number();
  each.state = get_state(in);
  each.share_permille = static_cast<std::uint32_t>(in.number());
  each.reserved_calls = in.number();
  each.requests = in.number();
  each.elapsed_ms = in.number();
  each.reason = in.text();
  in.leave();
  return each;
}

void put(Packer& packer, const rollout::CallCounts& counts) {
  packer.array(6);
  packer.text(counts.route);
  packer.text(counts.node);
  packer.number(counts.calls);
  packer.number(counts.failed);
  packer.number(counts.refused);
  packer.array(counts.latencies.size() * 2);
  for (const auto& [bucket, calls] : counts.latencies) {
    packer.number(bucket);
    packer.number(calls);
  }
}

std::uint32_t get_count(Unpacker& in) {
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(in.number(), UINT32_MAX));
}

rollout::CallCounts get_counts(Unpacker& in) {
  rollout::CallCounts counts;
  in.enter(max_fields);
  counts.route = in.text();
  counts.node = in.text();
  counts.calls = get_count(in);
  counts.failed = get_count(in);
  counts.refused = get_count(in);
  std::size_t numbers = in.enter(max_buckets * 2);
  for (std::size_t i = 0; i + 1 < numbers && in.good(); i += 2) {
    std::uint32_t bucket = get_count(in);
    counts.latencies.emplace_back(bucket, get_count(in));
  }
  in.leave();
  in.leave();
  return counts;
}

}  // namespace

void pack(Packer& packer, const std::vector<RolloutCommand>& commands) {
  packer.array(commands.size());
  for (const RolloutCommand& command : commands) std::visit(CommandPacker{packer}, command);
}

std::vector<RolloutCommand> unpack_rollout_commands(Unpacker& in) {
  std::vector<RolloutCommand> commands;
  std::size_t count = in.enter(max_commands);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(max_fields);
    auto command = get_command(in);
    in.leave();
    if (command && in.good()) commands.push_back(std::move(*command));
  }
  in.leave();
  return commands;
}

void pack(Packer& packer, const rollout::RolloutLedger& ledger) {
  packer.array(2);
  packer.number(ledger.last_number());
  packer.array(ledger.services().size());
  for (const auto& [service, record] : ledger.services()) {
    packer.array(record.rollout ? 4 : 3);
    packer.text(service);
    packer.number(record.changed_at);
    put(packer, record.allowed);
    if (record.rollout) put(packer, *record.rollout);
  }
}

rollout::RolloutLedger unpack_rollout_ledger(Unpacker& in) {
  std::map<std::string, rollout::ServiceRecord, std::less<>> services;
  in.enter(max_fields);
  rollout::RolloutNumber last_number = in.number();
  std::size_t count = in.enter(rollout::RolloutLedger::max_services);
  for (std::size_t i = 0; i < count && in.good(); ++i) {
    in.enter(max_fields);
    std::string service = in.text();
    rollout::ServiceRecord& record = services[service];
    record.changed_at = in.number();
    record.allowed = get_texts(in);
    if (in.more()) record.rollout = get_rollout(in);
    in.leave();
  }
  in.leave();
  in.leave();
  rollout::RolloutLedger ledger;
  ledger.restore(last_number, std::move(services));
  return ledger;
}

void pack(Packer& packer, const catalog::ServiceVersions& versions) {
  packer.array(6);
  packer.text(versions.service);
  packer.number(versions.changed_at);
  put(packer, versions.allowed);
  packer.text(versions.candidate);
  packer.number(versions.rollout);
  packer.number(versions.candidate_permille);
}

catalog::ServiceVersions unpack_service_versions(Unpacker& in) {
  catalog::ServiceVersions versions;
  in.enter(max_fields);
  versions.service = in.text();
  versions.changed_at = in.number();
  versions.allowed = get_texts(in);
  versions.candidate = in.text();
  versions.rollout = in.number();
  versions.candidate_permille = get_count(in);
  in.leave();
  return versions;
}

std::string pack_service_versions(const catalog::ServiceVersions& versions) {
  Packer packer;
  packer.array(1);
  pack(packer, versions);
  return std::string(packer.view());
}

std::optional<catalog::ServiceVersions> unpack_service_versions(std::string_view bytes) {
  Unpacker in(bytes);
  catalog::ServiceVersions versions = unpack_service_versions(in);
  if (!in.good()) return std::nullopt;
  return versions;
}

void pack(Packer& packer, const rollout::RolloutReport& report) {
  packer.array(9);
  packer.number(report.incarnation);
  packer.number(report.rollout);
  packer.number(report.number);
  packer.number(report.requests);
  packer.number(report.spent);
  packer.number(report.held);
  packer.number(report.last_grant);
  packer.number(report.old_calls_open);
  packer.array(report.votes.size());
  for (const rollout::Vote& vote : report.votes) {
    packer.array(3);
    packer.number(vote.number);
    packer.number(vote.age_ms);
    packer.array(vote.counts.size());
    for (const rollout::CallCounts& counts : vote.counts) put(packer, counts);
  }
}

rollout::RolloutReport unpack_rollout_report(Unpacker& in) {
  rollout::RolloutReport report;
  in.enter(max_fields);
  report.incarnation = in.number();
  report.rollout = in.number();
  report.number = in.number();
  report.requests = in.number();
  report.spent = in.number();
  report.held = get_count(in);
  report.last_grant = in.number();
  report.old_calls_open = get_count(in);
  std::size_t votes = in.enter(max_votes);
  for (std::size_t i = 0; i < votes && in.good(); ++i) {
    rollout::Vote& vote = report.votes.emplace_back();
    in.enter(max_fields);
    vote.number = in.number();
    vote.age_ms = get_count(in);
    std::size_t counts = in.enter(max_counts);
    for (std::size_t k = 0; k < counts && in.good(); ++k) vote.counts.push_back(get_counts(in));
    in.leave();
    in.leave();
  }
  in.leave();
  in.leave();
  return report;
}

void pack(Packer& packer, const rollout::RolloutGrant& grant) {
  packer.array(5);
  packer.number(grant.rollout);
  packer.number(grant.number);
  packer.number(grant.calls);
  packer.number(grant.votes_received);
  packer.flag(grant.watches);
}

rollout::RolloutGrant unpack_rollout_grant(Unpacker& in) {
  rollout::RolloutGrant grant;
  in.enter(max_fields);
  grant.rollout = in.number();
  grant.number = in.number();
  grant.calls = get_count(in);
  grant.votes_received = in.number();
  grant.watches = in.flag();
  in.leave();
  return grant;
}

}  // namespace pearspar::protocol
