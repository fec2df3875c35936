// Edges in the rig, and the clients that ask them.
#include "biella/cluster_parts.h"

namespace pearspar::biella {

void Cluster::start_edge(Edge& edge) {
  if (edge.process) return;
  ++edge.starts;
  edge.process = std::make_unique<Edge::Process>(*this, edge, world_.number());
  Edge::Process& process = *edge.process;
  process.port.run = [&process](std::function<void()> what) { process.life.run(std::move(what)); };
  process.life.after = [this, &process] {
    Time now = world_.now();
    process.station.advance(now);
    process.tell_routes();
    for (auto& [request, answer] : process.station.take_answers(now)) {
      auto open = process.open.find(std::uint64_t{request.index} << 32 | request.generation);
      if (open == process.open.end()) continue;
      std::string id = open->second;
      process.open.erase(open);
      process.finish(id, answer);
    }
    Time due = std::max(process.station.due(now), now + Duration(0.0005));
    if (process.wake > now && process.wake <= due) return;
    process.wake = due;
    world_.at(due, [&process, due, alive = process.life.alive] {
      if (*alive && process.wake == due) process.life.run([] {});
    });
  };
  process.station.start(world_.now());
  process.life.run([] {});
}

// One request to one node, as a connection of its own would carry it.
bool Cluster::Edge::Process::start(pederu::CallId call, const pederu::KnownNode& known, int,
                                   std::string request, pederu::Time) {
  World& world = cluster.world_;
  std::string id = between(request, "Request-Id: ", "\r\n");
  std::string addressee = between(request, "Addressee: ", "\r\n");
  std::string holder = between(request, "Holder: ", "\r\n"),
              key = between(request, "Retrieval-Key: ", "\r\n");
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
      station.desk().ended(cluster.world_.now(), call, done);
    });
  };
  // The request goes its way whatever becomes of the edge that sent it.
  Cluster& all = cluster;
  world.in(all.net_.delay(), [&all, &world, id, addressee, address, holder, key, back] {
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
    auto work = [&all, &world, &node, id, holder, key, back, later, life_then] {
      if (node.starts != life_then) return;  // what waited went with the one before
      ++node.busy;
      if (!key.empty()) all.auditor_.ran(holder, id[0] == 'g' ? "sweep" : "pull", key);
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
  if (auto ended = cluster.ended_.find(id); ended != cluster.ended_.end()) {
    auto tell = std::move(ended->second);
    cluster.ended_.erase(ended);
    tell(answer.status);
  }
  if (answer.status == 503 || answer.status == 429) return static_cast<void>(++totals.refused);
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
  Edge& edge =
      *edges_[options_.first_edge > 0 && world_.chance(options_.first_edge) ? 0
                                                                            : world_.below(edges_.size())];
  if (!edge.process || !edge.process->station.ready()) return;
  Edge::Process& process = *edge.process;
  bool gathers = world_.chance(0.6);
  std::string id = std::string(gathers ? "g" : "s") + std::to_string(++next_request_);
  ++totals_.asked;
  process.life.run([&process, id, gathers] { process.take_request(id, gathers ? "/g/x" : "/s/x", "", {}); });
}

void Cluster::Edge::Process::take_request(const std::string& id, const std::string& target,
                                          const std::string& lines, const vandelli::Drawer& drawer) {
  pederu::Arrival arrival;
  arrival.method = "GET";
  arrival.target = target;
  arrival.host = "h";
  arrival.id = id;
  arrival.deadline_ms = 1500;
  arrival.head = "GET " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\n" + lines;
  pederu::FinalAnswer answer;
  // A request counts for every service that its route names, sent there or not.
  const auto& configuration = station.follower().view().configuration();
  for (const averau::Route& route : configuration->routes)
    if (target.starts_with(route.prefix)) {
      std::vector<std::string> depots = route.shards;
      for (const averau::Share& share : route.depots) depots.push_back(share.depot);
      cluster.checker_.request_made(cluster.seconds(), id, depots);
    }
  pederu::RequestId request = station.arrive(cluster.world_.now(), arrival, drawer, answer);
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
  world_.in(Duration(back_s), [this, &edge] { start_edge(edge); });
}

void Cluster::freeze_edge(std::size_t index, double for_s) {
  calm_since_ = std::max(calm_since_, world_.now() + Duration(for_s));
  if (auto& process = edges_[index]->process) process->life.frozen_until = world_.now() + Duration(for_s);
}

}  // namespace pearspar::biella
