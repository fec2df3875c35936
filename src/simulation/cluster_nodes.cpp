// Index servers in the rig: beats, work, troubles, leaving.
#include "simulation/cluster_parts.h"

namespace pearspar::simulation {
namespace {

constexpr double node_patience = 1.0;
constexpr std::size_t most_queued = 12;

}  // namespace

Cluster::Node& Cluster::add_node(const std::string& service) {
  nodes_.push_back(std::make_unique<Node>());
  Node& node = *nodes_.back();
  node.service = service;
  std::size_t number = nodes_.size();
  node.address = "10.2." + std::to_string(number / 250) + "." + std::to_string(number % 250) + ":8080";
  if (options_.http) node.server = std::make_unique<NodeServer>(*this, node);
  return node;
}

void Cluster::end_node(Node& node, bool dark) {
  node.up = false;
  node.dark = dark;
  if (node.server) node.server->end(dark);
}

// One slot's work; what waits when the node ends goes with it.
bool Cluster::work(Node& node, std::function<void()> begins, std::function<void()> done,
                   std::function<void()> lost, double factor) {
  if (node.queue.size() >= most_queued) return false;
  std::uint64_t life = node.starts;
  auto run = [this, &node, life, factor, begins = std::move(begins), done = std::move(done),
              lost = std::move(lost)] {
    if (node.starts != life) return;
    ++node.busy;
    begins();
    double took = 0.02 * node.factor * factor * world_.uniform(0.5, 1.5);
    world_.in(Duration(took), [&node, life, done, lost] {
      if (node.starts != life || !node.up) return lost();
      --node.busy;
      done();
      if (node.queue.empty()) return;
      auto next = std::move(node.queue.front());
      node.queue.pop_front();
      next();
    });
  };
  if (node.busy < options_.slots)
    run();
  else
    node.queue.push_back(std::move(run));
  return true;
}

Cluster::Made Cluster::make_answer(const Node& node, const std::string& id, bool good) {
  Made made;
  made.stamp = node.id + "." + id + "." + std::to_string(world_.number() % 1000000);
  std::vector<std::string> records;
  for (std::size_t i = 0; i < top_records; ++i) {
    std::string record(16, '\0');
    for (char& c : record) c = static_cast<char>(world_.below(256));
    made.body += record;
    records.push_back(std::move(record));
  }
  calls_.answers(made.stamp, id, good, made.body);
  if (!good) return made;
  records_[made.stamp] = std::move(records);
  stamp_services_[made.stamp] = node.service;
  return made;
}

void Cluster::start_node(Node& node) {
  if (node.stopped) return;
  ++node.starts;
  node.started = world_.now();
  node.id = "n" + std::to_string(world_.number() % 1000000000);
  node.up = true;
  node.dark = node.closing = node.acknowledged = node.retired = false;
  node.calls = 0;
  node.busy = 0;
  node.queue.clear();
  node.asks = world_.below(cores_.size());
  if (node.server) node.server->start();
  beat(node);
}

void Cluster::beat(Node& node) {
  if (node.retired) return;
  std::uint64_t life = node.starts;
  std::string body = "{\"depot\":\"" + node.service + "\",\"address\":\"" + node.address +
                     "\",\"zoneName\":\"z\",\"edition\":\"" + node.version +
                     "\",\"slotCount\":" + std::to_string(options_.slots) + ",\"nodeState\":\"" +
                     (node.closing ? "closing_out" : "at_post") +
                     "\",\"coldLeftMs\":0,\"callSeq\":" + std::to_string(++node.calls) + "}";
  auto done = std::make_shared<bool>(false);
  bool closing = node.closing;
  auto next = [this, &node, life](double in) {
    world_.in(Duration(in), [this, &node, life] {
      if (node.starts == life && node.up) beat(node);
    });
  };
  call(node.address, node.asks, "PUT", "/pearspar/nodes/" + node.id, "", body,
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

void Cluster::crash_node(std::size_t index, double back_s, bool dark) {
  Node& node = *nodes_[index];
  if (!node.up) return;
  end_node(node, dark);
  world_.in(Duration(back_s), [this, &node] {
    if (!node.up) start_node(node);
  });
}

void Cluster::forbid_node(std::size_t index) {
  Node& node = *nodes_[index];
  node.stopped = true;
  if (node.up) end_node(node, false);
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
    call(node.address, node.asks, "DELETE", "/pearspar/nodes/" + node.id, "", "",
         [](int, const std::string&) {});
    end_node(node, false);
    world_.in(Duration(back_s), [this, &node] {
      if (!node.up) start_node(node);
    });
  });
}

void Cluster::retire_node(std::size_t index, double serves_s) {
  Node& node = *nodes_[index];
  if (!node.up || node.retired) return;
  node.retired = true;
  std::uint64_t life = node.starts;
  send_delete(node);
  world_.in(Duration(serves_s), [this, &node, life] {
    if (node.starts == life && node.up) end_node(node, false);
  });
}

// Asks one member after another until one has answered with 200.
void Cluster::send_delete(Node& node) {
  std::uint64_t life = node.starts;
  auto done = std::make_shared<bool>(false);
  auto retry = [this, &node, life, done](double in) {
    *done = true;
    node.asks = (node.asks + 1) % cores_.size();
    world_.in(Duration(in), [this, &node, life] {
      if (node.starts == life && node.up) send_delete(node);
    });
  };
  call(node.address, node.asks, "DELETE", "/pearspar/nodes/" + node.id, "", "",
       [this, done, retry, id = node.id](int status, const std::string&) {
         if (status == 200) checker_.leaving_acknowledged(seconds(), id);
         if (*done) return;
         if (status != 200) return retry(0.1);
         *done = true;
       });
  world_.in(Duration(node_patience), [done, retry] {
    if (!*done) retry(0.05);
  });
}

void Cluster::send_node_to(std::size_t node, std::size_t core) { nodes_[node]->asks = core; }

void Cluster::cut_index(int shards) {
  int from = static_cast<int>(services_.size());
  std::vector<std::string> next;
  for (int i = 0; i < shards; ++i) {
    std::string service = "shard" + std::to_string(from + i);
    next.push_back(service);
    services_.push_back(service);
    rollout_judge_.serves(service, "v1");
    for (int n = 0; n < options_.nodes_per_shard; ++n) {
      start_node(add_node(service));
    }
  }
  world_.in(Duration(3), [this, next] {
    shards_ = next;
    change(0);
  });
}

}  // namespace pearspar::simulation
