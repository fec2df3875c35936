#include "trial/runner.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <charconv>
#include <cstdio>
#include <fstream>
#include <stdexcept>
#include <system_error>

namespace pearspar::trial {
namespace {

using namespace std::chrono_literals;
using judge::Deed;

constexpr double suspicion_periods = 3;
constexpr double keeps_periods = 10;  // that a view has to stand before a trial goes on
constexpr net::Duration end_within = 15s;

// A port that was free a moment ago: below those that the kernel hands out, and by turns from a place of this
// process's own, so that trials side by side do not take each other's.
std::uint16_t free_port(int& turn) {
  for (int tries = 0; tries < 2000; ++tries) {
    const auto port = static_cast<std::uint16_t>(12000 + (::getpid() * 97 + turn++) % 20000);
    try {
      net::bind_datagrams({0x7f000001, port});
      return port;
    } catch (const std::system_error&) {
    }
  }
  throw std::runtime_error("no free port");
}

const char* config_form =
    R"({{"name":"{}","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"revision":1,"complete":true,"members":[]}},
"settings":{{"balancers":2,"classes":[{{"aim_s":2.0,"effect":"retryable","give_up_s":4.0,"late_worth":0.3,
"name":"search","worth":5.0}}],"counted_by":"request","failure_domains":["a"],"flavors":["m1"],
"limits":{{"cancel":true,"connect_timeout_s":0.25,"idle_close_s":15.0,"max_open":200,"max_retry_after_s":2.0,
"max_streams":32,"peers":false,"probes":true,"retry_after":true,"second_copies":true,"try_limit":4}},
"me":0,"quantum_s":0.005,"registry_mode":"push","safety":{{"fall_multiple":2.0,"fall_s":3.0,
"start_capacity":0.23,"warm_within_s":16.0}},"specifics":{{"class_floor":[0.4],"class_partial":[0.95],
"fetch_parts":[0],"in_a_row":1,"parts_a_call":1,"sets":1,"slabs":4,"whole_at":[1.0]}},
"stats":{{"source":"pull"}},"weights":"silent","zone":0}}}}
)";

std::uint64_t number_of(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// The words of a line, commas and colons at their ends taken off.
std::vector<std::string_view> words_of(std::string_view line) {
  std::vector<std::string_view> words;
  while (!line.empty()) {
    const std::size_t end = line.find(' ');
    std::string_view word = line.substr(0, end);
    line = end == std::string_view::npos ? std::string_view() : line.substr(end + 1);
    while (!word.empty() && (word.back() == ',' || word.back() == ':' || word.back() == ';'))
      word.remove_suffix(1);
    words.push_back(word);
  }
  return words;
}

}  // namespace

Runner::Runner(const plan::Schedule& schedule, const RunOptions& options)
    : schedule_(schedule),
      options_(options),
      began_(loop_.now()),
      relay_(loop_, schedule.seed() + 1),
      judge_({schedule.period_ms() / 1000.0, suspicion_periods, options.slack_s}) {}

void Runner::deed(Deed deed, const std::string& who, std::uint64_t run) {
  judge_.happened({now(), deed, who, run});
}

void Runner::launch(Broker& broker) {
  std::ofstream(broker.folder + "/config.json") << fmt::format(fmt::runtime(config_form), broker.name);
  std::string text = "membership { fixed {";
  for (std::size_t i = 0; i < nodes_.size(); ++i)
    text += fmt::format(" nodes {{ id: \"s-{}\" address: \"{}\" zone: \"a\" kind: \"m1\" }}", i,
                        nodes_[i]->address().text());
  text += fmt::format(
      " }} }}\nlog {{ lines_per_s: 100000 burst: 1000000 }}\nfleet {{\n  name: \"trial\" listen: "
      "\"127.0.0.1:{}\" advertise: \"{}\" zone: \"a\"\n  period_ms: {} suspicion_periods: {}\n",
      broker.port, relay_.known(broker.place).text(), schedule_.period_ms(), suspicion_periods);
  for (const net::Address& seed : seeds_) text += fmt::format("  seeds: \"{}\"\n", seed.text());
  std::ofstream(broker.folder + "/options.textproto") << text << "}\n";
  broker.told_to_end = broker.killed = broker.stopped = broker.yielded = broker.port_taken = false;
  Broker* at = &broker;
  broker.process = std::make_unique<Process>(
      loop_,
      std::vector<std::string>{options_.program, "serve", "--config", broker.folder + "/config.json",
                               "--options", broker.folder + "/options.textproto"},
      options_.most_descriptors, [this, at](std::string_view line) { heard(*at, line); },
      [this, at](int status) { end(*at, status); });
}

