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

constexpr int status_unreached = 1;
constexpr int status_arguments = 2;
constexpr int status_disagree = 3;

struct BadArguments : std::runtime_error {
  using std::runtime_error::runtime_error;
};
struct Unreached : std::runtime_error {
  using std::runtime_error::runtime_error;
};

net::Address address_of(const std::string& text) {
  auto address = net::Address::parse(text);
  if (!address || address->port == 0)
    throw BadArguments("'" + text + "' is no address with a port, like 127.0.0.1:3000");
  return *address;
}

struct Seen {
  std::string name;
  std::string state;
  std::string serves;
  std::string line;
};

// One broker's view, as it tells it.
struct View {
  std::string self;
  std::string digest;
  std::int64_t number = 0;
  std::int64_t in_force = 0;
  bool settled = false;
  bool smaller_part = false;
  bool yields = false;
  std::vector<Seen> members;
  std::string raw;
};

std::string text_at(const json::Value& object, std::string_view key) {
  const json::Value* value = object.find(key);
  return value ? value->text().value_or("") : "";
}
std::int64_t whole_at(const json::Value& object, std::string_view key) {
  const json::Value* value = object.find(key);
  return value ? value->whole().value_or(0) : 0;
}
bool flag_at(const json::Value& object, std::string_view key) {
  const json::Value* value = object.find(key);
  return value && value->flag().value_or(false);
}

View read_view(std::string body) {
  View view;
  view.raw = std::move(body);
  const json::Value all = json::parse(view.raw);
  view.self = text_at(all, "self");
  view.digest = text_at(all, "digest");
  view.number = whole_at(all, "number");
  view.in_force = whole_at(all, "in_force");
  view.settled = flag_at(all, "settled");
  view.smaller_part = flag_at(all, "smaller_part");
  view.yields = flag_at(all, "yields");
  const json::Value* members = all.find("members");
  if (!members) throw Unreached("what came is no view of a fleet");
  for (const json::Value& member : members->items) {
    Seen seen{text_at(member, "name"), text_at(member, "state"), text_at(member, "serves"), {}};
    std::string records;
    if (const json::Value* shelf = member.find("records"))
      for (const auto& [key, value] : shelf->members)
        records += fmt::format("{}{}={}", records.empty() ? "" : " ", key, value.text().value_or(""));
    seen.line =
        fmt::format("{:<16} {:<8} {:>8.1f} s {:<21} {:<21} {:<6} {:<6} {:<8} {:>4} {}", seen.name, seen.state,
                    static_cast<double>(whole_at(member, "for_ms")) / 1000, text_at(member, "address"),
                    seen.serves, text_at(member, "zone"), text_at(member, "region"),
                    text_at(member, "version"), whole_at(member, "incarnation"), records);
    view.members.push_back(std::move(seen));
  }
  return view;
}

class Asker {
 public:
  explicit Asker(double timeout_s) : timeout_(timeout_s), call_(loop_) {}

  std::string ask(const std::string& broker, const std::string& method, const std::string& path) {
    std::optional<registry::Reply> got;
    std::string fault;
    bool ended = false;
    call_.send(address_of(broker), {method, path, ""}, "", timeout_,
               [&](const registry::Reply* reply, const std::string& why) {
                 ended = true;
                 if (reply)
                   got = *reply;
                 else
                   fault = why;
               });
    while (!ended) loop_.run_once();
    if (!got) throw Unreached(broker + ": " + fault);
    if (got->status == 404) throw Unreached(broker + ": takes part in no fleet");
    if (got->status != 200) throw Unreached(fmt::format("{}: status {}: {}", broker, got->status, got->body));
    return got->body;
  }
  View view(const std::string& broker) {
    try {
      return read_view(ask(broker, "GET", "/fleet"));
    } catch (const json::ParseError& error) {
      throw Unreached(broker + ": what came is no view of a fleet: " + error.what());
    }
  }
  net::Loop& loop() { return loop_; }

