// A whole stand-in registry on loopback: one store, several members of one dialect over it, and trouble by
// seed.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net/loop.h"
#include "standins/consul_server.h"
#include "standins/etcd_server.h"
#include "standins/store.h"

namespace pearspar::standins {

enum class Wire { etcd, consul };

class RegistryWorld {
 public:
  // Members listen on loopback ports of the system's choice, or from `first_port` on.
  RegistryWorld(net::Loop& loop, Wire wire, int members, std::uint64_t seed, std::uint16_t first_port = 0);

  Wire wire() const { return wire_; }
  Store& store() { return store_; }
  int members() const {
    return wire_ == Wire::etcd ? static_cast<int>(etcd_.size()) : static_cast<int>(consul_.size());
  }
  EtcdServer& etcd(int i) { return *etcd_[static_cast<std::size_t>(i)]; }
  ConsulServer& consul(int i) { return *consul_[static_cast<std::size_t>(i)]; }
  Server& server(int i);
  std::vector<net::Address> addresses();

  // One fault or event by chance; its name.
  std::string trouble();
  // All members up, in step and honest.
  void heal();
  // Takes a copy to restore from.
  void back_up() { backup_ = std::make_unique<Store>(store_); }
  void restore(bool new_identity);
  void restart();  // all members at once, with their data
  void wipe();     // all members at once, without

 private:
  void arm_expiry();
  int pick() { return static_cast<int>(random_() % static_cast<unsigned>(members())); }

  net::Loop& loop_;
  Wire wire_;
  Store store_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<EtcdServer>> etcd_;
  std::vector<std::unique_ptr<ConsulServer>> consul_;
  std::unique_ptr<Store> backup_;
  net::Timer expiry_;
};

}  // namespace pearspar::standins
