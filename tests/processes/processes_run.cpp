// One run: a system comes up, its plan befalls it, all is mended, the books are closed.
#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <functional>
#include <random>
#include <thread>

#include "admin_client/admin_client.h"
#include "processes/processes_hall.h"
#include "processes/traffic.h"

namespace pearspar::processes {
namespace {

using namespace std::chrono_literals;

constexpr double up_within_s = 20;
constexpr double leave_within_s = 4 * 0.85 + 2;  // of the grace, and what a busy machine takes
constexpr double counted_within_s = 8;
constexpr int storm_of = 200;
constexpr std::size_t remembered_of_old = 500;  // 512, but for those under way
constexpr double look_every_s = 0.05;
constexpr double in_touch_s = 4;     // an edge is in touch so long after its trouble
constexpr double leave_known_s = 9;  // what a leaving index server needs, until it is gone
constexpr const char* services[] = {"shard0", "shard1", "plain"};
constexpr int client_threads = 14;
constexpr double edge_grace_s = 4;
constexpr double most_growth_mb = 40;  // of an edge, from its first look to its last
constexpr int most_descriptors = 200;  // that an edge holds once its clients have gone

class Run {
 public:
  Run(const Plan& plan, const RunOptions& options)
      : plan_(plan), options_(options), hall_(loop_, scene_, options, true), random_(plan.seed) {
    scene_.net = options.net;
    if (plan.mixed) scene_.remembered = remembered_of_old;
    scene_.probed = options.traffic;
  }

  Result run() {
    const double began = scene_.judge.now();
    came_up_ = begin();
    if (came_up_) {
      base_ = scene_.judge.now();
      result_.story.push_back(fmt::format("times below count from {:.3f} of the judge's clock", base_));
      for (const Step& step : plan_.steps) {
        turn_until(base_ + step.at);
        befall(step);
      }
      turn_until(base_ + plan_.troubled_s);
      turn_while([&] { return busy_ > 0; }, 60);
      if (busy_ > 0) scene_.judge.fault("PLAN", "what had begun did not end");
      mend();
      scene_.troubled = false;
      turn_while([&] { return scene_.at_work > 0; }, 60);
      std::atomic<bool> closed = false;
      callers_.emplace_back([&] {
        close_books(scene_);
        closed = true;
      });
      turn_while([&] { return !closed; }, 120);
      look_at_edges();
    }
    scene_.troubled = false;
    scene_.over = true;
    std::atomic<std::size_t> joined = 0;
    std::thread joiner([&] {
      for (std::thread& each : callers_) each.join();
      joined = 1;
    });
    turn_while([&] { return joined == 0; }, 120);
    joiner.join();
    end_traffic();
    result_.seed = plan_.seed;
    result_.told = scene_.judge.finish();
    result_.cut_connections = hall_.relayed().broken;
    result_.took_s = scene_.judge.now() - began;
    return result_;
  }

 private:
  bool older() { return plan_.mixed && random_() % 2 == 0; }
  void tell(const std::string& what) {
    result_.story.push_back(fmt::format("{:.2f} {}", scene_.judge.now() - base_, what));
    if (options_.chatty) std::printf("%s\n", result_.story.back().c_str());
  }
  void turn_until(double at) {
    while (scene_.judge.now() < at) loop_.run_once(net::Duration(std::max(0.0, at - scene_.judge.now())));
  }
  bool turn_while(const std::function<bool()>& what, double at_most_s) {
    const double until = scene_.judge.now() + at_most_s;
    while (what() && scene_.judge.now() < until) loop_.run_once(net::Duration(look_every_s));
    return !what();
  }
  // Calls `then` as soon as `what` holds, or with false when the time is over. Keeps the run from ending.
  void when(std::function<bool()> what, double within_s, std::function<void(bool)> then) {
    ++busy_;
    look(std::move(what), scene_.judge.now() + within_s, std::move(then));
  }
  void look(std::function<bool()> what, double until, std::function<void(bool)> then) {
    const bool holds = what();
    if (holds || scene_.judge.now() > until) {
      then(holds);
      --busy_;
      return;
    }
    const std::size_t slot = slots_++;
    timers_[slot] = loop_.at(loop_.now() + net::Duration(look_every_s), [this, slot, what, until, then] {
      net::Timer mine = std::move(timers_[slot]);
      timers_.erase(slot);
      look(what, until, then);
    });
  }
  void after(double seconds, std::function<void()> then) {
    const double due = scene_.judge.now() + seconds;
    when([this, due] { return scene_.judge.now() >= due; }, seconds + 60, [then](bool) { then(); });
  }