 private:
  net::Duration timeout_;
  net::Loop loop_;
  registry::Call call_;
};

std::string head_of(const View& view) {
  return fmt::format("{}: digest {}, {} in force, {}{}{}", view.self, view.digest, view.in_force,
                     view.settled ? "settled" : "not settled",
                     view.smaller_part ? ", may be in the smaller part of a split" : "",
                     view.yields ? ", silent: another broker has its name" : "");
}

int members(const FleetArguments& arguments) {
  Asker asker(arguments.timeout_s);
  for (const std::string& broker : arguments.brokers) {
    const View view = asker.view(broker);
    if (arguments.json) {
      std::printf("%s\n", view.raw.c_str());
      continue;
    }
    std::printf("%s\n", head_of(view).c_str());
    for (const Seen& seen : view.members)
      if (arguments.all || (seen.state != "gone" && seen.state != "left"))
        std::printf("  %s\n", seen.line.c_str());
  }
  return 0;
}

int digest(const FleetArguments& arguments) {
  Asker asker(arguments.timeout_s);
  for (const std::string& broker : arguments.brokers) {
    const View view = asker.view(broker);
    if (arguments.json)
      std::printf("{\"broker\":\"%s\",\"digest\":\"%s\",\"settled\":%s}\n", broker.c_str(),
                  view.digest.c_str(), view.settled ? "true" : "false");
    else
      std::printf("%s %s %s\n", view.digest.c_str(), view.settled ? "settled" : "moving", broker.c_str());
  }
  return 0;
}

// Prints what changed from one look to the next.
int watch(const FleetArguments& arguments) {
  Asker asker(arguments.timeout_s);
  net::Signals signals{SIGINT, SIGTERM};
  bool ended = false;
  net::Watch watched = signals.watch(asker.loop(), [&](int) { ended = true; });
  net::Timer over;
  if (arguments.for_s > 0)
    over = asker.loop().at(asker.loop().now() + net::Duration(arguments.for_s), [&] { ended = true; });
  const std::string& broker = arguments.brokers.front();
  std::map<std::string, std::string> states;
  std::string head;
  bool lost = false;
  while (!ended) {
    try {
      const View view = asker.view(broker);
      lost = false;
      if (arguments.json) {
        if (head != view.raw) std::printf("%s\n", view.raw.c_str());
        head = view.raw;
      } else {
        for (const Seen& seen : view.members) {
          std::string& held = states[seen.name];
          if (held == seen.state) continue;
          std::printf("%s is %s%s\n", seen.name.c_str(), seen.state.c_str(),
                      held.empty() ? "" : (", was " + held).c_str());
          held = seen.state;
        }
        if (head_of(view) != head) std::printf("%s\n", head_of(view).c_str());
        head = head_of(view);
      }
    } catch (const Unreached& error) {
      if (!lost) std::printf("%s\n", error.what());
      lost = true;
    }
    std::fflush(stdout);
    bool due = false;
    net::Timer pause =
        asker.loop().at(asker.loop().now() + net::Duration(arguments.every_s), [&] { due = true; });
    while (!due && !ended) asker.loop().run_once();
  }
  return lost ? status_unreached : 0;
}

// What speaks against agreement; empty where nothing does.
std::string disagreement(const std::vector<View>& views, const std::vector<std::string>& unreached) {
  std::string why;
  auto add = [&](const std::string& text) { why += (why.empty() ? "" : "; ") + text; };
  for (const std::string& each : unreached) add(each);
  std::set<std::string> digests;
  for (const View& view : views) {
    digests.insert(view.digest);
    if (!view.settled) add(view.self + " is not settled");
    if (view.yields) add(view.self + " is silent, another broker has its name");
  }
  if (digests.size() > 1) {
    std::string all;
    for (const View& view : views)
      all += fmt::format("{}{} {} of {}", all.empty() ? "" : ", ", view.self, view.digest, view.in_force);
    add("digests differ: " + all);
  }
  return why;
}

