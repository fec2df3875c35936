// One size, from a cold start of edges and servers to the death of the leader: what each step took, what was
// sent by kind of frame, what members and whole edges used.
#include <fmt/format.h>
#include <signal.h>
#include <sys/mman.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <memory>
#include <new>
#include <optional>
#include <span>
#include <system_error>

#include "admin_client/admin_client.h"
#include "measure/capacity.h"

namespace pearspar::measure {
namespace {

constexpr int changes_made = 5, leaves_made = 5;

// Memory that every process forked from here on shares.
template <typename T>
class Shared {
 public:
  explicit Shared(std::size_t count) : count_(count) {
    void* at = ::mmap(nullptr, count * sizeof(T), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
    if (at == MAP_FAILED) throw std::system_error(errno, std::generic_category(), "mmap");
    first_ = static_cast<T*>(at);
    for (std::size_t i = 0; i < count; ++i) new (first_ + i) T;
  }
  ~Shared() { ::munmap(first_, count_ * sizeof(T)); }
  Shared(const Shared&) = delete;
  T* data() { return first_; }
  std::span<T> all() { return {first_, count_}; }

 private:
  T* first_;
  std::size_t count_;
};

double quantile(std::vector<double> values, double share) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

// Sums that rise, at one time.
struct Mark {
  double at_s = 0;
  std::array<double, frame_kinds> in_frames{}, in_bytes{}, out_frames{}, out_bytes{};
  std::vector<Usage> members;
  double edge_cpu = 0;              // of all whole edges
  std::map<pid_t, double> all_cpu;  // of each that we started
  Machine machine;
  double beats = 0, answered = 0, failed = 0, opened = 0, server_in = 0, server_out = 0, dialled = 0;
  std::array<double, latency_steps> latency{};
};

class Run {
 public:
  Run(const Size& size, const std::string& program)
      : size_(size),
        edges_(static_cast<std::size_t>(size.edges)),
        servers_(static_cast<std::size_t>((size.servers + size.servers_per_process - 1) /
                                          size.servers_per_process)),
        members_(std::make_unique<Members>(processes_, program, size)) {}

  Figures measure() {
    put("edges", size_.edges), put("servers", size_.servers), put("members", size_.members);
    put("routes", size_.routes), put("beat_ms", size_.beat_ms);
    put("members_nice", size_.nice);
    if (!begin()) return std::move(figures_);
    cold_start();
    rest();
    changes();
    leaves();
    restart();
    if (size_.elects) election();
    return std::move(figures_);
  }

 private:
  void put(const std::string& key, double value) { figures_.values[key] = value; }
  void say(const std::string& what) {
    std::fprintf(stderr, "%5d edges %6d servers  %s\n", size_.edges, size_.servers, what.c_str());
  }
  void wall(std::string what) {
    say("WALL: " + what);
    figures_.walls.push_back(std::move(what));
  }
  static double seconds() { return static_cast<double>(now_ns()) * 1e-9; }

  // Until it is so, or the time is over; also ends where more memory is in use than may be.
  bool until(double within, const std::function<bool()>& so) {
    double end = seconds() + within, look = 0;
    while (!so()) {
      if (interrupted) throw Interrupted{};
      if (seconds() > end) return false;
      if (seconds() > look) {
        look = seconds() + 0.5;
        double used = 0;
        for (pid_t pid : processes_.all()) used += usage_of(pid).rss_mb;
        memory_ = std::max(memory_, used);
        if (used > static_cast<double>(size_.memory_mb)) {
          wall(fmt::format("{:.0f} MB in use, {} allowed", used, size_.memory_mb));
          throw std::runtime_error("memory");
        }
      }
      ::usleep(5000);
    }
    return true;
  }
  void wait(double span) {
    until(span, [] { return false; });
  }

