#include "options/options.h"

#include <fmt/format.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/text_format.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <set>

#include "options/options.pb.h"

namespace pearspar::options {
namespace {

namespace pb = google::protobuf;
using std::chrono::milliseconds;

constexpr std::size_t max_file_size_bytes = std::size_t{4} << 20;
constexpr std::size_t max_reported_errors = 20;
constexpr int max_endpoints = 16;

// Collects errors with their positions in the file.
class ErrorList : public pb::io::ErrorCollector {
 public:
  ErrorList(std::string name, std::string_view text) : name_(std::move(name)), text_(text) {}

  // Lines and columns are zero-based.
  void AddError(int line, pb::io::ColumnNumber column, const std::string& what) override {
    add(line, column, {}, what);
  }
  void add(int line, int column, const std::string& field, const std::string& what) {
    if (all_.size() >= max_reported_errors) return;
    std::string position = line < 0 ? name_ : fmt::format("{}:{}:{}", name_, line + 1, column + 1);
    all_.push_back(position + ": " + (field.empty() ? "" : field + ": ") + what);
  }
  const std::vector<std::string>& all() const { return all_; }

 private:
  std::string name_;
  std::string_view text_;
  std::vector<std::string> all_;
};

// Validates one message and reports errors at the positions of its fields.
class MessageReader {
 public:
  MessageReader(ErrorList& errors, const pb::Message& message, const pb::TextFormat::ParseInfoTree* locations,
                std::string path)
      : errors_(errors), message_(message), locations_(locations), path_(std::move(path)) {}

  void report(const char* field, const std::string& what, int index = -1) const {
    const pb::FieldDescriptor* found = message_.GetDescriptor()->FindFieldByName(field);
    pb::TextFormat::ParseLocation at;
    if (locations_ && found)
      at = locations_->GetLocation(found, found->is_repeated() ? std::max(index, 0) : -1);
    std::string name = path_ + field;
    if (index >= 0) name += fmt::format("[{}]", index);
    // A missing field has no position.
    errors_.add(at.line, at.column, name, what);
  }
  MessageReader nested(const char* field, const pb::Message& message, int index = -1) const {
    const pb::FieldDescriptor* found = message_.GetDescriptor()->FindFieldByName(field);
    std::string name = path_ + field + (index >= 0 ? fmt::format("[{}].", index) : ".");
    return {errors_, message, locations_ ? locations_->GetTreeForNested(found, index) : nullptr, name};
  }
  template <typename T>
  void check_range(const char* field, T value, T min_value, T max_value) const {
    if (value < min_value || value > max_value)
      report(field, fmt::format("{} is not from {} to {}", value, min_value, max_value));
  }

 private:
  ErrorList& errors_;
  const pb::Message& message_;
  const pb::TextFormat::ParseInfoTree* locations_;
  std::string path_;
};

std::string read_token(const std::string& path, const MessageReader& at) {
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "rb"), &std::fclose);
  char text[4096];
  std::size_t got = file ? std::fread(text, 1, sizeof text, file.get()) : 0;
  std::string token(text, got);
  while (!token.empty() && std::isspace(static_cast<unsigned char>(token.back()))) token.pop_back();
  bool printable = std::all_of(token.begin(), token.end(), [](char c) { return c > 0x20 && c < 0x7f; });
  if (!file)
    at.report("token_file", "cannot open " + path);
  else if (token.empty() || got == sizeof text || !printable)
    at.report("token_file", path + " does not contain a valid token");
  return token;
}

std::string read_prefix(const std::string& prefix, const char* field, const MessageReader& at) {
  if (prefix.empty()) at.report(field, "is empty: it would match the whole registry");
  if (prefix.size() > 1024) at.report(field, "is longer than 1024 bytes");
  return prefix;
}

