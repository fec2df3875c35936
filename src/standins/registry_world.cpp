#include "standins/registry_world.h"

#include <algorithm>

namespace pearspar::standins {

RegistryWorld::RegistryWorld(net::Loop& loop, Wire wire, int members, std::uint64_t seed,
                             std::uint16_t first_port)
    : loop_(loop), wire_(wire), random_(seed) {
  for (int i = 0; i < members; ++i) {
    net::Address address{0x7f000001, static_cast<std::uint16_t>(first_port == 0 ? 0 : first_port + i)};
    if (wire == Wire::etcd)
      etcd_.push_back(std::make_unique<EtcdServer>(loop, store_, static_cast<std::uint64_t>(i + 1), address));
    else
      consul_.push_back(std::make_unique<ConsulServer>(loop, store_, address));
  }
  store_.on_change = [this] {
    for (auto& each : etcd_) each->store_changed();
    for (auto& each : consul_) each->store_changed();
  };
  arm_expiry();
}

// Leases are looked at ten times a second: enough for whole seconds.
void RegistryWorld::arm_expiry() {
  expiry_ = loop_.at(loop_.now() + std::chrono::milliseconds(100), [this] {
    store_.expire(loop_.now());
    arm_expiry();
  });
}

Server& RegistryWorld::server(int i) { return wire_ == Wire::etcd ? etcd(i).server() : consul(i).server(); }

std::vector<net::Address> RegistryWorld::addresses() {
  std::vector<net::Address> all;
  for (int i = 0; i < members(); ++i) all.push_back(server(i).address());
  return all;
}

void RegistryWorld::restart() {
  for (int i = 0; i < members(); ++i) server(i).go_down();
  store_.elect();
  for (int i = 0; i < members(); ++i) server(i).come_up();
}

void RegistryWorld::restore(bool new_identity) {
  if (!backup_) return;
  for (int i = 0; i < members(); ++i) server(i).go_down();
  store_.restore(*backup_, new_identity);
  for (int i = 0; i < members(); ++i) server(i).come_up();
}

void RegistryWorld::wipe() {
  for (int i = 0; i < members(); ++i) server(i).go_down();
  store_.wipe();
  for (int i = 0; i < members(); ++i) server(i).come_up();
}

std::string RegistryWorld::trouble() {
  int who = pick();
  std::string at = " at " + std::to_string(who);
  switch (random_() % 17) {
    case 0:
      server(who).reset_all();
      return "reset" + at;
    case 1:
      server(who).go_down();
      return "down" + at;
    case 2:
      server(who).come_up();
      return "up" + at;
    case 3:
      restart();
      return "restart";
    case 4:
      store_.compact(store_.revision() - static_cast<std::int64_t>(random_() % 5));
      return "compact";
    case 5:
      server(who).hang(true);
      return "hang" + at;
    case 6:
      if (wire_ == Wire::etcd)
        etcd(who).lag_at(store_.revision());
      else
        consul(who).lag_at(store_.revision(), 5000);
      return "lag" + at;
    case 7:
      if (wire_ == Wire::etcd)
        etcd(who).mute(true);
      else
        consul(who).mute(true);
      return "mute" + at;
    case 8:
      if (wire_ == Wire::etcd) etcd(who).repeat(true);
      return "repeat" + at;
    case 9:
      if (wire_ == Wire::etcd) etcd(who).swap(true);
      return "swap" + at;
    case 10:
      if (wire_ == Wire::etcd) etcd(who).split(1 + random_() % 3);
      return "split" + at;
    case 11:
      if (wire_ == Wire::etcd)
        etcd(who).garble();
      else
        consul(who).garble();
      return "garble" + at;
    case 12:
      server(who).cut_after(random_() % 2000);
      return "cut" + at;
    case 13:
      back_up();
      return "backup";
    case 14:
      if (random_() % 4 == 0) {
        bool new_identity = wire_ == Wire::etcd && random_() % 2 == 0;
        restore(new_identity);
        return new_identity ? "restore, new identity" : "restore";
      }
      return "nothing";
    case 15:
      if (random_() % 6 == 0) {
        wipe();
        return "wipe";
      }
      return "nothing";
    default:
      if (wire_ == Wire::etcd)
        etcd(who).mark_progress();
      else
        consul(who).lose_leader(true);
      return "mark" + at;
  }
}

void RegistryWorld::heal() {
  for (int i = 0; i < members(); ++i) {
    server(i).come_up();
    server(i).hang(false);
    server(i).trickle(0);
    if (wire_ == Wire::etcd) {
      etcd(i).mute(false);
      etcd(i).repeat(false);
      etcd(i).swap(false);
      etcd(i).split(0);
      etcd(i).pose_as(std::nullopt);
      etcd(i).lag_at(std::nullopt);
    } else {
      consul(i).mute(false);
      consul(i).lose_leader(false);
      consul(i).say_index(std::nullopt);
      consul(i).lag_at(std::nullopt);
    }
  }
}

}  // namespace pearspar::standins
