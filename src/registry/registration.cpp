#include "registry/registration.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "json/json.h"
#include "registry/consul.h"
#include "registry/etcd.h"

namespace pearspar::registry {
namespace {

using namespace std::chrono_literals;
using Kind = Registrar::Command::Kind;

constexpr net::Duration withdraw_patience = 500ms;

std::int64_t number_of(const std::string& lease) {
  std::int64_t number = 0;
  std::from_chars(lease.data(), lease.data() + lease.size(), number);
  return number;
}

}  // namespace

Registration::Registration(net::Loop& loop, log::Logger& log, const RegistryOptions& options, std::string key,
                           std::string value, net::Duration lease, std::uint64_t seed)
    : loop_(loop),
      log_(log),
      options_(options),
      key_(std::move(key)),
      value_(std::move(value)),
      lease_seconds_(std::max<std::int64_t>(1, std::llround(lease.count()))),
      credentials_(make_dialect(options)->credentials()),
      registrar_(static_cast<int>(options.endpoints.size()), options.follower.pacing, lease,
                 options.follower.reply_timeout, seed),
      call_(loop) {}

void Registration::start() {
  registrar_.start(loop_.now());
  carry_out();
}

void Registration::set_value(std::string value) {
  value_ = std::move(value);
  registrar_.value_changed(loop_.now());
  carry_out();
}

void Registration::withdraw() {
  registrar_.withdraw(loop_.now(), withdraw_patience);
  carry_out();
}

Request Registration::request_of(const Registrar::Command& command) const {
  if (options_.dialect == DialectKind::etcd) {
    std::int64_t lease = number_of(command.lease);
    switch (command.kind) {
      case Kind::grant:
        return etcd::grant(lease_seconds_);
      case Kind::put:
        return etcd::put(key_, value_, lease);
      case Kind::renew:
        return etcd::keep_alive(lease);
      case Kind::check:
        return etcd::get(key_);
      case Kind::revoke:
        return etcd::revoke(lease);
    }
  }
  switch (command.kind) {
    case Kind::grant:
      return consul::session(lease_seconds_);
    case Kind::put:
      return consul::acquire(key_, value_, command.lease);
    case Kind::renew:
      return consul::renew(command.lease);
    case Kind::check:
      return consul::get(key_);
    case Kind::revoke:
      break;
  }
  return consul::destroy(command.lease);
}

void Registration::carry_out() {
  for (const Registrar::Command& command : registrar_.take_commands()) {
    // The registrar has its own time for a reply; the call's is a little longer, so that it speaks first.
    call_.send(
        options_.endpoints[static_cast<std::size_t>(command.endpoint)], request_of(command), credentials_,
        options_.follower.reply_timeout * 2,
        [this, kind = command.kind](const Reply* reply, const std::string& why) { take(kind, reply, why); });
  }
  if (registrar_.registered() != was_registered_) {
    was_registered_ = registrar_.registered();
    if (was_registered_)
      log_.info("registered under {}", key_);
    else if (registrar_.done())
      log_.info("the registration under {} is withdrawn", key_);
  }
  timer_.reset();
  if (registrar_.done()) return call_.give_up();
  net::Time due = registrar_.due();
  if (due == net::Time::max()) return;
  timer_ = loop_.at(due, [this] {
    std::uint64_t lost = registrar_.counters().lost;
    registrar_.tick(loop_.now());
    if (registrar_.counters().lost != lost)
      log_.warning("the registration under {} ran out; it is made anew", key_);
    carry_out();
  });
}

void Registration::take(Kind kind, const Reply* reply, const std::string& why) {
  std::uint64_t lost = registrar_.counters().lost;
  std::string fault = why;
  bool fine = false;
  if (reply) {
    try {
      (options_.dialect == DialectKind::etcd ? read_etcd(kind, *reply) : read_consul(kind, *reply));
      fine = true;
    } catch (const json::ParseError& error) {
      fault = error.what();
    }
  }
  if (!fine) {
    if (registrar_.counters().failures == 0 || registrar_.registered())
      log_.warning("the registration under {}: {}", key_, fault);
    registrar_.failed(loop_.now());
  }
  if (registrar_.counters().lost != lost)
    log_.warning("the registry no longer had the registration under {}; it is made anew", key_);
  carry_out();
}

void Registration::read_etcd(Kind kind, const Reply& reply) {
  net::Time now = loop_.now();
  json::Value value = json::parse(reply.body);
  if (reply.status != 200) {
    etcd::ErrorReply error = etcd::read_error(value);
    // NotFound: the lease is gone before the key could hang on it.
    if (error.code == 5 && kind == Kind::revoke) return registrar_.revoked(now);
    throw json::ParseError(fmt::format("status {}: {}", reply.status, error.text));
  }
  switch (kind) {
    case Kind::grant: {
      std::int64_t lease = etcd::read_lease(value).first;
      if (lease == 0) throw json::ParseError("ID is missing");
      lease_ = std::to_string(lease);
      return registrar_.granted(now, lease_);
    }
    case Kind::put:
      return registrar_.put_done(now, true);
    case Kind::renew:
      return registrar_.renewed(now, etcd::read_lease(value).second > 0);
    case Kind::check: {
      // The key has to hang on our lease: one that somebody put by hand would outlive us.
      const json::Value* kvs = value.find("kvs");
      const json::Value* lease = kvs && !kvs->items.empty() ? kvs->items.front().find("lease") : nullptr;
      return registrar_.checked(now, lease && lease->raw == lease_);
    }
    case Kind::revoke:
      return registrar_.revoked(now);
  }
}

void Registration::read_consul(Kind kind, const Reply& reply) {
  net::Time now = loop_.now();
  bool gone =
      reply.status == 404 || (reply.status == 500 && reply.body.find("invalid session") != std::string::npos);
  if (reply.status != 200 && !gone) throw json::ParseError(fmt::format("status {}", reply.status));
  bool yes = reply.body.substr(0, 4) == "true";
  switch (kind) {
    case Kind::grant:
      lease_ = consul::read_session(reply.body);
      return registrar_.granted(now, lease_);
    case Kind::put:
      return registrar_.put_done(now, yes);
    case Kind::renew:
      return registrar_.renewed(now, !gone);
    case Kind::check: {
      if (gone) return registrar_.checked(now, false);
      json::Value value = json::parse(reply.body);
      const json::Value* session = value.items.empty() ? nullptr : value.items.front().find("Session");
      return registrar_.checked(now, session && session->raw == lease_);
    }
    case Kind::revoke:
      return registrar_.revoked(now);
  }
}

std::string Registration::counters_json() const {
  const RegistrarCounters& c = registrar_.counters();
  return fmt::format(
      "\"registered\":{},\"grants\":{},\"puts\":{},\"renewals\":{},\"lost\":{},\"failures\":{}",
      registrar_.registered(), c.grants, c.puts, c.renewals, c.lost, c.failures);
}

}  // namespace pearspar::registry
