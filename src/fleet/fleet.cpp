#include "fleet/fleet.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace pearspar::fleet {
namespace {

constexpr double way = 0.0003;      // one way between any two machines, seconds
constexpr double rule_slack = 1.1;  // for chance, on the cold-node budget

net::Time at_time(double seconds) { return net::Time(net::Duration(seconds)); }

}  // namespace

// One broker: its engine, and what stands behind the engine's ports.
struct Fleet::Broker final : engine::Clients, engine::Nodes, engine::Members, engine::PolicyLog {
  struct Open {
    std::uint64_t client = 0;
    double deadline = 0;
    int cls = 0;
    std::map<int, double> weights;  // by shard
  };

  Broker(Fleet& world, int self) : fleet(world), number(self) {}

  void answered(engine::ClientId id, const engine::Result& result) override {
    auto found = open.find(id);
    if (found == open.end()) {
      ++fleet.audit_.answered_twice;
      return;
    }
    Open query = std::move(found->second);
    open.erase(found);
    if (fleet.now_ > query.deadline + fleet.shape_.settings.answer_slack.count())
      ++fleet.audit_.answered_late;
    using Kind = engine::Result::Kind;
    if (result.kind == Kind::whole || result.kind == Kind::partial) {
      double weight = 0;
      for (const engine::PartValue& value : result.values) weight += query.weights.at(value.shard);
      const ClassSettings& cls = fleet.shape_.settings.classes[static_cast<std::size_t>(query.cls)];
      bool all = weight >= cls.whole_coverage - 1e-4;
      if (weight < cls.min_coverage - 1e-4 || (result.kind == Kind::whole && !all)) ++fleet.audit_.dishonest;
      fleet.settle(query.client, all ? 1 : cls.partial_worth * weight / cls.whole_coverage, all);
    } else {
      fleet.ended_without(query.client, result.retry_after.count());
    }
  }

  void place(NodeId name, const net::Address& address, double) override { named[name] = address.port - 1; }
  void retire(NodeId) override {}
  void withdraw(PartId) override {}
  void probe(NodeId) override {}
  void drop_idle(NodeId) override {}
  void fetch() override {}
  void subscribe(bool) override {}
  void write_line(bool, std::string_view) override {}
  void node_numbered(NodeId, std::string_view, const net::Address&) override {}

  void send(NodeId name, std::span<const engine::Call> calls) override {
    int target = named.at(name);
    auto told = told_to_drain.find(target);
    for (const engine::Call& call : calls) {
      ++fleet.sends_;
      if (told != told_to_drain.end() &&
          fleet.now_ > told->second + fleet.shape_.settings.drain_grace.count())
        ++fleet.audit_.after_grace;
      if (call.attempt >= fleet.shape_.settings.max_attempts) ++fleet.audit_.too_many_tries;
      const auto& [client, work] = owner_of(call);
      if (auto found = fleet.clients_.find(client); found != fleet.clients_.end()) found->second.sent = true;
      Job job{++fleet.last_job_, number, life, call.part, call.attempt, work};
      out[{call.part, call.attempt}] = {target, name, fleet.now_, job.id};
      double gives_up = call.give_up_at.time_since_epoch().count();
      fleet.schedule(gives_up, [this, at = life, part = call.part, attempt = call.attempt] {
        fleet.end_attempt(number, at, part, attempt, Outcome::timeout);
      });
      fleet.schedule(fleet.now_ + way, [this, target, job] { fleet.take(target, job); });
    }
  }

  void give_up(PartId part, int attempt) override {
    fleet.schedule(fleet.now_, [this, at = life, part, attempt] {
      fleet.end_attempt(number, at, part, attempt, Outcome::cancelled);
    });
  }

  std::pair<std::uint64_t, double> owner_of(const engine::Call& call) const {
    std::uint64_t client = std::stoull(std::string(call.text));
    auto found = fleet.clients_.find(client);
    int cls = found == fleet.clients_.end() ? 0 : found->second.cls;
    // The same part of the same query is the same work, whichever replica does it.
    std::uint64_t mixed = (client * 1000 + static_cast<std::uint64_t>(call.shard)) * 0x9e3779b97f4a7c15ULL;
    double spread = static_cast<double>((mixed ^ (mixed >> 29)) % 10007) / 10007;
    return {client, fleet.shape_.loads[static_cast<std::size_t>(cls)].work * (0.67 + 0.66 * spread)};
  }

