#include "cli/fleet_commands.h"

#include <fmt/format.h>
#include <signal.h>

#include <cstdio>
#include <map>
#include <optional>
#include <set>

#include "json/json.h"
#include "net/loop.h"
#include "net/signals.h"
#include "registry/call.h"

namespace pearspar::cli {
namespace {

constexpr int exit_unreachable = 1;
constexpr int exit_bad_arguments = 2;
constexpr int exit_disagreement = 3;

// Invalid command-line arguments.
struct BadArguments : std::runtime_error {
  using std::runtime_error::runtime_error;
};
// A broker did not answer or answered with an error.
struct RequestFailed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

net::Address address_of(const std::string& text) {
  auto address = net::Address::parse(text);
  if (!address || address->port == 0)
    throw BadArguments("'" + text + "' is no address with a port, like 127.0.0.1:3000");
  return *address;
}

// One member as listed by a broker, with its formatted output line.
struct MemberRow {
  std::string name;
  std::string state;
  std::string serves;
  std::string line;
};

// The fleet view reported by one broker.
struct FleetView {
  std::string self;
  std::string digest;
  std::int64_t number = 0;
  std::int64_t in_force = 0;
  bool settled = false;
  bool smaller_part = false;
  bool yields = false;
  std::vector<MemberRow> members;
  std::string raw;
};

std::string text_member(const json::Value& object, std::string_view key) {
  const json::Value* value = object.find(key);
  return value ? value->text().value_or("") : "";
}
std::int64_t integer_member(const json::Value& object, std::string_view key) {
  const json::Value* value = object.find(key);
  return value ? value->integer().value_or(0) : 0;
}
bool boolean_member(const json::Value& object, std::string_view key) {
  const json::Value* value = object.find(key);
  return value && value->boolean().value_or(false);
}

FleetView read_view(std::string body) {
  FleetView view;
  view.raw = std::move(body);
  const json::Value all = json::parse(view.raw);
  view.self = text_member(all, "self");
  view.digest = text_member(all, "digest");
  view.number = integer_member(all, "number");
  view.in_force = integer_member(all, "in_force");
  view.settled = boolean_member(all, "settled");
  view.smaller_part = boolean_member(all, "smaller_part");
  view.yields = boolean_member(all, "yields");
  const json::Value* members = all.find("members");
  if (!members) throw RequestFailed("the response is not a fleet view");
  for (const json::Value& member : members->items) {
    MemberRow row{
        text_member(member, "name"), text_member(member, "state"), text_member(member, "serves"), {}};
    std::string records;
    if (const json::Value* published = member.find("records"))
      for (const auto& [key, value] : published->members)
        records += fmt::format("{}{}={}", records.empty() ? "" : " ", key, value.text().value_or(""));
    row.line = fmt::format("{:<16} {:<8} {:>8.1f} s {:<21} {:<21} {:<6} {:<6} {:<8} {:>4} {}", row.name,
                           row.state, static_cast<double>(integer_member(member, "for_ms")) / 1000,
                           text_member(member, "address"), row.serves, text_member(member, "zone"),
                           text_member(member, "region"), text_member(member, "version"),
                           integer_member(member, "incarnation"), records);
    view.members.push_back(std::move(row));
  }
  return view;
}

// Sends blocking HTTP requests to brokers.
class FleetClient {
 public:
  explicit FleetClient(double timeout_s) : timeout_(timeout_s), call_(loop_) {}

  std::string ask(const std::string& broker, const std::string& method, const std::string& path) {
    std::optional<registry::Reply> response;
    std::string fault;
    bool ended = false;
    call_.send(address_of(broker), {method, path, ""}, "", timeout_,
               [&](const registry::Reply* reply, const std::string& why) {
                 ended = true;
                 if (reply)
                   response = *reply;
                 else
                   fault = why;
               });
    while (!ended) loop_.run_once();
    if (!response) throw RequestFailed(broker + ": " + fault);
    if (response->status == 404) throw RequestFailed(broker + ": takes part in no fleet");
    if (response->status != 200)
      throw RequestFailed(fmt::format("{}: status {}: {}", broker, response->status, response->body));
    return response->body;
  }
  FleetView view(const std::string& broker) {
    try {
      return read_view(ask(broker, "GET", "/fleet"));
    } catch (const json::ParseError& error) {
      throw RequestFailed(broker + ": the response is not a fleet view: " + error.what());
    }
  }
  net::Loop& loop() { return loop_; }