  bool begin() {
    for (int i = 0; i < plan_.members; ++i) hall_.add_member(true, older());
    for (int i = 0; i < plan_.members; ++i) hall_.start_member(i, true);
    for (int i = 0; i < options_.edges; ++i) hall_.start_edge(i, older());
    if (options_.traffic)
      servers_ = std::make_unique<MisbehavingServers>(scene_, history_, plan_.seed);
    else
      for (const char* service : services) hall_.start_node(service);
    callers_.emplace_back([this] { watch_on(scene_); });
    if (!turn_while([&] { return scene_.leader().empty(); }, up_within_s)) {
      scene_.judge.fault("START", "nobody leads");
      return false;
    }
    scene_.at_work = 2;
    for (int i = 0; i < 2; ++i) callers_.emplace_back([this, i] { operate(scene_, plan_.seed, i); });
    callers_.emplace_back([this] { read_on(scene_, plan_.seed); });
    if (!options_.traffic) callers_.emplace_back([this] { ask_on(scene_, plan_.seed); });
    turn_while([&] { return scene_.judge.newest() == 0; }, up_within_s);
    if (options_.traffic) begin_traffic();
    return true;
  }

  bool counted(int number) {
    std::lock_guard lock(scene_.mutex);
    const std::string& control = hall_.member(number).control;
    const std::string host = control.substr(0, control.find(':'));
    std::uint64_t newest = 0;
    bool holds = false;
    for (const auto& [address, each] : scene_.standing) {
      if (!each.answers) continue;
      newest = std::max(newest, each.revision);
      if (each.leads) holds = each.members.count(host) > 0;
    }
    const Standing& own = scene_.standing[control];
    return holds && own.answers && own.revision + 60 >= newest;
  }
  std::string id_of(int number) {
    std::lock_guard lock(scene_.mutex);
    return scene_.standing[hall_.member(number).control].id;
  }

  // Lost until it counts again and knows what the others know. A core bears only so many.
  void recovers(int number) {
    when([this, number] { return counted(number); }, counted_within_s + 8,
         [this, number](bool held) {
           if (!held) scene_.judge.fault("RECOVER", fmt::format("core{} does not come back", number));
           after(1.0, [this, number] { lost_.erase(number); });
         });
  }

  // Which revision of the program each member runs, where there are two.
  std::string revisions() {
    if (!plan_.mixed) return {};
    std::string text = ", members run";
    const int leader = hall_.by_control(scene_.leader());
    for (int i = 0; i < hall_.members(); ++i)
      if (!hall_.member(i).gone)
        text += fmt::format(" {}:{}{}", i, hall_.member(i).older ? "older" : "newer",
                            i == leader ? "(leads)" : "");
    return text;
  }

  void befall(const Step& step) {
    if (step.kind == "storm") {
      scene_.storm += storm_of;
      ++result_.struck["storm"];
      return tell("storm");
    }
    if (step.kind.starts_with("edge_") || step.kind == "node_leave") return befall_others(step);
    int whom = step.whom;
    if (whom < 0) whom = hall_.by_control(scene_.leader());
    // A member that was replaced: its successor.
    while (whom >= 0 && successor_.count(whom)) whom = successor_[whom];
    const bool all = step.kind == "power" || step.kind == "turns";
    // An older program does not find that out (docs/control.md).
    if (whom >= 0 && step.kind == "past" && hall_.member(whom).older)
      return tell("past is left out: an older program does not find it out");
    const std::size_t bears = static_cast<std::size_t>(plan_.members - 1) / 2;
    if (whom < 0 || lost_.count(whom) || hall_.member(whom).gone || lost_.size() >= bears ||
        (all && !lost_.empty()) || turning_)
      return tell(fmt::format("{} is left out: no more may be lost now", step.kind));
    tell(fmt::format("{} core{} {:.2f}{}", step.kind, whom, step.for_s, revisions()));
    ++result_.struck[step.kind];
    if (!all) lost_.insert(whom);
    const std::string& kind = step.kind;
    if (kind == "freeze") {
      hall_.signal(whom, SIGSTOP);
      after(step.for_s, [this, whom] {
        hall_.signal(whom, SIGCONT);
        recovers(whom);
      });
    } else if (kind.starts_with("cut") || kind == "hold") {
      hall_.cut(whom, kind != "cut_out", kind != "cut_in", kind == "hold");
      after(step.for_s, [this, whom] {
        hall_.heal(whom);
        recovers(whom);
      });
    } else if (kind == "kill" || kind == "wipe" || kind == "swap") {
      hall_.kill(whom);
      after(step.for_s, [this, whom, kind] {
        if (kind == "wipe") hall_.wipe(whom);
        if (kind == "swap") hall_.member(whom).older = !hall_.member(whom).older;
        hall_.start_member(whom, false);
        recovers(whom);
      });
    } else if (kind == "past") {
      past(whom, step.for_s);
    } else if (kind == "replace") {
      hall_.kill(whom);
      hall_.forget(whom);
      after(step.for_s, [this, whom] {
        const int next = hall_.add_member(false, older());
        successor_[whom] = next;
        lost_.erase(whom);
        lost_.insert(next);
        recovers(next);
      });
    } else if (kind == "leave") {
      leave(whom);
    } else if (kind == "restart") {
      restart(whom, [this, whom] { recovers(whom); });
    } else if (kind == "turns") {
      turning_ = true;
      in_turn(0);
    } else if (kind == "power") {
      turning_ = true;
      const double lost_at = scene_.judge.now();
      for (int i = 0; i < hall_.members(); ++i) hall_.kill(i);
      after(step.for_s, [this, lost_at] {
        for (int i = 0; i < hall_.members(); ++i) hall_.start_member(i, false);
        configurations_.core_lost(lost_at, scene_.judge.now());
        when([this] { return !scene_.leader().empty(); }, up_within_s,
             [this](bool held) {
               if (!held) scene_.judge.fault("RECOVER", "nobody leads after all were killed at once");
               after(2.0, [this] { turning_ = false; });
             });
      });
    }
  }