  Mark mark() {
    Mark mark;
    mark.at_s = seconds();
    for (EdgeBoard& edge : edges_.all()) {
      for (std::size_t k = 0; k < frame_kinds; ++k) {
        mark.in_frames[k] += static_cast<double>(edge.in[k].frames);
        mark.in_bytes[k] += static_cast<double>(edge.in[k].bytes);
        mark.out_frames[k] += static_cast<double>(edge.out[k].frames);
        mark.out_bytes[k] += static_cast<double>(edge.out[k].bytes);
      }
      mark.dialled += static_cast<double>(edge.dialled);
    }
    for (ServerBoard& part : servers_.all()) {
      mark.beats += static_cast<double>(part.beats), mark.answered += static_cast<double>(part.answered);
      mark.failed += static_cast<double>(part.failed), mark.opened += static_cast<double>(part.opened);
      mark.server_in += static_cast<double>(part.bytes_in),
          mark.server_out += static_cast<double>(part.bytes_out);
      for (std::size_t i = 0; i < latency_steps; ++i) mark.latency[i] += static_cast<double>(part.latency[i]);
    }
    for (std::size_t i = 0; i < members_->count(); ++i)
      mark.members.push_back(members_->up(i) ? usage_of(members_->pid(i)) : Usage{});
    for (pid_t pid : whole_) mark.edge_cpu += usage_of(pid).cpu_s;
    for (pid_t pid : processes_.all()) mark.all_cpu[pid] = usage_of(pid).cpu_s;
    mark.machine = machine();
    return mark;
  }
  void forget_peaks() {
    for (std::size_t i = 0; i < members_->count(); ++i)
      if (members_->up(i)) forget_peak(members_->pid(i));
  }

  // What was used and sent between two marks, under names that begin so.
  void put_span(const std::string& name, const Mark& from, const Mark& to, int leader) {
    double span = to.at_s - from.at_s;
    put(name + ".span_s", span);
    double in = 0, out = 0;
    for (std::size_t k = 0; k < frame_kinds; ++k) {
      double to_edges = to.in_bytes[k] - from.in_bytes[k], to_core = to.out_bytes[k] - from.out_bytes[k];
      in += to_edges, out += to_core;
      if (to_edges > 0) {
        put(fmt::format("{}.to_edges.{}.bytes", name, kind_names[k]), to_edges);
        put(fmt::format("{}.to_edges.{}.frames", name, kind_names[k]), to.in_frames[k] - from.in_frames[k]);
      }
      if (to_core > 0) {
        put(fmt::format("{}.to_core.{}.bytes", name, kind_names[k]), to_core);
        put(fmt::format("{}.to_core.{}.frames", name, kind_names[k]), to.out_frames[k] - from.out_frames[k]);
      }
    }
    put(name + ".to_edges.bytes", in), put(name + ".to_core.bytes", out);
    put(name + ".dialled", to.dialled - from.dialled);
    put(name + ".edge_cpu_s",
        (to.edge_cpu - from.edge_cpu) / std::max<double>(1, static_cast<double>(whole_.size())));
    put(name + ".beats_failed", to.failed - from.failed);
    put(name + ".beats", to.answered - from.answered), put(name + ".opened", to.opened - from.opened);
    double all = 0;
    for (auto [pid, spent] : to.all_cpu) {
      auto before = from.all_cpu.find(pid);
      all += spent - (before == from.all_cpu.end() ? 0 : before->second);
    }
    put(name + ".all_cpu_s", all);
    put(name + ".machine_busy",
        (to.machine.busy_s - from.machine.busy_s) / std::max(0.01, to.machine.all_s - from.machine.all_s));
    double others = 0, count = 0;
    for (std::size_t i = 0; i < members_->count(); ++i) {
      if (!members_->up(i)) continue;
      Usage usage = usage_of(members_->pid(i));
      double cpu = to.members[i].cpu_s - from.members[i].cpu_s;
      if (static_cast<int>(i) == leader) {
        put(name + ".leader_cpu_s", cpu);
        put(name + ".leader_system_s", to.members[i].system_s - from.members[i].system_s);
        put(name + ".leader_mb", usage.rss_mb), put(name + ".leader_peak_mb", usage.peak_mb);
        put(name + ".leader_files", usage.files);
      } else {
        others += cpu, ++count;
        put(name + ".other_peak_mb", std::max(figures_.values[name + ".other_peak_mb"], usage.peak_mb));
      }
    }
    if (count > 0) put(name + ".other_cpu_s", others / count);
    say(fmt::format(
        "{}: {:.1f} s, {:.2f} MB to edges, {:.2f} MB to the core, leader {:.2f} s of processor, {:.0f} MB; "
        "machine {:.0f} percent busy",
        name, span, in / 1e6, out / 1e6, figures_.values[name + ".leader_cpu_s"],
        figures_.values[name + ".leader_peak_mb"], 100 * figures_.values[name + ".machine_busy"]));
  }