int check(const FleetArguments& arguments) {
  Asker asker(arguments.timeout_s);
  const net::Time until = asker.loop().read_clock() + net::Duration(arguments.for_s);
  for (;;) {
    std::vector<View> views;
    std::vector<std::string> unreached;
    std::vector<std::string> brokers = arguments.brokers;
    std::set<std::string> asked;
    for (std::size_t i = 0; i < brokers.size(); ++i) {
      if (!asked.insert(brokers[i]).second) continue;
      try {
        views.push_back(asker.view(brokers[i]));
        if (arguments.all && i == 0)
          for (const Seen& seen : views.front().members)
            if (seen.state != "gone" && seen.state != "left" && seen.name != views.front().self)
              brokers.push_back(seen.serves);
      } catch (const Unreached& error) {
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
    if (asker.loop().read_clock() >= until) {
      if (arguments.json) {
        std::string quoted;
        json::append_quoted(quoted, why);
        std::printf("{\"agree\":false,\"asked\":%zu,\"why\":%s}\n", asked.size(), quoted.c_str());
      } else {
        std::printf("%zu asked, no agreement: %s\n", asked.size(), why.c_str());
      }
      return views.empty() ? status_unreached : status_disagree;
    }
    bool due = false;
    net::Timer pause = asker.loop().at(asker.loop().now() + net::Duration(0.1), [&] { due = true; });
    while (!due) asker.loop().run_once();
  }
}

int leave(const FleetArguments& arguments) {
  Asker asker(arguments.timeout_s);
  for (const std::string& broker : arguments.brokers) {
    asker.ask(broker, "POST", "/fleet/leave");
    std::printf("%s leaves\n", broker.c_str());
  }
  return 0;
}

}  // namespace

CLI::App* add_fleet(CLI::App& app, FleetArguments& arguments) {
  CLI::App* fleet = app.add_subcommand("fleet", "what the brokers of a fleet say of it");
  fleet->require_subcommand(1);
  auto add = [&](const char* name, const char* what) {
    CLI::App* command = fleet->add_subcommand(name, what);
    command->callback([&arguments, name] { arguments.command = name; });
    command->add_option("broker", arguments.brokers, "where its clients come, as 127.0.0.1:3000")
        ->required()
        ->check([](const std::string& text) {
          auto address = net::Address::parse(text);
          return address && address->port != 0 ? std::string() : "'" + text + "' is no address with a port";
        });
    command->add_option("--timeout-s", arguments.timeout_s, "for one answer")->check(CLI::Range(0.01, 600.0));
    command->add_flag("--json", arguments.json, "for programs");
    return command;
  };
  add("members", "who is there, as each broker sees it")
      ->add_flag("--all", arguments.all, "those that are gone or have left, too");
  CLI::App* watched = add("watch", "one broker's view as it changes");
  watched->add_option("--every-s", arguments.every_s, "between looks")->check(CLI::Range(0.02, 3600.0));
  watched->add_option("--for", arguments.for_s, "seconds; 0: until SIGINT")->check(CLI::Range(0.0, 1e6));
  add("digest", "one line a broker: equal digests are equal views");
  add("leave", "an ordered end, where fleet.leave_by_request allows it");
  CLI::App* checked = add("check", "status 0 where all asked brokers are settled on one view, else 3");
  checked->add_flag("--all", arguments.all, "ask also all that the first one names");
  checked->add_option("--for", arguments.for_s, "seconds to wait for it")->check(CLI::Range(0.0, 3600.0));
  return fleet;
}

int run_fleet(const FleetArguments& arguments) {
  try {
    if (arguments.command == "members") return members(arguments);
    if (arguments.command == "watch") return watch(arguments);
    if (arguments.command == "digest") return digest(arguments);
    if (arguments.command == "leave") return leave(arguments);
    return check(arguments);
  } catch (const BadArguments& error) {
    std::fprintf(stderr, "pearspar: %s\n", error.what());
    return status_arguments;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "pearspar: %s\n", error.what());
    return status_unreached;
  }
}

}  // namespace pearspar::cli