  // What no majority depends on.
  void befall_others(const Step& step) {
    const int edge = std::max(0, step.whom) % options_.edges;
    // A leave binds edges in touch: nobody is out of touch beside it.
    const double now = scene_.judge.now();
    const bool leaves = step.kind == "node_leave";
    if (leaves ? !edges_troubled_.empty() || now < in_touch_from_ : now < left_until_)
      return tell(fmt::format("{} is left out: a leave binds edges in touch", step.kind));
    if (leaves) left_until_ = now + leave_known_s;
    ++result_.struck[step.kind];
    tell(fmt::format("{} {} {:.2f}", step.kind, edge, step.for_s));
    if (leaves && servers_) {
      servers_->leave(static_cast<int>(random_() % 64));
    } else if (leaves) {
      hall_.start_node(services[std::max(0, step.whom) % 3]);
    } else if (step.kind == "edge_hup") {
      hall_.reload_edge(edge);
    } else if (step.kind == "edge_stalled_log") {
      hall_.stall_log(edge, true);
      after(step.for_s, [this, edge] { hall_.stall_log(edge, false); });
    } else if (step.kind == "edge_term") {
      if (edge_trouble_begins(edge)) end_edge(edge, step.for_s);
    } else if (edge_trouble_begins(edge)) {
      if (step.kind == "edge_kill") hall_.start_edge(edge, older());
      if (step.kind == "edge_freeze") hall_.signal_edge(edge, SIGSTOP);
      if (step.kind.starts_with("edge_cut")) hall_.cut_edge(edge, cut_of(step.kind));
      // Where it is killed it starts again at once, and its connections have ended.
      history_.troubled(hall_.front_door(edge), now - 0.01, now + step.for_s);
      after(step.for_s, [this, edge] {
        hall_.signal_edge(edge, SIGCONT);
        hall_.heal_edge(edge);
        edge_trouble_ends(edge);
      });
    }
  }

  // False if the edge is in trouble already.
  bool edge_trouble_begins(int edge) { return edges_troubled_.emplace(edge, scene_.judge.now()).second; }
  void edge_trouble_ends(int edge) {
    const double now = scene_.judge.now();
    configurations_.edge_troubled(hall_.front_door(edge), edges_troubled_.at(edge), now);
    in_touch_from_ = now + in_touch_s;
    edges_troubled_.erase(edge);
  }

  // "edge_cut", with "_leader" for the link to whoever leads now (all links if nobody does), and "_in" or
  // "_out" for one direction.
  Hall::EdgeCut cut_of(const std::string& kind) {
    Hall::EdgeCut cut;
    cut.in = !kind.ends_with("_out");
    cut.out = !kind.ends_with("_in");
    if (kind.starts_with("edge_cut_leader")) cut.member = hall_.by_control(scene_.leader());
    return cut;
  }