  std::string configuration(int revision) const {
    std::string shards, services, routes;
    for (int i = 0; i < 280; ++i) {
      shards += fmt::format("{}\"shard{}\"", i > 0 ? "," : "", i);
      services += fmt::format("{}{{\"name\":\"shard{}\",\"healthPath\":\"/health\",\"connLimit\":72}}",
                              i > 0 ? "," : "", i);
    }
    for (int i = 0; i < size_.routes; ++i)
      routes +=
          fmt::format(R"(,{{"name":"r{0}","hostName":"hall.example","pathPrefix":"/r{0}/","lineKind":"safe",)"
                      R"("deadlineMs":{1},"targetMs":150,"precedence":2,"depot":"shard{2}","tries":2}})",
                      i, i == revision % size_.routes ? 900 + revision : 900, i % 280);
    return fmt::format(
        R"({{"edition":{},"postalRoutes":[{{"name":"g","hostName":"hall.example","pathPrefix":"/g/",)"
        R"("lineKind":"safe","deadlineMs":1000,"targetMs":98,"precedence":1,"gatherFrom":[{}],"tries":2,)"
        R"("topN":20,"minShare":0.5}}{}],"depots":[{}],"limits":{{}}}})",
        revision, shards, routes, services);
  }
  admin_client::AdminReply call(const std::string& method, const std::string& path,
                                const std::string& headers, const std::string& body) {
    net::Loop loop;
    std::vector<std::string> members;
    for (std::size_t i = 0; i < members_->count(); ++i)
      if (members_->up(i)) members.push_back(members_->control()[i]);
    return admin_client::AdminClient(loop, members)
        .call({method, path, headers, body, ""}, net::Duration(10));
  }
  bool change() {
    std::string headers = fmt::format("If-Match: \"{}\"\r\n", revision_);
    std::string text = configuration(revision_ + 1);
    put("configuration_bytes", static_cast<double>(text.size()));
    admin_client::AdminReply reply = call("PUT", "/pearspar/config", headers, text);
    if (reply.status != 200) {
      wall(fmt::format("a change was not taken: {} {} {}", reply.status, reply.fault,
                       reply.body.substr(0, 200)));
      return false;
    }
    ++revision_;
    return true;
  }

  bool begin() {
    double began = seconds();
    if (!until(size_.within_s, [&] { return (leader_ = members_->leader()) >= 0; })) {
      wall("nobody leads");
      return false;
    }
    put("cold.lead_s", seconds() - began);
    return change();
  }

  std::size_t lacking(const std::function<bool(EdgeBoard&)>& has) {
    std::size_t count = 0;
    for (EdgeBoard& edge : edges_.all()) count += has(edge) ? 0 : 1;
    return count;
  }
  bool all(const std::string& step, const std::function<bool(EdgeBoard&)>& has) {
    if (until(size_.within_s, [&] { return lacking(has) == 0; })) return true;
    wall(fmt::format("{}: {} of {} edges lack it after {:.0f} s", step, lacking(has), size_.edges,
                     size_.within_s));
    return false;
  }
  // Since `from`, in ms, where it came later; p50, p99 and the last.
  void put_times(const std::string& name, double from, Count EdgeBoard::*when) {
    std::vector<double> times;
    for (EdgeBoard& edge : edges_.all()) {
      double span = static_cast<double>(edge.*when) * 1e-9 - from;
      if (span > 0) times.push_back(span * 1000);
    }
    put_quantiles(name, times);
  }
  void put_quantiles(const std::string& name, const std::vector<double>& times) {
    put(name + ".p50_ms", quantile(times, 0.5)), put(name + ".p99_ms", quantile(times, 0.99));
    put(name + ".max_ms", quantile(times, 1));
  }