  Fleet& fleet;
  int number = 0;
  int life = 0;
  bool up = false;
  std::unique_ptr<engine::Engine> engine;
  double armed = -1;
  std::map<std::uint64_t, Open> open;
  std::uint64_t last_ask = 0;
  std::map<NodeId, int> named;
  std::map<std::pair<PartId, int>, Attempt> out;
  std::map<int, double> told_to_drain;  // node: when
  std::int64_t revision = 0;            // told last
  std::set<int> connected;              // nodes that it has reached in this life
};

Fleet::Fleet(Shape shape, std::uint64_t seed) : shape_(std::move(shape)), random_(seed), now_(1000) {
  shape_.settings.broker_count = shape_.brokers;
  std::set<int> weak(shape_.weak_cells.begin(), shape_.weak_cells.end());
  membership::MemberList first;
  first.complete = true;
  for (int i = 0; i < shape_.nodes; ++i) {
    Node node;
    int cell = i % shape_.settings.cells;
    node.zone = (i / shape_.settings.cells) % 2;
    node.speed = weak.count(cell) != 0 || (i + i / shape_.settings.cells) % 2 == 1 ? shape_.weakest : 1;
    node.entry.id = "s-" + std::to_string(i);
    node.entry.address = {0x7f000001, static_cast<std::uint16_t>(i + 1)};
    node.entry.zone = node.zone == 0 ? "a" : "b";
    node.entry.cell = cell;
    nodes_.push_back(node);
    first.entries.push_back(node.entry);
  }
  history_.push_back(std::move(first));
  mark();
  for (int i = 0; i < shape_.brokers; ++i) {
    brokers_.push_back(std::make_unique<Broker>(*this, i));
    spawn(i);
  }
  schedule(now_, [this] { arrive(); });
}

Fleet::~Fleet() = default;

void Fleet::spawn(int number) {
  Broker& broker = *brokers_[static_cast<std::size_t>(number)];
  broker.up = true;
  Settings settings = shape_.settings;
  settings.broker_index = number;
  settings.zone = number % 2;
  broker.engine = std::make_unique<engine::Engine>(settings, engine::Names{{"a", "b"}, {}},
                                                   make_policy(settings, random_()),
                                                   engine::Ports{broker, broker, broker, broker});
  // What it had last: the whole list, as the changes told to it have left it.
  membership::MemberList list = history_[0];
  for (std::int64_t i = 1; i <= broker.revision; ++i)
    for (const membership::Entry& entry : history_[static_cast<std::size_t>(i)].entries) {
      auto same = std::find_if(list.entries.begin(), list.entries.end(),
                               [&](const auto& old) { return old.id == entry.id; });
      if (same == list.entries.end())
        list.entries.push_back(entry);
      else
        *same = entry;
    }
  std::erase_if(list.entries, [](const auto& entry) { return entry.phase == membership::Phase::gone; });
  list.revision = broker.revision + 1;
  broker.engine->restore_members(at_time(now_), list);
  broker.engine->start(at_time(now_));
  for (std::int64_t i = broker.revision + 1; i < static_cast<std::int64_t>(history_.size()); ++i)
    schedule(now_ + shape_.list_delay, [this, number, i, life = broker.life] {
      if (brokers_[static_cast<std::size_t>(number)]->life == life) deliver(number, i);
    });
  wake(number);
}

void Fleet::restart_broker(int number, double down) {
  Broker& broker = *brokers_[static_cast<std::size_t>(number)];
  if (!broker.up) return;
  broker.up = false;
  ++broker.life;
  broker.engine.reset();
  broker.armed = -1;
  broker.out.clear();
  broker.named.clear();
  broker.connected.clear();
  // A drain that it was told of binds it until it is told anew, with its list.
  for (auto& [id, open] : std::exchange(broker.open, {}))
    schedule(now_ + way, [this, client = open.client] { ended_without(client, 0); });
  schedule(now_ + down, [this, number] { spawn(number); });
}

