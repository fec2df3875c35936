// Members of the core in the rig: their lives, disks and ends.
#include "biella/cluster_parts.h"

namespace pearspar::biella {

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
  office.pool = {options_.shared_budget ? options_.retry_slack : 0, std::chrono::seconds(10)};
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

}  // namespace pearspar::biella