  void start_edge(int number) {
    EdgePart part{edges_.data(), number, 1, true};
    whole_.push_back(processes_.fork_one([&, part] { run_edges(part, members_->inner()); }));
  }

  void cold_start() {
    forget_peaks();
    Mark from = mark();
    int full = std::min(size_.full, size_.edges);
    for (std::size_t p = 0; p < servers_.all().size(); ++p) {
      int first = static_cast<int>(p) * size_.servers_per_process;
      ServerPart part{servers_.data() + p, first, std::min(size_.servers_per_process, size_.servers - first),
                      size_.beat_ms, size_.held};
      processes_.fork_one([&, part] { run_servers(part, members_->control()); });
    }
    for (int i = 0; i < full; ++i) start_edge(i);
    for (int first = full; first < size_.edges; first += size_.per_process) {
      EdgePart part{edges_.data(), first, std::min(size_.per_process, size_.edges - first), false};
      processes_.fork_one([&, part] { run_edges(part, members_->inner()); });
    }
    bool told = all("cold start, the list as whole",
                    [](EdgeBoard& edge) { return edge.whole_term > 0 && edge.revision > 0; });
    if (told) put_times("cold.whole", from.at_s, &EdgeBoard::whole_ns);
    auto nodes = static_cast<std::uint64_t>(size_.servers);
    bool known = until(size_.within_s, [&] {
      return std::all_of(edges_.data(), edges_.data() + full,
                         [&](EdgeBoard& edge) { return edge.nodes >= nodes; });
    });
    if (known)
      put("cold.all_nodes_s", seconds() - from.at_s);
    else
      wall(fmt::format("cold start: an edge knows {} of {} servers", edges_.data()->nodes.load(), nodes));
    put_span("cold", from, mark(), leader_);
  }

  void rest() {
    wait(2);
    forget_peaks();
    leader_ = members_->leader();
    Mark from = mark();
    wait(size_.rest_s);
    Mark to = mark();
    put_span("rest", from, to, leader_);
    double span = to.at_s - from.at_s;
    put("rest.beats_s", (to.answered - from.answered) / span);
    put("rest.opened_s", (to.opened - from.opened) / span);
    put("rest.server_bytes", to.server_in + to.server_out - from.server_in - from.server_out);
    std::array<double, latency_steps> steps{};
    double sum = 0, seen = 0;
    for (std::size_t i = 0; i < latency_steps; ++i) sum += steps[i] = to.latency[i] - from.latency[i];
    for (std::size_t i = 0; i < latency_steps; ++i) {
      for (double share : {0.5, 0.99})
        if (seen < share * sum && seen + steps[i] >= share * sum)
          put(fmt::format("rest.beat.p{:.0f}_ms", share * 100), 0.05 * std::pow(1.5, static_cast<double>(i)));
      seen += steps[i];
    }
    double rss = 0, links = 0;
    for (pid_t pid : whole_) rss = std::max(rss, usage_of(pid).rss_mb);
    for (EdgeBoard& edge : edges_.all()) links += static_cast<double>(edge.links);
    put("rest.edge_mb", rss);
    put("rest.edge_links", links / size_.edges);
    if (leader_ >= 0) {
      put("rest.leader_links", members_->sample(static_cast<std::size_t>(leader_), "altavia_links"));
      put("rest.leader_dropped",
          members_->sample(static_cast<std::size_t>(leader_), "altavia_frames_dropped_total"));
    }
    double lacking = static_cast<double>(size_.edges) * size_.members - links;
    if (lacking > 0)
      wall(fmt::format("at rest {:.0f} of {} links are not up", lacking, size_.edges * size_.members));
  }

  void changes() {
    std::vector<double> times, taken;
    forget_peaks();
    leader_ = members_->leader();
    Mark from = mark();
    for (int i = 0; i < changes_made; ++i) {
      double sent = seconds();
      if (!change()) return;
      taken.push_back((seconds() - sent) * 1000);
      auto revision = static_cast<std::uint64_t>(revision_);
      if (!all("a change", [&](EdgeBoard& edge) { return edge.revision >= revision; })) return;
      for (EdgeBoard& edge : edges_.all())
        times.push_back((static_cast<double>(edge.revision_ns) * 1e-9 - sent) * 1000);
      wait(1);
    }
    put_quantiles("change", times);
    put("change.taken_ms", quantile(taken, 0.5));
    put_span("change", from, mark(), leader_);
  }

