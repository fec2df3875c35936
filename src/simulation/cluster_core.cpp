// Members of the core in the rig: their lives, disks and ends.
#include "simulation/cluster_parts.h"

namespace pearspar::simulation {
namespace {

// As `altavia` does it: not before, and not after; of a grace of six seconds.
constexpr double stop_within = 0.4;
constexpr double stop_at_last = 5.1;
constexpr double killed_at = 6;

// Whether the others can do without it, where members know that of themselves.
template <typename Member>
bool may_shut_down(const Member& member) {
  if constexpr (requires { member.may_shut_down(); })
    return member.may_shut_down();
  else
    return true;
}

}  // namespace

void Cluster::start_core(Core& core) {
  if (core.gone || core.process) return;
  ++core.starts;
  core.process = std::make_unique<Core::Process>(world_, net_, core.address);
  Core::Process& process = *core.process;
  std::uint64_t number = world_.number() | 1;
  raft::Options agreement;
  agreement.address = core.address;
  agreement.first_start = core.first_start;
  agreement.founders = agreement.seeds = seeds();
  agreement.fresh_id = number;
  agreement.seed = number;
  control_plane::ControllerOptions controller;
  controller.inner_address = core.address;
  controller.control_address = core.address;
  controller.incarnation = number;
  controller.name = core.address;
  controller.heartbeat_interval = Duration(options_.beat_s);
  controller.pool = {options_.shared_budget ? options_.retry_slack : 0, std::chrono::seconds(10)};
  core.first_start = false;
  process.member = std::make_unique<control_plane::Member>(process.port, core.disk, std::move(agreement),
                                                           std::move(controller));
  if (options_.clock_drift > 0)
    process.rate = 1 + world_.uniform(-options_.clock_drift / 2, options_.clock_drift / 2);
  process.step = core.clock_step;
  process.life.busy_until = [&core, &process] {
    return std::max(core.disk.busy_until(), process.busy_until());
  };
  process.port.leaves = [&core, &process] {
    return std::max({core.disk.busy_until(), process.life.frozen_until, process.busy_until()});
  };
  process.processor.set(options_.processor_costs, options_.core_processor_share);
  process.port.on_send = [&process](std::size_t bytes) { process.processor.take_bytes(bytes); };
  process.port.run = [&process](std::function<void()> what) { process.life.run(std::move(what)); };
  process.life.after = [this, &core, &process] {
    process.processor.take_event();
    if (world_.now() < process.slow_until) process.slowed_until = world_.now() + process.event_takes;
    if (!process.member->started()) process.member->start(process.now());
    bool freezes = process.freeze_looks >= 0 && !process.askers.empty() && world_.chance(0.3);
    int looks = 0;
    auto ready = [this, &core, &process] {
      return std::max(
          {world_.now(), core.disk.busy_until(), process.life.frozen_until, process.busy_until()});
    };
    auto clock = [&] {
      Time now = process.own(ready());
      if (freezes && looks++ == process.freeze_looks) {
        disturbed(seconds() + process.freeze_span.count());
        process.life.frozen_until = world_.now() + process.freeze_span;
        process.freeze_looks = -1;
        freezes = false;
      }
      return now;
    };
    for (control_plane::Reply& reply : process.member->advance(clock)) {
      auto caller = process.askers.find(reply.caller);
      if (caller == process.askers.end()) {
        checker_.broken("ANSWER", core.address + " answers somebody who asks nothing");
        continue;
      }
      checker_.call_answered(caller->second.call, reply.status, reply.body);
      world_.at(ready(), [this, &core, from = caller->second.from, answer = caller->second.answer, reply,
                          alive = process.life.alive] {
        if (!*alive) return;  // it died before it could say so
        if (!core.callers_hear || (lost_answers_ > 0 && world_.chance(lost_answers_))) return;
        if (!net_.reaches(core.address, from)) return;
        world_.in(net_.delay(core.address, from), [answer, reply] { answer(reply.status, reply.body); });
      });
      process.askers.erase(caller);
    }
    if (process.member->started()) note_decisions(*process.member);
    if (process.member->started() && process.member->core().holds_lease(process.own(ready())))
      for (const auto& other : cores_)
        if (other.get() != &core && other->process && ready() == world_.now() &&
            other->process->member->core().holds_lease(other->process->now()))
          checker_.broken("LEASE", core.address + " and " + other->address + " lead at once");
    Time due = world_.now() + Duration(0.3);
    if (process.member->started()) due = process.worlds(process.member->due());
    due = std::max(due, world_.now() + Duration(0.002));
    if (process.wake > world_.now() && process.wake <= due) return;
    process.wake = due;
    world_.at(due, [&process, due, alive = process.life.alive] {
      if (*alive && process.wake == due) process.life.run([] {});
    });
  };
  process.life.run([] {});
}

int Cluster::leader() const {
  for (std::size_t i = 0; i < cores_.size(); ++i)
    if (const auto* m = member(i); m && m->core().holds_lease(cores_[i]->process->now()))
      return static_cast<int>(i);
  return -1;
}

void Cluster::end_core(Core& core, bool silently) {
  disturbed(seconds());
  net_.end(core.process->port, silently);
  core.process.reset();
}

void Cluster::kill_core(std::size_t index, double back_s, bool power) {
  Core& core = *cores_[index];
  if (!core.process) return;
  end_core(core, power);
  if (power) core.disk.lose_power();
  world_.in(Duration(back_s), [this, &core] {
    disturbed(seconds());
    start_core(core);
  });
}

void Cluster::disturbed(double until_s) {
  core_calm_since_ = std::max(core_calm_since_, Time(Duration(until_s)));
  rollout_judge_.unsettled(core_calm_since_.time_since_epoch().count());
  lag_judge_.core_unsettled(core_calm_since_.time_since_epoch().count());
  edges_disturbed(until_s);
}

void Cluster::edges_disturbed(double until_s) {
  calm_since_ = std::max(calm_since_, Time(Duration(until_s)));
}

void Cluster::stop_core(std::size_t index, double back_s) {
  Core& core = *cores_[index];
  if (!core.process || core.process->stopping) return;
  disturbed(seconds());
  core.process->stopping = true;
  Core::Process& process = *core.process;
  process.life.run([&process] { process.member->transfer_leadership(process.now()); });
  finish_stop(core, seconds(), back_s, process.life.alive);
}

// The one place that knows when a process that was told to end does so.
void Cluster::finish_stop(Core& core, double asked, double back_s, std::shared_ptr<bool> alive) {
  world_.in(Duration(0.02), [this, &core, asked, back_s, alive] {
    if (!*alive) return;  // killed meanwhile, and back by that
    double held = seconds() - asked;
    bool awake = core.process->life.frozen_until <= world_.now();
    bool ends =
        awake && held >= stop_within && (may_shut_down(*core.process->member) || held >= stop_at_last);
    if (!ends && held < killed_at) return finish_stop(core, asked, back_s, alive);
    end_core(core, false);
    if (back_s < 0) {
      core.gone = true;
      return core.disk.wipe();
    }
    world_.in(Duration(back_s), [this, &core] {
      disturbed(seconds());
      start_core(core);
    });
  });
}

void Cluster::freeze_core_at(std::size_t index, int looks, double for_s) {
  auto& process = cores_[index]->process;
  if (!process) return;
  process->freeze_looks = looks;
  process->freeze_span = Duration(for_s);
}

void Cluster::freeze_core_look(std::size_t index, double for_s) {
  auto& held = cores_[index]->process;
  if (!held || held->look) return;
  disturbed(seconds() + for_s);
  Core::Process& process = *held;
  process.look = process.now();
  process.life.frozen_until = std::max(process.life.frozen_until, world_.now() + Duration(for_s));
  process.life.run([&process] {
    for (auto& call : std::exchange(process.calls, {})) call();
    process.look.reset();
  });
}

void Cluster::slow_core(std::size_t index, double event_s, double for_s) {
  if (auto& process = cores_[index]->process) {
    process->event_takes = Duration(event_s);
    process->slow_until = world_.now() + Duration(for_s);
    lag_judge_.core_unsettled(seconds() + for_s);
  }
}

void Cluster::step_clock(std::size_t core, double by_s) { cores_[core]->clock_step = Duration(by_s); }
double Cluster::disk_since(std::size_t core) const { return cores_[core]->disk_since; }

bool Cluster::core_gone(std::size_t core) const { return cores_[core]->gone; }

void Cluster::cut_callers(std::size_t index, bool in, bool out) {
  disturbed(seconds());
  cores_[index]->hears_callers = !in;
  cores_[index]->callers_hear = !out;
}

bool Cluster::core_serves(std::size_t index) const {
  auto serves = [&](const Core& core) {
    return core.process && !core.process->stopping && core.process->life.frozen_until <= world_.now() &&
           core.disk.busy_until() <= world_.now() + Duration(0.2) && !core.disk.full();
  };
  const Core& core = *cores_[index];
  if (!serves(core) || !core.hears_callers || !core.callers_hear) return false;
  // Who has no way to the leader, or it none back, passes nothing on.
  if (int at = leader(); at >= 0 && static_cast<std::size_t>(at) != index) {
    const Core& leads = *cores_[static_cast<std::size_t>(at)];
    if (!net_.reaches(core.address, leads.address) || !net_.reaches(leads.address, core.address))
      return false;
  }
  std::size_t together = 1;
  for (const auto& other : cores_)
    if (other.get() != &core && serves(*other) && net_.reaches(core.address, other->address) &&
        net_.reaches(other->address, core.address))
      ++together;
  return together > member_count() / 2;
}

bool Cluster::majority_serves() const {
  std::size_t serve = 0;
  for (std::size_t i = 0; i < cores_.size(); ++i) serve += core_serves(i);
  return serve > member_count() / 2;
}

void Cluster::set_seeds(std::vector<std::string> seeds) {
  told_seeds_ = std::move(seeds);
  for (auto& core : cores_)
    if (core->process)
      core->process->life.run(
          [this, process = core->process.get()] { process->member->set_seeds(told_seeds_); });
  for (auto& edge : edges_)
    if (edge->process) edge->process->gateway.follower().set_seeds(told_seeds_);
}

void Cluster::wipe_core(std::size_t index, double back_s) {
  kill_core(index, back_s, true);
  cores_[index]->disk.wipe();
  cores_[index]->disk_since = seconds();
}

void Cluster::freeze_core(std::size_t index, double for_s) {
  disturbed(seconds() + for_s);
  if (auto& process = cores_[index]->process) process->life.frozen_until = world_.now() + Duration(for_s);
}

void Cluster::replace_core(std::size_t index, double after_s) {
  Core& core = *cores_[index];
  kill_core(index, 1e9, true);
  core.gone = true;
  add_core(after_s);
}

void Cluster::add_core(double after_s) {
  world_.in(Duration(after_s), [this] {
    disturbed(seconds());
    cores_.push_back(std::make_unique<Core>(world_));
    Core& fresh = *cores_.back();
    equip(fresh);
    fresh.first_start = false;
    for (const auto& [address, ways] : cut_off_) cut(address, fresh.address);
    start_core(fresh);
  });
}

void Cluster::cut_off(const std::string& address, bool in, bool out, bool all) {
  touched(address);
  cut_off_[address] = {in, out, all};
  for (const auto& core : cores_) cut(address, core->address);
  if (all)
    for (const auto& edge : edges_) cut(address, edge->address);
}

void Cluster::cut(const std::string& address, const std::string& other) {
  if (address == other) return;
  if (cut_off_[address].in) net_.cut(other, address);
  if (cut_off_[address].out) net_.cut(address, other);
}

void Cluster::cut_far_edges(const std::string& address, bool in, bool out) {
  for (std::size_t i = 1; i < edges_.size(); i += 2) {
    if (in) net_.cut(edges_[i]->address, address);
    if (out) net_.cut(address, edges_[i]->address);
  }
}

void Cluster::reset_links(std::size_t core, double share) {
  disturbed(seconds());
  net_.reset(cores_[core]->address, share);
}

// The links of one of the core, or of an edge.
void Cluster::touched(const std::string& address) {
  for (const auto& core : cores_)
    if (core->address == address) return disturbed(seconds());
  edges_disturbed(seconds());
}

void Cluster::heal(const std::string& address) {
  touched(address);
  cut_off_.erase(address);
  net_.heal(address);
  // Others stay cut off from it.
  bool member =
      std::any_of(cores_.begin(), cores_.end(), [&](const auto& c) { return c->address == address; });
  for (const auto& [other, ways] : cut_off_)
    if (member || ways.all) cut(other, address);
}

void Cluster::heal_all() {
  cut_off_.clear();
  net_.heal_all();
  disturbed(seconds());
}

}  // namespace pearspar::simulation