 private:
  net::Duration timeout_;
  net::Loop loop_;
  registry::Call call_;
};

std::string summary_of(const FleetView& view) {
  return fmt::format("{}: digest {}, {} in force, {}{}{}", view.self, view.digest, view.in_force,
                     view.settled ? "settled" : "not settled",
                     view.smaller_part ? ", may be in the smaller part of a split" : "",
                     view.yields ? ", silent: another broker has its name" : "");
}

int members(const FleetArguments& arguments) {
  FleetClient client(arguments.timeout_s);
  for (const std::string& broker : arguments.brokers) {
    const FleetView view = client.view(broker);
    if (arguments.json) {
      std::printf("%s\n", view.raw.c_str());
      continue;
    }
    std::printf("%s\n", summary_of(view).c_str());
    for (const MemberRow& row : view.members)
      if (arguments.all || (row.state != "gone" && row.state != "left"))
        std::printf("  %s\n", row.line.c_str());
  }
  return 0;
}

int digest(const FleetArguments& arguments) {
  FleetClient client(arguments.timeout_s);
  for (const std::string& broker : arguments.brokers) {
    const FleetView view = client.view(broker);
    if (arguments.json)
      std::printf("{\"broker\":\"%s\",\"digest\":\"%s\",\"settled\":%s}\n", broker.c_str(),
                  view.digest.c_str(), view.settled ? "true" : "false");
    else
      std::printf("%s %s %s\n", view.digest.c_str(), view.settled ? "settled" : "moving", broker.c_str());
  }
  return 0;
}

// Polls one broker and prints changes of its view.
int watch(const FleetArguments& arguments) {
  FleetClient client(arguments.timeout_s);
  net::Signals signals{SIGINT, SIGTERM};
  bool ended = false;
  net::Watch watched = signals.watch(client.loop(), [&](int) { ended = true; });
  net::Timer over;
  if (arguments.for_s > 0)
    over = client.loop().at(client.loop().now() + net::Duration(arguments.for_s), [&] { ended = true; });
  const std::string& broker = arguments.brokers.front();
  std::map<std::string, std::string> states;
  std::string head;
  bool lost = false;
  while (!ended) {
    try {
      const FleetView view = client.view(broker);
      lost = false;
      if (arguments.json) {
        if (head != view.raw) std::printf("%s\n", view.raw.c_str());
        head = view.raw;
      } else {
        for (const MemberRow& row : view.members) {
          std::string& last_state = states[row.name];
          if (last_state == row.state) continue;
          std::printf("%s is %s%s\n", row.name.c_str(), row.state.c_str(),
                      last_state.empty() ? "" : (", was " + last_state).c_str());
          last_state = row.state;
        }
        if (summary_of(view) != head) std::printf("%s\n", summary_of(view).c_str());
        head = summary_of(view);
      }
    } catch (const RequestFailed& error) {
      if (!lost) std::printf("%s\n", error.what());
      lost = true;
    }
    std::fflush(stdout);
    bool due = false;
    net::Timer pause =
        client.loop().at(client.loop().now() + net::Duration(arguments.every_s), [&] { due = true; });
    while (!due && !ended) client.loop().run_once();
  }
  return lost ? exit_unreachable : 0;
}

// The reasons why the views do not agree; empty if they do.
std::string disagreement(const std::vector<FleetView>& views, const std::vector<std::string>& unreached) {
  std::string why;
  auto add = [&](const std::string& text) { why += (why.empty() ? "" : "; ") + text; };
  for (const std::string& each : unreached) add(each);
  std::set<std::string> digests;
  for (const FleetView& view : views) {
    digests.insert(view.digest);
    if (!view.settled) add(view.self + " is not settled");
    if (view.yields) add(view.self + " is silent, another broker has its name");
  }
  if (digests.size() > 1) {
    std::string all;
    for (const FleetView& view : views)
      all += fmt::format("{}{} {} of {}", all.empty() ? "" : ", ", view.self, view.digest, view.in_force);
    add("digests differ: " + all);
  }
  return why;
}

int check(const FleetArguments& arguments) {
  FleetClient client(arguments.timeout_s);
  const net::Time until = client.loop().read_clock() + net::Duration(arguments.for_s);
  for (;;) {
    std::vector<FleetView> views;
    std::vector<std::string> unreached;
    std::vector<std::string> brokers = arguments.brokers;
    std::set<std::string> asked;
    for (std::size_t i = 0; i < brokers.size(); ++i) {
      if (!asked.insert(brokers[i]).second) continue;
      try {
        views.push_back(client.view(brokers[i]));
        if (arguments.all && i == 0)
          for (const MemberRow& row : views.front().members)
            if (row.state != "gone" && row.state != "left" && row.name != views.front().self)
              brokers.push_back(row.serves);
      } catch (const RequestFailed& error) {
        unreached.push_back(error.what());
      }
    }
    const std::string why = disagreement(views, unreached);
    if (why.empty()) {
      if (arguments.json)
        std::printf("{\"agree\":true,\"asked\":%zu,\"digest\":\"%s\",\"in_force\":%lld}\n", views.size(),
                    views.front().digest.c_str(), static_cast<long long>(views.front().in_force));
      else
        std::printf("%zu asked, all agree: digest %s, %lld in force\n", views.size(),
                    views.front().digest.c_str(), static_cast<long long>(views.front().in_force));
      return 0;
    }
    if (client.loop().read_clock() >= until) {
      if (arguments.json) {
        std::string quoted;
        json::append_quoted(quoted, why);
        std::printf("{\"agree\":false,\"asked\":%zu,\"why\":%s}\n", asked.size(), quoted.c_str());
      } else {
        std::printf("%zu asked, no agreement: %s\n", asked.size(), why.c_str());
      }
      return views.empty() ? exit_unreachable : exit_disagreement;
    }
    bool due = false;
    net::Timer pause = client.loop().at(client.loop().now() + net::Duration(0.1), [&] { due = true; });
    while (!due) client.loop().run_once();
  }
}

int leave(const FleetArguments& arguments) {
  FleetClient client(arguments.timeout_s);
  for (const std::string& broker : arguments.brokers) {
    client.ask(broker, "POST", "/fleet/leave");
    std::printf("%s leaves\n", broker.c_str());
  }
  return 0;
}

}  // namespace

CLI::App* add_fleet_commands(CLI::App& app, FleetArguments& arguments) {
  CLI::App* fleet = app.add_subcommand("fleet", "inspect the fleet view of brokers");
  fleet->require_subcommand(1);
  auto add = [&](const char* name, const char* what) {
    CLI::App* command = fleet->add_subcommand(name, what);
    command->callback([&arguments, name] { arguments.command = name; });
    command->add_option("broker", arguments.brokers, "client address of a broker, like 127.0.0.1:3000")
        ->required()
        ->check([](const std::string& text) {
          auto address = net::Address::parse(text);
          return address && address->port != 0 ? std::string() : "'" + text + "' is no address with a port";
        });
    command->add_option("--timeout-s", arguments.timeout_s, "timeout per request")
        ->check(CLI::Range(0.01, 600.0));
    command->add_flag("--json", arguments.json, "for programs");
    return command;
  };
  add("members", "list the members as each broker sees them")
      ->add_flag("--all", arguments.all, "include members that are gone or have left");
  CLI::App* watched = add("watch", "print changes of one broker's view");
  watched->add_option("--every-s", arguments.every_s, "polling interval in seconds")
      ->check(CLI::Range(0.02, 3600.0));
  watched->add_option("--for", arguments.for_s, "seconds; 0: until SIGINT")->check(CLI::Range(0.0, 1e6));
  add("digest", "print one digest per broker; equal digests mean equal views");
  add("leave", "shut brokers down gracefully; requires fleet.leave_by_request");
  CLI::App* checked = add("check", "exit status 0 if all brokers are settled on one view, else 3");
  checked->add_flag("--all", arguments.all, "include all members that the first broker lists");
  checked->add_option("--for", arguments.for_s, "seconds to wait for agreement")
      ->check(CLI::Range(0.0, 3600.0));
  return fleet;
}

int run_fleet_command(const FleetArguments& arguments) {
  try {
    if (arguments.command == "members") return members(arguments);
    if (arguments.command == "watch") return watch(arguments);
    if (arguments.command == "digest") return digest(arguments);
    if (arguments.command == "leave") return leave(arguments);
    return check(arguments);
  } catch (const BadArguments& error) {
    std::fprintf(stderr, "pearspar: %s\n", error.what());
    return exit_bad_arguments;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "pearspar: %s\n", error.what());
    return exit_unreachable;
  }
}

}  // namespace pearspar::cli
