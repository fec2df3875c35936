// A broker's own key in the registry: the registrar's decisions, put on the wire.
#pragma once

#include <memory>
#include <string>

#include "log/log.h"
#include "registry/call.h"
#include "registry/registrar.h"
#include "registry/source.h"

namespace pearspar::registry {

class Registration {
 public:
  // `value` is what stands under `key`.
  Registration(net::Loop& loop, log::Logger& log, const RegistryOptions& options, std::string key,
               std::string value, net::Duration lease, std::uint64_t seed);

  void start();
  void set_value(std::string value);
  // The key is given back; done() once it is, or once that took too long.
  void withdraw();
  bool done() const { return registrar_.done(); }
  const Registrar& registrar() const { return registrar_; }
  std::string counters_json() const;

 private:
  void carry_out();
  Request request_of(const Registrar::Command& command) const;
  void take(Registrar::Command::Kind kind, const Reply* reply, const std::string& why);
  void read_etcd(Registrar::Command::Kind kind, const Reply& reply);
  void read_consul(Registrar::Command::Kind kind, const Reply& reply);

  net::Loop& loop_;
  log::Logger& log_;
  RegistryOptions options_;
  std::string key_;
  std::string value_;
  std::int64_t lease_seconds_;
  std::string credentials_;
  Registrar registrar_;
  Call call_;
  net::Timer timer_;
  bool was_registered_ = false;
  std::string lease_;  // the one that was granted last
};

}  // namespace pearspar::registry
