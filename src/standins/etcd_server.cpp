#include "standins/etcd_server.h"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace pearspar::standins {
namespace {

using nlohmann::json;

std::string to64(const std::string& bytes) { return absl::Base64Escape(bytes); }

std::string from64(const json& object, const char* name) {
  std::string bytes;
  if (object.contains(name)) absl::Base64Unescape(object[name].get<std::string>(), &bytes);
  return bytes;
}

// 64-bit numbers come as texts or as numbers.
std::int64_t number(const json& object, const char* name) {
  if (!object.contains(name)) return 0;
  const json& value = object[name];
  return value.is_string() ? std::stoll(value.get<std::string>()) : value.get<std::int64_t>();
}

// What has its type's zero value is left out.
void set(json& object, const char* name, std::int64_t value) {
  if (value != 0) object[name] = std::to_string(value);
}

json kv_of(const Kv& kv, bool keys_only) {
  json object{{"key", to64(kv.key)}};
  set(object, "create_revision", kv.created);
  set(object, "mod_revision", kv.modified);
  set(object, "version", kv.version);
  set(object, "lease", kv.lease);
  if (!keys_only && !kv.value.empty()) object["value"] = to64(kv.value);
  return object;
}

json header_of(const Store& store, std::uint64_t member, std::int64_t revision,
               std::optional<std::uint64_t> pose) {
  return {{"cluster_id", std::to_string(pose.value_or(store.cluster()))},
          {"member_id", std::to_string(member)},
          {"revision", std::to_string(revision)},
          {"raft_term", std::to_string(store.term())}};
}

}  // namespace

EtcdServer::EtcdServer(net::Loop& loop, Store& store, std::uint64_t member, const net::Address& address)
    : loop_(loop),
      store_(store),
      member_(member),
      server_(
          loop, address, [this](const Server::Ask& ask) { take(ask); },
          [this](net::SlotId id) { watches_.erase(id); }) {}

std::uint64_t EtcdServer::asks(const std::string& path) const {
  auto found = asks_.find(path);
  return found == asks_.end() ? 0 : found->second;
}

std::int64_t EtcdServer::seen() const {
  return std::min(lag_.value_or(store_.revision()), store_.revision());
}

void EtcdServer::lag_at(std::optional<std::int64_t> revision) {
  lag_ = revision;
  store_changed();
}

void EtcdServer::take(const Server::Ask& ask) {
  ++asks_[ask.target];
  if (on_ask) on_ask(ask.target);
  try {
    if (ask.target == "/v3/watch") return watch(ask);
    json body = json::parse(ask.body);
    json reply{{"header", header_of(store_, member_, store_.revision(), pose_)}};
    int status = 200;
    if (ask.target == "/v3/kv/range") {
      std::string text = range(ask.body, status);
      return server_.reply(ask.id, status, text);
    }
    if (ask.target == "/v3/kv/put") {
      std::int64_t lease = number(body, "lease");
      if (lease != 0 && store_.keep_alive(lease, loop_.now()) == 0)
        return server_.reply(ask.id, 400,
                             R"({"error":"etcdserver: requested lease not found","code":5,)"
                             R"("message":"etcdserver: requested lease not found"})");
      store_.put(from64(body, "key"), from64(body, "value"), lease);
    } else if (ask.target == "/v3/kv/deleterange") {
      std::vector<Write> writes;
      for (const Kv& kv : store_.range(from64(body, "key"), from64(body, "range_end")))
        writes.push_back({kv.key, std::nullopt, 0});
      set(reply, "deleted", static_cast<std::int64_t>(writes.size()));
      store_.write(writes);
    } else if (ask.target == "/v3/kv/txn") {
      return server_.reply(ask.id, 200, txn(ask.body));
    } else if (ask.target == "/v3/kv/compaction") {
      store_.compact(number(body, "revision"));
    } else if (ask.target == "/v3/lease/grant") {
      std::int64_t ttl = std::max<std::int64_t>(number(body, "TTL"), 1);
      reply["ID"] = std::to_string(store_.grant(std::chrono::seconds(ttl), loop_.now()));
      reply["TTL"] = std::to_string(ttl);
    } else if (ask.target == "/v3/lease/keepalive") {
      json result = reply;
      result["ID"] = std::to_string(number(body, "ID"));
      set(result, "TTL", store_.keep_alive(number(body, "ID"), loop_.now()));
      reply = {{"result", result}};
    } else if (ask.target == "/v3/lease/revoke") {
      store_.revoke(number(body, "ID"));
    } else {
      return server_.reply(ask.id, 404, R"({"error":"Not Found","code":5,"message":"Not Found"})");
    }
    reply["header"]["revision"] = std::to_string(store_.revision());
    server_.reply(ask.id, 200, reply.dump());
  } catch (const std::exception& error) {
    server_.reply(ask.id, 400, json{{"error", error.what()}, {"code", 3}, {"message", error.what()}}.dump());
  }
}

std::string EtcdServer::range(const std::string& text, int& status) {
  json body = json::parse(text);
  std::int64_t at = number(body, "revision");
  if (at > 0 && at < store_.compacted()) {
    status = 400;
    return R"({"error":"etcdserver: mvcc: required revision has been compacted","code":11,)"
           R"("message":"etcdserver: mvcc: required revision has been compacted"})";
  }
  bool keys_only = body.value("keys_only", false);
  std::vector<Kv> found = store_.range(from64(body, "key"), from64(body, "range_end"), at);
  json reply{{"header", header_of(store_, member_, store_.revision(), pose_)}};
  set(reply, "count", static_cast<std::int64_t>(found.size()));
  if (body.value("sort_target", "") == "MOD")
    std::sort(found.begin(), found.end(), [](const Kv& a, const Kv& b) { return a.modified > b.modified; });
  std::size_t limit = static_cast<std::size_t>(number(body, "limit"));
  if (limit > 0 && found.size() > limit) {
    found.resize(limit);
    reply["more"] = true;
  }
  if (!found.empty()) reply["kvs"] = json::array();
  for (const Kv& kv : found) reply["kvs"].push_back(kv_of(kv, keys_only));
  return reply.dump();
}

