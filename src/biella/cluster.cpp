#include "biella/cluster.h"

#include <algorithm>
#include <deque>

namespace pearspar::biella {
namespace {

constexpr double operator_patience = 1.0;
constexpr double node_patience = 1.0;
constexpr std::size_t top_records = 20;
constexpr double least_share = 0.5;

std::string between(const std::string& text, const std::string& from, const std::string& to) {
  std::size_t at = text.find(from);
  if (at == text.npos) return {};
  at += from.size();
  return text.substr(at, text.find(to, at) - at);
}

}  // namespace

// A process that can be killed, frozen, or made to wait for its disk. What happens to it meanwhile waits.
struct Life {
  World& world;
  std::function<Time()> busy_until = [] { return Time{}; };
  std::function<void()> after = [] {};
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
  Time frozen_until{};
  std::deque<std::function<void()>> waiting;
  bool draining = false;

  explicit Life(World& to) : world(to) {}
  ~Life() { *alive = false; }
  void run(std::function<void()> what) {
    waiting.push_back(std::move(what));
    drain();
  }
  void drain() {
    if (draining) return;
    Time ready = std::max(frozen_until, busy_until());
    if (ready > world.now()) {
      draining = true;
      world.at(ready, [this, alive = alive] {
        if (!*alive) return;
        draining = false;
        drain();
      });
      return;
    }
    draining = true;
    while (!waiting.empty() && std::max(frozen_until, busy_until()) <= world.now()) {
      auto what = std::move(waiting.front());
      waiting.pop_front();
      what();
      after();
    }
    draining = false;
    if (!waiting.empty()) drain();
  }
};

struct Cluster::Core {
  std::string address;
  SimDisk disk;
  bool first_start = true;
  bool gone = false;
  std::uint64_t starts = 0;
  struct Process : puez::LinksUser {
    Life life;
    Port port;
    std::unique_ptr<sennes::Member> member;
    std::map<sennes::Asker, std::pair<Answer, std::string>> askers;
    sennes::Asker next = 0;
    Time wake{};
    Process(World& world, Net& net, const std::string& address) : life(world), port(net, address, *this) {}
    void link_up(puez::LinkId link, const std::string&) override { member->link_up(link); }
    void link_frame(puez::LinkId link, std::string_view frame) override {
      member->link_frame(life.world.now(), link, frame);
    }
    void link_down(puez::LinkId link) override { member->link_down(link); }
  };
  std::unique_ptr<Process> process;
  explicit Core(World& world) : disk(world) {}
};

struct Cluster::Edge {
  std::string address;
  std::string name;
  std::uint64_t starts = 0;
  struct Process : puez::LinksUser, pederu::Calls {
    Cluster& cluster;
    Edge& edge;
    Life life;
    Port port;
    vazzoler::Follower follower;
    pederu::Desk desk{*this};
    averau::Edition routed = 0;
    Time wake{};
    std::unordered_map<std::uint64_t, std::string> open;  // request -> its id
    Process(Cluster& to, Edge& of, std::uint64_t number)
        : cluster(to),
          edge(of),
          life(to.world_),
          port(to.net_, of.address, *this),
          follower(port, {number, of.name, "z", to.seeds()}) {}
    void link_up(puez::LinkId link, const std::string&) override { follower.link_up(link); }
    void link_down(puez::LinkId link) override { follower.link_down(link); }
    void link_frame(puez::LinkId link, std::string_view frame) override {
      if (follower.frame(life.world.now(), link, frame)) take_news();
    }
    void take_news() {
      vazzoler::View& view = follower.view();
      for (const std::string& id : view.take_touched()) desk.nodes().update(id, view.nodes().find(id));
      desk.set_edges(view.edges());
      if (view.edition() == routed) return;
      routed = view.edition();
      desk.set_routes(std::make_shared<const pederu::Routes>(view.configuration()));
      cluster.checker_.edge_routes_by(cluster.seconds(), edge.name, edge.starts, routed,
                                      view.configuration()->text);
    }
    bool start(pederu::CallId call, const pederu::KnownNode& node, int most, std::string request,
               pederu::Time end) override;
    void finish(const std::string& id, const pederu::FinalAnswer& answer);
  };
  std::unique_ptr<Process> process;
};

struct Cluster::Node {
  std::string depot;
  std::string address;
  std::string id;
  std::uint64_t starts = 0;
  bool up = false;
  bool dark = false;
  bool closing = false;
  bool acknowledged = false;
  std::uint64_t calls = 0;
  int busy = 0;
  double factor = 1;
  std::deque<std::function<void()>> queue;
  std::size_t asks = 0;  // the member that it calls
};

struct Cluster::Operator {
  int number = 0;
  std::uint64_t seen = 0;  // newest edition it knows of
  bool busy = false;
};

Cluster::Cluster(const ClusterOptions& options) : options_(options), world_(options.seed), net_(world_) {
  checker_.retry_ratio = options.retry_ratio;
  checker_.retry_slack = options.retry_slack;
  for (int i = 0; i < options.shards; ++i) shards_.push_back("shard" + std::to_string(i));
  depots_ = shards_;
  depots_.push_back("plain");
  for (int i = 0; i < options.cores; ++i) {
    cores_.push_back(std::make_unique<Core>(world_));
    cores_.back()->address = "10.0.0." + std::to_string(next_address_++) + ":7120";
    cores_.back()->disk.set_sync(Duration(options.sync_s));
    cores_.back()->disk.set_lying(options.lying_disks);
  }
  for (auto& core : cores_) start_core(*core);
  for (int i = 0; i < options.edges; ++i) {
    edges_.push_back(std::make_unique<Edge>());
    edges_.back()->address = "10.1.0." + std::to_string(next_address_++) + ":7120";
    edges_.back()->name = "edge" + std::to_string(i);
    start_edge(*edges_.back());
  }
  for (const std::string& depot : depots_) {
    int count = depot == "plain" ? options.plain_nodes : options.nodes_per_shard;
    for (int i = 0; i < count; ++i) {
      nodes_.push_back(std::make_unique<Node>());
      nodes_.back()->depot = depot;
      nodes_.back()->address = "10.2.0." + std::to_string(next_address_++) + ":8080";
      Node* node = nodes_.back().get();
      world_.in(Duration(world_.uniform(0, 1)), [this, node] { start_node(*node); });
    }
  }
  for (int i = 0; i < 2; ++i) {
    operators_.push_back(std::make_unique<Operator>());
    operators_.back()->number = i;
  }
  if (options.requests_per_s > 0) world_.in(Duration(3), [this] { ask(); });
}

Cluster::~Cluster() = default;

std::vector<std::string> Cluster::seeds() const {
  std::vector<std::string> found;
  for (const auto& core : cores_)
    if (!core->gone && found.size() < 3) found.push_back(core->address);
  return found;
}

void Cluster::start_core(Core& core) {
  if (core.gone || core.process) return;
  ++core.starts;
  core.process = std::make_unique<Core::Process>(world_, net_, core.address);
  Core::Process& process = *core.process;
  std::uint64_t number = world_.number() | 1;
  lagazuoi::Options agreement;
  agreement.address = core.address;
  agreement.first_start = core.first_start;
  agreement.founders = agreement.seeds = seeds();
  agreement.fresh_id = number;
  agreement.seed = number;
  sennes::OfficeOptions office;
  office.inner_address = core.address;
  office.control_address = core.address;
  office.life = number;
  office.name = core.address;
  office.beat = Duration(options_.beat_s);
  core.first_start = false;
  process.member =
      std::make_unique<sennes::Member>(process.port, core.disk, std::move(agreement), std::move(office));
  process.life.busy_until = [&core] { return core.disk.busy_until(); };
  process.port.leaves = [&core] { return core.disk.busy_until(); };
  process.port.run = [&process](std::function<void()> what) { process.life.run(std::move(what)); };
  process.life.after = [this, &core, &process] {
    if (!process.member->started()) process.member->start(world_.now());
    auto clock = [this, &core] { return std::max(world_.now(), core.disk.busy_until()); };
    for (sennes::Reply& reply : process.member->advance(clock)) {
      auto asker = process.askers.find(reply.asker);
      if (asker == process.askers.end()) continue;
      Time leaves = std::max(world_.now(), core.disk.busy_until());
      world_.at(leaves, [this, answer = asker->second.first, reply, alive = process.life.alive] {
        if (!*alive) return;  // it died before it could say so
        world_.in(net_.delay(), [answer, reply] { answer(reply.status, reply.body); });
      });
      process.askers.erase(asker);
    }
    Time due = std::max(process.member->started() ? process.member->due() : world_.now() + Duration(0.3),
                        world_.now() + Duration(0.002));
    if (process.wake > world_.now() && process.wake <= due) return;
    process.wake = due;
    world_.at(due, [&process, due, alive = process.life.alive] {
      if (*alive && process.wake == due) process.life.run([] {});
    });
  };
  process.life.run([] {});
}

void Cluster::start_edge(Edge& edge) {
  if (edge.process) return;
  ++edge.starts;
  edge.process = std::make_unique<Edge::Process>(*this, edge, world_.number());
  Edge::Process& process = *edge.process;
  process.port.run = [&process](std::function<void()> what) { process.life.run(std::move(what)); };
  pederu::AllowanceRules rules;
  rules.ratio = options_.retry_ratio;
  rules.slack = options_.retry_slack;
  process.desk.set_allowance(rules);
  process.life.after = [this, &process] {
    Time now = world_.now();
    if (process.follower.tick(now)) process.take_news();
    process.desk.advance(now);
    for (auto& [request, answer] : process.desk.take_answers()) {
      auto open = process.open.find(std::uint64_t{request.index} << 32 | request.generation);
      if (open == process.open.end()) continue;
      std::string id = open->second;
      process.open.erase(open);
      process.finish(id, answer);
    }
    Time due = std::max(std::min(process.desk.due(), process.follower.due()), now + Duration(0.0005));
    if (process.wake > now && process.wake <= due) return;
    process.wake = due;
    world_.at(due, [&process, due, alive = process.life.alive] {
      if (*alive && process.wake == due) process.life.run([] {});
    });
  };
  process.follower.start(world_.now());
  process.life.run([] {});
}

// One request to one node, as a connection of its own would carry it.
bool Cluster::Edge::Process::start(pederu::CallId call, const pederu::KnownNode& known, int,
                                   std::string request, pederu::Time) {
  World& world = cluster.world_;
  std::string id = between(request, "Request-Id: ", "\r\n");
  std::string addressee = between(request, "Addressee: ", "\r\n");
  std::string address = known.address;
  auto back = [this, call, alive = life.alive](pederu::Ending ending, int status, std::string stamp,
                                               std::string body) {
    if (!*alive) return;
    life.run([this, call, ending, status, stamp, body] {
      pederu::CallEnd done;
      done.ending = ending;
      done.status = status;
      done.stamp = stamp;
      done.body = body;
      desk.ended(cluster.world_.now(), call, done);
    });
  };
  // The request goes its way whatever becomes of the edge that sent it.
  Cluster& all = cluster;
  world.in(all.net_.delay(), [&all, &world, id, addressee, address, back] {
    auto found = std::find_if(all.nodes_.begin(), all.nodes_.end(),
                              [&](const auto& node) { return node->address == address && node->up; });
    if (found == all.nodes_.end()) {
      auto dark = std::find_if(all.nodes_.begin(), all.nodes_.end(),
                               [&](const auto& node) { return node->address == address && node->dark; });
      Time told = dark == all.nodes_.end() ? world.now() + all.net_.delay() : world.now() + Duration(0.7);
      world.at(told, [back] { back(pederu::Ending::no_way, 0, {}, {}); });
      return;
    }
    Node& node = **found;
    auto later = [&world, &all](std::function<void()> what) { world.in(all.net_.delay(), std::move(what)); };
    if (node.id != addressee) return later([back] { back(pederu::Ending::misplaced, 421, {}, {}); });
    all.checker_.request_reached(all.seconds(), node.id, node.depot, id, all.edge_in_touch());
    if (node.queue.size() >= 12) return later([back] { back(pederu::Ending::not_run, 503, {}, {}); });
    std::uint64_t life_then = node.starts;
    auto work = [&all, &world, &node, id, back, later, life_then] {
      ++node.busy;
      double took = 0.02 * node.factor * world.uniform(0.5, 1.5);
      world.in(Duration(took), [&all, &world, &node, id, back, later, life_then] {
        if (node.starts != life_then || !node.up)
          return later([back] { back(pederu::Ending::broken, 0, {}, {}); });
        --node.busy;
        std::string stamp = node.id + "." + id + "." + std::to_string(world.number() % 1000000);
        std::vector<std::string> records;
        std::string body;
        for (std::size_t i = 0; i < top_records; ++i) {
          std::string record(16, '\0');
          for (char& c : record) c = static_cast<char>(world.below(256));
          body += record;
          records.push_back(std::move(record));
        }
        all.records_[stamp] = std::move(records);
        all.stamp_depots_[stamp] = node.depot;
        later([back, stamp, body] { back(pederu::Ending::answered, 200, stamp, body); });
        if (!node.queue.empty()) {
          auto next = std::move(node.queue.front());
          node.queue.pop_front();
          next();
        }
      });
    };
    if (node.busy < all.options_.slots)
      work();
    else
      node.queue.push_back(work);
  });
  return true;
}

void Cluster::Edge::Process::finish(const std::string& id, const pederu::FinalAnswer& answer) {
  Cluster::Totals& totals = cluster.totals_;
  if (answer.status == 503) return static_cast<void>(++totals.refused);
  if (answer.status != 200) return static_cast<void>(++totals.failed);
  ++totals.served;
  if (id[0] != 'g') return;
  std::string stamps = between(answer.headers, "Part-Postmarks: ", "\r\n");
  std::string missing = between(answer.headers, "Missing-Parts: ", "\r\n");
  std::vector<Checker::Part> parts;
  for (std::size_t at = 0; at < stamps.size();) {
    std::size_t end = std::min(stamps.find(", ", at), stamps.size());
    std::string stamp = stamps.substr(at, end - at);
    at = end + 2;
    auto known = cluster.records_.find(stamp);
    if (known == cluster.records_.end() || stamp.find("." + id + ".") == stamp.npos) {
      cluster.checker_.broken("MIXED", id + " names a stamp of something else");
      continue;
    }
    parts.push_back({stamp.substr(0, stamp.find('.')), cluster.stamp_depots_[stamp], known->second});
  }
  std::size_t left_out = missing.empty() ? 0 : std::stoul(missing);
  if (left_out == 0) ++totals.whole;
  cluster.checker_.gathered(id, parts, left_out, top_records, least_share, answer.body);
}

// Whether the rules with a bound in time hold for edges now: nothing was done to the core or to them lately.
bool Cluster::edge_in_touch() const { return world_.now() >= calm_since_ + Duration(4); }

void Cluster::ask() {
  world_.in(Duration(world_.uniform(0.5, 1.5) / options_.requests_per_s), [this] { ask(); });
  Edge& edge = *edges_[world_.below(edges_.size())];
  if (!edge.process || !edge.process->follower.knows_enough()) return;
  Edge::Process& process = *edge.process;
  bool gathers = world_.chance(0.6);
  std::string id = std::string(gathers ? "g" : "s") + std::to_string(++next_request_);
  ++totals_.asked;
  process.life.run([this, &process, id, gathers] {
    pederu::Arrival arrival;
    std::string target = gathers ? "/g/x" : "/s/x";
    arrival.method = "GET";
    arrival.target = target;
    arrival.host = "h";
    arrival.id = id;
    arrival.deadline_ms = 1500;
    arrival.head = "GET " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n";
    pederu::FinalAnswer answer;
    // A request counts for every service that its route names, sent there or not.
    const auto& configuration = process.follower.view().configuration();
    for (const averau::Route& route : configuration->routes)
      if (target.starts_with(route.prefix)) {
        std::vector<std::string> depots = route.shards;
        for (const averau::Share& share : route.depots) depots.push_back(share.depot);
        checker_.request_made(seconds(), id, depots);
      }
    pederu::RequestId request = process.desk.arrive(world_.now(), arrival, answer);
    if (request)
      process.open[std::uint64_t{request.index} << 32 | request.generation] = id;
    else
      process.finish(id, answer);
  });
}

void Cluster::call(std::size_t index, std::string method, std::string path, std::string if_match,
                   std::string body, Answer answer) {
  world_.in(net_.delay(), [this, index, method, path, if_match, body, answer] {
    Core& core = *cores_[index];
    if (!core.process) return answer(0, {});
    Core::Process& process = *core.process;
    process.life.run([this, &process, method, path, if_match, body, answer] {
      sennes::Asker asker = ++process.next;
      process.askers[asker] = {answer, body};
      process.member->call(world_.now(), asker, method, path, if_match, body);
    });
  });
}

void Cluster::start_node(Node& node) {
  ++node.starts;
  node.id = "n" + std::to_string(world_.number() % 1000000000);
  node.up = true;
  node.dark = node.closing = node.acknowledged = false;
  node.calls = 0;
  node.busy = 0;
  node.queue.clear();
  node.asks = world_.below(cores_.size());
  beat(node);
}

void Cluster::beat(Node& node) {
  std::uint64_t life = node.starts;
  std::string body =
      "{\"depot\":\"" + node.depot + "\",\"address\":\"" + node.address +
      "\",\"zoneName\":\"z\",\"edition\":\"v1\",\"slotCount\":" + std::to_string(options_.slots) +
      ",\"nodeState\":\"" + (node.closing ? "closing_out" : "at_post") +
      "\",\"coldLeftMs\":0,\"callSeq\":" + std::to_string(++node.calls) + "}";
  auto done = std::make_shared<bool>(false);
  bool closing = node.closing;
  auto next = [this, &node, life](double in) {
    world_.in(Duration(in), [this, &node, life] {
      if (node.starts == life && node.up) beat(node);
    });
  };
  call(node.asks, "PUT", "/pearspar/nodes/" + node.id, "", body,
       [this, &node, life, done, closing, next, id = node.id](int status, const std::string&) {
         if (*done) return;
         *done = true;
         if (status == 200 && closing) checker_.leaving_acknowledged(seconds(), id);
         if (node.starts != life) return;
         if (status == 200) {
           if (closing) node.acknowledged = true;
           next(options_.beat_s * world_.uniform(0.9, 1.1));
         } else {
           node.asks = (node.asks + 1) % cores_.size();
           next(0.1);
         }
       });
  world_.in(Duration(node_patience), [this, &node, done, next, life] {
    if (*done) return;
    *done = true;
    if (node.starts != life) return;
    node.asks = (node.asks + 1) % cores_.size();
    next(0.05);
  });
}

std::string Cluster::configuration(std::uint64_t edition, int author) const {
  std::string shards, depots;
  for (const std::string& shard : shards_) shards += (shards.empty() ? "\"" : ",\"") + shard + "\"";
  for (const std::string& depot : depots_)
    depots += (depots.empty() ? "" : ",") +
              ("{\"name\":\"" + depot + "\",\"healthPath\":\"/health\",\"connLimit\":400}");
  return "{\"edition\":" + std::to_string(edition) + ",\"note\":\"operator " + std::to_string(author) +
         ", change " + std::to_string(next_change_) +
         "\",\"postalRoutes\":[{\"name\":\"g\",\"hostName\":\"h\",\"pathPrefix\":\"/g/"
         "\",\"lineKind\":\"safe\"," +
         "\"deadlineMs\":1500,\"targetMs\":150,\"precedence\":1,\"gatherFrom\":[" + shards +
         "],\"tries\":2,\"topN\":" + std::to_string(top_records) + ",\"minShare\":0.5}," +
         "{\"name\":\"s\",\"hostName\":\"h\",\"pathPrefix\":\"/s/"
         "\",\"lineKind\":\"safe\",\"deadlineMs\":1500," +
         "\"targetMs\":300,\"precedence\":2,\"depot\":\"plain\",\"tries\":2}],\"depots\":[" + depots +
         "],\"limits\":{}}";
}

void Cluster::change(int number) {
  Operator& who = *operators_[static_cast<std::size_t>(number)];
  if (who.busy) return;
  who.busy = true;
  std::uint64_t on_top_of = who.seen;
  std::uint64_t edition = on_top_of + 1 + world_.below(3);
  ++next_change_;
  std::string text = configuration(edition, number);
  checker_.service_set(shards_);
  checker_.change_sent(on_top_of, edition, text);
  push_change(who, on_top_of, edition, std::move(text), 0);
}

// Goes out unchanged, to any member, until there is a clear answer.
void Cluster::push_change(Operator& who, std::uint64_t on_top_of, std::uint64_t edition, std::string text,
                          int tries) {
  auto done = std::make_shared<bool>(false);
  auto again = [this, &who, on_top_of, edition, text, tries] {
    if (tries > 60) {
      ++totals_.unclear;
      who.busy = false;
      return;
    }
    world_.in(Duration(0.05 + 0.02 * tries), [this, &who, on_top_of, edition, text, tries] {
      push_change(who, on_top_of, edition, text, tries + 1);
    });
  };
  call(world_.below(cores_.size()), "PUT", "/pearspar/config", std::to_string(on_top_of), text,
       [this, &who, on_top_of, edition, text, done, again](int status, const std::string&) {
         if (status == 200 || status == 400 || status == 412)
           checker_.change_answered(seconds(), on_top_of, edition, text, status);
         if (*done) return;
         *done = true;
         if (status == 200 || status == 400 || status == 412) {
           ++(status == 200 ? totals_.changes_taken : totals_.changes_refused);
           who.busy = false;
           if (status == 200) who.seen = std::max(who.seen, edition);
           // The other has won: its edition is looked up before the next.
           if (status != 200) read_back();
           return;
         }
         again();
       });
  world_.in(Duration(operator_patience), [done, again] {
    if (*done) return;
    *done = true;
    again();
  });
}

void Cluster::read_back() {
  double began = seconds();
  call(world_.below(cores_.size()), "GET", "/pearspar/config", "", "",
       [this, began](int status, const std::string& body) {
         if (status != 200) return;
         std::uint64_t edition = std::stoull(between(body, "\"edition\":", ","));
         checker_.read(began, seconds(), edition, body);
         for (auto& who : operators_) who->seen = std::max(who->seen, edition);
       });
}

void Cluster::cut_index(int shards) {
  int from = static_cast<int>(depots_.size());
  std::vector<std::string> next;
  for (int i = 0; i < shards; ++i) {
    std::string depot = "shard" + std::to_string(from + i);
    next.push_back(depot);
    depots_.push_back(depot);
    for (int n = 0; n < options_.nodes_per_shard; ++n) {
      nodes_.push_back(std::make_unique<Node>());
      nodes_.back()->depot = depot;
      nodes_.back()->address = "10.2.0." + std::to_string(next_address_++) + ":8080";
      start_node(*nodes_.back());
    }
  }
  world_.in(Duration(3), [this, next] {
    shards_ = next;
    change(0);
  });
}

bool Cluster::core_up(std::size_t core) const { return cores_[core]->process != nullptr; }
SimDisk& Cluster::disk(std::size_t core) { return cores_[core]->disk; }
const sennes::Member* Cluster::member(std::size_t core) const {
  return cores_[core]->process ? cores_[core]->process->member.get() : nullptr;
}
std::string Cluster::core_address(std::size_t core) const { return cores_[core]->address; }
std::string Cluster::edge_address(std::size_t edge) const { return edges_[edge]->address; }
const vazzoler::Follower* Cluster::follower(std::size_t edge) const {
  return edges_[edge]->process ? &edges_[edge]->process->follower : nullptr;
}
const pederu::Desk* Cluster::desk(std::size_t edge) const {
  return edges_[edge]->process ? &edges_[edge]->process->desk : nullptr;
}
std::string Cluster::node_depot(std::size_t node) const { return nodes_[node]->depot; }

int Cluster::leader() const {
  for (std::size_t i = 0; i < cores_.size(); ++i)
    if (const auto* m = member(i); m && m->core().may_speak(world_.now())) return static_cast<int>(i);
  return -1;
}

void Cluster::kill_core(std::size_t index, double back_s, bool power) {
  Core& core = *cores_[index];
  if (!core.process) return;
  calm_since_ = world_.now();
  net_.end(core.process->port, power);
  core.process.reset();
  if (power) core.disk.lose_power();
  world_.in(Duration(back_s), [this, &core] {
    calm_since_ = world_.now();
    start_core(core);
  });
}

void Cluster::wipe_core(std::size_t index, double back_s) {
  kill_core(index, back_s, true);
  cores_[index]->disk.wipe();
}

void Cluster::freeze_core(std::size_t index, double for_s) {
  calm_since_ = world_.now() + Duration(for_s);
  if (auto& process = cores_[index]->process) process->life.frozen_until = world_.now() + Duration(for_s);
}

void Cluster::replace_core(std::size_t index, double after_s) {
  Core& core = *cores_[index];
  kill_core(index, 1e9, true);
  core.gone = true;
  world_.in(Duration(after_s), [this] {
    calm_since_ = world_.now();
    cores_.push_back(std::make_unique<Core>(world_));
    Core& fresh = *cores_.back();
    fresh.address = "10.0.0." + std::to_string(next_address_++) + ":7120";
    fresh.first_start = false;
    fresh.disk.set_sync(Duration(options_.sync_s));
    fresh.disk.set_lying(options_.lying_disks);
    start_core(fresh);
  });
}

void Cluster::kill_edge(std::size_t index, double back_s) {
  Edge& edge = *edges_[index];
  if (!edge.process) return;
  net_.end(edge.process->port, false);
  edge.process.reset();
  world_.in(Duration(back_s), [this, &edge] { start_edge(edge); });
}

void Cluster::freeze_edge(std::size_t index, double for_s) {
  calm_since_ = std::max(calm_since_, world_.now() + Duration(for_s));
  if (auto& process = edges_[index]->process) process->life.frozen_until = world_.now() + Duration(for_s);
}

void Cluster::crash_node(std::size_t index, double back_s, bool dark) {
  Node& node = *nodes_[index];
  if (!node.up) return;
  node.up = false;
  node.dark = dark;
  world_.in(Duration(back_s), [this, &node] {
    if (!node.up) start_node(node);
  });
}

void Cluster::slow_node(std::size_t index, double factor, double for_s) {
  Node& node = *nodes_[index];
  node.factor = factor;
  world_.in(Duration(for_s), [&node] { node.factor = 1; });
}

// In order: says so, serves on for the drain and a little longer, takes its leave, ends.
void Cluster::leave_node(std::size_t index, double back_s) {
  Node& node = *nodes_[index];
  if (!node.up || node.closing) return;
  node.closing = true;
  std::uint64_t life = node.starts;
  beat(node);
  world_.in(Duration(4.2), [this, &node, life, back_s] {
    if (node.starts != life || !node.up) return;
    call(node.asks, "DELETE", "/pearspar/nodes/" + node.id, "", "", [](int, const std::string&) {});
    node.up = false;
    world_.in(Duration(back_s), [this, &node] {
      if (!node.up) start_node(node);
    });
  });
}

void Cluster::cut_off(const std::string& address, bool in, bool out) {
  calm_since_ = world_.now();
  for (const auto& core : cores_) {
    if (core->address == address) continue;
    if (in) net_.cut(core->address, address);
    if (out) net_.cut(address, core->address);
  }
}

void Cluster::heal(const std::string& address) {
  calm_since_ = world_.now();
  for (const auto& core : cores_) {
    net_.heal(core->address, address);
    net_.heal(address, core->address);
  }
}

void Cluster::check_settled() {
  if (leader() < 0) checker_.broken("ACKS", "nobody leads long after everything was mended");
  for (auto& edge : edges_) {
    if (!edge->process) continue;
    checker_.settled(edge->name, edge->process->follower.view().edition());
    std::size_t up = 0;
    for (auto& node : nodes_)
      if (node->up && !node->closing) {
        ++up;
        if (!edge->process->follower.view().nodes().find(node->id))
          checker_.broken("LIST", edge->name + " does not know " + node->id);
      }
    std::size_t known = edge->process->follower.view().nodes().all().size();
    if (known > nodes_.size()) checker_.broken("LIST", edge->name + " knows too many nodes");
  }
  checker_.finish();
}

}  // namespace pearspar::biella