#define PEARSPAR_READ_FIELD(message, at, field, target, min_value, max_value)         \
  if ((message).has_##field()) {                                                      \
    (at).check_range<std::uint64_t>(#field, (message).field(), min_value, max_value); \
    (target) = std::decay_t<decltype(target)>((message).field());                     \
  }
#define PEARSPAR_READ_FIELD_MS(message, at, field, target, min_value, max_value)      \
  if ((message).has_##field()) {                                                      \
    (at).check_range<std::uint64_t>(#field, (message).field(), min_value, max_value); \
    (target) = milliseconds((message).field());                                       \
  }

registry::RegistryOptions read_registry(const Registry& file, const MessageReader& at) {
  registry::RegistryOptions read;
  const bool etcd = file.dialect() == Registry::ETCD;
  if (file.dialect() == Registry::DIALECT_UNSET) at.report("dialect", "is missing: ETCD or CONSUL");
  read.dialect = etcd ? registry::DialectKind::etcd : registry::DialectKind::consul;

  if (file.endpoints_size() == 0) at.report("endpoints", "is missing: at least one address");
  if (file.endpoints_size() > max_endpoints)
    at.report("endpoints",
              fmt::format("has {} entries, at most {} are allowed", file.endpoints_size(), max_endpoints));
  for (int i = 0; i < file.endpoints_size(); ++i) {
    auto address = net::Address::parse(file.endpoints(i));
    if (!address || address->port == 0) {
      at.report("endpoints",
                fmt::format("'{}' is no address with a port, like 10.0.0.5:2379", file.endpoints(i)), i);
    } else if (std::find(read.endpoints.begin(), read.endpoints.end(), *address) != read.endpoints.end()) {
      at.report("endpoints", fmt::format("{} is listed twice", file.endpoints(i)), i);
    } else {
      read.endpoints.push_back(*address);
    }
  }
  // Consul keys have no leading slash.
  read.prefix = file.has_prefix() ? read_prefix(file.prefix(), "prefix", at)
                : etcd            ? "/pearspar/nodes/"
                                  : "pearspar/nodes/";
  if (!etcd && file.has_prefix() && !read.prefix.empty() && read.prefix.front() == '/')
    at.report("prefix", "begins with a slash, which CONSUL keys do not");
  if (file.has_token_file()) read.token = read_token(file.token_file(), at);

  registry::FollowerOptions& follower = read.follower;
  PEARSPAR_READ_FIELD_MS(file, at, reply_timeout_ms, follower.reply_timeout, 50, 60'000)
  PEARSPAR_READ_FIELD_MS(file, at, look_every_ms, follower.look_every, 50, 600'000)
  PEARSPAR_READ_FIELD_MS(file, at, watch_patience_ms, follower.watch_patience, 10, 60'000)
  PEARSPAR_READ_FIELD_MS(file, at, first_pause_ms, follower.pacing.first, 1, 10'000)
  PEARSPAR_READ_FIELD_MS(file, at, longest_pause_ms, follower.pacing.longest, 10, 600'000)
  PEARSPAR_READ_FIELD_MS(file, at, poll_wait_ms, follower.poll_wait, 100, 600'000)
  PEARSPAR_READ_FIELD(file, at, page_keys, follower.page, 1, 100'000)
  PEARSPAR_READ_FIELD(file, at, max_keys, follower.view.keys, 1, 1'000'000)
  PEARSPAR_READ_FIELD(file, at, max_bytes, follower.view.bytes, 1024, std::uint64_t{1} << 30)
  PEARSPAR_READ_FIELD(file, at, max_value_bytes, read.wire.value, 64, 1 << 20)
  PEARSPAR_READ_FIELD(file, at, max_message_bytes, read.wire.message, 4096, 256u << 20)
  if (follower.pacing.longest < follower.pacing.first)
    at.report("longest_pause_ms", "is below first_pause_ms");
  if (read.wire.message < read.wire.value * 2)
    at.report("max_message_bytes", "is below twice max_value_bytes");

  for (const char* field : {"look_every_ms", "watch_patience_ms", "page_keys"}) {
    const pb::FieldDescriptor* found = file.GetDescriptor()->FindFieldByName(field);
    if (!etcd && file.GetReflection()->HasField(file, found)) at.report(field, "is for ETCD only");
  }
  for (const char* field : {"poll_wait_ms", "consistency", "most_behind_ms"}) {
    const pb::FieldDescriptor* found = file.GetDescriptor()->FindFieldByName(field);
    if (etcd && file.GetReflection()->HasField(file, found)) at.report(field, "is for CONSUL only");
  }
  read.consul.consistency = file.consistency() == Registry::CONSISTENT
                                ? registry::consul::Consistency::consistent
                            : file.consistency() == Registry::STALE ? registry::consul::Consistency::stale
                                                                    : registry::consul::Consistency::plain;
  PEARSPAR_READ_FIELD_MS(file, at, most_behind_ms, read.consul.most_behind, 1, 600'000)
  if (file.has_most_behind_ms() && file.consistency() != Registry::STALE)
    at.report("most_behind_ms", "is valid with consistency: STALE only");

  if (file.has_hold_removals()) {
    const HoldRemovals& hold = file.hold_removals();
    MessageReader nested = at.nested("hold_removals", hold);
    if (!(hold.above_share() > 0 && hold.above_share() < 1))
      nested.report("above_share", fmt::format("{} is not between 0 and 1", hold.above_share()));
    nested.check_range<std::uint64_t>("for_ms", hold.for_ms(), 100, 3'600'000);
    read.hold = {hold.above_share(), milliseconds(hold.for_ms())};
  }
  return read;
}

membership::MemberList read_fixed(const Fixed& file, const MessageReader& at) {
  membership::MemberList list;
  list.complete = true;
  list.revision = 1;
  if (file.nodes_size() == 0) at.report("nodes", "is missing: at least one node");
  std::set<std::string> ids;
  for (int i = 0; i < file.nodes_size(); ++i) {
    const Node& node = file.nodes(i);
    MessageReader nested = at.nested("nodes", node, i);
    membership::Entry entry;
    entry.id = node.id();
    if (entry.id.empty()) nested.report("id", "is missing");
    if (!ids.insert(entry.id).second) nested.report("id", "'" + entry.id + "' is listed twice");
    auto address = net::Address::parse(node.address());
    if (!address || address->port == 0)
      nested.report("address", "'" + node.address() + "' is no address with a port, like 10.0.0.1:3000");
    else
      entry.address = *address;
    nested.check_range<std::uint64_t>("cell", node.cell(), 0, 65535);
    entry.zone = node.zone();
    entry.kind = node.kind();
    entry.cell = static_cast<int>(node.cell());
    entry.phase = node.draining() ? membership::Phase::draining : membership::Phase::ready;
    entry.size = node.has_size() ? node.size() : 1;
    if (!(entry.size >= 0) || !std::isfinite(entry.size)) nested.report("size", "is not a number from 0 on");
    entry.up_since_ms = static_cast<double>(node.start_ms());
    list.entries.push_back(std::move(entry));
  }
  return list;
}

RegistrationOptions read_registration(const Registration& file, const MessageReader& at,
                                      const Options& options) {
  RegistrationOptions read;
  if (file.has_registry()) {
    read.registry = read_registry(file.registry(), at.nested("registry", file.registry()));
  } else if (options.registry) {
    read.registry = *options.registry;
  } else {
    at.report("registry", "is missing, and the node list does not come from a registry");
  }
  if (read.registry.dialect == registry::DialectKind::consul) read.prefix = "pearspar/brokers/";
  if (file.has_prefix()) read.prefix = read_prefix(file.prefix(), "prefix", at);
  const std::string& nodes = read.registry.prefix;
  if (!file.has_registry() && !read.prefix.empty() &&
      (nodes.compare(0, read.prefix.size(), read.prefix) == 0 ||
       read.prefix.compare(0, nodes.size(), nodes) == 0))
    at.report("prefix", "'" + read.prefix + "' and the node prefix '" + nodes + "' overlap");
  if (file.has_lease_s()) {
    // Consul rejects session TTLs below 10 s.
    std::uint64_t min_value = read.registry.dialect == registry::DialectKind::consul ? 10 : 1;
    at.check_range<std::uint64_t>("lease_s", file.lease_s(), min_value, 3600);
    read.lease = std::chrono::seconds(file.lease_s());
  } else if (read.registry.dialect == registry::DialectKind::consul) {
    read.lease = std::chrono::seconds(10);
  }
  read.zone = file.zone();
  return read;
}

net::Address read_address(const std::string& text, const char* field, const MessageReader& at,
                          int index = -1) {
  auto address = net::Address::parse(text);
  if (address && address->port != 0) return *address;
  at.report(field, fmt::format("'{}' is no address with a port, like 10.0.0.5:7400", text), index);
  return {};
}

std::string read_label(const std::string& label, const char* field, std::size_t max_length,
                       const MessageReader& at) {
  const bool printable = std::all_of(label.begin(), label.end(), [](char c) { return c > 0x20 && c < 0x7f; });
  if (label.size() > max_length) at.report(field, fmt::format("is longer than {} bytes", max_length));
  if (!printable) at.report(field, "contains a character that is not printable ASCII");
  return label;
}

FleetOptions read_fleet(const Fleet& file, const MessageReader& at, const Options& options) {
  FleetOptions read;
  read.core.fleet = read_label(file.name(), "name", peers::max_fleet_bytes, at);
  if (file.name().empty()) at.report("name", "is missing");
  if (file.listen().empty()) {
    at.report("listen", "is missing: an address for datagrams, like 10.0.0.5:7400");
  } else if (auto address = net::Address::parse(file.listen())) {
    read.listen = *address;
    // The other brokers need an address that they can reach.
    if (address->host == 0 && !file.has_advertise())
      at.report("listen", "names no host, and advertise is missing: other brokers could not reach this one");
  } else {
    at.report("listen", fmt::format("'{}' is no address with a port, like 10.0.0.5:7400", file.listen()));
  }
  if (file.has_advertise()) read.advertise = read_address(file.advertise(), "advertise", at);
  if (file.seeds_size() > 64)
    at.report("seeds", fmt::format("has {} entries, at most 64 are allowed", file.seeds_size()));
  for (int i = 0; i < file.seeds_size(); ++i) {
    net::Address seed = read_address(file.seeds(i), "seeds", at, i);
    auto& seeds = read.core.seeds;
    if (seed.port == 0) continue;
    if (std::find(seeds.begin(), seeds.end(), seed) != seeds.end())
      at.report("seeds", fmt::format("{} is listed twice", file.seeds(i)), i);
    seeds.push_back(seed);
  }
  if (file.has_registry_prefix()) {
    read.registry_prefix = read_prefix(file.registry_prefix(), "registry_prefix", at);
    if (!options.registration) at.report("registry_prefix", "needs a registration, whose registry it uses");
    for (const std::string& other : {options.registry ? options.registry->prefix : std::string(),
                                     options.registration ? options.registration->prefix : std::string()})
      if (!other.empty() &&
          (other.starts_with(*read.registry_prefix) || read.registry_prefix->starts_with(other)))
        at.report("registry_prefix", "and the prefix '" + other + "' overlap");
  }
  read.zone = read_label(file.zone(), "zone", 32, at);
  read.region = read_label(file.region(), "region", 32, at);
  PEARSPAR_READ_FIELD_MS(file, at, period_ms, read.core.period, 20, 60'000)
  PEARSPAR_READ_FIELD(file, at, suspicion_periods, read.core.suspicion_periods, 1, 100)
  PEARSPAR_READ_FIELD(file, at, bytes_per_s, read.core.bytes_per_s, 4096, 1u << 30)
  PEARSPAR_READ_FIELD(file, at, max_members, read.core.max_members, 2, 65'536)
  if (file.has_remember_gone_s()) {
    at.check_range<std::uint64_t>("remember_gone_s", file.remember_gone_s(), 60, 7 * 24 * 3600);
    read.core.remember_gone = std::chrono::seconds(file.remember_gone_s());
  }
  // The limit must cover one probe and one acknowledgement per period, plus indirect probes.
  const double min_bytes_per_s = 3000 / read.core.period.count();
  if (static_cast<double>(read.core.bytes_per_s) < min_bytes_per_s)
    at.report("bytes_per_s", fmt::format("{} is below the rate that probes need at this period, {:.0f}",
                                         read.core.bytes_per_s, min_bytes_per_s));
  read.leave_by_request = file.leave_by_request();
  return read;
}

std::string join_lines(const std::vector<std::string>& errors) {
  std::string all;
  for (const std::string& error : errors) all += (all.empty() ? "" : "\n") + error;
  return all;
}

}  // namespace

std::string FleetOptions::text() const {
  std::string text = fmt::format("{} {} {} {} {} {} {} {} {} {} {} {}", core.fleet, listen.text(),
                                 advertise ? advertise->text() : "", registry_prefix.value_or(""), zone,
                                 region, core.period.count(), core.suspicion_periods, core.bytes_per_s,
                                 core.max_members, core.remember_gone.count(), leave_by_request);
  for (const net::Address& seed : core.seeds) text += " " + seed.text();
  return text;
}

OptionsError::OptionsError(std::vector<std::string> errors)
    : std::runtime_error(join_lines(errors)), errors_(std::move(errors)) {}

std::vector<std::string> restart_required_changes(const Options& now, const Options& then) {
  auto text_of = [](const std::optional<RegistrationOptions>& registration) {
    return registration ? registration->registry.text() + " " + registration->prefix + " " +
                              std::to_string(registration->lease.count()) + " " + registration->zone
                        : std::string();
  };
  std::vector<std::string> keys;
  if (text_of(now.registration) != text_of(then.registration)) keys.push_back("registration");
  if (now.log.json != then.log.json || now.log.lines_per_s != then.log.lines_per_s ||
      now.log.burst != then.log.burst)
    keys.push_back("log");
  if ((now.fleet ? now.fleet->text() : "") != (then.fleet ? then.fleet->text() : "")) keys.push_back("fleet");
  return keys;
}

Options read_options(std::string_view text, const std::string& name) {
  ErrorList errors(name, text);
  File file;
  pb::TextFormat::ParseInfoTree locations;
  pb::TextFormat::Parser parser;
  parser.RecordErrorsTo(&errors);
  parser.WriteLocationsTo(&locations);
  pb::io::ArrayInputStream stream(text.data(), static_cast<int>(text.size()));
  if (!parser.Parse(&stream, &file)) throw OptionsError(errors.all());

  Options options;
  MessageReader top(errors, file, &locations, "");
  if (file.has_membership()) {
    const Membership& membership = file.membership();
    MessageReader at = top.nested("membership", membership);
    switch (membership.source_case()) {
      case Membership::kAgent:
        break;
      case Membership::kRegistry:
        options.membership = MembershipKind::registry;
        options.registry = read_registry(membership.registry(), at.nested("registry", membership.registry()));
        break;
      case Membership::kFixed:
        options.membership = MembershipKind::fixed;
        options.fixed = read_fixed(membership.fixed(), at.nested("fixed", membership.fixed()));
        break;
      case Membership::SOURCE_NOT_SET:
        top.report("membership", "names no source: agent, registry or fixed");
    }
  }
  if (file.has_registration())
    options.registration =
        read_registration(file.registration(), top.nested("registration", file.registration()), options);
  if (file.has_fleet()) options.fleet = read_fleet(file.fleet(), top.nested("fleet", file.fleet()), options);
  if (file.has_log()) {
    const Log& log = file.log();
    MessageReader at = top.nested("log", log);
    options.log.json = log.form() == Log::JSON;
    PEARSPAR_READ_FIELD(log, at, lines_per_s, options.log.lines_per_s, 1, 100'000)
    PEARSPAR_READ_FIELD(log, at, burst, options.log.burst, 1, 1'000'000)
  }
  if (!errors.all().empty()) throw OptionsError(errors.all());
  return options;
}

Options read_options_file(const std::string& path) {
  std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "rb"), &std::fclose);
  if (!file) throw OptionsError({path + ": cannot be opened"});
  std::string text;
  char chunk[16384];
  for (std::size_t length = 0; (length = std::fread(chunk, 1, sizeof chunk, file.get())) > 0;) {
    text.append(chunk, length);
    if (text.size() > max_file_size_bytes) throw OptionsError({path + ": is too large"});
  }
  if (std::ferror(file.get())) throw OptionsError({path + ": cannot be read"});
  return read_options(text, path);
}

}  // namespace pearspar::options
