#include "cli/registry_commands.h"

#include <fmt/format.h>
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <optional>

#include "json/json.h"
#include "log/log.h"
#include "net/signals.h"
#include "options/options.h"
#include "registry/call.h"
#include "registry/etcd.h"
#include "registry/source.h"

namespace pearspar::cli {
namespace {

constexpr int exit_unreachable = 1;
constexpr int exit_bad_arguments = 2;
constexpr int exit_not_found = 3;
constexpr int max_write_conflicts = 5;  // concurrent changes tolerated while updating a record

// Invalid command-line arguments.
struct BadArguments : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// No endpoint answered, or the registry refused the request.
struct RequestFailed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

registry::RegistryOptions options_of(const RegistryArguments& arguments) {
  registry::RegistryOptions read;
  if (!arguments.options_path.empty()) {
    if (!arguments.endpoints.empty()) throw BadArguments("--options and --endpoint name the registry twice");
    options::Options file = options::read_options_file(arguments.options_path);
    if (file.registry)
      read = *file.registry;
    else if (file.registration)
      read = file.registration->registry;
    else
      throw BadArguments(arguments.options_path + " names no registry");
  } else {
    if (arguments.endpoints.empty())
      throw BadArguments("no registry is named, neither by --options nor by --endpoint");
    read.dialect =
        arguments.dialect == "consul" ? registry::DialectKind::consul : registry::DialectKind::etcd;
    if (arguments.dialect == "consul") read.prefix = "pearspar/nodes/";
    for (const std::string& endpoint : arguments.endpoints) {
      auto address = net::Address::parse(endpoint);
      if (!address || address->port == 0)
        throw BadArguments("--endpoint " + endpoint + " is no address with a port, like 127.0.0.1:2379");
      read.endpoints.push_back(*address);
    }
  }
  if (!arguments.prefix.empty()) read.prefix = arguments.prefix;
  return read;
}

const char* phase_name(membership::Phase phase) {
  constexpr const char* words[] = {"gone", "ready", "draining"};
  return words[static_cast<int>(phase)];
}

std::string format_entry(const membership::Entry& entry) {
  return fmt::format("{:<20} {:<21} {:<6} {:<6} {:>5} {:<9} {:>5g} {:.0f}", entry.id, entry.address.text(),
                     entry.zone, entry.kind, entry.cell, phase_name(entry.phase), entry.size,
                     entry.up_since_ms);
}

// Blocking access to the registry; tries the endpoints in order until one answers.
class RegistryClient {
 public:
  explicit RegistryClient(const RegistryArguments& arguments)
      : options_(options_of(arguments)),
        timeout_(arguments.timeout_s),
        credentials_(registry::make_dialect(options_)->credentials()),
        call_(loop_) {}

  bool etcd() const { return options_.dialect == registry::DialectKind::etcd; }
  std::string key(const std::string& id) const { return options_.prefix + id; }
  const registry::RegistryOptions& options() const { return options_; }
  net::Loop& loop() { return loop_; }

  registry::Reply call(const registry::Request& request) {
    std::string errors;
    for (const net::Address& address : options_.endpoints) {
      std::optional<registry::Reply> response;
      bool ended = false;
      call_.send(address, request, credentials_, timeout_,
                 [&](const registry::Reply* reply, const std::string& why) {
                   ended = true;
                   if (reply)
                     response = *reply;
                   else
                     errors += (errors.empty() ? "" : "; ") + address.text() + ": " + why;
                 });
      while (!ended) loop_.run_once();
      if (!response) continue;
      if (response->status < 500) return *response;
      errors +=
          (errors.empty() ? "" : "; ") + address.text() + ": status " + std::to_string(response->status);
    }
    throw RequestFailed(errors);
  }

  struct StoredRecord {
    std::string value;
    registry::Revision modified = 0;
  };
  std::optional<StoredRecord> get(const std::string& id) {
    registry::Reply reply = call(etcd() ? registry::etcd::get(key(id)) : registry::consul::get(key(id)));
    if (reply.status == 404) return std::nullopt;
    if (reply.status != 200)
      throw RequestFailed(fmt::format("status {}: {}", reply.status, reply.body.substr(0, 200)));
    json::Value value = json::parse(reply.body);
    if (etcd()) {
      registry::Page page = registry::etcd::read_page(value);
      if (page.items.empty()) return std::nullopt;
      return StoredRecord{page.items.front().item.value, page.items.front().item.modified};
    }
    if (value.items.empty()) return std::nullopt;
    const json::Value* text = value.items.front().find("Value");
    const json::Value* index = value.items.front().find("ModifyIndex");
    StoredRecord record;
    if (text) record.value = registry::decode_base64(text->raw).value_or("");
    if (index) record.modified = index->integer().value_or(0);
    return record;
  }