void Fleet::schedule(double time, std::function<void()> what) { queue_.emplace(time, std::move(what)); }
void Fleet::at(double time, std::function<void()> what) { schedule(std::max(time, now_), std::move(what)); }

void Fleet::run_until(double time) {
  while (!queue_.empty() && queue_.begin()->first <= time) {
    auto next = queue_.extract(queue_.begin());
    now_ = std::max(now_, next.key());
    next.mapped()();
  }
  now_ = std::max(now_, time);
}

void Fleet::wake(int number) {
  Broker& broker = *brokers_[static_cast<std::size_t>(number)];
  if (!broker.up) return;
  broker.engine->tick(at_time(now_));
  broker.engine->end_turn(at_time(now_));
  arm(number);
}

void Fleet::arm(int number) {
  Broker& broker = *brokers_[static_cast<std::size_t>(number)];
  double due = broker.engine->due().time_since_epoch().count();
  due = std::max(due, now_ + 1e-6);
  if (due > now_ + 1e6 || (broker.armed > now_ && broker.armed <= due)) return;
  broker.armed = due;
  schedule(due, [this, number, due] {
    Broker& same = *brokers_[static_cast<std::size_t>(number)];
    if (same.armed != due) return;
    same.armed = -1;
    wake(number);
  });
}

// ---- clients ----

std::vector<double> Fleet::weights(int cls) const {
  const ClassLoad& load = shape_.loads[static_cast<std::size_t>(cls)];
  std::vector<double> weights;
  double sum = 0;
  for (int i = 0; i < load.parts; ++i) sum += weights.emplace_back(load.skewed ? 1.0 / (i + 1) : 1.0);
  for (double& weight : weights) weight /= sum;
  return weights;
}

void Fleet::arrive() {
  double rate = shape_.rate * load_;
  schedule(now_ - std::log(1 - uniform()) / std::max(rate, 1e-9), [this] { arrive(); });
  Client client;
  double drawn = uniform();
  while (client.cls + 1 < static_cast<int>(shape_.loads.size()) &&
         drawn >= shape_.loads[static_cast<std::size_t>(client.cls)].share)
    drawn -= shape_.loads[static_cast<std::size_t>(client.cls++)].share;
  const ClassSettings& cls = shape_.settings.classes[static_cast<std::size_t>(client.cls)];
  client.home = static_cast<int>(uniform() * shape_.brokers);
  client.first = now_;
  client.aim_at = now_ + cls.latency_target.count();
  client.leaves = now_ + shape_.loads[static_cast<std::size_t>(client.cls)].patience;
  client.shard = static_cast<int>(uniform() * shape_.settings.shards);
  client.window = windows_.size() - 1;
  ++windows_.back()[static_cast<std::size_t>(client.cls)].asked;
  clients_[++last_client_] = client;
  ask(last_client_);
}

void Fleet::ask(std::uint64_t id) {
  Client& client = clients_.at(id);
  ++client.tries;
  client.sent = false;
  // The next broker takes its place where its own is down; that is noticed at once here.
  int number = client.home;
  for (int i = 0; i < shape_.brokers && !brokers_[static_cast<std::size_t>(number)]->up; ++i)
    number = (number + 1) % shape_.brokers;
  Broker& broker = *brokers_[static_cast<std::size_t>(number)];
  if (!broker.up) return ended_without(id, 0);
  engine::QueryRequest arrival;
  Broker::Open open{id, client.leaves, client.cls, {}};
  std::uint64_t name = (static_cast<std::uint64_t>(broker.life) << 32) + ++broker.last_ask;
  arrival.client = name;
  arrival.id = "q" + std::to_string(name);
  arrival.text = std::to_string(id);
  arrival.cls = client.cls;
  arrival.deadline = at_time(client.leaves);
  std::vector<double> shares = weights(client.cls);
  for (std::size_t i = 0; i < shares.size(); ++i) {
    int shard = (client.shard + static_cast<int>(i)) % shape_.settings.shards;
    arrival.parts.push_back({shard, shares[i], 0, false, {}});
    open.weights[shard] = shares[i];
  }
  broker.open[name] = std::move(open);
  if (broker.engine->submit(at_time(now_), std::move(arrival)) != engine::Engine::Admission::accepted) {
    broker.open.erase(name);
    return ended_without(id, 0.5);
  }
  wake(number);
}