void Runner::start(int number, bool elsewhere) {
  Broker& broker = brokers_[static_cast<std::size_t>(speaker_[static_cast<std::size_t>(number)])];
  if (broker.process && broker.process->running()) return;
  if (broker.place < 0 || elsewhere) {
    broker.port = free_port(port_turn_);
    broker.place = relay_.add({0x7f000001, broker.port});
  }
  launch(broker);
}

void Runner::start_twin(int number) {
  Broker& former = brokers_[static_cast<std::size_t>(speaker_[static_cast<std::size_t>(number)])];
  Broker twin;
  twin.number = number;
  twin.name = former.name;
  twin.folder = former.folder + "t";
  ::mkdir(twin.folder.c_str(), 0700);
  former.speaks = false;
  speaker_[static_cast<std::size_t>(number)] = static_cast<int>(brokers_.size());
  brokers_.push_back(std::move(twin));
  start(number, true);
}

void Runner::end(Broker& broker, int status) {
  if (broker.killed || !broker.speaks) return;
  if (broker.port_taken && ++broker.tries < 20) {
    // Another trial was looking for a port just then; it lets go at once.
    timers_.push_back(loop_.at(loop_.now() + 50ms, [this, &broker] { launch(broker); }));
    return;
  }
  if (!broker.told_to_end || !WIFEXITED(status) || WEXITSTATUS(status) != 0)
    fault(fmt::format("{:.3f} s: {} ended by itself, {} {}", now(), broker.name,
                      WIFEXITED(status) ? "status" : "signal",
                      WIFEXITED(status) ? WEXITSTATUS(status) : WTERMSIG(status)));
  deed(Deed::ended, broker.name);
}

// `TIME NAME LEVEL: fleet: ...`
void Runner::heard(Broker& broker, std::string_view line) {
  if (options_.chatty) {
    std::printf("%.*s\n", static_cast<int>(line.size()), line.data());
    std::fflush(stdout);
  }
  if (line.find("Address already in use") != std::string_view::npos) broker.port_taken = true;
  constexpr std::string_view mark = ": fleet: ";
  const std::size_t at = line.find(mark);
  if (at == std::string_view::npos) {
    if (line.find("ERROR") != std::string_view::npos || line.find("Sanitizer") != std::string_view::npos)
      fault(fmt::format("{:.3f} s: {} says: {}", now(), broker.name, line));
    return;
  }
  const double when =
      std::min(now(), std::strtod(std::string(line.substr(0, line.find(' '))).c_str(), nullptr) -
                          began_.time_since_epoch().count());
  const std::vector<std::string_view> words = words_of(line.substr(at + mark.size()));
  if (words.size() > 4 && words[1] == "run" && words[3] == "takes") {
    if (broker.speaks) deed(Deed::started, broker.name, number_of(words[2]));
    return;
  }
  if (line.find("is also the name of a broker") != std::string_view::npos) {
    broker.yielded = true;
    if (broker.speaks)
      fault(fmt::format("{:.3f} s: {} yields its name, though nobody started later", when, broker.name));
    return;
  }
  if (!broker.speaks) return;
  if (words.size() > 6 && words[1] == "run" && words[3] == "incarnation") {
    judge_.said({when, broker.name, std::string(words[0]), number_of(words[2]), number_of(words[4]),
                 std::string(words[6])});
    return;
  }
  const bool settled = words.size() > 5 && words[0] == "settled";
  const bool moving = words.size() > 6 && words[0] == "not" && words[1] == "settled";
  if (settled || moving)
    judge_.claimed(
        {when, broker.name, std::string(words[settled ? 2 : 3]), number_of(words[settled ? 3 : 4]), settled});
}

void Runner::pause(net::Duration time) {
  bool over = false;
  net::Timer timer = loop_.at(loop_.read_clock() + time, [&] { over = true; });
  while (!over) loop_.run_once();
}

void Runner::wait_until_agreed(double at_most_s) {
  const double period = schedule_.period_ms() / 1000.0;
  const double from = now();
  double since = -1;
  while (now() - from < at_most_s) {
    pause(net::Duration(period / 4));
    if (!judge_.agreed())
      since = -1;
    else if (since < 0)
      since = now();
    else if (now() - since > keeps_periods * period)
      return;
  }
}