  // Compare-and-set: false if the record has another revision by now.
  bool put_if(const std::string& id, const std::string& value, registry::Revision modified) {
    registry::Reply reply = call(etcd() ? registry::etcd::put_if(key(id), value, modified)
                                        : registry::consul::put_if(key(id), value, modified));
    check(reply);
    return etcd() ? registry::etcd::read_succeeded(json::parse(reply.body))
                  : reply.body.substr(0, 4) == "true";
  }
  void put(const std::string& id, const std::string& value) {
    check(call(etcd() ? registry::etcd::put(key(id), value) : registry::consul::put(key(id), value)));
  }
  void remove(const std::string& id) {
    check(call(etcd() ? registry::etcd::remove(key(id)) : registry::consul::remove(key(id))));
  }

 private:
  static void check(const registry::Reply& reply) {
    if (reply.status != 200)
      throw RequestFailed(fmt::format("status {}: {}", reply.status, reply.body.substr(0, 200)));
  }

  registry::RegistryOptions options_;
  net::Duration timeout_;
  std::string credentials_;
  net::Loop loop_;
  registry::Call call_;
};

int put_node(const RegistryArguments& arguments) {
  auto address = net::Address::parse(arguments.address);
  if (!address || address->port == 0)
    throw BadArguments("--address " + arguments.address + " is none with a port, like 10.0.0.1:3000");
  RegistryClient client(arguments);
  membership::Entry entry{
      arguments.id,   *address,
      arguments.zone, arguments.kind,
      arguments.cell, arguments.draining ? membership::Phase::draining : membership::Phase::ready,
      arguments.size, arguments.start_ms};
  std::string record = registry::write_record(entry);
  if (arguments.if_absent) {
    if (!client.put_if(arguments.id, record, 0)) {
      std::fprintf(stderr, "pearspar: %s is there already\n", client.key(arguments.id).c_str());
      return exit_not_found;
    }
  } else {
    client.put(arguments.id, record);
  }
  std::printf("%s\n", format_entry(entry).c_str());
  return 0;
}

// Updates the phase by compare-and-set, retrying on concurrent changes.
int set_phase(const RegistryArguments& arguments, membership::Phase phase) {
  RegistryClient client(arguments);
  for (int i = 0; i < max_write_conflicts; ++i) {
    auto stored = client.get(arguments.id);
    if (!stored) {
      std::fprintf(stderr, "pearspar: there is no %s\n", client.key(arguments.id).c_str());
      return exit_not_found;
    }
    membership::Entry entry;
    try {
      entry = registry::read_record(arguments.id, stored->value);
    } catch (const json::ParseError& error) {
      std::fprintf(stderr, "pearspar: the record under %s cannot be read: %s\n",
                   client.key(arguments.id).c_str(), error.what());
      return exit_not_found;
    }
    entry.phase = phase;
    if (client.put_if(arguments.id, registry::write_record(entry), stored->modified)) {
      std::printf("%s\n", format_entry(entry).c_str());
      return 0;
    }
  }
  throw RequestFailed(client.key(arguments.id) + ": too many concurrent changes");
}

int remove_node(const RegistryArguments& arguments) {
  RegistryClient client(arguments);
  if (!client.get(arguments.id)) {
    std::fprintf(stderr, "pearspar: there is no %s\n", client.key(arguments.id).c_str());
    return exit_not_found;
  }
  client.remove(arguments.id);
  std::printf("%s is removed\n", client.key(arguments.id).c_str());
  return 0;
}

// Prints the updates that a broker would receive for the prefix.
class ListPrinter final : public membership::MembersHandler {
 public:
  explicit ListPrinter(bool json) : json_(json) {}
  void members_told(const membership::MemberList& list) override {
    received_list = true;
    for (const membership::Entry& entry : list.entries) {
      if (json_)
        std::printf("%s\n", record(entry, list.revision).c_str());
      else
        std::printf("%8lld %s\n", static_cast<long long>(list.revision), format_entry(entry).c_str());
    }
    if (list.complete && list.entries.empty())
      std::printf("%8lld (no nodes)\n", static_cast<long long>(list.revision));
    std::fflush(stdout);
  }
  void members_failed() override {}
  bool received_list = false;