// Compares a key's modification, then puts or deletes: as much as is used here.
std::string EtcdServer::txn(const std::string& text) {
  json body = json::parse(text);
  bool holds = true;
  for (const json& compare : body.value("compare", json::array())) {
    const Kv* kv = store_.find(from64(compare, "key"));
    holds = holds && (kv ? kv->modified : 0) == number(compare, "mod_revision");
  }
  std::vector<Write> writes;
  for (const json& operation : body.value(holds ? "success" : "failure", json::array())) {
    if (operation.contains("request_put"))
      writes.push_back({from64(operation["request_put"], "key"), from64(operation["request_put"], "value"),
                        number(operation["request_put"], "lease")});
    if (operation.contains("request_delete_range"))
      writes.push_back({from64(operation["request_delete_range"], "key"), std::nullopt, 0});
  }
  store_.write(writes);
  json reply{{"header", header_of(store_, member_, store_.revision(), pose_)}};
  if (holds) reply["succeeded"] = true;
  return reply.dump();
}

void EtcdServer::watch(const Server::Ask& ask) {
  json create = json::parse(ask.body).at("create_request");
  Watch watch{from64(create, "key"), from64(create, "range_end"), number(create, "start_revision"), {}};
  if (watch.next == 0) watch.next = seen() + 1;
  server_.begin_stream(ask.id);
  json made{{"header", header_of(store_, member_, seen(), pose_)}, {"created", true}};
  server_.stream(ask.id, json{{"result", made}}.dump() + "\n");
  if (watch.next <= store_.compacted()) {
    json over{{"header", header_of(store_, member_, seen(), pose_)},
              {"canceled", true},
              {"compact_revision", std::to_string(store_.compacted())}};
    server_.stream(ask.id, json{{"result", over}}.dump() + "\n");
    return;
  }
  auto [place, fresh] = watches_.insert_or_assign(ask.id, std::move(watch));
  tell(ask.id, place->second);
}

void EtcdServer::store_changed() {
  std::vector<net::SlotId> ids;
  for (const auto& [id, watch] : watches_) ids.push_back(id);
  for (net::SlotId id : ids)
    if (auto found = watches_.find(id); found != watches_.end()) tell(id, found->second);
}

void EtcdServer::tell(net::SlotId id, Watch& watch) {
  if (mute_ || watch.next > seen()) return;
  if (watch.next <= store_.compacted()) {
    json over{{"header", header_of(store_, member_, seen(), pose_)},
              {"canceled", true},
              {"compact_revision", std::to_string(store_.compacted())}};
    server_.stream(id, json{{"result", over}}.dump() + "\n");
    watches_.erase(id);
    return;
  }
  std::vector<std::vector<const StoreEvent*>> messages(1);
  const std::vector<StoreEvent>& events = store_.events();
  std::int64_t to = seen();
  for (std::size_t i = store_.first_event_from(watch.next); i < events.size() && events[i].revision <= to;
       ++i) {
    const StoreEvent& event = events[i];
    bool inside = event.kv.key >= watch.from &&
                  (watch.to.empty() ? event.kv.key == watch.from : event.kv.key < watch.to);
    if (!inside) continue;
    if (split_ > 0 && messages.back().size() >= split_) messages.emplace_back();
    messages.back().push_back(&event);
  }
  watch.next = to + 1;
  if (messages.front().empty()) return;
  std::vector<std::string> texts;
  for (std::size_t i = 0; i < messages.size(); ++i) {
    json result{{"header", header_of(store_, member_, to, pose_)}, {"events", json::array()}};
    for (const StoreEvent* event : messages[i]) {
      json told{{"kv", kv_of(event->kv, false)}};
      if (event->removed) told["type"] = "DELETE";
      result["events"].push_back(std::move(told));
    }
    // All but the last say that more of the same follows, as if all of it were one revision's: it is for the
    // reader to wait.
    if (i + 1 < messages.size()) result["fragment"] = true;
    texts.push_back(json{{"result", result}}.dump() + "\n");
  }
  for (const std::string& text : texts) {
    // The connection may end by a cut within a send.
    auto found = watches_.find(id);
    if (found == watches_.end()) return;
    send(id, found->second, text);
  }
}

void EtcdServer::send(net::SlotId id, Watch& watch, const std::string& message) {
  if (std::exchange(garble_, false)) return server_.stream(id, "{\"result\":{\"header\":7}}\n");
  if (swap_) {
    if (watch.kept.empty()) {
      watch.kept = message;
      return;
    }
    std::string first = std::exchange(watch.kept, {});
    server_.stream(id, message);
    server_.stream(id, first);
    return;
  }
  if (!watch.kept.empty()) server_.stream(id, std::exchange(watch.kept, {}));
  server_.stream(id, message);
  if (repeat_) server_.stream(id, message);
}

void EtcdServer::swap(bool on) {
  swap_ = on;
  if (on) return;
  for (auto& [id, watch] : watches_)
    if (!watch.kept.empty()) server_.stream(id, std::exchange(watch.kept, {}));
}

void EtcdServer::mark_progress() {
  for (auto& [id, watch] : watches_) {
    if (mute_ || watch.next <= seen()) continue;
    json mark{{"header", header_of(store_, member_, seen(), pose_)}};
    server_.stream(id, json{{"result", mark}}.dump() + "\n");
  }
}

}  // namespace pearspar::standins