void Runner::set_network(const plan::Network& network) {
  auto way_of = [](const plan::Link& link) {
    return Way{link.loss(),
               net::Duration(link.delay_ms() / 1000),
               net::Duration(link.jitter_ms() / 1000),
               link.twice(),
               link.spoilt(),
               link.cut()};
  };
  relay_.set_all(way_of(network.all()));
  auto place = [&](std::uint32_t broker) {
    return brokers_[static_cast<std::size_t>(speaker_[broker])].place;
  };
  std::vector<std::uint32_t> all;
  for (std::uint32_t i = 0; i < schedule_.brokers(); ++i) all.push_back(i);
  for (const plan::Way& way : network.ways()) {
    const std::vector<std::uint32_t> from =
        way.from_size() > 0 ? std::vector<std::uint32_t>(way.from().begin(), way.from().end()) : all;
    const std::vector<std::uint32_t> to =
        way.to_size() > 0 ? std::vector<std::uint32_t>(way.to().begin(), way.to().end()) : all;
    for (std::uint32_t a : from)
      for (std::uint32_t b : to) relay_.set(place(a), place(b), way_of(way.link()));
  }
  Way cut;
  cut.cut = true;
  for (const plan::Group& one : network.groups())
    for (const plan::Group& other : network.groups())
      for (std::uint32_t a : one.brokers())
        for (std::uint32_t b : other.brokers())
          if (&one != &other) relay_.set(place(a), place(b), cut);
}

void Runner::hold(int number, net::Time until, bool stop) {
  Broker& broker = brokers_[static_cast<std::size_t>(speaker_[static_cast<std::size_t>(number)])];
  if (!broker.process) return;
  broker.process->signal(stop ? SIGSTOP : SIGCONT);
  if (!stop && loop_.now() >= until) return;
  timers_.push_back(loop_.at(loop_.now() + (stop ? 300ms : 200ms),
                             [this, number, until, stop] { hold(number, until, !stop); }));
}

void Runner::calm() {
  relay_.set_all({});
  deed(Deed::calm, {});
  for (const Broker& broker : brokers_)
    if (broker.speaks && broker.process && broker.process->running() && !broker.stopped) goto some;
  return;
some:
  wait_until_agreed(judge_.settle_bound(judge_.live()) + 1);
}

void Runner::apply(const plan::Step& step) {
  if (options_.chatty) std::printf("%.3f step: %s\n", now(), step.ShortDebugString().c_str());
  const double period = schedule_.period_ms() / 1000.0;
  const net::Time until = loop_.read_clock() + net::Duration(step.for_periods() * period);
  for (std::uint32_t broker : step.removable()) deed(Deed::troubled, brokers_[broker].name);
  if (step.all_removable()) deed(Deed::troubled, {});
  if (step.deed() == plan::CALM) return calm();
  deed(Deed::restless, {});
  if (step.deed() == plan::LINKS) return set_network(step.network());
  if (step.deed() == plan::SEEDS_GONE) {
    seeds_ = {relay_.known(brokers_[static_cast<std::size_t>(speaker_.back())].place)};
    return;
  }
  for (std::uint32_t number : step.brokers()) {
    const int at = static_cast<int>(number);
    Broker& broker = brokers_[static_cast<std::size_t>(speaker_[number])];
    const bool running = broker.process && broker.process->running();
    // A former process that keeps silent for it would take the name back.
    if (step.deed() == plan::KILL || step.deed() == plan::TERM)
      for (Broker& former : brokers_)
        if (!former.speaks && former.number == at && former.process) {
          former.killed = true;
          former.process.reset();
        }
    switch (step.deed()) {
      case plan::START:
        start(at, false);
        break;
      case plan::START_ELSEWHERE:
        start(at, true);
        break;
      case plan::START_TWIN:
        if (running) start_twin(at);
        break;
      case plan::KILL:
        if (!running) break;
        broker.killed = true;
        broker.process.reset();
        deed(Deed::killed, broker.name);
        break;
      case plan::TERM:
        if (!running) break;
        broker.told_to_end = true;
        deed(Deed::told_to_leave, broker.name);
        broker.process->signal(SIGTERM);
        break;
      case plan::STOP:
        if (!running) break;
        broker.process->signal(SIGSTOP);
        if (step.for_periods() > 0) {
          // Short enough that nobody may take note: the judge is not told.
          timers_.push_back(loop_.at(until, [this, number] {
            Broker& each = brokers_[static_cast<std::size_t>(speaker_[number])];
            if (each.process) each.process->signal(SIGCONT);
          }));
        } else {
          broker.stopped = true;
          deed(Deed::stopped, broker.name);
        }
        break;
      case plan::CONTINUE:
        if (!running) break;
        broker.process->signal(SIGCONT);
        broker.stopped = false;
        deed(Deed::resumed, broker.name);
        break;
      case plan::HOLD:
        if (running) hold(at, until, true);
        break;
      case plan::NOISE:
        relay_.noise(broker.place, 3000, net::Duration(step.for_periods() * period));
        break;
      default:
        break;
    }
  }
}