  double leave(int server) {
    std::string path = "/pearspar/nodes/" + server_id(server);
    call("PUT", path, "", beat_body(server, "at_post", 1));
    wait(0.5);
    double sent = seconds();
    admin_client::AdminReply reply = call("PUT", path, "", beat_body(server, "closing_out", 2));
    double took = (seconds() - sent) * 1000;
    if (reply.status != 200) wall(fmt::format("a leave was answered {} {}", reply.status, reply.fault));
    call("DELETE", path, "", "");
    return took;
  }
  void leaves() {
    std::vector<double> times, dead;
    int server = size_.servers;
    for (int i = 0; i < leaves_made; ++i) times.push_back(leave(server++));
    put_quantiles("leave", times);
    if (whole_.empty()) return;
    // One edge says nothing, its links stand: until its lease ends every leave waits for it.
    ::kill(whole_.front(), SIGSTOP);
    for (int i = 0; i < 3; ++i) dead.push_back(leave(server++));
    ::kill(whole_.front(), SIGCONT);
    put_quantiles("leave_one_silent", dead);
    say(fmt::format("a leave is answered after {:.1f} ms, {:.1f} with a silent edge", quantile(times, 0.5),
                    quantile(dead, 0.5)));
    wait(1);
  }

  // Of one whole edge, killed and begun anew.
  void restart() {
    if (whole_.empty()) return;
    processes_.end(whole_.back());
    whole_.pop_back();
    int number = std::min(size_.full, size_.edges) - 1;
    EdgeBoard& board = edges_.all()[static_cast<std::size_t>(number)];
    new (&board) EdgeBoard;
    double from = seconds();
    start_edge(number);
    auto nodes = static_cast<std::uint64_t>(size_.servers);
    if (!until(size_.within_s, [&] { return board.nodes >= nodes && board.revision > 0; }))
      return wall("an edge's restart");
    put("restart.whole_ms", (seconds() - from) * 1000);
    double bytes = 0;
    for (Flow& flow : board.in) bytes += static_cast<double>(flow.bytes);
    put("restart.bytes", bytes);
    put("restart.edge_cpu_s", usage_of(whole_.back()).cpu_s);
    say(fmt::format("an edge's restart: {:.0f} ms, {:.0f} KB", (seconds() - from) * 1000, bytes / 1000));
  }

  void election() {
    wait(1);
    leader_ = members_->leader();
    if (leader_ < 0) return wall("an election: nobody led before it");
    std::uint64_t term = 0;
    for (EdgeBoard& edge : edges_.all()) term = std::max<std::uint64_t>(term, edge.term);
    forget_peaks();
    Mark from = mark();
    members_->kill(static_cast<std::size_t>(leader_));
    bool heard = all("an election, the new leader's word", [&](EdgeBoard& edge) { return edge.term > term; });
    if (heard) put_times("election.heard", from.at_s, &EdgeBoard::term_ns);
    bool whole = heard && all("an election, the list as whole",
                              [&](EdgeBoard& edge) { return edge.whole_term > term; });
    if (whole) put_times("election.whole", from.at_s, &EdgeBoard::whole_ns);
    wait(1);
    leader_ = members_->leader();
    put_span("election", from, mark(), leader_);
    put("memory_mb", memory_);
  }

  Size size_;
  Figures figures_;
  Shared<EdgeBoard> edges_;
  Shared<ServerBoard> servers_;
  Processes processes_;
  std::unique_ptr<Members> members_;
  std::vector<pid_t> whole_;
  int leader_ = -1;
  int revision_ = 0;
  double memory_ = 0;
};

}  // namespace

Figures measure_size(const Size& size, const std::string& program) {
  Run run(size, program);
  return run.measure();
}

}  // namespace pearspar::measure