void Fleet::settle(std::uint64_t id, double worth, bool whole) {
  auto found = clients_.find(id);
  if (found == clients_.end()) return;
  Client client = found->second;
  clients_.erase(found);
  Tally& tally = windows_[client.window][static_cast<std::size_t>(client.cls)];
  if (now_ <= client.aim_at) {
    ++(whole ? tally.whole : tally.partial);
    tally.worth += worth;
  } else {
    ++tally.late;
    tally.worth += worth * shape_.settings.classes[static_cast<std::size_t>(client.cls)].late_worth;
  }
}

void Fleet::ended_without(std::uint64_t id, double retry_after) {
  auto found = clients_.find(id);
  if (found == clients_.end()) return;
  Client& client = found->second;
  if (!client.sent) ++refused_unsent_;
  double again = now_ + std::max(retry_after, shape_.client_pause * (0.5 + uniform()));
  if (client.tries < shape_.client_tries && again < client.leaves - 0.05) {
    schedule(again, [this, id] {
      if (clients_.count(id) != 0) ask(id);
    });
    return;
  }
  ++windows_[client.window][static_cast<std::size_t>(client.cls)].lost;
  clients_.erase(found);
}

// ---- nodes ----

int Fleet::zone_of(int node) const { return nodes_[static_cast<std::size_t>(node)].zone; }

double Fleet::capacity(const Node& node) const {
  double age = now_ - node.started, warm = shape_.settings.warm_up_time.count();
  double from = shape_.settings.cold_start_capacity;
  double ready = age >= warm ? 1 : from + (1 - from) * std::max(0.0, age) / warm;
  return node.speed * ready / node.slowed;
}

// What a cold node is sent, over all brokers, in any span of the rule: in seconds of its cores' work at full
// speed, against what it can do in that span.
void Fleet::charge(Node& node) {
  const Settings& s = shape_.settings;
  if (now_ >= node.started + s.warm_up_time.count()) return;
  double span = s.cold_load_window.count();
  node.cold_arrivals.push_back(now_);
  std::erase_if(node.cold_arrivals, [&](double at) { return at <= now_ - span; });
  double work = 0;
  for (const ClassLoad& load : shape_.loads) work = std::max(work, load.work);
  double sent = static_cast<double>(node.cold_arrivals.size()) * work;
  double able = capacity(node) * node.slowed * shape_.cores * span;
  if (sent > s.cold_load_multiple * able * rule_slack) {
    ++audit_.pushed_over;
    node.cold_arrivals.clear();
  }
}

void Fleet::take(int number, Job job) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  Broker& broker = *brokers_[static_cast<std::size_t>(job.broker)];
  if (broker.life != job.life || !broker.up) return;
  auto end = [this, job](double after, Outcome outcome) {
    schedule(now_ + after,
             [this, job, outcome] { end_attempt(job.broker, job.life, job.part, job.attempt, outcome); });
  };
  if (!node.up) {
    broker.connected.erase(number);
    return end(way, Outcome::connect_failed);
  }
  if (node.silent) {
    if (broker.connected.count(number) == 0)
      end(shape_.settings.connect_timeout.count(), Outcome::connect_failed);
    return;
  }
  broker.connected.insert(number);
  charge(node);
  if (node.draining || static_cast<int>(node.waiting.size()) >= shape_.room)
    return end(way, Outcome::refused);
  if (static_cast<int>(node.working.size()) < shape_.cores)
    begin(number, job);
  else
    node.waiting.push_back(job);
}

void Fleet::begin(int number, Job job) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  node.working.push_back(job);
  double takes = job.work / std::max(1e-3, capacity(node));
  schedule(now_ + takes, [this, number, life = node.life, id = job.id] { finish(number, life, id); });
}