RunResult Runner::run() {
  const net::Time from = loop_.read_clock();
  for (int i = 0; i < 2; ++i) {
    nodes_.push_back(std::make_unique<standins::NodeStandin>(
        loop_, net::Address{0x7f000001, 0}, standins::NodeBehaviour{}, schedule_.seed() + 7));
  }
  for (std::uint32_t i = 0; i < schedule_.brokers(); ++i) {
    Broker broker;
    broker.number = static_cast<int>(i);
    broker.name = fmt::format("b{:03}", i);
    broker.folder = options_.folder + "/" + broker.name;
    if (::mkdir(broker.folder.c_str(), 0700) != 0 && errno != EEXIST)
      throw std::runtime_error(broker.folder + ": cannot be made");
    broker.port = free_port(port_turn_);
    broker.place = relay_.add({0x7f000001, broker.port});
    brokers_.push_back(std::move(broker));
    speaker_.push_back(static_cast<int>(i));
  }
  for (std::size_t i = 0;
       i < std::min<std::size_t>(schedule_.seeds() > 0 ? schedule_.seeds() : 3, brokers_.size()); ++i)
    seeds_.push_back(relay_.known(brokers_[i].place));
  for (std::uint32_t i = 0; i < schedule_.brokers(); ++i) start(static_cast<int>(i), false);
  // All processes have to be there before the calm is called.
  const net::Time patience = loop_.read_clock() + 30s;
  while (judge_.live() < schedule_.brokers() && loop_.read_clock() < patience) loop_.run_once(50ms);
  if (judge_.live() < schedule_.brokers())
    throw std::runtime_error(
        fmt::format("of {} processes only {} started", schedule_.brokers(), judge_.live()));
  calm();
  net::Time base = loop_.read_clock();
  const double period = schedule_.period_ms() / 1000.0;
  for (const plan::Step& step : schedule_.steps()) {
    const net::Duration wait = base + net::Duration(step.at() * period) - loop_.read_clock();
    if (wait > net::Duration(0)) pause(wait);
    if (step.deed() == plan::CALM) {
      // Those that were started are there before it counts.
      const net::Time until = loop_.read_clock() + 10s;
      auto waits = [&] {
        std::size_t running = 0;
        for (const Broker& broker : brokers_)
          running += broker.speaks && broker.process && broker.process->running() && !broker.stopped ? 1 : 0;
        return running > judge_.live() || [&] {
          for (const Broker& broker : brokers_)
            if (broker.told_to_end && broker.process && broker.process->running()) return true;
          return false;
        }();
      };
      while (waits() && loop_.read_clock() < until) loop_.run_once(20ms);
    }
    apply(step);
    if (step.deed() == plan::CALM) base = loop_.read_clock();
  }
  RunResult result;
  result.report = judge_.end(now());
  for (const Broker& broker : brokers_)
    if (!broker.speaks && !broker.killed && !broker.yielded)
      fault(fmt::format("{}: the former process under that name did not yield to the one started later",
                        broker.name));
  // An ordered end of all.
  for (Broker& broker : brokers_) {
    if (!broker.process) continue;
    broker.told_to_end = true;
    if (broker.stopped) broker.process->signal(SIGCONT);
    broker.process->signal(SIGTERM);
  }
  const net::Time by = loop_.read_clock() + end_within;
  auto left = [&] {
    for (const Broker& broker : brokers_)
      if (broker.process && broker.process->running()) return true;
    return false;
  };
  while (left() && loop_.read_clock() < by) loop_.run_once(50ms);
  if (left()) fault(fmt::format("{:.3f} s: processes do not end after SIGTERM", now()));
  result.report.faults.insert(result.report.faults.end(), faults_.begin(), faults_.end());
  result.relay = relay_.counters();
  result.took_s = (loop_.read_clock() - from).count();
  return result;
}

}  // namespace pearspar::trial