  void begin_traffic() {
    // Until every edge knows the servers.
    turn_until(scene_.judge.now() + 2.5);
    for (int i = 0; i < options_.edges; ++i) {
      history_.troubled(hall_.front_door(i), 0, scene_.judge.now());
      configurations_.edge_troubled(hall_.front_door(i), 0, scene_.judge.now());
      sizes_.push_back(hall_.size_of_edge(i));
    }
    clients_ = std::make_unique<MisbehavingClients>(scene_, history_, plan_.seed, client_threads);
    probes_ = std::make_unique<ConfigurationProbes>(scene_, history_, plan_.seed);
    unsafe_clients_ = std::make_unique<UnsafeClients>(scene_, history_, plan_.seed);
  }

  // All clients are gone: what edges hold for them is given back.
  void end_traffic() {
    if (!options_.traffic || !came_up_) return;
    clients_.reset();
    probes_.reset();
    unsafe_clients_.reset();
    turn_until(scene_.judge.now() + 1.5);
    for (int i = 0; i < options_.edges; ++i) {
      const auto [resident_mb, descriptors] = hall_.size_of_edge(i);
      if (resident_mb > sizes_[static_cast<std::size_t>(i)].first + most_growth_mb)
        scene_.judge.fault("SIZE", fmt::format("edge{} grew to {:.0f} MB", i, resident_mb));
      if (descriptors > most_descriptors)
        scene_.judge.fault("SIZE", fmt::format("edge{} holds {} descriptors", i, descriptors));
    }
    servers_.reset();
    history_.close(scene_.judge.changes());
    for (const double at : hall_.core_disturbed()) configurations_.core_disturbed(at);
    result_.configurations = configurations_.judge(scene_.judge.changes(), history_.probe_outcomes());
    history_.add_verdict(result_.configurations);
    result_.traffic = history_.summary();
    result_.evidence = history_.evidence();
  }

  // In good order: it serves on while its clients go elsewhere, ends within its grace and is started again.
  void end_edge(int edge, double down_s) {
    const double asked = scene_.judge.now();
    const std::string door = hall_.front_door(edge);
    history_.told_to_end(door, asked);
    hall_.end_edge(edge);
    when([this, edge] { return hall_.size_of_edge(edge).second == 0; }, edge_grace_s + 3,
         [this, edge, door, asked, down_s](bool ended) {
           if (!ended) scene_.judge.fault("LEAVE", fmt::format("edge{} does not end", edge));
           after(down_s, [this, edge, door, asked] {
             hall_.start_edge(edge, older());
             history_.troubled(door, asked, scene_.judge.now() + 1);
             edge_trouble_ends(edge);
           });
         });
  }

  // Its folder is copied while it is down; later it is set back to that copy, under the same leader.
  void past(int whom, double for_s) {
    hall_.kill(whom);
    hall_.copy_folder(whom, false);
    hall_.start_member(whom, false);
    when([this, whom] { return counted(whom); }, counted_within_s,
         [this, whom, for_s](bool) {
           after(for_s, [this, whom] {
             const std::string before = id_of(whom), leader = scene_.leader();
             hall_.kill(whom);
             hall_.copy_folder(whom, true);
             hall_.start_member(whom, false);
             after(2.5, [this, whom, before, leader] {
               // Promised as long as the leader that it acknowledged to leads on, and has not folded beyond.
               if (!leader.empty() && leader == scene_.leader()) {
                 ++result_.past;
                 const bool found = id_of(whom) != before && !id_of(whom).empty();
                 if (found) ++result_.past_found;
                 if (!found) tell(fmt::format("core{} set back keeps its id: {}", whom, transfers_of(whom)));
               }
               recovers(whom);
             });
           });
         });
  }

  // Whether it was told a snapshot since its start, and in which term it is.
  std::string transfers_of(int whom) {
    net::Loop loop;
    admin_client::AdminClient caller(loop, {});
    const auto reply =
        caller.call_member(hall_.member(whom).control, {"GET", "/pearspar/metrics", "", "", ""}, 500ms);
    std::string told;
    for (const char* name : {"altavia_snapshots_taken_total", "altavia_term", "altavia_voter"}) {
      const std::size_t at = reply.body.find(fmt::format("\n{}{{", name));
      const std::size_t from = at == reply.body.npos ? at : reply.body.find("} ", at);
      told += fmt::format("{} {}, ", name,
                          from == reply.body.npos
                              ? "?"
                              : reply.body.substr(from + 2, reply.body.find('\n', from + 2) - from - 2));
    }
    return told;
  }

