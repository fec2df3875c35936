// Edges in the rig, and the clients that ask them.
#include "simulation/cluster_parts.h"

namespace pearspar::simulation {
namespace {

constexpr Duration turn_takes{0.00002};
constexpr std::size_t most_clients = 300;

}  // namespace

void Cluster::start_edge(Edge& edge) {
  if (edge.process) return;
  ++edge.starts;
  lag_judge_.edge_started(seconds(), edge.name);
  edge.process = std::make_unique<Edge::Process>(*this, edge, world_.number());
  Edge::Process& process = *edge.process;
  process.processor.set(options_.processor_costs, options_.edge_processor_share);
  process.life.busy_until = [&process] { return process.processor.busy_until(); };
  process.port.leaves = [&process] { return process.processor.busy_until(); };
  process.port.on_send = [&process](std::size_t bytes) { process.processor.take_bytes(bytes); };
  process.port.run = [&process](std::function<void()> what) { process.life.run(std::move(what)); };
  process.life.after = [this, &process] {
    process.processor.take_event();
    Time now = world_.now();
    process.turn();
    process.tell_routes();
    Time due = std::max(process.gateway.due(now), now + Duration(0.0005));
    if (process.service) {
      due = std::min(due, std::max(process.service->loop->next_due(), now + Duration(0.0005)));
      // Somebody had something: there may be more.
      if (process.service->host.was_ready()) due = now + turn_takes;
    }
    if (process.wake > now && process.wake <= due) return;
    process.wake = due;
    world_.at(due, [&process, due, alive = process.life.alive] {
      if (*alive && process.wake == due) process.life.run([] {});
    });
  };
  if (process.service) {
    process.service->host.wake = [&process] {
      if (std::exchange(process.woken, true)) return;
      process.cluster.world_.at(process.cluster.world_.now(), [&process, alive = process.life.alive] {
        if (!*alive) return;
        process.woken = false;
        process.life.run([] {});
      });
    };
    net::ScopedKernelOverride in(process.service->host);
    process.service->door->start(net::Address::of(edge.door));
    process.sweep();
  } else {
    process.gateway.start(world_.now());
  }
  process.life.run([] {});
}

Cluster::Edge::Process::Process(Cluster& to, Edge& of, std::uint64_t number)
    : cluster(to),
      edge(of),
      life(to.world_),
      port(to.net_, of.address, *this),
      processor(to.world_),
      gateway(make_gateway(number)) {}

edge_gateway::EdgeGateway& Cluster::Edge::Process::make_gateway(std::uint64_t number) {
  const ClusterOptions& options = cluster.options_;
  subscription::FollowerOptions follower{number, edge.name, "z", cluster.seeds_of_added_edges(),
                                         edge.address};
  dispatch::RetryBudgetRules rules{options.retry_ratio, options.retry_slack, std::chrono::seconds(10)};
  if (!options.http) {
    alone = std::make_unique<edge_gateway::EdgeGateway>(port, follower, *this, rules);
    return *alone;
  }
  service = std::make_unique<Service>(cluster.streams_);
  net::ScopedKernelOverride in(service->host);
  service->loop = std::make_unique<net::Loop>();
  service->door = std::make_unique<altavia::ReverseProxy>(
      *service->loop, port,
      altavia::ReverseProxy::Options{follower, rules, most_clients, [](std::string_view) {}});
  return service->door->gateway();
}

Cluster::Edge::Process::~Process() {
  if (!service) return;
  net::ScopedKernelOverride in(service->host);
  service->second.reset();
  service->door.reset();
  service->loop.reset();
}

void Cluster::Edge::Process::tell_routes() {
  if (gateway.routed_revision() == routed) return;
  routed = gateway.routed_revision();
  const std::string& text = gateway.follower().view().configuration()->text;
  processor.take_configuration(text.size());
  auto tell = [this, revision = routed, text, alive = life.alive] {
    if (!*alive) return;
    cluster.checker_.edge_routes_by(cluster.seconds(), edge.name, edge.starts, revision, text);
    cluster.lag_judge_.edge_routes_by(cluster.seconds(), edge.name, revision);
    cluster.edge_told(edge.place, revision);
  };
  // Requests that come while it is parsed wait, and go by it.
  if (processor.busy_until() <= life.world.now()) return tell();
  life.world.at(processor.busy_until(), tell);
}

void Cluster::Edge::Process::sweep() {
  service->second = service->loop->at(service->loop->now() + Duration(1), [this] {
    sweep();
    service->door->sweep();
  });
}

void Cluster::Edge::Process::turn() {
  Time now = cluster.world_.now();
  if (service) {
    net::ScopedKernelOverride in(service->host);
    service->loop->run_once(Duration(0));
    service->door->after_turn();
    service->door->take_configuration();
    return;
  }
  gateway.advance(now);
  for (auto& [request, answer] : gateway.take_responses(now)) {
    auto found = open.find(std::uint64_t{request.index} << 32 | request.generation);
    if (found == open.end()) continue;
    std::string id = found->second;
    open.erase(found);
    finish(id, answer);
  }
}

// One request to one node, as a connection of its own would carry it.
bool Cluster::Edge::Process::start(dispatch::CallId call, const dispatch::NodeState& known, int,
                                   dispatch::NodeRequest to_send, dispatch::Time end) {
  const std::string request = to_send.text(end - cluster.world_.now());
  World& world = cluster.world_;
  std::string id = between(request, "Request-Id: ", "\r\n");
  std::string method = request.substr(0, request.find(' '));
  std::string target = between(request, " ", " ");
  std::string addressee = between(request, "Addressee: ", "\r\n");
  std::string holder = between(request, "Holder: ", "\r\n"),
              key = between(request, "Retrieval-Key: ", "\r\n");
  std::string address = known.address;
  auto back = [this, call, alive = life.alive](dispatch::CallOutcome ending, int status, std::string stamp,
                                               std::string body) {
    if (!*alive) return;
    life.run([this, call, ending, status, stamp, body] {
      dispatch::CallResult done;
      done.outcome = ending;
      done.status = status;
      done.postmark = stamp;
      done.body = body;
      gateway.dispatcher().call_ended(cluster.world_.now(), call, done);
    });
  };
  // The request goes its way whatever becomes of the edge that sent it.
  Cluster& all = cluster;
  std::string here = edge.address;
  world.in(all.net_.delay(here, address), [&all, &world, here, id, addressee, address, holder, key, method,
                                           target, back] {
    auto found = std::find_if(all.nodes_.begin(), all.nodes_.end(),
                              [&](const auto& node) { return node->address == address && node->up; });
    if (!all.net_.reaches(here, address) || !all.net_.reaches(address, here))
      return world.in(Duration(0.7), [back] { back(dispatch::CallOutcome::no_connection, 0, {}, {}); });
    if (found == all.nodes_.end()) {
      auto dark = std::find_if(all.nodes_.begin(), all.nodes_.end(),
                               [&](const auto& node) { return node->address == address && node->dark; });
      Time told = dark == all.nodes_.end() ? world.now() + all.net_.delay(address, here)
                                           : world.now() + Duration(0.7);
      world.at(told, [back] { back(dispatch::CallOutcome::no_connection, 0, {}, {}); });
      return;
    }
    Node& node = **found;
    auto later = [&world, &all, here, address](std::function<void()> what) {
      world.in(all.net_.delay(address, here), std::move(what));
    };
    if (node.id != addressee) return later([back] { back(dispatch::CallOutcome::misdirected, 421, {}, {}); });
    all.arrived(node, id);
    bool bad = all.answers_badly(node, target);
    bool slow = bad && node.fault.kind == VersionFault::Kind::slow;
    auto begins = [&all, &node, id, holder, key, method, target] {
      if (!key.empty()) all.auditor_.ran(holder, id[0] == 'g' ? "sweep" : "pull", key);
      all.calls_.ran(node.id, id, method, target, "");
    };
    auto done = [&all, &node, id, back, later, fails = bad && !slow] {
      Made made = all.make_answer(node, id, !fails);
      later([back, made, fails] {
        back(dispatch::CallOutcome::answered, fails ? 500 : 200, made.stamp, made.body);
      });
    };
    auto lost = [back, later] { later([back] { back(dispatch::CallOutcome::broken, 0, {}, {}); }); };
    if (!all.work(node, begins, done, lost, slow ? node.fault.slow_factor : 1))
      later([back] { back(dispatch::CallOutcome::not_run, 503, {}, {}); });
  });
  return true;
}

void Cluster::Edge::Process::finish(const std::string& id, const dispatch::ClientResponse& answer) {
  cluster.calls_.heard(id, {answer.status, between(answer.headers, "Request-Id: ", "\r\n"),
                            id[0] == 'g' ? "" : between(answer.headers, "Postmark: ", "\r\n"), answer.body});
  cluster.heard(id, answer.status, between(answer.headers, "Part-Postmarks: ", "\r\n"),
                between(answer.headers, "Missing-Parts: ", "\r\n"), answer.body);
}

void Cluster::heard(const std::string& id, int status, const std::string& stamps, const std::string& missing,
                    const std::string& body) {
  if (auto ended = ended_.find(id); ended != ended_.end()) {
    auto tell = std::move(ended->second);
    ended_.erase(ended);
    tell(status);
  }
  if (status == 503 || status == 429) return static_cast<void>(++totals_.refused);
  if (status != 200) return static_cast<void>(++totals_.failed);
  ++totals_.served;
  if (id[0] != 'g') return;
  std::vector<Checker::Part> parts;
  for (std::size_t at = 0; at < stamps.size();) {
    std::size_t end = std::min(stamps.find(", ", at), stamps.size());
    std::string stamp = stamps.substr(at, end - at);
    at = end + 2;
    auto known = records_.find(stamp);
    if (known == records_.end() || stamp.find("." + id + ".") == stamp.npos) {
      checker_.broken("MIXED", id + " names a stamp of something else");
      continue;
    }
    parts.push_back({stamp.substr(0, stamp.find('.')), stamp_services_[stamp], known->second});
  }
  std::size_t left_out = missing.empty() ? 0 : std::stoul(missing);
  if (left_out == 0) ++totals_.whole;
  checker_.gathered(id, parts, left_out, top_records, min_shard_ratio, body);
}

// Whether the rules with a bound in time hold for edges now: nothing was done to the core or to them lately.
bool Cluster::edge_in_touch() const { return world_.now() >= calm_since_ + Duration(in_touch_s); }

void Cluster::ask() {
  world_.in(Duration(world_.uniform(0.5, 1.5) / options_.requests_per_s), [this] { ask(); });
  Edge& edge =
      *edges_[options_.first_edge > 0 && world_.chance(options_.first_edge) ? 0
                                                                            : world_.below(edges_.size())];
  if (!edge.process || !edge.process->gateway.ready()) return;
  double drawn = world_.uniform(0, 1);
  std::string kind = drawn < 0.5 ? "g" : drawn < 0.75 ? "s" : "u";
  if (clients_) return clients_->ask(edge, kind);
  ++totals_.asked;
  bool lookup = options_.lookups && kind == "g" && world_.chance(2.0 / 7);
  request(edge, kind + std::to_string(++next_request_), lookup ? "/k/x" : "/" + kind + "/x", "", {});
}

void Cluster::request(Edge& edge, const std::string& id, const std::string& target, const std::string& lines,
                      const edge_gateway::QuotaIdentity& quota_identity) {
  if (clients_) return clients_->send_one(edge, id, target, lines);
  calls_.begun(id, {"GET", target, "", id[0] != 'u', id[0] == 'g'});
  calls_.sent(id);
  Edge::Process& process = *edge.process;
  process.life.run([&process, id, target, lines, quota_identity] {
    process.take_request(id, target, lines, quota_identity);
  });
}

// A request counts for every service that its route names, sent there or not.
void Cluster::count_for_services(Edge& edge, const std::string& id, const std::string& target) {
  if (!edge.process) return;
  const auto& configuration = edge.process->gateway.follower().view().configuration();
  if (!configuration) return;
  for (const catalog::Route& route : configuration->routes)
    if (target.starts_with(route.path_prefix)) {
      std::vector<std::string> services = route.shards;
      for (const catalog::WeightedService& share : route.services) services.push_back(share.service);
      checker_.request_made(seconds(), id, services);
    }
}

void Cluster::Edge::Process::take_request(const std::string& id, const std::string& target,
                                          const std::string& lines,
                                          const edge_gateway::QuotaIdentity& quota_identity) {
  dispatch::ClientRequest arrival;
  arrival.method = "GET";
  arrival.target = target;
  arrival.host = "h";
  arrival.id = id;
  arrival.deadline_ms = 1500;
  arrival.head = "GET " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n" + lines;
  dispatch::ClientResponse answer;
  cluster.count_for_services(edge, id, target);
  dispatch::RequestId request = gateway.submit(cluster.world_.now(), arrival, quota_identity, answer);
  if (request)
    open[std::uint64_t{request.index} << 32 | request.generation] = id;
  else
    finish(id, answer);
}

void Cluster::kill_edge(std::size_t index, double back_s) {
  Edge& edge = *edges_[index];
  if (!edge.process) return;
  net_.end(edge.process->port, false);
  edge.process.reset();
  lag_judge_.edge_ended(seconds(), edge.name);
  world_.in(Duration(back_s), [this, &edge] { start_edge(edge); });
}

void Cluster::freeze_edge(std::size_t index, double for_s) {
  calm_since_ = std::max(calm_since_, world_.now() + Duration(for_s));
  lag_judge_.edge_disturbed(edges_[index]->name, seconds() + for_s);
  stop_responding(index, for_s);
}

void Cluster::stop_responding(std::size_t index, double for_s) {
  if (auto& process = edges_[index]->process) process->life.frozen_until = world_.now() + Duration(for_s);
}

}  // namespace pearspar::simulation