void Fleet::finish(int number, int life, std::uint64_t id) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  if (node.life != life) return;
  auto found =
      std::find_if(node.working.begin(), node.working.end(), [&](auto& job) { return job.id == id; });
  if (found == node.working.end()) return;
  Job job = *found;
  node.working.erase(found);
  if (!node.silent)
    schedule(now_ + way,
             [this, job] { end_attempt(job.broker, job.life, job.part, job.attempt, Outcome::ok); });
  if (!node.waiting.empty()) {
    Job next = node.waiting.front();
    node.waiting.erase(node.waiting.begin());
    begin(number, next);
  }
}

void Fleet::end_attempt(int number, int life, PartId part, int attempt, Outcome outcome) {
  Broker& broker = *brokers_[static_cast<std::size_t>(number)];
  if (broker.life != life || !broker.up) return;
  auto found = broker.out.find({part, attempt});
  if (found == broker.out.end()) return;
  Attempt ended = found->second;
  broker.out.erase(found);
  broker.engine->attempt_ended(
      {part, attempt, ended.name, outcome, net::Duration(now_ - ended.sent), "v", {}}, {});
  wake(number);
}

void Fleet::silence(int number, bool on) { nodes_[static_cast<std::size_t>(number)].silent = on; }
void Fleet::slow(int number, double times) { nodes_[static_cast<std::size_t>(number)].slowed = times; }

void Fleet::kill(int number) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  node.up = false;
  ++node.life;
  for (const std::vector<Job>* jobs : {&node.working, &node.waiting})
    for (const Job& job : *jobs)
      schedule(now_ + way,
               [this, job] { end_attempt(job.broker, job.life, job.part, job.attempt, Outcome::reset); });
  node.working.clear();
  node.waiting.clear();
}

void Fleet::start(int number) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  node.up = true;
  node.draining = false;
  node.started = now_;
  node.entry.phase = membership::Phase::ready;
  node.entry.up_since_ms = now_ * 1000;
  tell(number);
}

void Fleet::drain(int number) {
  Node& node = nodes_[static_cast<std::size_t>(number)];
  node.draining = true;
  node.entry.phase = membership::Phase::draining;
  tell(number);
}

void Fleet::remove(int number) {
  kill(number);
  nodes_[static_cast<std::size_t>(number)].entry.phase = membership::Phase::gone;
  tell(number);
}

int Fleet::add(int cell, int zone) {
  Node node;
  int number = nodes();
  node.zone = zone;
  node.speed = number % 2 == 0 ? 1 : shape_.weakest;
  node.entry.id = "s-" + std::to_string(number);
  node.entry.address = {0x7f000001, static_cast<std::uint16_t>(number + 1)};
  node.entry.zone = zone == 0 ? "a" : "b";
  node.entry.cell = cell;
  nodes_.push_back(node);
  start(number);
  return number;
}

void Fleet::tell(int number) {
  membership::MemberList change;
  change.revision = static_cast<std::int64_t>(history_.size()) + 1;
  change.entries = {nodes_[static_cast<std::size_t>(number)].entry};
  history_.push_back(std::move(change));
  std::int64_t revision = static_cast<std::int64_t>(history_.size()) - 1;
  for (int i = 0; i < shape_.brokers; ++i)
    schedule(now_ + shape_.list_delay * (0.8 + 0.4 * uniform()),
             [this, i, revision, life = brokers_[static_cast<std::size_t>(i)]->life] {
               if (brokers_[static_cast<std::size_t>(i)]->life == life) deliver(i, revision);
             });
}

// Changes come in order: one that overtakes brings those before it.
void Fleet::deliver(int number, std::int64_t revision) {
  Broker& broker = *brokers_[static_cast<std::size_t>(number)];
  if (!broker.up) return;
  for (; broker.revision < revision;) {
    const membership::MemberList& change = history_[static_cast<std::size_t>(++broker.revision)];
    for (const membership::Entry& entry : change.entries) {
      int node = entry.address.port - 1;
      if (entry.phase == membership::Phase::ready)
        broker.told_to_drain.erase(node);
      else
        broker.told_to_drain.try_emplace(node, now_);
    }
    broker.engine->members_told(at_time(now_), change);
  }
  wake(number);
}

}  // namespace pearspar::fleet