  void leave(int whom) {
    const int next = hall_.add_member(false, older());
    when([this, next] { return counted(next); }, counted_within_s + 8,
         [this, whom, next](bool held) {
           if (!held) {
             scene_.judge.fault("RECOVER", fmt::format("successor core{} is not taken in", next));
             return;
           }
           successor_[whom] = next;
           const double asked = scene_.judge.now();
           ++busy_;
           hall_.end(whom, [this, whom, asked](int) {
             const double took = scene_.judge.now() - asked;
             if (took > leave_within_s)
               scene_.judge.fault("LEAVE", fmt::format("core{} took {:.1f} s to leave", whom, took));
             tell(fmt::format("core{} left after {:.2f} s", whom, took));
             hall_.forget(whom);
             after(2.0, [this, whom] { lost_.erase(whom); });
             --busy_;
           });
         });
  }

  void restart(int whom, std::function<void()> then) {
    ++busy_;
    hall_.end(whom, [this, whom, then](int) {
      after(0.05, [this, whom, then] {
        if (plan_.mixed && random_() % 2 == 0) hall_.member(whom).older = !hall_.member(whom).older;
        hall_.start_member(whom, false);
        then();
      });
      --busy_;
    });
  }

  // The next one only when the one before counts and knows what the others know.
  void in_turn(int number) {
    while (number < hall_.members() && !hall_.up(number)) ++number;
    if (number >= hall_.members()) {
      turning_ = false;
      return;
    }
    restart(number, [this, number] {
      when([this, number] { return counted(number) && !scene_.leader().empty(); }, counted_within_s + 8,
           [this, number](bool held) {
             if (!held) scene_.judge.fault("RECOVER", fmt::format("core{} is not back in its turn", number));
             after(1.0, [this, number] { in_turn(number + 1); });
           });
    });
  }

  void mend() {
    for (int i = 0; i < hall_.members(); ++i) {
      hall_.heal(i);
      hall_.signal(i, SIGCONT);
      hall_.start_member(i, false);
    }
    tell("all is mended");
  }

  // All edges go by the newest.
  void look_at_edges() {
    std::vector<std::string> edges;
    {
      std::lock_guard lock(scene_.mutex);
      edges = scene_.edges;
    }
    std::vector<std::uint64_t> revisions(edges.size());
    std::atomic<bool> done = false;
    std::thread asks([&] {
      net::Loop loop;
      admin_client::AdminClient caller(loop, {});
      const double until = scene_.judge.now() + 10;
      for (bool all = false; !all && scene_.judge.now() < until;) {
        all = true;
        for (std::size_t i = 0; i < edges.size(); ++i) {
          const std::string check = edges[i].substr(0, edges[i].find(':')) + ":28723";
          const auto reply = caller.call_member(check, {"GET", "/pearspar/metrics", "", "", ""}, 1500ms);
          const std::size_t at = reply.body.find("\naltavia_edition{");
          if (at != reply.body.npos)
            revisions[i] = std::strtoull(reply.body.c_str() + reply.body.find("} ", at) + 2, nullptr, 10);
          all = all && revisions[i] >= scene_.judge.newest();
        }
        std::this_thread::sleep_for(50ms);
      }
      done = true;
    });
    turn_while([&] { return !done; }, 30);
    asks.join();
    for (std::size_t i = 0; i < edges.size(); ++i) scene_.judge.settled("edge at " + edges[i], revisions[i]);
  }

  const Plan& plan_;
  const RunOptions& options_;
  net::Loop loop_;
  Scene scene_;
  Hall hall_;
  std::mt19937_64 random_;
  std::vector<std::thread> callers_;
  std::map<std::size_t, net::Timer> timers_;
  std::size_t slots_ = 0;
  std::set<int> lost_;
  std::map<int, int> successor_;
  std::map<int, double> edges_troubled_;  // since when
  double in_touch_from_ = 0, left_until_ = 0;
  bool turning_ = false;
  bool came_up_ = false;
  int busy_ = 0;
  double base_ = 0;
  Result result_;
  TrafficHistory history_{scene_.judge};
  std::unique_ptr<MisbehavingServers> servers_;
  std::unique_ptr<MisbehavingClients> clients_;
  std::unique_ptr<ConfigurationProbes> probes_;
  std::unique_ptr<UnsafeClients> unsafe_clients_;
  ConfigurationJudge configurations_;
  std::vector<std::pair<double, int>> sizes_;  // of edges, before the traffic
};

}  // namespace

Result play(const Plan& plan, const RunOptions& options) { return Run(plan, options).run(); }

}  // namespace pearspar::processes