 private:
  static std::string record(const membership::Entry& entry, std::int64_t revision) {
    std::string text = registry::write_record(entry);
    if (entry.phase == membership::Phase::gone) {
      std::size_t at = text.find("\"ready\"");
      text.replace(at, 7, "\"gone\"");
    }
    text.pop_back();
    return text + fmt::format(",\"revision\":{}}}", revision);
  }
  bool json_;
};

int follow(const RegistryArguments& arguments, bool once) {
  net::Loop loop;
  log::Logger log(STDERR_FILENO, log::Level::warning, "registry");
  ListPrinter printer(arguments.json);
  registry::RegistrySource source(loop, log, options_of(arguments), static_cast<std::uint64_t>(::getpid()),
                                  printer);
  net::Signals signals{SIGINT, SIGTERM};
  bool ended = false;
  net::Watch watch = signals.watch(loop, [&](int) { ended = true; });
  if (!arguments.json)
    std::printf("%8s %-20s %-21s %-6s %-6s %5s %-9s %5s %s\n", "revision", "id", "address", "zone", "kind",
                "cell", "phase", "size", "start_ms");
  source.start();
  net::Time start = loop.now();
  double limit = once ? arguments.timeout_s : arguments.for_s;
  net::Timer over;
  if (limit > 0) over = loop.at(start + net::Duration(limit), [&] { ended = true; });
  while (!ended && !(once && printer.received_list)) loop.run_once();
  for (const auto& [key, why] : source.roster().bad())
    std::fprintf(stderr, "pearspar: the record under %s cannot be read: %s\n", key.c_str(), why.c_str());
  if (!printer.received_list) throw RequestFailed("the registry did not answer in time");
  return source.roster().bad().empty() ? 0 : exit_not_found;
}

}  // namespace

CLI::App* add_registry_commands(CLI::App& app, RegistryArguments& arguments) {
  CLI::App* registry = app.add_subcommand("registry", "read and edit node records in the registry");
  registry->require_subcommand(1);
  auto add = [&](const char* name, const char* what, bool with_id) {
    CLI::App* command = registry->add_subcommand(name, what);
    command->add_option("--options", arguments.options_path, "options file that names the registry");
    command->add_option("--endpoint", arguments.endpoints,
                        "registry address, instead of --options; repeatable");
    command->add_option("--dialect", arguments.dialect, "with --endpoint: etcd or consul")
        ->check(CLI::IsMember({"etcd", "consul"}));
    command->add_option("--prefix", arguments.prefix, "key prefix, if not the default");
    command->add_option("--timeout", arguments.timeout_s, "seconds to wait for an endpoint")
        ->check(CLI::Range(0.05, 600.0));
    if (with_id) command->add_option("id", arguments.id, "the node's id")->required();
    command->callback([&arguments, name] { arguments.command = name; });
    return command;
  };
  CLI::App* get = add("get", "print the current nodes", false);
  get->add_flag("--json", arguments.json, "one JSON object per line");
  CLI::App* watch = add("watch", "print the nodes and then each change, as a broker receives them", false);
  watch->add_flag("--json", arguments.json, "one JSON object per line");
  watch->add_option("--for", arguments.for_s, "seconds to run; 0: until SIGINT")->check(CLI::Range(0.0, 1e7));
  CLI::App* put = add("put-node", "write a node's record", true);
  put->add_option("--address", arguments.address, "like 10.0.0.1:3000")->required();
  put->add_option("--cell", arguments.cell, "cell of shards that it holds")
      ->required()
      ->check(CLI::Range(0, 65535));
  put->add_option("--zone", arguments.zone, "");
  put->add_option("--kind", arguments.kind, "");
  put->add_option("--size", arguments.size, "relative capacity")->check(CLI::Range(0.0, 1e9));
  put->add_option("--start-ms", arguments.start_ms, "start time in Unix milliseconds")
      ->check(CLI::Range(0.0, 1e15));
  put->add_flag("--draining", arguments.draining, "");
  put->add_flag("--if-absent", arguments.if_absent, "only if the node does not exist");
  add("drain", "stop sending new requests to a node", true);
  add("ready", "take a node back into service", true);
  add("remove", "remove a node from the list", true);
  return registry;
}

int run_registry_command(const RegistryArguments& arguments) {
  try {
    if (arguments.command == "get") return follow(arguments, true);
    if (arguments.command == "watch") return follow(arguments, false);
    if (arguments.command == "put-node") return put_node(arguments);
    if (arguments.command == "drain") return set_phase(arguments, membership::Phase::draining);
    if (arguments.command == "ready") return set_phase(arguments, membership::Phase::ready);
    return remove_node(arguments);
  } catch (const options::OptionsError& error) {
    for (const std::string& message : error.errors()) std::fprintf(stderr, "pearspar: %s\n", message.c_str());
    return exit_bad_arguments;
  } catch (const BadArguments& error) {
    std::fprintf(stderr, "pearspar: %s\n", error.what());
    return exit_bad_arguments;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "pearspar: %s\n", error.what());
    return exit_unreachable;
  }
}

}  // namespace pearspar::cli
